"""A server on loopback that sends any bytes."""

from contextlib import asynccontextmanager, suppress

import trio

RECEIVE_BYTES = 65_536
HEAD_END = b"\r\n\r\n"


async def receive_head(stream):
    """Return the head of a request, with what was received of its body.

    Raises
    ------
    trio.BrokenResourceError
        If the connection ends before.
    """
    head = b""
    while HEAD_END not in head:
        data = await stream.receive_some(RECEIVE_BYTES)
        if not data:
            raise trio.BrokenResourceError("no request")
        head += data
    return head


def answer_fields(request_head):
    """Return the lines that tell which request an answer is for, and sign it."""
    lines = [
        line + b"\r\n"
        for line in request_head.split(b"\r\n")
        if line.lower().startswith(b"vanillareach-attempt-id:")
    ]
    return b"".join([*lines, b"Vanillareach-Response-Signature: signed\r\n"])


async def read_on(stream):
    """Read until the other side ends the connection."""
    while await stream.receive_some(RECEIVE_BYTES):
        pass


@asynccontextmanager
async def open_raw_server(serve):
    """Serve connections while the context lasts; yield the server's address.

    Parameters
    ----------
    serve : callable
        Async function that takes the stream of a connection, which is closed as it
        returns.
    """

    async def serve_connection(stream):
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await serve(stream)
        await stream.aclose()

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve_connection, listeners)
        yield f"127.0.0.1:{port}"
        nursery.cancel_scope.cancel()
