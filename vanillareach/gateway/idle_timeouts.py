"""Ends attempts whose endpoint sends no data and has no prefill pending."""

import math

import trio

from vanillareach.endpoints.base import EndpointBrokenError

CHECK_INTERVAL_MS = 50.0
# An expired timeout is extended by this while prefill is pending at the engine.
BUSY_EXTENSION_MS = 200.0


class IdleTimeout:
    """Idle timeout of one attempt.

    Attributes
    ----------
    scope : trio.CancelScope
        Cancelled when the timeout expires.
    has_expired : bool
        Whether the timeout has expired.
    """

    __slots__ = ("deadline_ms", "flight", "has_expired", "scope")

    def __init__(self, flight, deadline_ms):
        self.flight = flight
        self.deadline_ms = deadline_ms
        self.scope = trio.CancelScope()
        self.has_expired = False

    def extend(self, deadline_ms):
        """Let the timeout expire at `deadline_ms`."""
        self.deadline_ms = deadline_ms

    def expire(self):
        """Cancel the attempt."""
        self.has_expired = True
        self.scope.cancel()

    def pause(self):
        """Suspend the timeout while received data is forwarded.

        Raises
        ------
        EndpointBrokenError
            If the timeout has expired: a write would be cancelled, so the received data
            must not count as forwarded.
        """
        if self.has_expired:
            raise EndpointBrokenError("idle timeout expired")
        self.deadline_ms = math.inf


class IdleTimeoutMonitor:
    """Monitors the idle timeouts of all attempts of this instance.

    Parameters
    ----------
    dispatcher : Dispatcher
    clock : Clock
    """

    def __init__(self, dispatcher, clock):
        self._dispatcher = dispatcher
        self._clock = clock
        self._timeouts = set()

    def watch(self, flight, deadline_ms):
        """Return the `IdleTimeout` of an attempt, monitored until `unwatch`."""
        idle_timeout = IdleTimeout(flight, deadline_ms)
        self._timeouts.add(idle_timeout)
        return idle_timeout

    def unwatch(self, idle_timeout):
        """Stop monitoring an attempt that has ended."""
        self._timeouts.discard(idle_timeout)

    async def run(self):
        """Check the timeouts until cancelled."""
        while True:
            await self._clock.sleep_ms(CHECK_INTERVAL_MS)
            now_ms = self._clock.now_ms()
            for idle_timeout in [x for x in self._timeouts if x.deadline_ms <= now_ms]:
                if self._dispatcher.is_prefill_pending(idle_timeout.flight, now_ms):
                    idle_timeout.extend(now_ms + BUSY_EXTENSION_MS)
                    continue
                idle_timeout.expire()
