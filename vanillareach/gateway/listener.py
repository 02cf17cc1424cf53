"""Accepts connections of callers and runs them."""

import trio

from vanillareach.early_sockets import pop_early_socket
from vanillareach.gateway.body_budget import BodyBudget
from vanillareach.gateway.buffer_budget import BufferBudget
from vanillareach.gateway.connections import CallerConnection
from vanillareach.gateway.sockets import (
    CALLER_UNACKED_TIMEOUT_MS,
    enable_liveness_detection,
)
from vanillareach.log import get_logger
from vanillareach.utils import split_address

LISTEN_BACKLOG = 1_024
# Connections queued while this instance started are accepted within this time.
BACKLOG_ACCEPT_MS = 100.0
# Time for accepting the connections that are queued when the listener closes.
FINAL_ACCEPT_S = 0.1

log = get_logger("connections")


class OpenListener(trio.abc.Listener):
    """Listener that stays open when `trio.serve_listeners` ends.

    Parameters
    ----------
    listener : trio.SocketListener
    """

    def __init__(self, listener):
        self._listener = listener

    async def accept(self):
        """Return the stream of the next connection."""
        return await self._listener.accept()

    async def aclose(self):
        """Leave the listener open."""
        await trio.lowlevel.checkpoint()


class CallerListener:
    """Accepts connections of callers and passes their requests to a handler.

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
        Whether responses tell callers to close the connection.
    body_budget : BodyBudget or None
    buffer_budget : BufferBudget or None
        Shared with other listeners; None for one of its own.

    Attributes
    ----------
    is_closing_idle : bool
        Whether `stop_accepting` was called, so that no connection stays idle.
    ended : trio.Event
        Set once the listener and all connections have been closed after that.
    """

    def __init__(
        self,
        address,
        clock,
        limits,
        handle,
        is_stopping,
        body_budget=None,
        buffer_budget=None,
    ):
        self._address = address
        self.body_budget = body_budget or BodyBudget()
        self.buffer_budget = buffer_budget or BufferBudget()
        self.clock = clock
        self.limits = limits
        self.handle = handle
        self.is_stopping = is_stopping
        self.is_closing_idle = False
        self.ended = trio.Event()
        self._connections = set()
        self._accept_scope = trio.CancelScope()
        self._accept_started_ms = None
        self._socket_opened_ms = None

    @property
    def open_connections(self):
        """Number of open connections."""
        return len(self._connections)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Accept until `stop_accepting`; return when all connections have ended."""
        host, port = split_address(self._address)
        early = pop_early_socket(self._address)
        if early is None:
            listeners = await trio.open_tcp_listeners(
                port, host=host, backlog=LISTEN_BACKLOG
            )
        else:
            sock = trio.socket.from_stdlib_socket(early.sock)
            listeners = [trio.SocketListener(sock)]
            self._accept_started_ms = self.clock.now_ms()
            self._socket_opened_ms = self._accept_started_ms - early.age_ms()
        async with trio.open_nursery() as nursery:
            task_status.started()
            with self._accept_scope:
                await trio.serve_listeners(
                    self._serve,
                    [OpenListener(listener) for listener in listeners],
                    handler_nursery=nursery,
                )
            for listener in listeners:
                await self._accept_queued(listener, nursery)
        self.ended.set()

    async def _accept_queued(self, listener, nursery):
        """Accept the connections in the listen queue, then close the listener.

        Closing it would reset them, with the requests they have sent.
        """
        async with listener:
            with trio.move_on_after(FINAL_ACCEPT_S):
                while listener.socket.is_readable():
                    try:
                        stream = await listener.accept()
                    except OSError as error:
                        log.error("Queued connections not accepted.", cause=str(error))
                        return
                    nursery.start_soon(self._serve_final, stream)

    async def _serve_final(self, stream):
        try:
            await self._serve(stream)
        finally:
            await trio.aclose_forcefully(stream)

    def close_idle(self):
        """Close the connections that wait for a request, now or later.

        Requests that have arrived by then are served. Connections that are accepted
        afterwards may still send one.
        """
        for connection in self._connections:
            connection.close_idle()

    def stop_accepting(self):
        """Accept only what is in the listen queue, and close idle connections."""
        self.is_closing_idle = True
        self._accept_scope.cancel()
        self.close_idle()

    def _queued_since_ms(self):
        """Return since when a connection accepted now may have been queued, or None."""
        if self._accept_started_ms is None:
            return None
        if self.clock.now_ms() - self._accept_started_ms > BACKLOG_ACCEPT_MS:
            self._accept_started_ms = None
            return None
        return self._socket_opened_ms

    async def _serve(self, stream):
        enable_liveness_detection(stream.socket, CALLER_UNACKED_TIMEOUT_MS)
        connection = CallerConnection(stream, self, self._queued_since_ms())
        self._connections.add(connection)
        if self.is_closing_idle:
            connection.close_idle()
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)
