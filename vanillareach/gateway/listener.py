"""Listens for callers and runs their connections."""

import trio

from vanillareach.early_sockets import take_early_socket
from vanillareach.gateway.connections import CallerConnection
from vanillareach.gateway.sockets import CALLER_TIMEOUT_MS, watch_liveness
from vanillareach.utils import split_address

BACKLOG = 1_024
# Callers that waited for this instance to load are accepted within this time.
BACKLOG_DRAIN_MS = 100.0


class CallerListener:
    """Accepts callers' connections and passes their requests to a handler.

    Parameters
    ----------
    address : str
        ``host:port``.
    clock : Clock
    limits : callable
        Returns the `CallerLimits` in force.
    handle : callable
        Coroutine function of (request, responder).
    is_stopping : callable
        Whether answers tell callers to use other connections.
    """

    def __init__(self, address, clock, limits, handle, is_stopping):
        self._address = address
        self.clock = clock
        self.limits = limits
        self.handle = handle
        self.is_stopping = is_stopping
        self.is_closing_idle = False
        self._connections = set()
        self._accepting = trio.CancelScope()
        self._begin_ms = None
        self._opened_ms = None

    @property
    def open_connections(self):
        """Number of open connections."""
        return len(self._connections)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Accept until `close_idle`, then return when all connections have ended."""
        host, port = split_address(self._address)
        early = take_early_socket(self._address)
        if early is None:
            listeners = await trio.open_tcp_listeners(port, host=host, backlog=BACKLOG)
        else:
            sock = trio.socket.from_stdlib_socket(early.sock)
            listeners = [trio.SocketListener(sock)]
            self._begin_ms = self.clock.now_ms()
            self._opened_ms = self._begin_ms - early.age_ms()
        async with trio.open_nursery() as nursery:
            task_status.started()
            with self._accepting:
                await trio.serve_listeners(
                    self._serve, listeners, handler_nursery=nursery
                )

    def close_idle(self):
        """Accept nothing more and close connections that wait for a request."""
        self.is_closing_idle = True
        self._accepting.cancel()
        for connection in list(self._connections):
            if connection.is_idle:
                connection.scope.cancel()

    def _waited_since_ms(self):
        """Return since when a caller accepted now may have waited, or None."""
        if self._begin_ms is None:
            return None
        if self.clock.now_ms() - self._begin_ms > BACKLOG_DRAIN_MS:
            self._begin_ms = None
            return None
        return self._opened_ms

    async def _serve(self, stream):
        watch_liveness(stream.socket, CALLER_TIMEOUT_MS)
        connection = CallerConnection(stream, self, self._waited_since_ms())
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)
