"""Stand-in of an engine or service that follows a script."""

import math
from functools import partialmethod

import msgspec
import trio

from vanillareach.features.users_platform.endpoint_faults import (
    CHUNKED,
    PART_BYTES,
    FaultyEndpoint,
    encode_chunk,
    encode_events,
)
from vanillareach.gateway.connections import ResponseAbortedError
from vanillareach.platform import names

SIGNATURE_HEADER = (b"Vanillareach-Response-Signature", b"signed")
EVENTS = 6
HEALTH_PATH = "/health"
# Longer than the idle timeout of an attempt, shorter than a caller's patience.
SILENCE_S = 1.9
# Exceeds the capacity of the buffers between an endpoint and a caller.
FLOOD_EVENT_BYTES = 2_000_000
LARGE_BODY_BYTES = 4_000_000


def response_body(attempt_id):
    """Return the body of a complete response to an attempt."""
    return f"answer to {attempt_id}"


class ReceivedRequest:
    """A request as the stand-in received it.

    Attributes
    ----------
    arrived_s, ended_s : float
        When it arrived and when the stand-in ceased to work on it; `ended_s` is
        infinite before.
    step : str
        Method that handled it.
    was_cancelled : bool
        Whether the sender closed the connection first.
    silence_s : float
        Time for which the stand-in was silent though it was sound.
    """

    def __init__(self, request):
        self.path = request.target.decode()
        self.body = request.body
        self.values_by_name = {n.lower(): v.decode() for n, v in request.headers}
        self.attempt_id = self.values_by_name.get(names.ATTEMPT_ID, "")
        self.was_cancelled = False
        self.step = ""
        self.silence_s = 0.0
        self.arrived_s = 0.0
        self.ended_s = math.inf


