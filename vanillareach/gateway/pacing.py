"""Estimates which engines are slow, from the streams that this instance forwards."""

from vanillareach.log import get_logger

ESTIMATION_INTERVAL_MS = 500.0

log = get_logger("pacing")


class EnginePaceEstimator:
    """Updates the instance's `EnginePaces` at an interval.

    Parameters
    ----------
    state : GatewayState
    dispatcher : Dispatcher
        Predicts the gap between events from an engine's published figures.
    clock : Clock
    """

    def __init__(self, state, dispatcher, clock):
        self._state = state
        self._dispatcher = dispatcher
        self._clock = clock

    async def run(self):
        """Update and publish slowdown factors until cancelled."""
        while True:
            await self._clock.sleep_ms(ESTIMATION_INTERVAL_MS)
            now_ms = self._clock.now_ms()
            expected_gap_ms = self._dispatcher.event_gap_predictor(now_ms)
            changed_paces = self._state.paces.update_paces(expected_gap_ms, now_ms)
            for engine, pace in changed_paces:
                log.info("Engine pace.", endpoint=engine, pace=round(pace, 2))
            if changed_paces:
                self._state.publish()
