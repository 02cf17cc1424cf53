"""Reads the requests of one connection of a caller."""

import sys

import h11
import trio

RECEIVE_BUFFER_BYTES = 65_536
# `RequestReader` applies the limit, which h11 could not change later.
NO_LIMIT_BYTES = sys.maxsize
# Retry-After of a request for whose body there is no memory.
BODY_RETRY_AFTER_S = 0.5


class CallerDisconnectedError(Exception):
    """The caller closed its connection before its response was complete."""


class BadRequestError(Exception):
    """The caller's request is invalid, late or larger than the limits allow.

    Parameters
    ----------
    status : int
    detail : str
    retry_after_s : float or None
        When the caller may try again; None if that won't help.
    """

    def __init__(self, status, detail, retry_after_s=None):
        super().__init__(detail)
        self.status = status
        self.retry_after_s = retry_after_s


class CallerRequest:
    """A completely received request.

    Attributes
    ----------
    method, target : bytes
    headers : list of (bytes, bytes)
        Names in the caller's spelling.
    host : bytes
    body : bytes or None
        None if the request has no body.
    received_ms : float
        Monotonic time at which its header was complete, or earlier if the caller waited
        in the listen queue.
    """

    __slots__ = ("body", "headers", "host", "method", "received_ms", "target")

    def __init__(self, head, body, received_ms):
        self.method = bytes(head.method)
        self.target = bytes(head.target)
        self.headers = [(bytes(n), bytes(v)) for n, v in head.headers.raw_items()]
        hosts = [v for n, v in self.headers if n.lower() == b"host"]
        self.host = hosts[0] if hosts else b""
        self.body = body
        self.received_ms = received_ms

    @property
    def path(self):
        """Path without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")


class RequestReader:
    """Reads one request after another.

    A request is allowed what the limits allow that were in force at its begin, or those
    in force when they are checked.

    Parameters
    ----------
    connection : h11.Connection
        Without a limit of its own, `NO_LIMIT_BYTES`.
    stream : trio.SocketStream
    clock : Clock
    limits : callable
        Returns the `CallerLimits` in force.
    queued_since_ms : float or None
        Earliest time at which the caller may have connected, if it waited in the listen
        queue while this instance started.
    body_share : BodyShare
    """

    __slots__ = (
        "_body_share",
        "_clock",
        "_connection",
        "_idle_scope",
        "_is_closing_idle",
        "_limits_at_begin",
        "_limits_in_force",
        "_queued_since_ms",
        "_stream",
    )

    def __init__(self, connection, stream, clock, limits, queued_since_ms, body_share):
        self._body_share = body_share
        self._connection = connection
        self._stream = stream
        self._clock = clock
        self._limits_in_force = limits
        self._limits_at_begin = limits()
        self._queued_since_ms = queued_since_ms
        self._idle_scope = trio.CancelScope()
        self._is_closing_idle = False

    def close_idle(self):
        """Return no request from now on of which no byte has arrived."""
        self._is_closing_idle = True
        self._idle_scope.cancel()

    async def read(self):
        """Return the next `CallerRequest`, or None at the end of the connection.

        Raises
        ------
        BadRequestError
        CallerDisconnectedError
            If the connection ends within the body.
        """
        self._limits_at_begin = self._limits_in_force()
        if not await self._wait_for_request():
            return None
        self._limits_at_begin = self._limits_in_force()
        head = await self._read_head()
        if head is None:
            return None
        received_ms = self._clock.now_ms()
        if self._queued_since_ms is not None:
            received_ms, self._queued_since_ms = self._queued_since_ms, None
        self._reserve_body(head)
        return CallerRequest(head, await self._read_body(), received_ms)

    def _reserve_body(self, head):
        """Refuse a request at once if there is no room for the body it announces.

        One that exceeds the limits is counted as it arrives: they may change meanwhile.
        """
        lengths = [int(v) for n, v in head.headers if n == b"content-length"]
        if lengths and lengths[0] <= self._limits().body_bytes:
            self._hold_body(lengths[0])

    def _hold_body(self, size):
        if not self._body_share.grow_to(size):
            raise BadRequestError(
                503, "no memory for the request body", BODY_RETRY_AFTER_S
            )

    def _limits(self):
        return self._limits_at_begin.union(self._limits_in_force())

    async def _wait_for_request(self):
        """Return whether a part of a request can be read.

        Only this wait is cancelled when idle connections are closed.
        """
        if self._connection.trailing_data[0]:
            return True
        has_data = False
        with trio.CancelScope() as self._idle_scope:
            if self._is_closing_idle:
                self._idle_scope.cancel()
            has_data = await self._wait_for_data(lambda limits: limits.idle_ms)
        return has_data or self._stream.socket.is_readable()

    async def _wait_for_data(self, timeout_of):
        """Return whether data, or the end of the connection, can be read in time.

        Parameters
        ----------
        timeout_of : callable
            Returns the timeout in ms of `CallerLimits`.
        """
        begin_ms = self._clock.now_ms()
        while True:
            timeout_ms = timeout_of(self._limits())
            with self._clock.scope_until(begin_ms + timeout_ms):
                await trio.lowlevel.wait_readable(self._stream.socket)
                return True
            if timeout_of(self._limits()) <= timeout_ms:
                # The timeout may pass together with the arrival of data.
                return self._stream.socket.is_readable()

    async def _read_head(self):
        """Return the `h11.Request`, or None at the end of the connection."""
        while True:
            event = self._next_event()
            if event is not h11.NEED_DATA:
                return self._validate_head(event)
            if not await self._wait_for_data(lambda limits: limits.header_ms):
                raise BadRequestError(408, "timed out reading the request header")
            if not await self._receive():
                return None

    def _validate_head(self, event):
        if not isinstance(event, h11.Request):
            return None
        size = sum(len(name) + len(value) for name, value in event.headers)
        if size + len(event.target) > self._limits().header_bytes:
            raise BadRequestError(431, "request header exceeds the size limit")
        return event

    async def _read_body(self):
        """Return the body, or None if the request has none."""
        body, has_body = bytearray(), False
        if self._connection.they_are_waiting_for_100_continue:
            await self._stream.send_all(
                self._connection.send(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
            )
        while True:
            event = self._next_event()
            if event is h11.NEED_DATA:
                has_body = True
                if not await self._wait_for_data(lambda limits: limits.idle_ms):
                    raise BadRequestError(408, "timed out reading the request body")
                if not await self._receive():
                    raise CallerDisconnectedError("closed within the request body")
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._limits().body_bytes:
                    raise BadRequestError(413, "request body exceeds the size limit")
                self._hold_body(len(body))
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body) if body or has_body else None
            else:
                raise CallerDisconnectedError("closed within the request body")

    def _next_event(self):
        try:
            event = self._connection.next_event()
        except h11.RemoteProtocolError as error:
            raise BadRequestError(error.error_status_hint, str(error)) from error
        if event is h11.NEED_DATA:
            incomplete = self._connection.trailing_data[0]
            if len(incomplete) > self._limits().header_bytes:
                raise BadRequestError(431, "request header exceeds the size limit")
        return event

    async def _receive(self):
        try:
            data = await self._stream.receive_some(RECEIVE_BUFFER_BYTES)
        except trio.BrokenResourceError:
            return False
        if not data:
            return False
        self._connection.receive_data(data)
        return True