class StandinEndpoint(FaultyEndpoint):
    """Stand-in of one engine or service.

    Attributes
    ----------
    script : list of str
        Names of the methods that handle the next requests, in turn, without the leading
        underscore.
    default_step : str
        Method that handles a request when the script is empty.
    received : list of ReceivedRequest
    expiry_s_by_reservation : dict of str to float
        Time at which each reservation expires.
    reservation_count : int
        Granted reservation requests, renewals included.
    large_bytes : int
        Size of a large error body.
    zone : str
        Failure domain of its entry.
    health_checks_s : list of float
        Times of the health checks that arrived.
    is_down : bool
        Whether all connections are reset.
    """

    def __init__(self, name):
        super().__init__()
        self.name = name
        self.script = []
        self.default_step = "answer"
        self.received = []
        self.expiry_s_by_reservation = {}
        self.reservation_count = 0
        self.large_bytes = LARGE_BODY_BYTES
        self.zone = "zone-a"
        self.health_checks_s = []
        self.is_down = False

    async def handle(self, request, responder):
        """Handle one request."""
        if self.is_down:
            raise ResponseAbortedError("down")
        if request.path == HEALTH_PATH:
            self.health_checks_s.append(trio.current_time())
            return await responder.answer(200, [], b"")
        if request.path == names.MEMORY_ORDER_PATH:
            return await self._handle_reservation(request, responder)
        received = ReceivedRequest(request)
        target = received.values_by_name.get(names.TARGET_INSTANCE, self.name)
        if target != self.name:
            return await self._misdirect(received, responder)
        self.received.append(received)
        self.record_arrival(received.attempt_id)
        step = self.script.pop(0) if self.script else self.default_step
        received.step = step
        received.arrived_s = trio.current_time()
        try:
            await getattr(self, "_" + step)(received, responder)
        except trio.Cancelled:
            received.was_cancelled = True
            raise
        finally:
            received.ended_s = trio.current_time()

    def active_reservations(self):
        """Return the ids of the reservations that have not expired."""
        now_s = trio.current_time()
        return [
            name
            for name, expiry_s in self.expiry_s_by_reservation.items()
            if expiry_s > now_s
        ]

    def _response_headers(self, received, is_signed=True, attempt_id=None):
        identity = attempt_id or received.values_by_name.get(names.ATTEMPT_ID, "")
        headers = [(b"Vanillareach-Attempt-Id", identity.encode())]
        headers += self.signal_headers(received.attempt_id)
        return [*headers, SIGNATURE_HEADER] if is_signed else headers

    async def _answer(self, received, responder):
        body = response_body(received.values_by_name.get(names.ATTEMPT_ID, "")).encode()
        await responder.answer(200, self._response_headers(received), body)

    async def _answer_large(self, received, responder):
        """Respond with a body that exceeds the buffers of a caller's connection."""
        body = b"x" * LARGE_BODY_BYTES
        await responder.answer(200, self._response_headers(received), body)

    async def _fail(self, received, responder):
        await responder.answer(500, self._response_headers(received), b"failed")

    async def _run_and_answer(self, received, responder, status):
        """Answer with another status after the request has run."""
        headers = [*self._response_headers(received), (b"Retry-After", b"1")]
        await responder.answer(status, headers, b"booked, standings down")

    _run_302 = partialmethod(_run_and_answer, status=302)
    _run_408 = partialmethod(_run_and_answer, status=408)
    _run_421 = partialmethod(_run_and_answer, status=421)
    _run_429 = partialmethod(_run_and_answer, status=429)
    _run_503 = partialmethod(_run_and_answer, status=503)

    async def _run_503_and_drip(self, received, responder):
        """Send the head of a 503, and never the whole body."""
        headers = [*self._response_headers(received), (b"Content-Length", b"100")]
        await responder.start(503, headers)
        await responder.send(b"booked")
        await trio.sleep_forever()

    async def _fail_large(self, received, responder):
        """Answer with an error of `large_bytes`."""
        body = b"x" * self.large_bytes
        await responder.answer(500, self._response_headers(received), body)

    async def _shed(self, received, responder):
        """Refuse the request as not run."""
        headers = [(b"Vanillareach-Not-Executed", b"1")]
        await responder.answer(
            503, [*self._response_headers(received, False), *headers], b""
        )

    async def _misdirect(self, received, responder):
        """Respond as an instance with another name than the one addressed."""
        headers = [(b"Vanillareach-Instance-Id", b"other")]
        await responder.answer(421, headers, b"")

    async def _unsigned(self, received, responder):
        """Respond without the signature header."""
        await responder.answer(200, self._response_headers(received, False), b"forged")

    async def _sign_in_trailer(self, received, responder):
        """Respond with the signature after the body instead of in the head."""
        fields = [*self._response_headers(received, False), (b"Trailer", b"x")]
        lines = b"".join(b"%s: %s\r\n" % field for field in fields)
        head = b"HTTP/1.1 200 OK\r\n" + lines + CHUNKED + b"\r\n"
        trailer = b"0\r\n%s: %s\r\n\r\n" % SIGNATURE_HEADER
        await self._send_raw(responder, head + encode_chunk(b"forged") + trailer)
        await trio.sleep_forever()

    async def _stale(self, received, responder):
        """Respond with the id of another attempt."""
        headers = self._response_headers(received, attempt_id="another")
        await responder.answer(200, headers, b"another's answer")

    async def _refuse_earlier(self, received, responder, answer=b""):
        """Write the refusal of an earlier request, then the bytes of an answer."""
        head = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n"
        fields = b"Vanillareach-Not-Executed: 1\r\nVanillareach-Attempt-Id: earlier\r\n"
        await self._send_raw(responder, head + fields + b"\r\nfull" + answer)
        raise ResponseAbortedError("closed after its answer")

    async def _refuse_earlier_and_answer(self, received, responder):
        body = response_body(received.attempt_id).encode()
        head = self._encode_head(received, b"Content-Length: %d\r\n" % len(body))
        await self._refuse_earlier(received, responder, head + body)

    async def _refuse_earlier_and_fold(self, received, responder):
        """Write an earlier refusal, then an answer with a folded line in its head."""
        head = self._encode_head(received, b" folded\r\nContent-Length: 2\r\n")
        await self._refuse_earlier(received, responder, head + b"ok")

    async def _refuse_earlier_and_stream(self, received, responder):
        events = encode_chunk(encode_events(1)) + encode_chunk(b"")
        head = self._encode_head(received, CHUNKED)
        await self._refuse_earlier(received, responder, head + events)

    async def _refuse_twice(self, received, responder):
        """Write an earlier refusal, then one of the request itself."""
        identity = f"Vanillareach-Attempt-Id: {received.attempt_id}\r\n".encode()
        head = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
        fields = b"Vanillareach-Not-Executed: 1\r\n" + identity
        await self._refuse_earlier(received, responder, head + fields + b"\r\n")

    async def _refuse_earlier_endlessly(self, received, responder):
        refusal = (
            b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
            b"Vanillareach-Not-Executed: 1\r\nVanillareach-Attempt-Id: earlier\r\n\r\n"
        )
        await self._refuse_earlier(received, responder, refusal * 100)

    async def _encoded(self, received, responder):
        """Respond with a content encoding that the caller did not ask for."""
        headers = [*self._response_headers(received), (b"Content-Encoding", b"gzip")]
        await responder.answer(200, headers, b"encoded")

    async def _cut(self, received, responder):
        """Send fewer bytes than announced."""
        headers = [*self._response_headers(received), (b"Content-Length", b"100")]
        await responder.start(200, headers)
        await responder.send(b"only a part")

    async def _reset(self, received, responder):
        """Abort the connection without a response."""
        raise ResponseAbortedError("reset")

    async def _mute(self, received, responder):
        """Never respond."""
        await trio.sleep_forever()

    async def _stream(self, received, responder, last=EVENTS, is_torn=False, padding=0):
        """Send events up to `last`; if `is_torn`, then abort within a further one."""
        first = int(received.values_by_name.get(names.LAST_EVENT_ID, "0")) + 1
        headers = [
            *self._response_headers(received),
            (b"Content-Type", b"text/event-stream"),
            (b"Transfer-Encoding", b"chunked"),
        ]
        await responder.start(200, headers)
        for number in range(first, last + 1):
            piece = f"piece {number}" + "x" * padding
            await responder.send(f"id: {number}\ndata: {piece}\n\n".encode())
        if is_torn:
            await responder.send(b"id: 99\ndata: half")
            raise ResponseAbortedError("torn")
        await responder.finish()

    async def _drip(self, received, responder):
        """Send events for half a second."""
        headers = self._response_headers(received)
        await responder.start(200, [*headers, (b"Transfer-Encoding", b"chunked")])
        first = int(received.values_by_name.get(names.LAST_EVENT_ID, "0")) + 1
        for number in range(first, EVENTS + 1):
            await responder.send(f"id: {number}\ndata: piece {number}\n\n".encode())
            await trio.sleep(0.08)
        await responder.finish()

    async def _flood(self, received, responder):
        """Send events that fill all buffers if the caller doesn't read."""
        await self._stream(received, responder, padding=FLOOD_EVENT_BYTES)

    async def _torn(self, received, responder):
        await self._stream(received, responder, last=3, is_torn=True)

    async def _torn_at_end(self, received, responder):
        """Send all events, but not the end of the stream."""
        await self._stream(received, responder, is_torn=True)

    async def _gap(self, received, responder):
        """Send a stream without its second event."""
        await responder.start(
            200, [*self._response_headers(received), (b"Transfer-Encoding", b"chunked")]
        )
        await responder.send(b"id: 1\ndata: piece 1\n\nid: 3\ndata: piece 3\n\n")
        await responder.finish()

    async def _stall(self, received, responder):
        """Send one event, then nothing more, without closing the stream."""
        await responder.start(
            200, [*self._response_headers(received), (b"Transfer-Encoding", b"chunked")]
        )
        await responder.send(b"id: 1\ndata: piece 1\n\n")
        await trio.sleep_forever()

    async def _pause(self, received, responder, is_torn=False):
        """Fall silent after the next two events, then go on; or abort if `is_torn`."""
        first = int(received.values_by_name.get(names.LAST_EVENT_ID, "0")) + 1
        headers = self._response_headers(received)
        await responder.start(200, [*headers, (b"Transfer-Encoding", b"chunked")])
        for number in range(first, EVENTS + 1):
            if number == first + 2:
                await trio.sleep(SILENCE_S)
                if is_torn:
                    raise ResponseAbortedError("torn")
            await responder.send(f"id: {number}\ndata: piece {number}\n\n".encode())
        await responder.finish()

    async def _pause_and_tear(self, received, responder):
        await self._pause(received, responder, is_torn=True)

    async def _late(self, received, responder):
        """Answer after a silence."""
        await trio.sleep(SILENCE_S)
        await self._answer(received, responder)

    async def _late_failure(self, received, responder):
        """Answer with an error after a silence."""
        await trio.sleep(SILENCE_S)
        await self._fail(received, responder)

    async def _late_stream(self, received, responder):
        """Stream after a silence."""
        await trio.sleep(SILENCE_S)
        await self._stream(received, responder)

    async def _handle_reservation(self, request, responder):
        reservation = msgspec.json.decode(request.body)
        if reservation["operation"] == "reserve":
            self.record_arrival(reservation["id"])
            if await self._signal_at_reservation(reservation, responder):
                return None
            if self.script and self.script[0] == "refuse_memory":
                self.script.pop(0)
                return await responder.answer(409, [], b'{"free":0}')
            if self.script and self.script[0] == "endless_reservation":
                self.script.pop(0)
                head = b"HTTP/1.1 200 OK\r\n\r\n"
                await self._send_endless(responder, head, b" " * PART_BYTES)
            self.reservation_count += 1
            expiry_s = trio.current_time() + reservation["hold_ms"] / 1000
            self.expiry_s_by_reservation[reservation["id"]] = expiry_s
        else:
            self.expiry_s_by_reservation.pop(reservation["id"], None)
        headers = self.signal_headers(reservation["id"])
        return await responder.answer(200, headers, b'{"free":1}')
