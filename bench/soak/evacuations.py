"""Evacuations of a failure domain, and the check that nothing new arrives there."""

import trio

from bench.soak.injectors import SeededInjector
from bench.soak.unwanted import attempt_of, was_paused
from bench.soak.world import EVACUATED_ZONE

KIND = "evacuation"
PAUSE_S = (0.2, 1.5)
DURATION_S = (6.5, 9.0)
# Time within which an evacuation takes effect; longer while the store is out of order.
BOUND_S = 5.0


class EvacuationInjector(SeededInjector):
    """Evacuates a domain and takes it back; see `SeededInjector`."""

    GENERATOR = "evacuations"

    async def run(self, duration_s):
        """Evacuate for `duration_s`; return when the last evacuation has ended."""
        store = self._environment.stage.store
        end_s = trio.current_time() + duration_s
        while trio.current_time() < end_s:
            await trio.sleep(self._random.uniform(*PAUSE_S))
            fault = self._record_fault(KIND, detail=EVACUATED_ZONE)
            store.put("evacuations", EVACUATED_ZONE, {})
            await trio.sleep(self._random.uniform(*DURATION_S))
            fault.ended_s = trio.current_time()
            store.delete("evacuations", EVACUATED_ZONE)


def find_late(environment):
    """Yield a line of text for each request that an evacuated domain got too late."""
    attempts_by_id = {attempt.id: attempt for attempt in environment.attempts}
    observations = environment.observations
    for fault in observations.faults:
        if fault.kind != KIND:
            continue
        effective_s = _effective_s(observations, fault)
        for endpoint in environment.endpoints_by_name.values():
            for arrival in endpoint.arrivals:
                is_late = effective_s < arrival.at_s < fault.ended_s
                if endpoint.zone != fault.detail or arrival.is_renewal or not is_late:
                    continue
                attempt = attempt_of(attempts_by_id, arrival.sender_id)
                since_s = arrival.at_s - BOUND_S
                if attempt is None or was_paused(
                    observations, attempt.process, since_s, arrival.at_s
                ):
                    continue
                yield (
                    f"EVACUATED {arrival.sender_id} reached {endpoint.name} "
                    f"{arrival.at_s - fault.started_s:.2f} s after the evacuation"
                )


def _effective_s(observations, evacuation):
    """Return when an evacuation takes effect, counted from the store's last failure."""
    since_s = evacuation.started_s
    failures = [fault for fault in observations.faults if fault.kind == "store"]
    for failure in sorted(failures, key=lambda fault: fault.started_s):
        if failure.overlaps(since_s, since_s + BOUND_S):
            since_s = max(since_s, failure.ended_s)
    return since_s + BOUND_S
