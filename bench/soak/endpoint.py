"""Stand-in endpoint of a soak: it takes time, and now and then falls silent."""

import random

import trio

from bench.soak.observations import Arrival, SentNotice
from bench.soak.raw_answers import RawAnswers
from vanillareach.features.users_platform.endpoint import (
    ReceivedRequest,
    StandinEndpoint,
    response_body,
)
from vanillareach.gateway.connections import ResponseAbortedError
from vanillareach.platform import names

EVENT_COUNT = 12
EVENT_INTERVAL_S = 0.1
# Shares of streams with a silence, by seed in turn.
SILENT_STREAM_SHARES = (0.3, 0.05, 0.0)
STREAM_SILENCE_S = (1.2, 1.9)
ANSWER_TIME_S = (0.02, 0.5)
LATE_ANSWER_SHARE = 0.1
LATE_ANSWER_TIME_S = (0.8, 1.9)


def event(number, padding=0):
    """Return an event of a stream."""
    return f"id: {number}\ndata: piece {number}{'x' * padding}\n\n".encode()


def first_event_number(received):
    """Return the number of the first event that a request asks for."""
    return int(received.values_by_name.get(names.LAST_EVENT_ID, "0")) + 1


class SoakEndpoint(RawAnswers, StandinEndpoint):
    """Endpoint whose answers and streams take time.

    A share of the streams falls silent once and goes on, and a share of the answers is
    late. These aren't faults.

    Parameters
    ----------
    name : str
    seed : int
    incarnation : int
        Number of its first start.

    Attributes
    ----------
    arrivals : list of Arrival
    notices : list of SentNotice
    crasher : EngineCrasher or None
        What lets it crash at prompts with the deadly part.
    cold : ColdInjector or None
        What lets it crash at too many requests while it is cold.
    """

    def __init__(self, name, seed, incarnation=1):
        super().__init__(name)
        self.incarnation = incarnation
        self.arrivals = []
        self.notices = []
        self.crasher = None
        self.cold = None
        self._random = random.Random(f"{name} {seed}")
        index = (seed - 1) % len(SILENT_STREAM_SHARES)
        self._silent_stream_share = SILENT_STREAM_SHARES[index]

    def restart(self):
        """Start again as another incarnation, which holds no memory."""
        super().restart()
        self.expiry_s_by_reservation.clear()

    def record_arrival(self, attempt_id):
        """Record a request or reservation."""
        is_renewal = attempt_id in self.expiry_s_by_reservation
        now_s = trio.current_time()
        arrival = Arrival(attempt_id, now_s, self.incarnation, is_renewal)
        self.arrivals.append(arrival)
        if self.cold is not None and now_s < self.cold_until_s:
            self.cold.crash_if_too_many(self)

    def _record_signal(self, cause, attempt_id, duration_s):
        notice = SentNotice(
            cause, attempt_id, trio.current_time(), duration_s, self.incarnation
        )
        self.notices.append(notice)

    async def handle(self, request, responder):
        """Handle one request; refuse reservations meant for another endpoint."""
        received = ReceivedRequest(request)
        target = received.values_by_name.get(names.TARGET_INSTANCE, self.name)
        if target != self.name:
            return await self._misdirect(received, responder)
        return await super().handle(request, responder)

    async def _signal_at_reservation(self, reservation, responder):
        if self.default_step != "quiet":
            return await super()._signal_at_reservation(reservation, responder)
        headers = self._quiet_headers(reservation["id"])
        await responder.answer(503, headers, b"")
        return True

    def body_for(self, received):
        """Return the body of a complete plain answer; see `RawAnswers`."""
        return response_body(received.attempt_id).encode()

    def events_for(self, received):
        """Return the events of a complete stream; see `RawAnswers`."""
        first = first_event_number(received)
        return [event(number) for number in range(first, EVENT_COUNT + 1)]

    async def _answer(self, received, responder):
        is_late = self._random.random() < LATE_ANSWER_SHARE
        span_s = LATE_ANSWER_TIME_S if is_late else ANSWER_TIME_S
        duration_s = self._random.uniform(*span_s)
        received.silence_s = duration_s if is_late else 0.0
        await trio.sleep(duration_s)
        await super()._answer(received, responder)

    async def _stream(
        self, received, responder, last=EVENT_COUNT, is_torn=False, padding=0
    ):
        """Send events up to `last`; if `is_torn`, then abort within a further one."""
        crasher = self.crasher
        if crasher is not None and crasher.is_deadly(received):
            await trio.sleep(EVENT_INTERVAL_S)
            if crasher.crash(self, received):
                # Cancelled, since the crash ends the connection.
                await trio.sleep_forever()
        first = first_event_number(received)
        silent_number = None
        if self._random.random() < self._silent_stream_share:
            silent_number = self._random.randint(first, max(first, last))
        headers = [
            *self._response_headers(received),
            (b"Content-Type", b"text/event-stream"),
            (b"Transfer-Encoding", b"chunked"),
        ]
        await responder.start(200, headers)
        for number in range(first, last + 1):
            if number == silent_number:
                received.silence_s = self._random.uniform(*STREAM_SILENCE_S)
                await trio.sleep(received.silence_s)
            await trio.sleep(EVENT_INTERVAL_S)
            await responder.send(event(number, padding))
        if is_torn:
            await responder.send(b"id: 99\ndata: half")
            raise ResponseAbortedError("torn")
        await responder.finish()

    async def _gap(self, received, responder):
        """Leave out the second event that is due; abort if there is none after it."""
        first = first_event_number(received)
        if first + 2 > EVENT_COUNT:
            raise ResponseAbortedError("no event left to leave out")
        headers = self._response_headers(received)
        await responder.start(200, [*headers, (b"Transfer-Encoding", b"chunked")])
        for number in (first, first + 2):
            await responder.send(event(number))
        await responder.finish()
