"""Detects attempts whose endpoint makes no progress and has no prefill pending."""

import math

import trio

from vanillareach.gateway.stalls import wait_until_settled

# Bounds of the interval between two checks. A timeout is never shorter than the upper
# one, so a check finds each in time.
MIN_CHECK_INTERVAL_MS = 50.0
MAX_CHECK_INTERVAL_MS = 400.0
# An expired timeout is extended by this while prefill is pending at the engine.
BUSY_EXTENSION_MS = 200.0
# A check that is late by more than this shows that the event loop was stalled.
STALL_MS = 100.0


class IdleTimeout:
    """Idle timeout of one attempt.

    Parameters
    ----------
    flight : InFlightRequest or None
        None if the attempt is at a peer.
    deadline_ms : float
        When it expires; infinite while it is paused.
    on_expired : callable
        Called each time it expires.
    """

    __slots__ = ("_on_expired", "deadline_ms", "flight")

    def __init__(self, flight, deadline_ms, on_expired):
        self.deadline_ms = deadline_ms
        self.flight = flight
        self._on_expired = on_expired

    def extend(self, deadline_ms):
        """Let the timeout expire at `deadline_ms`."""
        self.deadline_ms = deadline_ms

    def extend_to_latest(self, deadline_ms):
        """Let the timeout expire at `deadline_ms` if that is later than so far."""
        self.deadline_ms = max(self.deadline_ms, deadline_ms)

    def expire(self):
        """Report the silence; the timeout is paused until `extend`."""
        self.pause()
        self._on_expired()

    def pause(self):
        """Suspend the timeout, for instance while received data is forwarded."""
        self.deadline_ms = math.inf


class IdleTimeoutMonitor:
    """Monitors the idle timeouts of all attempts of this instance.

    Parameters
    ----------
    placement_client : PlacementClient
        Knows which engines have prefill pending.
    clock : Clock
    """

    def __init__(self, placement_client, clock):
        self._placement_client = placement_client
        self._clock = clock
        self._timeouts = set()
        self._watch_event = trio.Event()

    def watch(self, flight, deadline_ms, on_expired):
        """Return the `IdleTimeout` of an attempt, monitored until `unwatch`."""
        idle_timeout = IdleTimeout(flight, deadline_ms, on_expired)
        self._timeouts.add(idle_timeout)
        self._watch_event.set()
        return idle_timeout

    def unwatch(self, idle_timeout):
        """Stop monitoring an attempt that has ended."""
        self._timeouts.discard(idle_timeout)

    def expire(self, flights):
        """Report attempts as silent before their timeouts, unless they are paused."""
        flight_ids = {flight.id for flight in flights}
        for idle_timeout in list(self._timeouts):
            flight = idle_timeout.flight
            is_paused = idle_timeout.deadline_ms == math.inf
            if flight is not None and flight.id in flight_ids and not is_paused:
                idle_timeout.expire()

    async def run(self):
        """Check the timeouts until cancelled."""
        while True:
            # An attempt may have ended before this task runs again.
            while not self._timeouts:
                self._watch_event = trio.Event()
                await self._watch_event.wait()
            interval_ms = self._check_interval_ms()
            due_ms = self._clock.now_ms() + interval_ms
            await self._clock.sleep_ms(interval_ms)
            if self._clock.now_ms() > due_ms + STALL_MS:
                await wait_until_settled(self._clock)
            now_ms = self._clock.now_ms()
            for idle_timeout in [x for x in self._timeouts if x.deadline_ms <= now_ms]:
                await self._expire_or_extend(idle_timeout, now_ms)

    async def _expire_or_extend(self, idle_timeout, now_ms):
        flight = idle_timeout.flight
        is_busy = flight is not None and (
            await self._placement_client.is_prefill_pending(flight)
        )
        if idle_timeout not in self._timeouts or idle_timeout.deadline_ms > now_ms:
            # The attempt has ended, or an event has arrived, meanwhile.
            return
        if is_busy:
            idle_timeout.extend(self._clock.now_ms() + BUSY_EXTENSION_MS)
        else:
            idle_timeout.expire()

    def _check_interval_ms(self):
        next_ms = min(timeout.deadline_ms for timeout in self._timeouts)
        remaining_ms = next_ms - self._clock.now_ms()
        return max(MIN_CHECK_INTERVAL_MS, min(MAX_CHECK_INTERVAL_MS, remaining_ms))
