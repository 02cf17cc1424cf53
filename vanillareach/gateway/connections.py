"""Connections of callers: requests, responses and the detection of disconnects."""

import h11
import trio

from vanillareach.clock import MS_PER_SECOND
from vanillareach.log import get_logger

RECEIVE_BUFFER_BYTES = 65_536
# Bytes of pipelined requests that are read while a response is in progress.
MAX_PIPELINED_BYTES = 65_536
# Time for a caller to close its side of the connection after the last response.
LINGER_TIMEOUT_MS = 500.0

log = get_logger("connections")


class CallerDisconnectedError(Exception):
    """The caller closed its connection before its response was complete."""


class ResponseAbortedError(Exception):
    """The response can't be completed; the connection has to be aborted."""


class BadRequestError(Exception):
    """The caller's request is invalid, late or larger than the limits allow.

    Parameters
    ----------
    status : int
    detail : str
    """

    def __init__(self, status, detail):
        super().__init__(detail)
        self.status = status


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


class Responder:
    """Writes one response to a caller.

    Parameters
    ----------
    connection : h11.Connection
    stream : trio.SocketStream
    is_stopping : callable
        Whether the connection is to be closed after this response.
    """

    __slots__ = ("_connection", "_is_stopping", "_stream", "is_complete", "is_started")

    def __init__(self, connection, stream, is_stopping):
        self._connection = connection
        self._stream = stream
        self._is_stopping = is_stopping
        self.is_started = False
        self.is_complete = False

    async def start(self, status, headers, reason=b""):
        """Send the status and headers, which include the framing."""
        self.is_started = True
        await self._write(self._head(status, headers, reason))

    async def send(self, data):
        """Send a part of the body."""
        await self._write(self._connection.send(h11.Data(data=data)))

    async def finish(self):
        """Mark the body as complete.

        Raises
        ------
        ResponseAbortedError
            If fewer bytes were sent than the headers announced.
        """
        try:
            data = self._connection.send(h11.EndOfMessage())
        except h11.LocalProtocolError as error:
            raise ResponseAbortedError(str(error)) from error
        await self._write(data)
        self.is_complete = True

    async def answer(self, status, headers, body, reason=b""):
        """Send a complete response."""
        headers = [*headers, (b"Content-Length", str(len(body)).encode())]
        self.is_started = True
        data = self._head(status, headers, reason)
        if body:
            data += self._connection.send(h11.Data(data=body))
        data += self._connection.send(h11.EndOfMessage())
        await self._write(data)
        self.is_complete = True

    def _head(self, status, headers, reason):
        if self._is_stopping():
            headers = [*headers, (b"Connection", b"close")]
        return self._connection.send(
            h11.Response(status_code=status, headers=headers, reason=reason)
        )

    async def _write(self, data):
        if not data:
            return
        try:
            await self._stream.send_all(data)
        except trio.BrokenResourceError as error:
            raise CallerDisconnectedError(str(error)) from error


