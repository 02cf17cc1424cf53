"""Estimates which engines are slow, from the streams that this instance forwards."""

import trio

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
    placement_client : PlacementClient
        Knows the load of engines that other instances use as well.
    clock : Clock
    """

    def __init__(self, state, dispatcher, placement_client, clock):
        self._state = state
        self._dispatcher = dispatcher
        self._placement_client = placement_client
        self._clock = clock
        self._change_event = trio.Event()
        state.subscribe(self._on_state_change)

    def _on_state_change(self, kind):
        self._change_event.set()

    async def run(self):
        """Update and publish slowdown factors until cancelled."""
        while True:
            if not self._state.load_state.own_flight_count and not (
                self._state.paces.has_own_data
            ):
                self._change_event = trio.Event()
                await self._change_event.wait()
            await self._clock.sleep_ms(ESTIMATION_INTERVAL_MS)
            expected_gap_ms = await self._event_gap_predictor()
            now_ms = self._clock.now_ms()
            changed_paces = self._state.paces.update_paces(expected_gap_ms, now_ms)
            for engine, pace in changed_paces:
                log.info("Engine pace.", endpoint=engine, pace=round(pace, 2))
            if changed_paces:
                self._state.publish()

    async def _event_gap_predictor(self):
        """Return the function that predicts the gap between events of an engine.

        Where this instance doesn't know the load of all engines, it asks for that of
        the engines that seem slow by its own requests there.
        """
        paces, dispatcher = self._state.paces, self._dispatcher
        predict_here = dispatcher.event_gap_predictor(self._clock.now_ms())
        if self._placement_client.knows_all_loads:
            return predict_here
        suspects = paces.slow_engines(predict_here, self._clock.now_ms())
        loads = (
            await self._placement_client.load_summaries(suspects) if suspects else ()
        )
        loads_by_engine = {load.engine: load for load in loads or ()}

        def expected_gap_ms(engine):
            if engine not in suspects:
                return predict_here(engine)
            load = loads_by_engine.get(engine)
            if load is None:
                return None
            return dispatcher.event_gap_ms(
                engine,
                load.decoding_count,
                load.context_tokens,
                load.pending_prefill_ms,
            )

        return expected_gap_ms
