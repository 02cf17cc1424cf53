"""Time to first token by prompt length, and what long prompts do to short ones.

Several entries decide with the real placement code on the same lagging reports; the
engines are the stand-in's model in memory; time is a mock clock. Every policy gets
the same requests. All bounds are on ratios within one run.
"""

import math
import random
import sys
from dataclasses import dataclass

import trio
import trio.testing

from bench.figures import Figure, report
from vanillareach.core.directory import Directory, Dispatch, LoadReport
from vanillareach.core.objects import EndpointSpec
from vanillareach.core.placement import (
    BLOCK_TOKENS,
    LeastLoadedPolicy,
    LinearCostPolicy,
    PlacementRequest,
    PredictedTimePolicy,
    RandomPolicy,
    RoundRobinPolicy,
)
from vanillareach.core.work import LengthClass, WorkEstimate, length_class
from vanillareach.entry.generation import PRIORITY_BY_LENGTH
from vanillareach.standins.engine_model import (
    EngineModel,
    EngineProfile,
    EngineRequest,
)

ENTRIES = 9
DOMAINS = 3
DURATION_S = 150
WARM_UP_S = 50
REPORT_INTERVAL_S = 1.0
REPORT_LAG_S = 0.5
HOP_MS = 0.5
LOAD_SHARE = 0.5
LONG_SHARE = 0.02
MAX_PROMPT_TOKENS = 350_000
SHORT_SLOWDOWN_BOUND = 1.5
SHORT_SLOWDOWN_AIM = 1.15
SHORT_FLOOR_BOUND = 2.0
SHORT_FLOOR_AIM = 1.2
LONG_FLOOR_BOUND = 1.5
LONG_FLOOR_AIM = 1.15
SEED = 7


@dataclass(slots=True, frozen=True)
class Deployment:
    """Size of one user's pool."""

    name: str
    engines: int
    teams: int = 10


DEPLOYMENTS = (Deployment("metselvak", 14), Deployment("tsagaan-tal", 18))
POLICIES = {
    "random": RandomPolicy,
    "round robin": RoundRobinPolicy,
    "least loaded": LeastLoadedPolicy,
    "linear cost": LinearCostPolicy,
    "predicted time": PredictedTimePolicy,
}
CHOSEN = "predicted time"


@dataclass(slots=True)
class Arrival:
    """One request of the traffic."""

    at_s: float
    tokens: int
    shared_tokens: int
    prefix: int
    decode: int
    entry: int
    is_long: bool


def traffic(deployment, seed):
    """Return the arrivals of one run, long prompts included."""
    rng = random.Random(seed)
    profile = EngineProfile()
    mean_tokens = 14_000  # of this mix, so that the load share comes out
    capacity = deployment.engines * profile.prefill_tokens_per_ms * 1000
    rate = LOAD_SHARE * capacity / mean_tokens
    arrivals, at_s = [], 0.0
    while at_s < DURATION_S:
        at_s += rng.expovariate(rate)
        team = min(int(rng.paretovariate(1.2)), deployment.teams) - 1
        is_long = rng.random() < LONG_SHARE
        if is_long:
            tokens = min(MAX_PROMPT_TOKENS, int(100_000 * rng.paretovariate(1.5)))
            prefix = 1000 + team
            shared = tokens * 6 // 10
        else:
            tokens = min(90_000, int(rng.lognormvariate(7.8, 1.1)) + 1000)
            prefix = team * 3 + rng.randrange(3)
            shared = min(1024 + 512 * (prefix % 5), tokens)
        arrivals.append(
            Arrival(
                at_s,
                tokens,
                shared,
                prefix,
                rng.randrange(20, 200),
                rng.randrange(ENTRIES),
                is_long,
            )
        )
    return arrivals


def hashes_of(arrival, number):
    """Return the prefix hashes of an arrival: shared blocks, then its own."""
    shared = arrival.shared_tokens // BLOCK_TOKENS
    own = arrival.tokens // BLOCK_TOKENS - shared
    return [arrival.prefix << 32 | n for n in range(shared)] + [
        (number + 1) << 64 | n for n in range(own)
    ]


