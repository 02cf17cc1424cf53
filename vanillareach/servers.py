"""Starts hypercorn in a nursery of the caller, and handles stop signals."""

import signal

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from vanillareach.log import get_logger
from vanillareach.process_signals import ProcessSignals

MAX_HEADER_BYTES = 32 * 1024
KEEP_ALIVE_S = 75.0

log = get_logger("main")


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
    """Sets an event at the first SIGTERM or SIGINT; a later SIGINT cancels."""

    __slots__ = ("_signals", "stopping")

    def __init__(self):
        self._signals = ProcessSignals(signal.SIGTERM, signal.SIGINT)
        self.stopping = trio.Event()

    async def watch(self, cancel_scope, task_status=trio.TASK_STATUS_IGNORED):
        """Set `stopping` at the first signal; cancel the scope at a second interrupt.

        A platform may repeat SIGTERM, which must not cut the requests in progress.
        """
        self._signals.install()
        task_status.started()
        async for number in self._signals:
            if not self.stopping.is_set():
                self.stopping.set()
            elif number == signal.SIGINT:
                cancel_scope.cancel()
                return
            else:
                log.info("Already stopping.", number=int(number))

    def ignore(self):
        """Ignore further signals until the process ends."""
        self._signals.ignore()
