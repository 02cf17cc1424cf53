"""One HTTP call of a command, made by the clients' checked connections."""

import httpcore
import trio

from vanillareach.response_checks import ResponseCheckBackend


def call_once(method, url, headers=(), content=b"", timeout_s=None):
    """Make one call on a connection of its own.

    Parameters
    ----------
    method, url : str
    headers : iterable of (bytes, bytes)
    content : bytes
    timeout_s : float
        Time limit of connecting, and of each wait for bytes.

    Returns
    -------
    httpcore.Response
        With its content.

    Raises
    ------
    httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException
        If there is no complete response.
    """

    async def call():
        backend = ResponseCheckBackend()
        async with httpcore.AsyncConnectionPool(network_backend=backend) as pool:
            return await pool.request(
                method,
                url,
                headers=list(headers),
                content=content,
                extensions={"timeout": {"connect": timeout_s, "read": timeout_s}},
            )

    return trio.run(call)
