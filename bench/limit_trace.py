"""Shows why an engine that names a limit gets less than it, in a fleet in memory.

usage: python -m bench.limit_trace [--limit 1.0] [--rate 60] [--request-ms 1000]
           [--batching-gain 0.03]

Each placement made while the engine may be asked is counted by what the chosen engine
had more of. A limit of 0 means that the engine names none.
"""

import argparse
from collections import Counter
from random import Random
from unittest import mock

import trio

from vanillareach.core import span_placement
from vanillareach.core.dispatching import Dispatcher
from vanillareach.features.gateway_network import run_fleet

ENGINE = "m-a1"
INSTANCE_COUNT = 9
DOMAINS = "abc"
SETTLING_S = 4.0
DURATION_S = 10.0
SEED = 5


class PlacementCounter:
    """Counts placements by how the chosen engine compares with `ENGINE`."""

    def __init__(self):
        self.counts = Counter()
        self.is_counting = False
        self._place = Dispatcher.place

    def place(
        self, dispatcher, service, generation, excluded, refusable, now_ms, *more
    ):
        """Place as `Dispatcher.place` does, and count the result."""
        placement = self._place(
            dispatcher, service, generation, excluded, refusable, now_ms, *more
        )
        if placement is not None and self.is_counting:
            loads = dispatcher._state.load_state.loads_by_engine(now_ms)
            self.counts[self._reason(placement, excluded, loads)] += 1
        return placement

    @staticmethod
    def _reason(placement, excluded, loads):
        def decoding_count(engine):
            load = loads.get(engine)
            return 0 if load is None else len(load.decoding_requests)

        if ENGINE in excluded:
            return "excluded by its limit"
        if placement.endpoint.id == ENGINE:
            return "chosen"
        difference = decoding_count(placement.endpoint.id) - decoding_count(ENGINE)
        return "other decodes more" if difference > 0 else "other"


async def trace(fleet, arguments, counter):
    """Return the requests a second of the engine, and the mean of the others."""
    random = Random(SEED)
    await trio.sleep(SETTLING_S / 2)
    if arguments.limit:
        fleet.engines.limits_by_id[ENGINE] = arguments.limit
    start_s = trio.current_time() + SETTLING_S / 2
    while trio.current_time() < start_s + DURATION_S:
        counter.is_counting = trio.current_time() >= start_s
        gateway = random.choice(list(fleet.gateways_by_name.values()))
        fleet._nursery.start_soon(gateway.run_request, arguments.request_ms)
        await trio.sleep(random.expovariate(arguments.rate))
    counts = {
        engine: sum(at_s >= start_s for at_s in arrivals)
        for engine, arrivals in fleet.engines.arrivals_by_id.items()
    }
    own = counts.pop(ENGINE, 0)
    return own / DURATION_S, sum(counts.values()) / len(counts) / DURATION_S


def main():
    """Run one fleet and print the rates and the counts."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--limit", type=float, default=1.0)
    parser.add_argument("--rate", type=float, default=60.0)
    parser.add_argument("--request-ms", type=float, default=1_000.0)
    parser.add_argument(
        "--batching-gain", type=float, default=span_placement.BATCHING_GAIN
    )
    arguments = parser.parse_args()
    counter = PlacementCounter()

    def place(dispatcher, *values):
        return counter.place(dispatcher, *values)

    gain = mock.patch.object(span_placement, "BATCHING_GAIN", arguments.batching_gain)
    with gain, mock.patch.object(Dispatcher, "place", place):
        own, others = run_fleet(
            INSTANCE_COUNT, DOMAINS, lambda fleet: trace(fleet, arguments, counter)
        )
    print(f"{ENGINE} {own:.2f} a second, others {others:.2f}; {dict(counter.counts)}")


if __name__ == "__main__":
    main()
