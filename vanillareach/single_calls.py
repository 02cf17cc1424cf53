"""One HTTP call of a command, made by the clients' checked connections."""

import httpcore
import trio

from vanillareach.bounded_reads import BoundedBackend
from vanillareach.response_checks import ResponseCheckBackend

# All objects of a kind, or the state of a gateway with 600 endpoints.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024


def call_once(method, url, timeout_s, headers=(), content=b""):
    """Make one call on a connection of its own.

    Parameters
    ----------
    method, url : str
    timeout_s : float
        Time limit of the whole call.
    headers : iterable of (bytes, bytes)
    content : bytes

    Returns
    -------
    httpcore.Response
        With its content.

    Raises
    ------
    httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException
        If there is no complete response, or it exceeds `MAX_RESPONSE_BYTES`.
    """

    async def call():
        backend = BoundedBackend(ResponseCheckBackend(), MAX_RESPONSE_BYTES)
        try:
            with trio.fail_after(timeout_s):
                async with httpcore.AsyncConnectionPool(
                    network_backend=backend
                ) as pool:
                    return await pool.request(
                        method, url, headers=list(headers), content=content
                    )
        except trio.TooSlowError as error:
            raise httpcore.ReadTimeout(f"incomplete after {timeout_s:g} s") from error

    return trio.run(call)
