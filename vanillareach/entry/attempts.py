"""Attempts of one request, which overlap while its endpoints are silent."""

import math
from abc import ABC, abstractmethod

import trio

from vanillareach.clock import MS_PER_SECOND
from vanillareach.core.outcomes import Outcome
from vanillareach.endpoints.limits import read_answer

# Shortest wait for an attempt. The clock's resolution may be coarser than the rest of
# an idle timeout.
MIN_WAIT_MS = 1.0


class Attempt:
    """One attempt of a request at one endpoint.

    Parameters
    ----------
    state : EndpointState
    attempt_id : str
    idle_timeout_ms : float
        Time without data after which a further attempt is made; infinite if there may
        be no other.
    now_ms : float

    Attributes
    ----------
    scope : trio.CancelScope
        Cancelled once another attempt supersedes this one.
    is_silent : bool
        Whether no data has arrived for the idle timeout.
    """

    __slots__ = (
        "_last_data_ms",
        "attempt_id",
        "idle_timeout_ms",
        "is_silent",
        "scope",
        "state",
    )

    def __init__(self, state, attempt_id, idle_timeout_ms, now_ms):
        self.state = state
        self.attempt_id = attempt_id
        self.idle_timeout_ms = idle_timeout_ms
        self.scope = trio.CancelScope()
        self.is_silent = False
        self._last_data_ms = now_ms

    def record_data(self, now_ms):
        """Record that data has arrived."""
        self._last_data_ms = now_ms
        self.is_silent = False

    def record_delivery(self):
        """Record that data is being sent to the caller, who may be slow to read it."""
        self._last_data_ms = math.inf

    @property
    def is_delivering(self):
        """Whether data is being sent to the caller."""
        return self._last_data_ms == math.inf

    def silent_from_ms(self):
        """Return the time at which the attempt counts as silent without further data.

        It is infinite while data is sent to the caller.
        """
        return self._last_data_ms + self.idle_timeout_ms


class OverlappingAttempts(ABC):
    """Makes the attempts of one request until it is answered.

    A further attempt is made when all others have ended or are silent. A silent one
    goes on: an endpoint may be sound and slow. The first attempt that delivers a
    response, or a part of one, supersedes the others.

    Parameters
    ----------
    components : EntryComponents
    exchange : Exchange
    outcome_if_run : Outcome
        Outcome to report without a response once a byte may have been sent.
    """

    def __init__(self, components, exchange, outcome_if_run):
        self._components = components
        self._exchange = exchange
        self._outcome_if_run = outcome_if_run
        self._running = []
        self._attempt_ended = trio.Event()
        # Attempts of which an endpoint may have received a byte.
        self._possible_runs = 0

    async def run_attempts(self):
        """Make attempts until the exchange is answered."""
        async with trio.open_nursery() as nursery:
            while not self._exchange.answered:
                attempt = await self._next_attempt()
                if self._exchange.answered:
                    return
                earliest_ms = 0.0
                if attempt:
                    self._running.append(attempt)
                    nursery.start_soon(self._run_to_end, attempt, nursery.cancel_scope)
                elif self._running:
                    now_ms = self._components.clock.now_ms()
                    earliest_ms = now_ms + self._idle_timeout_ms()
                else:
                    await self._refuse(attempt)
                    nursery.cancel_scope.cancel()
                    return
                await self._wait_until_silent(nursery, earliest_ms)

    @abstractmethod
    async def _next_attempt(self):
        """Return a further `Attempt`, or a `Refusal` if none can be made now."""

    @abstractmethod
    async def _run_attempt(self, attempt):
        """Run an attempt until it has answered the exchange or failed."""

    @abstractmethod
    async def _refuse(self, refusal):
        """Refuse the request, of which no attempt is running."""

    async def _record_silence(self, attempt):
        """Record that an attempt became silent."""
        now_ms = self._components.clock.now_ms()
        attempt.state.breaker.record_failure(now_ms)

    def _record_start(self):
        self._possible_runs += 1
        self._exchange.outcome_if_unanswered = self._outcome_if_run

    def _record_unreachable(self):
        self._possible_runs -= 1
        if not self._possible_runs:
            self._exchange.outcome_if_unanswered = Outcome.NOT_RUN

    def _take_over(self, attempt):
        """Supersede the other attempts; return whether this one may deliver."""
        if attempt.scope.cancel_called or self._exchange.answered:
            return False
        others = [other for other in self._running if other is not attempt]
        if any(other.is_delivering for other in others):
            return False
        for other in others:
            other.scope.cancel()
        return True

    async def _read(self, attempt, response, time_limit_ms):
        """Return the entire body of a response; see `read_answer`."""
        return await read_answer(
            response.chunks,
            lambda: attempt.record_data(self._components.clock.now_ms()),
            time_limit_ms,
        )

    def _remaining_ms(self):
        return self._exchange.deadline_ms - self._components.clock.now_ms()

    def _idle_timeout_ms(self):
        return max(attempt.idle_timeout_ms for attempt in self._running)

    async def _run_to_end(self, attempt, all_attempts_scope):
        try:
            with attempt.scope:
                await self._run_attempt(attempt)
        finally:
            self._running.remove(attempt)
            self._attempt_ended.set()
            self._attempt_ended = trio.Event()
        if self._exchange.answered and not attempt.scope.cancel_called:
            all_attempts_scope.cancel()

    async def _wait_until_silent(self, nursery, earliest_ms):
        """Return once no attempt is running, or all of them are silent.

        Parameters
        ----------
        nursery : trio.Nursery
        earliest_ms : float
            Time until which silence does not count.
        """
        while self._running:
            now_ms = self._components.clock.now_ms()
            silent_ms = max(attempt.silent_from_ms() for attempt in self._running)
            wait_ms = max(earliest_ms, silent_ms) - now_ms
            if wait_ms <= 0:
                break
            # A caller that is slow to read must not keep the silence after it unseen.
            wait_ms = min(wait_ms, self._idle_timeout_ms())
            with trio.move_on_after(max(wait_ms, MIN_WAIT_MS) / MS_PER_SECOND):
                await self._attempt_ended.wait()
        for attempt in self._running:
            if not attempt.is_silent:
                attempt.is_silent = True
                nursery.start_soon(self._record_silence, attempt)