class Engine:
    """One engine and what it last reported."""

    def __init__(self, name, domain):
        self.name = name
        self.domain = domain
        self.model = EngineModel(EngineProfile())
        self.reports = []
        self.work = trio.Event()
        self.waiters_by_id = {}
        self.hit_tokens = 0

    async def run(self):
        """Advance for ever."""
        while True:
            if self.model.idle:
                await self.work.wait()
            duration_ms, progressed = self.model.step()
            await trio.sleep(duration_ms / 1000)
            for request in progressed:
                waiter = self.waiters_by_id.get(request.request_id)
                if waiter is not None and len(request.words) == 1:
                    waiter.set()

    def submit(self, request):
        """Take a request and return the event of its first token."""
        first = trio.Event()
        self.waiters_by_id[request.request_id] = first
        self.model.submit(request)
        self.work.set()
        self.work = trio.Event()
        return first

    def report(self):
        """Return the present load."""
        model = self.model
        return LoadReport(
            int(model.prefill_waiting_tokens),
            len(model.running_by_id),
            len(model.waiting),
            model.kv_used_tokens,
            model.profile.kv_capacity_tokens,
            prefill_urgent_tokens=int(model.urgent_prefill_tokens),
            urgent_prefill_ms=model.urgent_prefill_ms,
            prefill_ms=model.prefill_ms,
        )


class Entry:
    """One entry's view and its policy."""

    def __init__(self, index, engines, policy):
        self.domain = f"domain-{index % DOMAINS}"
        self.policy = policy
        self.random = random.Random(f"{SEED}/{index}")
        self.directory = Directory()
        specs = [
            EndpointSpec(
                name=engine.name,
                service="pool",
                address=engine.name,
                domain=engine.domain,
            )
            for engine in engines
        ]
        self.directory.replace_all(specs, 0.0)


class Run:
    """One policy on one traffic."""

    def __init__(self, deployment, policy_type, arrivals):
        self.engines = [
            Engine(f"engine-{n}", f"domain-{n % DOMAINS}")
            for n in range(deployment.engines)
        ]
        self.engines_by_name = {engine.name: engine for engine in self.engines}
        self.entries = [Entry(n, self.engines, policy_type()) for n in range(ENTRIES)]
        self.arrivals = arrivals
        self.first_ms = {}
        self.best_cached = {}
        self.hit_tokens = 0
        self.possible_tokens = 0

    async def main(self):
        """Run the traffic and return when the last answer has begun."""
        async with trio.open_nursery() as nursery:
            for engine in self.engines:
                nursery.start_soon(engine.run)
            nursery.start_soon(self._report_loads)
            async with trio.open_nursery() as requests:
                for number, arrival in enumerate(self.arrivals):
                    delay = arrival.at_s - trio.current_time() + self._epoch
                    await trio.sleep(max(0.0, delay))
                    requests.start_soon(self._request, number, arrival)
            nursery.cancel_scope.cancel()

    @property
    def _epoch(self):
        if not hasattr(self, "_started"):
            self._started = trio.current_time()
        return self._started

    async def _report_loads(self):
        while True:
            taken_ms = trio.current_time() * 1000
            reports = [(engine, engine.report()) for engine in self.engines]
            await trio.sleep(REPORT_LAG_S)
            for entry in self.entries:
                for engine, load in reports:
                    if engine.domain == entry.domain:
                        state = entry.directory.endpoints_by_id[engine.name]
                        state.apply_report(load, taken_ms)
            await trio.sleep(REPORT_INTERVAL_S - REPORT_LAG_S)

    async def _request(self, number, arrival):
        started = trio.current_time()
        entry = self.entries[arrival.entry]
        hashes = hashes_of(arrival, number)
        estimate = WorkEstimate(arrival.tokens, arrival.decode)
        request = PlacementRequest(estimate, hashes, entry.domain)
        now_ms = started * 1000
        states = entry.directory.usable("pool", now_ms)
        state = entry.policy.choose(request, states, now_ms, entry.random)
        cached = (
            state.cached_prefixes.count_cached_blocks(hashes, now_ms) * BLOCK_TOKENS
        )
        dispatch = Dispatch(
            max(1, arrival.tokens - cached),
            estimate.kv_tokens,
            now_ms,
            state.queued_prefill_tokens(),
        )
        state.dispatches_by_id[number] = dispatch
        state.cached_prefixes.record_blocks(hashes, now_ms)
        await trio.sleep(HOP_MS / 1000)
        engine = self.engines_by_name[state.spec.name]
        job = EngineRequest(
            str(number),
            b"",
            arrival.decode,
            PRIORITY_BY_LENGTH[estimate.length_class],
        )
        job.prompt_tokens = job.prefill_left = arrival.tokens
        job.block_hashes = hashes
        best = max(e.model.cached_tokens_of(hashes) for e in self.engines)
        self.best_cached[number] = best
        if arrival.at_s > WARM_UP_S:
            self.hit_tokens += engine.model.cached_tokens_of(hashes)
            self.possible_tokens += best
        first = engine.submit(job)
        await first.wait()
        elapsed_ms = (trio.current_time() - started) * 1000
        dispatch.first_token_ms = trio.current_time() * 1000
        state.update_prefill_rate(dispatch, elapsed_ms)
        del state.dispatches_by_id[number]
        if arrival.at_s > WARM_UP_S:
            self.first_ms[number] = elapsed_ms


