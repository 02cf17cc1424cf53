"""Endpoints that are cold for a while, and crash above the limit of that time.

They refuse nothing: that they are cold is only in the headers of their answers.
"""

import trio

from bench.soak.injectors import EndpointCrasher
from bench.soak.limits import SETTLING_S, counted_arrivals

PAUSE_S = (1.0, 4.0)
DURATION_S = (2.0, 6.0)
# Of the services of a soak, and what is tolerated in any second.
COLD_PER_S = 1.0
ALLOWED_REQUESTS = 1.5 * COLD_PER_S + 5
WINDOW_S = 1.0
CRASH_DETAIL = "cold"


class ColdInjector(EndpointCrasher):
    """Lets endpoints be cold; see `EndpointCrasher`."""

    GENERATOR = "cold"

    async def run(self, duration_s):
        """Let endpoints be cold for `duration_s`; return when all are back."""
        environment, end_s = self._environment, trio.current_time() + duration_s
        environment.cold_per_s = COLD_PER_S
        environment.write_configuration()
        async with trio.open_nursery() as self._nursery:
            while trio.current_time() < end_s:
                await trio.sleep(self._random.uniform(*PAUSE_S))
                free = [
                    endpoint
                    for name, endpoint in environment.endpoints_by_name.items()
                    if endpoint.cold is None and name not in environment.withdrawn_names
                ]
                if free:
                    self._nursery.start_soon(self._cool, self._random.choice(free))

    async def _cool(self, endpoint):
        now_s, duration_s = trio.current_time(), self._random.uniform(*DURATION_S)
        fault = self._record_fault("endpoint_cold", endpoint=endpoint.name)
        endpoint.cold, endpoint.cold_until_s = self, now_s + duration_s
        endpoint.cold_said_s = float("inf")
        await trio.sleep(duration_s)
        # A second counts from the first answer that said so.
        fault.started_s = endpoint.cold_said_s
        fault.ended_s = min(trio.current_time(), endpoint.cold_until_s)
        endpoint.cold, endpoint.cold_until_s = None, 0.0

    def crash_if_too_many(self, endpoint):
        """Crash an endpoint that got more than it tolerates; it comes back later."""
        now_s = trio.current_time()
        since_s = max(now_s - WINDOW_S, endpoint.cold_said_s + SETTLING_S)
        count = sum(arrival.at_s >= since_s for arrival in endpoint.arrivals)
        if count > ALLOWED_REQUESTS and self._may_crash(endpoint):
            endpoint.cold_until_s = now_s
            self._crash(endpoint, CRASH_DETAIL)


def find_overrun(environment):
    """Yield a line of text for each cold endpoint that got more than it tolerates."""
    for fault, times_s in counted_arrivals(environment, "endpoint_cold"):
        most = max(
            (sum(s <= t < s + WINDOW_S for t in times_s) for s in times_s), default=0
        )
        if most > ALLOWED_REQUESTS:
            yield (
                f"COLD {fault.endpoint} got {most} requests in {WINDOW_S:g} s, allowed "
                f"{ALLOWED_REQUESTS:g}"
            )
