"""Ends attempts whose endpoint is silent without a reason."""

import math

import trio

from vanillareach.endpoints.base import EndpointBrokenError

TICK_MS = 50.0
# A silence that is explained is looked at again after this time.
EXTENSION_MS = 200.0


class Silence:
    """Silence of one attempt.

    Attributes
    ----------
    scope : trio.CancelScope
        Cancelled when the silence has lasted too long.
    is_over : bool
        Whether it was.
    """

    __slots__ = ("flight", "is_over", "limit_ms", "scope")

    def __init__(self, flight, limit_ms):
        self.flight = flight
        self.limit_ms = limit_ms
        self.scope = trio.CancelScope()
        self.is_over = False

    def extend(self, limit_ms):
        """Allow silence until `limit_ms`."""
        self.limit_ms = limit_ms

    def give_up(self):
        """End the attempt."""
        self.is_over = True
        self.scope.cancel()

    def note_arrival(self):
        """Stop watching while what arrived is passed on.

        Raises
        ------
        EndpointBrokenError
            If the attempt has been given up: a write would be cancelled, so what
            arrived must not be counted as passed on.
        """
        if self.is_over:
            raise EndpointBrokenError("given up as silent")
        self.limit_ms = math.inf


class SilenceWatch:
    """Watches all attempts of this instance.

    Parameters
    ----------
    dispatcher : Dispatcher
    clock : Clock
    """

    def __init__(self, dispatcher, clock):
        self._dispatcher = dispatcher
        self._clock = clock
        self._watched = set()

    def watch(self, flight, limit_ms):
        """Return the `Silence` of an attempt, watched until `forget`."""
        silence = Silence(flight, limit_ms)
        self._watched.add(silence)
        return silence

    def forget(self, silence):
        """Stop watching an attempt that has ended."""
        self._watched.discard(silence)

    async def run(self):
        """Watch for ever."""
        while True:
            await self._clock.sleep_ms(TICK_MS)
            now_ms = self._clock.now_ms()
            for silence in [x for x in self._watched if x.limit_ms <= now_ms]:
                if self._dispatcher.is_prefill_pending(silence.flight, now_ms):
                    silence.extend(now_ms + EXTENSION_MS)
                    continue
                silence.give_up()