def floor_ms(arrival, cached_tokens=None):
    """Return the time to first token on an idle engine with a prefix cached.

    Parameters
    ----------
    arrival : Arrival
    cached_tokens : int or None
        Cached tokens; all that is shared when None.
    """
    profile = EngineProfile()
    if cached_tokens is None:
        cached_tokens = arrival.shared_tokens // BLOCK_TOKENS * BLOCK_TOKENS
    own = max(1, arrival.tokens - cached_tokens)
    steps_ms = own / profile.prefill_tokens_per_ms
    # The token itself takes one more step after the last chunk.
    return HOP_MS + steps_ms + profile.decode_step_ms


def quantile(values, share):
    """Return a quantile of a list."""
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, math.ceil(share * len(ranked)) - 1)]


def execute(deployment, policy_type, arrivals):
    """Run one policy on arrivals and return the finished `Run`."""
    run = Run(deployment, policy_type, arrivals)
    trio.run(run.main, clock=trio.testing.MockClock(autojump_threshold=0))
    return run


def ratios(run, arrivals, wanted, is_warm=True):
    """Return the p95 of time to first token over its floor for some classes.

    Parameters
    ----------
    is_warm : bool
        Whether the floor has all shared tokens cached; otherwise only what the
        engine that cached most of them held at that moment.
    """
    values = [
        elapsed
        / floor_ms(arrivals[number], None if is_warm else run.best_cached[number])
        for number, elapsed in run.first_ms.items()
        if length_class(arrivals[number].tokens) in wanted
    ]
    return quantile(values, 0.95)


def p95_short(run, arrivals):
    """Return the p95 time to first token of short requests."""
    return quantile(
        [
            elapsed
            for number, elapsed in run.first_ms.items()
            if length_class(arrivals[number].tokens) is LengthClass.SHORT
        ],
        0.95,
    )


SHORTS = (LengthClass.SHORT,)
LONGS = (LengthClass.LONG, LengthClass.VERY_LONG)


def deployment_figures(deployment):
    """Return the figures of all policies for one deployment."""
    arrivals = traffic(deployment, SEED)
    without = [arrival for arrival in arrivals if not arrival.is_long]
    figures = []
    for name, policy_type in POLICIES.items():
        mixed = execute(deployment, policy_type, arrivals)
        alone = execute(deployment, policy_type, without)
        bounded = name == CHOSEN
        label = f"{deployment.name}, {name}"
        slowdown = p95_short(mixed, arrivals) / p95_short(alone, without)
        figures += [
            Figure(
                f"{label}: short slowdown by long, p95",
                slowdown,
                "",
                SHORT_SLOWDOWN_BOUND if bounded else None,
                SHORT_SLOWDOWN_AIM if bounded else None,
            ),
            Figure(
                f"{label}: short first token to floor, p95",
                ratios(mixed, arrivals, SHORTS),
                "",
                SHORT_FLOOR_BOUND if bounded else None,
                SHORT_FLOOR_AIM if bounded else None,
            ),
            Figure(
                f"{label}: long first token to floor, p95",
                ratios(mixed, arrivals, LONGS),
                "",
                LONG_FLOOR_BOUND if bounded else None,
                LONG_FLOOR_AIM if bounded else None,
            ),
            Figure(
                f"{label}: long first token to the best cached floor, p95",
                ratios(mixed, arrivals, LONGS, is_warm=False),
                "",
            ),
            Figure(
                f"{label}: prefix tokens missed of the best cached",
                1 - mixed.hit_tokens / max(1, mixed.possible_tokens),
                "",
            ),
        ]
    return figures


def run():
    """Run all deployments and return the exit code."""
    figures = []
    for deployment in DEPLOYMENTS:
        figures += deployment_figures(deployment)
    return report(figures)


if __name__ == "__main__":
    sys.exit(run())