class CallerConnection:
    """One connection of a caller.

    Parameters
    ----------
    stream : trio.SocketStream
    listener : CallerListener
    queued_since_ms : float or None
        Earliest time at which the caller may have connected, if it waited in the listen
        queue while this instance started.
    """

    def __init__(self, stream, listener, queued_since_ms):
        self._stream = stream
        self._listener = listener
        self._queued_since_ms = queued_since_ms
        self._connection = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=listener.limits().header_bytes,
        )
        self._pipelined_bytes = 0
        self.is_idle = False
        self.scope = trio.CancelScope()

    async def run(self):
        """Serve requests until the connection ends."""
        with self.scope:
            try:
                while await self._serve_request():
                    self._connection.start_next_cycle()
            except (
                CallerDisconnectedError,
                ResponseAbortedError,
                h11.LocalProtocolError,
            ):
                pass
            except BadRequestError as error:
                await self._refuse(error)
            except trio.BrokenResourceError:
                pass
            except Exception:
                log.exception("Unhandled error while serving a request.")
        await self._close()

    async def _serve_request(self):
        """Serve one request and return whether another may follow."""
        head = await self._read_head()
        if head is None:
            return False
        received_ms = self._listener.clock.now_ms()
        if self._queued_since_ms is not None:
            received_ms, self._queued_since_ms = self._queued_since_ms, None
        request = CallerRequest(head, await self._read_body(), received_ms)
        responder = Responder(
            self._connection, self._stream, self._listener.is_stopping
        )
        await self._handle(request, responder)
        if not responder.is_complete:
            raise ResponseAbortedError("the handler sent no complete response")
        return self._connection.our_state is h11.DONE

    async def _handle(self, request, responder):
        """Run the handler and cancel it as soon as the caller disconnects."""
        failure = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_on_disconnect, nursery.cancel_scope)
            try:
                await self._listener.handle(request, responder)
            except Exception as error:
                # Raised outside the nursery, which would wrap it in an exception group.
                failure = error
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure

    async def _cancel_on_disconnect(self, scope):
        """Cancel `scope` when the caller disconnects, which only reading detects.

        Data that arrives belongs to the next request and is buffered. Once this exceeds
        `MAX_PIPELINED_BYTES`, reading stops and a disconnect is no longer detected.
        """
        while self._pipelined_bytes < MAX_PIPELINED_BYTES:
            try:
                data = await self._stream.receive_some(RECEIVE_BUFFER_BYTES)
            except trio.BrokenResourceError:
                data = b""
            if not data:
                scope.cancel()
                return
            self._pipelined_bytes += len(data)
            self._connection.receive_data(data)

    async def _read_head(self):
        limits = self._listener.limits()
        self.is_idle = True
        self._pipelined_bytes = 0
        timeout_ms = limits.idle_ms
        while True:
            event = self._next_event()
            if event is not h11.NEED_DATA:
                self.is_idle = False
                return self._validate_head(event, limits)
            if self._connection.trailing_data[0]:
                self.is_idle = False
                timeout_ms = limits.header_ms
            if self._listener.is_closing_idle and self.is_idle:
                return None
            with trio.move_on_after(timeout_ms / MS_PER_SECOND) as scope:
                if not await self._receive():
                    return None
            if scope.cancelled_caught:
                if self.is_idle:
                    return None
                raise BadRequestError(408, "timed out reading the request header")

    def _validate_head(self, event, limits):
        if not isinstance(event, h11.Request):
            return None
        size = sum(len(name) + len(value) for name, value in event.headers)
        # h11 does not apply its own limit to a header that arrives in one piece.
        if size + len(event.target) > limits.header_bytes:
            raise BadRequestError(431, "request header exceeds the size limit")
        return event

    async def _read_body(self):
        """Return the body, or None if the request has none."""
        limits = self._listener.limits()
        parts, size, has_body = [], 0, False
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
                with trio.move_on_after(limits.idle_ms / MS_PER_SECOND) as scope:
                    if not await self._receive():
                        raise CallerDisconnectedError("closed within the request body")
                if scope.cancelled_caught:
                    raise BadRequestError(408, "timed out reading the request body")
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size += len(event.data)
                if size > limits.body_bytes:
                    raise BadRequestError(413, "request body exceeds the size limit")
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(parts) if parts or has_body else None
            else:
                raise CallerDisconnectedError("closed within the request body")

    def _next_event(self):
        try:
            return self._connection.next_event()
        except h11.RemoteProtocolError as error:
            raise BadRequestError(error.error_status_hint, str(error)) from error

    async def _receive(self):
        try:
            data = await self._stream.receive_some(RECEIVE_BUFFER_BYTES)
        except trio.BrokenResourceError:
            return False
        if not data:
            return False
        self._connection.receive_data(data)
        return True

    async def _refuse(self, error):
        log.info("Request refused.", status=error.status, cause=str(error))
        if self._connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        responder = Responder(self._connection, self._stream, lambda: True)
        try:
            await responder.answer(error.status, [], b"")
        except (CallerDisconnectedError, h11.LocalProtocolError):
            return

    async def _close(self):
        """Close gracefully after a complete response, else abort the connection."""
        is_between_requests = self._connection.our_state in (
            h11.IDLE,
            h11.DONE,
            h11.MUST_CLOSE,
        )
        dropped_bytes = 0
        with (
            trio.CancelScope(shield=True),
            trio.move_on_after(LINGER_TIMEOUT_MS / 1000),
        ):
            if is_between_requests or self._connection.our_state is h11.CLOSED:
                try:
                    await self._stream.send_eof()
                    while data := await self._stream.receive_some(RECEIVE_BUFFER_BYTES):
                        dropped_bytes += len(data)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    pass
        self._stream.socket.close()
        dropped_bytes += self._pipelined_bytes if is_between_requests else 0
        if dropped_bytes:
            log.info(
                "Data dropped while closing.",
                bytes=dropped_bytes,
                is_stopping=self._listener.is_stopping(),
                is_closing_idle=self._listener.is_closing_idle,
            )
