"""A server on loopback that sends any bytes."""

from contextlib import asynccontextmanager, suppress

import trio


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
