"""Endpoints that name a limit of requests for a while, and the check that it holds."""

import trio

from bench.soak.injectors import SeededInjector
from bench.soak.unwanted import attempt_of

PAUSE_S = (0.5, 3.0)
DURATION_S = (2.0, 7.0)
LIMITS_PER_S = (0.3, 1.0, 2.5, 8.0)
# In a window, an endpoint gets this many times its limit and a few requests at most.
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_REQUESTS = 5
# Gateways that have passed on the limit keep to it after this time.
SETTLING_S = 0.5
# A gateway that got a signal is excused for this time.
SIGNAL_EXCUSE_S = 3.0


class LimitInjector(SeededInjector):
    """Lets endpoints name limits; see `SeededInjector`."""

    GENERATOR = "limits"

    async def run(self, duration_s):
        """Start limits for `duration_s`; return when the last one has ended."""
        end_s = trio.current_time() + duration_s
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end_s:
                await trio.sleep(self._random.uniform(*PAUSE_S))
                endpoints = self._environment.endpoints_by_name.values()
                free = [endpoint for endpoint in endpoints if not endpoint.limit]
                if free:
                    nursery.start_soon(self._limit, self._random.choice(free))

    async def _limit(self, endpoint):
        per_s = self._random.choice(LIMITS_PER_S)
        fault = self._record_fault(
            "endpoint_limit", endpoint=endpoint.name, detail=str(per_s)
        )
        endpoint.name_limit(str(per_s).encode())
        await trio.sleep(self._random.uniform(*DURATION_S))
        # A window counts from the first answer that named it.
        fault.started_s = endpoint.limited_since_s
        fault.ended_s = trio.current_time()
        endpoint.name_limit(b"")


def find_exceeded(environment):
    """Yield a line of text for each limit that an endpoint's requests exceeded."""
    for fault, times_s in counted_arrivals(environment, "endpoint_limit"):
        per_s = float(fault.detail)
        allowed = ALLOWED_FACTOR * per_s * WINDOW_S + ALLOWED_REQUESTS
        most = max(
            (sum(s <= t <= s + WINDOW_S for t in times_s) for s in times_s), default=0
        )
        if most > allowed:
            yield (
                f"LIMIT {fault.endpoint} got {most} requests in {WINDOW_S:g} s at "
                f"{per_s:g} a second, allowed {allowed:g}"
            )


def counted_arrivals(environment, kind):
    """Yield each fault of a kind, and the times of the requests that count against it.

    Requests count that reached the endpoint while the fault lasted, after the gateways
    have passed on what it said.
    """
    attempts_by_id = {attempt.id: attempt for attempt in environment.attempts}
    for fault in environment.observations.faults:
        if fault.kind != kind:
            continue
        yield (
            fault,
            [
                arrival.at_s
                for arrival in environment.endpoints_by_name[fault.endpoint].arrivals
                if fault.started_s + SETTLING_S <= arrival.at_s <= fault.ended_s
                and not _is_excused(environment.observations, attempts_by_id, arrival)
            ],
        )


def _is_excused(observations, attempts_by_id, arrival):
    """Return whether a request doesn't count: a renewal, or by a disturbed gateway."""
    attempt = attempt_of(attempts_by_id, arrival.sender_id)
    if arrival.is_renewal or attempt is None:
        return True
    since_s = arrival.at_s - SIGNAL_EXCUSE_S
    return any(
        signal.process.gateway == attempt.process.gateway
        and since_s <= signal.at_s <= arrival.at_s
        for signal in observations.signals
    )
