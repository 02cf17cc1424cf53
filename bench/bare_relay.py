"""Baseline process of the relay benchmark: hypercorn and httpcore only."""

import functools
import signal
import sys

import httpcore
import trio

from vanillareach.asgi import HttpRequest, answer_lifespan
from vanillareach.servers import StopSignals, start_server


class BareRelay:
    """Relays every request to one address, chunk by chunk."""

    def __init__(self, target):
        self._target = target
        self._pool = httpcore.AsyncConnectionPool(max_connections=1000)

    async def __call__(self, scope, receive, send):
        """Answer one ASGI connection."""
        if scope["type"] == "lifespan":
            return await answer_lifespan(receive, send)
        request = HttpRequest(scope, receive)
        body = await request.body()
        headers = [(b"content-type", b"application/json")]
        url = f"http://{self._target}{request.path}"
        async with self._pool.stream(
            request.method, url, headers=headers, content=body
        ) as response:
            await send(
                {
                    "type": "http.response.start",
                    "status": response.status,
                    "headers": [(b"content-type", b"text/event-stream")],
                }
            )
            async for chunk in response.aiter_stream():
                await send(
                    {"type": "http.response.body", "body": chunk, "more_body": True}
                )
        return await send({"type": "http.response.body", "body": b""})


async def serve(listen, target):
    """Serve until SIGTERM."""
    signals = StopSignals()
    async with trio.open_nursery() as nursery:
        await nursery.start(signals.watch, nursery.cancel_scope, (signal.SIGTERM,))
        await start_server(nursery, BareRelay(target), listen, signals.stopping, 0.5)
        await signals.stopping.wait()
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    trio.run(functools.partial(serve, sys.argv[1], sys.argv[2]))
