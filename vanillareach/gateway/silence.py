"""Ends attempts whose endpoint is silent without a reason."""

import math

import trio

from vanillareach.endpoints.base import EndpointBrokenError

CHECK_INTERVAL_MS = 50.0
# A silence that is explained is looked at again after this time.
BUSY_EXTENSION_MS = 200.0


class IdleTimeout:
    """Silence of one attempt.

    Attributes
    ----------
    scope : trio.CancelScope
        Cancelled when the silence has lasted too long.
    has_expired : bool
        Whether it was.
    """

    __slots__ = ("deadline_ms", "flight", "has_expired", "scope")

    def __init__(self, flight, deadline_ms):
        self.flight = flight
        self.deadline_ms = deadline_ms
        self.scope = trio.CancelScope()
        self.has_expired = False

    def extend(self, deadline_ms):
        """Allow silence until `deadline_ms`."""
        self.deadline_ms = deadline_ms

    def expire(self):
        """End the attempt."""
        self.has_expired = True
        self.scope.cancel()

    def pause(self):
        """Stop watching while what arrived is passed on.

        Raises
        ------
        EndpointBrokenError
            If the attempt has been given up: a write would be cancelled, so what
            arrived must not be counted as passed on.
        """
        if self.has_expired:
            raise EndpointBrokenError("given up as silent")
        self.deadline_ms = math.inf


class IdleTimeoutMonitor:
    """Watches all attempts of this instance.

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
        """Return the `IdleTimeout` of an attempt, watched until `unwatch`."""
        idle_timeout = IdleTimeout(flight, deadline_ms)
        self._timeouts.add(idle_timeout)
        return idle_timeout

    def unwatch(self, idle_timeout):
        """Stop watching an attempt that has ended."""
        self._timeouts.discard(idle_timeout)

    async def run(self):
        """Watch for ever."""
        while True:
            await self._clock.sleep_ms(CHECK_INTERVAL_MS)
            now_ms = self._clock.now_ms()
            for idle_timeout in [x for x in self._timeouts if x.deadline_ms <= now_ms]:
                if self._dispatcher.is_prefill_pending(idle_timeout.flight, now_ms):
                    idle_timeout.extend(now_ms + BUSY_EXTENSION_MS)
                    continue
                idle_timeout.expire()
