"""Plays fleets in memory whose engines name limits, and prints those that break one.

Instances restart, freeze and join, domains and instances are cut off, datagrams are
lost, limits change, all at random. Run by hand:
``python -m bench.limit_worlds --seeds 0-99``. With ``--cold`` engines turn cold as
well, and a cold engine must not get more than the bound in any second.
"""

import argparse
import random
from dataclasses import replace

import msgspec
import trio

from vanillareach.features.gateway_network import run_fleet
from vanillareach.features.users_platform.stage import configuration
from vanillareach.log import configure_logs
from vanillareach.platform.documents import decode_configuration

FLEETS = ((9, "abc"), (9, "abc"), (18, "abc"), (30, "abc"), (50, "abcde"))
LIMITS_PER_S = (0.2, 0.5, 1.0, 1.1, 2.5, 6.0, 15.0)
RATES_PER_S = (20.0, 60.0, 150.0)
REQUEST_MS = (40.0, 200.0, 900.0)
DURATION_S = 9.0
# Endpoints get at most this in a window, from this time after they named a limit on.
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_REQUESTS = 5
SETTLING_S = 0.5
COLD_LIMITS_PER_S = (1.0, 4.0, 12.0)
COLD_START_S = 3.0
COLD_WINDOW_S = 1.0
# An engine that turns cold without a start is known to be after this time, in which it
# gets what it got before.
COLD_NEWS_S = 0.3


class LimitWorld:
    """One fleet with faults drawn from a seed.

    Parameters
    ----------
    seed : int

    Attributes
    ----------
    draw : random.Random
    limits : list of (float, str, float)
        Time, engine and limit of each change.
    """

    def __init__(self, seed):
        self.seed = seed
        self.draw = random.Random(seed)
        self.instance_count, self.domains = self.draw.choice(FLEETS)
        self.rate_per_s = self.draw.choice(RATES_PER_S)
        self.request_ms = self.draw.choice(REQUEST_MS)
        self.limited_share = self.draw.choice((0.1, 0.5, 1.0))
        self.limits = []
        self.events = []
        self._cuts = []
        self._loss_share = self.draw.choice((0.0, 0.0, 0.05))

    def run(self):
        """Play the world; return descriptions of the limits that were exceeded."""
        return run_fleet(self.instance_count, self.domains, self._play, self.seed)

    async def _play(self, fleet):
        fleet.network.is_cut = self._is_cut
        self._prepare(fleet)
        await trio.sleep(2.0)
        for endpoint in fleet.store.endpoints:
            if self.draw.random() < self.limited_share:
                self._name_limit(fleet, endpoint.id)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_requests, fleet)
            nursery.start_soon(self._inject_faults, fleet)
            await trio.sleep(DURATION_S)
            nursery.cancel_scope.cancel()
        return self._exceeded(fleet.engines.arrivals_by_id)

    def _prepare(self, fleet):
        """Change a fleet before it starts."""

    def _name_limit(self, fleet, engine):
        limit = self.draw.choice(LIMITS_PER_S)
        fleet.engines.limits_by_id[engine] = limit
        self.limits.append((trio.current_time(), engine, limit))

    async def _send_requests(self, fleet):
        while True:
            gateway = self.draw.choice(list(fleet.gateways_by_name.values()))
            if gateway.state.has_initial_state:
                fleet._nursery.start_soon(gateway.run_request, self.request_ms)
            await trio.sleep(self.draw.expovariate(self.rate_per_s))

    async def _inject_faults(self, fleet):
        faults = self._faults()
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self.draw.uniform(0.1, 1.5))
                fault = self.draw.choice(faults)
                self.events.append((round(trio.current_time(), 2), fault.__name__))
                nursery.start_soon(fault, fleet)

    def _faults(self):
        return (self._restart, self._freeze, self._cut, self._lower, self._nothing)

    async def _nothing(self, fleet):
        """Leave some time without a fault."""

    async def _restart(self, fleet):
        name = self.draw.choice(sorted(fleet.gateways_by_name))
        fleet.kill(name)
        await trio.sleep(self.draw.uniform(0.2, 2.0))
        fleet.restart(name)

    async def _freeze(self, fleet):
        name = self.draw.choice(sorted(fleet.gateways_by_name))
        gateway = fleet.gateways_by_name.pop(name)
        sock = fleet.network.sockets_by_address[name]
        sock.is_frozen = True
        await trio.sleep(self.draw.uniform(0.2, 3.0))
        sock.thaw()
        fleet.gateways_by_name[name] = gateway

    async def _cut(self, fleet):
        prefix = self.draw.choice((*self.domains, *sorted(fleet.gateways_by_name)))
        self._cuts.append(prefix)
        await trio.sleep(self.draw.uniform(0.2, 4.0))
        self._cuts.remove(prefix)

    async def _lower(self, fleet):
        engines = sorted(fleet.engines.limits_by_id)
        if engines:
            self._name_limit(fleet, self.draw.choice(engines))

    def _is_cut(self, sender, receiver):
        if self._loss_share and self.draw.random() < self._loss_share:
            return True
        return any(
            sender.startswith(prefix) != receiver.startswith(prefix)
            for prefix in self._cuts
        )

    def _exceeded(self, arrivals_by_id):
        exceeded = []
        for engine in {engine for _, engine, _ in self.limits}:
            changes = [(s, limit) for s, name, limit in self.limits if name == engine]
            for start_s in arrivals_by_id.get(engine, ()):
                if start_s < changes[0][0] + SETTLING_S:
                    continue
                end_s = start_s + WINDOW_S
                count = sum(start_s <= t <= end_s for t in arrivals_by_id[engine])
                # Of several limits within a window the highest counts.
                limit = max(self._limits_within(changes, start_s, end_s))
                allowed = ALLOWED_FACTOR * limit * WINDOW_S + ALLOWED_REQUESTS
                if count > allowed:
                    exceeded.append((engine, round(start_s, 2), count, limit))
                    break
        return exceeded

    def _limits_within(self, changes, start_s, end_s):
        ends_s = [*(s for s, _ in changes[1:]), end_s + 1]
        return [
            limit
            for (since_s, limit), until_s in zip(changes, ends_s, strict=True)
            if since_s <= end_s and until_s + SETTLING_S >= start_s
        ]


