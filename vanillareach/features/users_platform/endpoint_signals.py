"""Script steps of a stand-in that says it leaves, asks for quiet, or names a limit."""

import math

import trio

# Steps that the next reservation takes if they are the next of the script.
RESERVATION_STEPS = ("leave_memory", "quiet_memory")


class UnwantedRequest:
    """A request or reservation that came though the stand-in had asked for none.

    Attributes
    ----------
    cause : str
        "leaving" or "quiet".
    attempt_id : str
        Id of the request, or of the reservation.
    told_attempt_id : str
        Id of the request or reservation whose answer asked for none.
    after_ms : float
        Time since that answer.
    """

    __slots__ = ("after_ms", "attempt_id", "cause", "told_attempt_id")

    def __init__(self, cause, attempt_id, told_attempt_id, after_ms):
        self.cause = cause
        self.attempt_id = attempt_id
        self.told_attempt_id = told_attempt_id
        self.after_ms = after_ms


class SignallingEndpoint:
    """Part of a stand-in that sends headers about itself.

    These are `Server-Leaving`, `Retry-After`, `Server-Limit` and
    `Vanillareach-Cold-Ms`.

    Attributes
    ----------
    retry_after : bytes
        Number of seconds that the steps about quiet send.
    incarnation : int
        Number of its start, which its entry has as `born`.
    is_leaving : bool
        Whether all answers say that the endpoint leaves.
    limit : bytes
        Requests a second that all its answers name; empty for none.
    limited_since_s : float
        When the first answer named a limit; infinite before.
    cold_until_s : float
        Until when all its answers say that it is cold.
    cold_said_s : float
        When the first answer said so; infinite before.
    quiet_count : int
        Number of answers that asked for quiet.
    unwanted : list of UnwantedRequest
        Releases of memory don't count.
    """

    def __init__(self):
        self.incarnation = 1
        self.retry_after = b"1.5"
        self.is_leaving = False
        self.limit = b""
        self.limited_since_s = math.inf
        self.cold_until_s = 0.0
        self.cold_said_s = math.inf
        self.quiet_count = 0
        self.unwanted = []
        # Cause, attempt id, time of the answer and end of each signal.
        self._signals = []

    def restart(self):
        """Forget what was said, as another incarnation."""
        self.incarnation += 1
        self.is_leaving = False
        self.limit = b""
        self.limited_since_s = math.inf
        self.cold_until_s = 0.0
        self._signals.clear()

    def name_limit(self, limit):
        """Name a limit in all answers from now on, or none if it is empty."""
        self.limit = limit
        self.limited_since_s = math.inf

    def record_arrival(self, attempt_id):
        """Record a request that should not have come."""
        now_s = trio.current_time()
        self._signals = [signal for signal in self._signals if signal[3] > now_s]
        self.unwanted += [
            UnwantedRequest(cause, attempt_id, told_id, 1000 * (now_s - said_s))
            for cause, told_id, said_s, _ in self._signals
        ]

    def signal_headers(self, attempt_id):
        """Return the headers that each answer has."""
        headers = []
        if self.limit:
            self.limited_since_s = min(self.limited_since_s, trio.current_time())
            headers.append((b"Server-Limit", self.limit))
        now_s = trio.current_time()
        if now_s < self.cold_until_s:
            self.cold_said_s = min(self.cold_said_s, now_s)
            cold_ms = str(round(1000 * (self.cold_until_s - now_s)))
            headers.append((b"Vanillareach-Cold-Ms", cold_ms.encode()))
        if self.is_leaving:
            self._record_signal("leaving", attempt_id, math.inf)
            headers.append((b"Server-Leaving", b"1"))
        return headers

    def _record_signal(self, cause, attempt_id, duration_s):
        said_s = trio.current_time()
        self._signals.append((cause, attempt_id, said_s, said_s + duration_s))

    def _quiet_headers(self, attempt_id):
        self.quiet_count += 1
        self._record_signal("quiet", attempt_id, float(self.retry_after))
        return [(b"Retry-After", self.retry_after)]

    async def _leave_answer(self, received, responder):
        self.is_leaving = True
        await self._answer(received, responder)

    async def _leave_stream(self, received, responder):
        self.is_leaving = True
        await self._stream(received, responder)

    async def _leave_torn(self, received, responder):
        """Say it in the head of a stream that is aborted."""
        self.is_leaving = True
        await self._torn(received, responder)

    async def _leave_shed(self, received, responder):
        self.is_leaving = True
        await self._shed(received, responder)

    async def _leave_fail(self, received, responder):
        self.is_leaving = True
        await self._fail(received, responder)

    async def _quiet(self, received, responder):
        """Refuse the request as not run, and all others for a time."""
        headers = [
            *self._response_headers(received, False),
            *self._quiet_headers(received.attempt_id),
            (b"Vanillareach-Not-Executed", b"1"),
        ]
        await responder.answer(503, headers, b"")

    async def _signal_at_reservation(self, reservation, responder):
        """Take the next step if it is one of a reservation; return whether it was."""
        if not self.script or self.script[0] not in RESERVATION_STEPS:
            return False
        if self.script.pop(0) == "leave_memory":
            self.is_leaving = True
            headers = self.signal_headers(reservation["id"])
            await responder.answer(409, headers, b'{"free":0}')
        else:
            headers = self._quiet_headers(reservation["id"])
            await responder.answer(503, headers, b"")
        return True
