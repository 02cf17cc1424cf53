"""Connections of callers: requests, responses and the detection of disconnects."""

from collections import deque

import h11
import trio

from vanillareach.clock import MS_PER_SECOND
from vanillareach.gateway.buffer_budget import BufferRevokedError
from vanillareach.gateway.request_outcome import RequestOutcome
from vanillareach.gateway.request_reader import (
    NO_LIMIT_BYTES,
    RECEIVE_BUFFER_BYTES,
    BadRequestError,
    CallerDisconnectedError,
    RequestReader,
)
from vanillareach.gateway.sockets import set_reset_on_close
from vanillareach.log import get_logger
from vanillareach.utils import open_background_nursery

# Bytes of pipelined requests that are read while a response is in progress.
MAX_PIPELINED_BYTES = 65_536
# A body up to this size is sent together with its head; a larger one isn't copied.
MAX_JOINED_BYTES = 65_536
# Time for a caller to close its side of the connection after the last response.
LINGER_TIMEOUT_MS = 500.0
# The request may have run, as after any 500.
ERROR_BODY = b'{"outcome":"unknown","reason":"internal_error"}'

log = get_logger("connections")


class ResponseAbortedError(Exception):
    """The response can't be completed; the connection has to be aborted."""


class Responder:
    """Writes one response to a caller.

    Parameters
    ----------
    connection : h11.Connection
    stream : trio.SocketStream
    is_last : callable
        Whether the connection is to be closed after this response.
    buffer_share : BufferShare
        Counts what the caller hasn't read.
    is_head : bool
        Whether the request's method is HEAD, so that the response has no body.

    Attributes
    ----------
    is_started : bool
        Whether a response has begun, so that no other one may be sent.
    is_complete : bool
        Whether the response is complete; `flush` sends what is left of it.
    outcome : RequestOutcome
        What the response tells, once it is complete; set by the handler.
    """

    __slots__ = (
        "_buffer_share",
        "_connection",
        "_is_cut",
        "_is_head",
        "_is_last",
        "_stream",
        "_unsent",
        "is_complete",
        "is_started",
        "outcome",
    )

    def __init__(self, connection, stream, is_last, buffer_share, is_head=False):
        self._connection = connection
        self._stream = stream
        self._is_last = is_last
        self._buffer_share = buffer_share
        self._is_head = is_head
        self._is_cut = False
        self._unsent = deque()
        self.is_started = False
        self.is_complete = False
        self.outcome = RequestOutcome()

    @property
    def is_delivered(self):
        """Whether the response is complete and all of it was sent."""
        return self.is_complete and not self._unsent and not self._is_cut

    async def start(self, status, headers, reason=b""):
        """Send the status and headers, which include the framing."""
        # A write that is cancelled at once sends nothing: the response hasn't begun.
        await trio.lowlevel.checkpoint_if_cancelled()
        data = self._head(status, headers, reason)
        self.is_started = True
        await self._write(data)

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
        self.is_complete = True
        await self._write(data)

    async def answer(self, status, headers, body, reason=b""):
        """Send a complete response."""
        headers = [*headers, (b"Content-Length", str(len(body)).encode())]
        parts = [self._head(status, headers, reason)]
        if body and not self._is_head:
            parts.append(self._connection.send(h11.Data(data=body)))
        parts.append(self._connection.send(h11.EndOfMessage()))
        if len(body) <= MAX_JOINED_BYTES:
            parts = [b"".join(parts)]
        self.is_started = True
        self.is_complete = True
        await self._write(*parts)

    async def flush(self):
        """Send what a cancelled call has left unsent.

        A deadline that passes as a complete response is sent doesn't cut it if this is
        called outside the scope of the deadline.

        Raises
        ------
        ResponseAbortedError
            If the caller hasn't read for too long, so that what it left had to make
            room for others.
        """
        if self._is_cut:
            raise ResponseAbortedError("unread")
        while self._unsent:
            try:
                sent_bytes = await self._buffer_share.send(
                    self._stream.socket, self._unsent[0], sum(map(len, self._unsent))
                )
            except OSError as error:
                raise CallerDisconnectedError(str(error)) from error
            except BufferRevokedError as error:
                self._is_cut = True
                self._unsent.clear()
                raise ResponseAbortedError("unread") from error
            if sent_bytes == len(self._unsent[0]):
                self._unsent.popleft()
            else:
                self._unsent[0] = self._unsent[0][sent_bytes:]

    def _head(self, status, headers, reason):
        if self._is_last():
            headers = [*headers, (b"Connection", b"close")]
        return self._connection.send(
            h11.Response(status_code=status, headers=headers, reason=reason)
        )

    async def _write(self, *parts):
        self._unsent.extend(memoryview(part) for part in parts if part)
        await self.flush()


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
        self._connection = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=NO_LIMIT_BYTES,
        )
        self._body_share = listener.body_budget.share()
        self._reader = RequestReader(
            self._connection,
            stream,
            listener.clock,
            listener.limits,
            queued_since_ms,
            self._body_share,
        )
        self._pipelined_bytes = 0

    def close_idle(self):
        """Close the connection once it waits for a request."""
        self._reader.close_idle()

    async def run(self):
        """Serve requests until the connection ends."""
        try:
            while await self._serve_request():
                self._body_share.release()
                self._connection.start_next_cycle()
        except (CallerDisconnectedError, ResponseAbortedError):
            pass
        except BadRequestError as error:
            await self._refuse(error)
        except trio.BrokenResourceError:
            pass
        except Exception:
            log.exception("Unhandled error while serving a request.")
        finally:
            self._body_share.release()
        await self._close()

    async def _serve_request(self):
        """Serve one request and return whether another may follow."""
        request = await self._reader.read()
        if request is None:
            return False
        self._pipelined_bytes = 0
        # Without chunks, a stream that is cut would look complete.
        is_ended_by_close = self._connection.their_http_version < b"1.1"
        if is_ended_by_close:
            set_reset_on_close(self._stream.socket, True)
        await self._handle(request)
        if is_ended_by_close:
            set_reset_on_close(self._stream.socket, False)
        return self._connection.our_state is h11.DONE

    async def _handle(self, request):
        """Respond to a request, cancelled as soon as the caller disconnects."""
        is_answered = False
        async with open_background_nursery() as nursery:
            nursery.start_soon(self._cancel_on_disconnect, nursery.cancel_scope)
            await self._respond(request)
            is_answered = True
        if not is_answered:
            raise CallerDisconnectedError("closed before the response")

    async def _respond(self, request):
        """Run the handler; if it fails before the response begins, send an error.

        Raises
        ------
        ResponseAbortedError
            If the response has begun and isn't complete.
        """
        responder = self._make_responder(self._is_last_response, request)
        try:
            await self._listener.handle(request, responder)
        except CallerDisconnectedError:
            raise
        except ResponseAbortedError:
            if not responder.is_complete:
                raise
        except Exception:
            log.exception(
                "Unhandled error while serving a request.",
                method=request.method.decode("latin-1"),
                path=request.path,
            )
        else:
            if not responder.is_started:
                log.error("No response by the handler.", path=request.path)
        if responder.is_complete:
            await responder.flush()
        elif responder.is_started:
            raise ResponseAbortedError("the handler sent no complete response")
        else:
            await self._send_error(request)

    def _make_responder(self, is_last, request=None):
        return Responder(
            self._connection,
            self._stream,
            is_last,
            self._listener.buffer_budget.share(),
            is_head=request is not None and request.method == b"HEAD",
        )

    def _is_last_response(self):
        """Return whether the connection closes after the response in progress.

        Part of a next request may have arrived; the response to that one is the last.
        """
        return self._listener.is_stopping() and not self._connection.trailing_data[0]

    async def _send_error(self, request):
        """Send an error response in place of one that the handler could not send."""
        # The state of the current one may allow no response after a failed one.
        self._connection = h11.Connection(h11.SERVER)
        responder = self._make_responder(lambda: True, request)
        headers = [(b"Content-Type", b"application/json")]
        await responder.answer(500, headers, ERROR_BODY)

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

    async def _refuse(self, error):
        log.info("Request refused.", status=error.status, cause=str(error))
        if self._connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        responder = self._make_responder(lambda: True)
        headers = []
        if error.retry_after_s is not None:
            headers.append((b"Retry-After", str(error.retry_after_s).encode()))
        try:
            await responder.answer(error.status, headers, b"")
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
            trio.move_on_after(LINGER_TIMEOUT_MS / MS_PER_SECOND),
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