class ColdWorld(LimitWorld):
    """Fleet whose engines also turn cold, by a start or as their answers say."""

    def __init__(self, seed):
        super().__init__(seed)
        self.cold_per_s = self.draw.choice(COLD_LIMITS_PER_S)
        # Start and end of the times for which the bound holds, by engine.
        self._cold_spans_s = []

    def _prepare(self, fleet):
        document = configuration(1)
        cold = {"cold_per_s": self.cold_per_s, "cold_start_s": COLD_START_S}
        document["backends"][1] |= cold
        fleet.store.configuration = decode_configuration(msgspec.json.encode(document))

    def _faults(self):
        return (*super()._faults(), self._start_engines, self._cool_engines)

    async def _start_engines(self, fleet):
        self._turn_cold(fleet, True)

    async def _cool_engines(self, fleet):
        self._turn_cold(fleet, False)

    def _turn_cold(self, fleet, is_start):
        """Let half of the engines be cold, either from a start on or without one."""
        engines, now_s = fleet.engines, trio.current_time()
        listed = fleet.store.endpoints
        for index in self.draw.sample(range(len(listed)), len(listed) // 2):
            endpoint = listed[index]
            incarnation = endpoint.incarnation + is_start
            listed[index] = replace(endpoint, incarnation=incarnation)
            engines.incarnations_by_id[endpoint.id] = incarnation
            until_s = now_s + COLD_START_S
            engines.cold_until_s_by_id[endpoint.id] = until_s
            since_s = now_s if is_start else now_s + COLD_NEWS_S
            self._cold_spans_s.append((endpoint.id, since_s, until_s))

    def _exceeded(self, arrivals_by_id):
        allowed = ALLOWED_FACTOR * self.cold_per_s + ALLOWED_REQUESTS
        exceeded = super()._exceeded(arrivals_by_id)
        for engine, since_s, until_s in self._cold_spans_s:
            arrivals = arrivals_by_id.get(engine, ())
            times = [t for t in arrivals if since_s <= t < until_s]
            counts = [sum(s <= t < s + COLD_WINDOW_S for t in times) for s in times]
            if max(counts, default=0) > allowed:
                exceeded.append((engine, "cold", round(since_s, 2), max(counts)))
        return exceeded


def main():
    """Play the worlds of the command line's seeds."""
    configure_logs(level="error")
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="0-99", help="first and last seed")
    parser.add_argument("--cold", action="store_true", help="engines turn cold")
    arguments = parser.parse_args()
    first, last = map(int, arguments.seeds.split("-"))
    world_type = ColdWorld if arguments.cold else LimitWorld
    broken = 0
    for seed in range(first, last + 1):
        world = world_type(seed)
        if exceeded := world.run():
            broken += 1
            print(seed, world.instance_count, world.rate_per_s, exceeded, world.events)
    print(f"{broken} of {last - first + 1} worlds exceeded a limit")


if __name__ == "__main__":
    main()
