"""Starts hypercorn in a nursery of the caller, and handles stop signals."""

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

MAX_HEADER_BYTES = 32 * 1024
KEEP_ALIVE_S = 75.0


def hypercorn_config(address, graceful_timeout_s):
    """Return the hypercorn configuration for one listening address.

    Parameters
    ----------
    address : str
        ``host:port``, with an IP address as host.
    graceful_timeout_s : float
        Time limit for running requests after a stop has been requested.
    """
    config = Config()
    config.bind = [address]
    config.graceful_timeout = graceful_timeout_s
    config.shutdown_timeout = graceful_timeout_s
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.include_server_header = False
    config.backlog = 1024
    config.accesslog = None
    config.errorlog = None
    return config


async def start_server(nursery, app, address, stopping, graceful_timeout_s=60.0):
    """Listen at `address` and serve `app` until the event `stopping` is set.

    Returns
    -------
    trio.Event
        Set once the last connection has been closed.
    """
    stopped = trio.Event()

    async def run(task_status=trio.TASK_STATUS_IGNORED):
        try:
            await serve(
                app,
                hypercorn_config(address, graceful_timeout_s),
                shutdown_trigger=stopping.wait,
                mode="asgi",
                task_status=task_status,
            )
        finally:
            stopped.set()

    await nursery.start(run)
    return stopped


class StopSignals:
    """Sets an event at the first SIGTERM or SIGINT; a second one cancels."""

    __slots__ = ("stopping",)

    def __init__(self):
        self.stopping = trio.Event()

    async def watch(self, cancel_scope, signals, task_status=trio.TASK_STATUS_IGNORED):
        """Set `stopping` at the first signal and cancel the scope at the second."""
        with trio.open_signal_receiver(*signals) as received:
            task_status.started()
            async for _ in received:
                if self.stopping.is_set():
                    cancel_scope.cancel()
                    return
                self.stopping.set()
