"""Endpoints that name a limit of requests for a while, and the check that it holds."""

import random

import trio

from bench.soak.observations import Fault
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


class LimitInjector:
    """Lets endpoints name limits, with a generator of its own.

    Parameters
    ----------
    environment : SoakEnvironment
    seed : int
    """

    def __init__(self, environment, seed):
        self._environment = environment
        self._random = random.Random(f"limits {seed}")

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
        fault = Fault("endpoint_limit", trio.current_time(), endpoint=endpoint.name)
        fault.detail = str(per_s)
        self._environment.observations.faults.append(fault)
        endpoint.name_limit(str(per_s).encode())
        await trio.sleep(self._random.uniform(*DURATION_S))
        # A window counts from the first answer that named it.
        fault.started_s = endpoint.limited_since_s
        fault.ended_s = trio.current_time()
        endpoint.name_limit(b"")


def find_exceeded(environment):
    """Yield a line of text for each limit that an endpoint's requests exceeded."""
    attempts_by_id = {attempt.id: attempt for attempt in environment.attempts}
    for fault in environment.observations.faults:
        if fault.kind != "endpoint_limit":
            continue
        endpoint = environment.endpoints_by_name[fault.endpoint]
        times_s = [
            arrival.at_s
            for arrival in endpoint.arrivals
            if fault.started_s + SETTLING_S <= arrival.at_s <= fault.ended_s
            and not is_excused(environment.observations, attempts_by_id, arrival)
        ]
        per_s = float(fault.detail)
        allowed = ALLOWED_FACTOR * per_s * WINDOW_S + ALLOWED_REQUESTS
        most = max(
            (sum(s <= t <= s + WINDOW_S for t in times_s) for s in times_s), default=0
        )
        if most > allowed:
            yield (
                f"LIMIT {endpoint.name} got {most} requests in {WINDOW_S:g} s at "
                f"{per_s:g} a second, allowed {allowed:g}"
            )


def is_excused(observations, attempts_by_id, arrival):
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
