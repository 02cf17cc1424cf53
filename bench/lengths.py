"""Time to first token by prompt length, and the effect of long prompts on short ones.

Several entries run the production placement code on the same delayed load reports;
the engines are the stand-in's engine model in memory, on a mock clock. Every policy
gets the same requests. All bounds are on ratios within one run.
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

ENTRY_COUNT = 9
DOMAIN_COUNT = 3
DURATION_S = 150
WARM_UP_S = 50
REPORT_INTERVAL_S = 1.0
REPORT_LAG_S = 0.5
# Latency from an entry to an engine.
HOP_MS = 0.5
# Share of the engines' prefill rate for which the arrival rate is set.
PREFILL_LOAD_SHARE = 0.5
LONG_PROMPT_SHARE = 0.02
MAX_PROMPT_TOKENS = 350_000
# Bounds and aims of ratios at the 95th percentile: short requests with against without
# long ones in the traffic, and short or long requests against their floor.
SHORT_SLOWDOWN_BOUND = 1.5
SHORT_SLOWDOWN_AIM = 1.15
SHORT_FLOOR_BOUND = 2.0
SHORT_FLOOR_AIM = 1.2
LONG_FLOOR_BOUND = 1.5
LONG_FLOOR_AIM = 1.15
SEED = 7


@dataclass(slots=True, frozen=True)
class Deployment:
    """Size of the engine pool of one sample deployment."""

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
POLICY_IN_USE = "predicted time"


@dataclass(slots=True)
class Arrival:
    """One request of the traffic."""

    at_s: float
    prompt_tokens: int
    shared_prefix_tokens: int
    prefix_id: int
    answer_tokens: int
    entry: int
    is_long: bool


def traffic(deployment, seed):
    """Return the arrivals of one run, long prompts included."""
    rng = random.Random(seed)
    profile = EngineProfile()
    mean_tokens = 14_000  # mean prompt assumed for this mix, to derive the rate
    prefill_tokens_per_s = deployment.engines * profile.prefill_tokens_per_ms * 1000
    arrivals_per_second = PREFILL_LOAD_SHARE * prefill_tokens_per_s / mean_tokens
    arrivals, at_s = [], 0.0
    while at_s < DURATION_S:
        at_s += rng.expovariate(arrivals_per_second)
        team = min(int(rng.paretovariate(1.2)), deployment.teams) - 1
        is_long = rng.random() < LONG_PROMPT_SHARE
        if is_long:
            prompt_tokens = min(
                MAX_PROMPT_TOKENS, int(100_000 * rng.paretovariate(1.5))
            )
            prefix_id = 1000 + team
            shared = prompt_tokens * 6 // 10
        else:
            prompt_tokens = min(90_000, int(rng.lognormvariate(7.8, 1.1)) + 1000)
            prefix_id = team * 3 + rng.randrange(3)
            shared = min(1024 + 512 * (prefix_id % 5), prompt_tokens)
        arrivals.append(
            Arrival(
                at_s,
                prompt_tokens,
                shared,
                prefix_id,
                rng.randrange(20, 200),
                rng.randrange(ENTRY_COUNT),
                is_long,
            )
        )
    return arrivals


def prefix_hashes(arrival, number):
    """Return the block hashes of an arrival's prompt: shared blocks, then its own."""
    shared = arrival.shared_prefix_tokens // BLOCK_TOKENS
    own = arrival.prompt_tokens // BLOCK_TOKENS - shared
    return [arrival.prefix_id << 32 | n for n in range(shared)] + [
        (number + 1) << 64 | n for n in range(own)
    ]


class Engine:
    """One engine model and the events of its requests' first tokens."""

    def __init__(self, name, domain):
        self.name = name
        self.domain = domain
        self.model = EngineModel(EngineProfile())
        self.reports = []
        self.work_available = trio.Event()
        self.first_token_events_by_id = {}
        self.hit_tokens = 0

    async def run(self):
        """Step the engine model until cancelled."""
        while True:
            if self.model.is_idle:
                await self.work_available.wait()
            duration_ms, progressed = self.model.step()
            await trio.sleep(duration_ms / 1000)
            for request in progressed:
                first_token_event = self.first_token_events_by_id.get(
                    request.request_id
                )
                if first_token_event is not None and len(request.words) == 1:
                    first_token_event.set()

    def submit(self, request):
        """Submit a request and return the event of its first token."""
        first_token_event = trio.Event()
        self.first_token_events_by_id[request.request_id] = first_token_event
        self.model.submit(request)
        self.work_available.set()
        self.work_available = trio.Event()
        return first_token_event

    def report(self):
        """Return the current load."""
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
    """Directory and policy of one entry."""

    def __init__(self, index, engines, policy):
        self.domain = f"domain-{index % DOMAIN_COUNT}"
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


class PolicyRun:
    """One policy on one set of arrivals; counts and times leave out the warm-up.

    Attributes
    ----------
    first_token_ms_by_number : dict of int to float
        Time to first token by the arrival's number.
    best_cached_tokens_by_number : dict of int to int
        Most prompt tokens that any engine had cached at the dispatch.
    hit_tokens, best_hit_tokens : int
        Cached prompt tokens on the chosen engines, and on the best ones.
    """

    def __init__(self, deployment, policy_type, arrivals):
        self.engines = [
            Engine(f"engine-{n}", f"domain-{n % DOMAIN_COUNT}")
            for n in range(deployment.engines)
        ]
        self.engines_by_name = {engine.name: engine for engine in self.engines}
        self.entries = [
            Entry(n, self.engines, policy_type()) for n in range(ENTRY_COUNT)
        ]
        self.arrivals = arrivals
        self.first_token_ms_by_number = {}
        self.best_cached_tokens_by_number = {}
        self.hit_tokens = 0
        self.best_hit_tokens = 0

    async def main(self):
        """Send all arrivals and return when each has its first token."""
        async with trio.open_nursery() as nursery:
            for engine in self.engines:
                nursery.start_soon(engine.run)
            nursery.start_soon(self._report_loads)
            async with trio.open_nursery() as requests:
                for number, arrival in enumerate(self.arrivals):
                    delay_s = arrival.at_s - trio.current_time() + self._run_start_s
                    await trio.sleep(max(0.0, delay_s))
                    requests.start_soon(self._request, number, arrival)
            nursery.cancel_scope.cancel()

    @property
    def _run_start_s(self):
        if not hasattr(self, "_started"):
            self._started = trio.current_time()
        return self._started

    async def _report_loads(self):
        while True:
            sampled_ms = trio.current_time() * 1000
            reports = [(engine, engine.report()) for engine in self.engines]
            await trio.sleep(REPORT_LAG_S)
            for entry in self.entries:
                for engine, load in reports:
                    if engine.domain == entry.domain:
                        state = entry.directory.endpoints_by_id[engine.name]
                        state.apply_report(load, sampled_ms)
            await trio.sleep(REPORT_INTERVAL_S - REPORT_LAG_S)

    async def _request(self, number, arrival):
        started = trio.current_time()
        entry = self.entries[arrival.entry]
        hashes = prefix_hashes(arrival, number)
        estimate = WorkEstimate(arrival.prompt_tokens, arrival.answer_tokens)
        request = PlacementRequest(estimate, hashes, entry.domain)
        now_ms = started * 1000
        states = entry.directory.usable("pool", now_ms)
        state = entry.policy.choose(request, states, now_ms, entry.random)
        cached_tokens = (
            state.cached_prefixes.count_cached_blocks(hashes, now_ms) * BLOCK_TOKENS
        )
        dispatch = Dispatch(
            max(1, arrival.prompt_tokens - cached_tokens),
            estimate.kv_tokens,
            now_ms,
            state.queued_prefill_tokens(),
        )
        state.dispatches_by_id[number] = dispatch
        state.cached_prefixes.record_blocks(hashes, now_ms)
        await trio.sleep(HOP_MS / 1000)
        engine = self.engines_by_name[state.spec.name]
        engine_request = EngineRequest(
            str(number),
            b"",
            arrival.answer_tokens,
            PRIORITY_BY_LENGTH[estimate.length_class],
        )
        engine_request.prompt_tokens = engine_request.remaining_prefill_tokens = (
            arrival.prompt_tokens
        )
        engine_request.block_hashes = hashes
        best_cached_tokens = max(
            e.model.count_cached_tokens(hashes) for e in self.engines
        )
        self.best_cached_tokens_by_number[number] = best_cached_tokens
        if arrival.at_s > WARM_UP_S:
            self.hit_tokens += engine.model.count_cached_tokens(hashes)
            self.best_hit_tokens += best_cached_tokens
        first_token_event = engine.submit(engine_request)
        await first_token_event.wait()
        elapsed_ms = (trio.current_time() - started) * 1000
        dispatch.first_token_ms = trio.current_time() * 1000
        state.update_prefill_rate(dispatch, elapsed_ms)
        del state.dispatches_by_id[number]
        if arrival.at_s > WARM_UP_S:
            self.first_token_ms_by_number[number] = elapsed_ms


def floor_ms(arrival, cached_tokens=None):
    """Return the time to first token on an idle engine with a prefix cached.

    Parameters
    ----------
    arrival : Arrival
    cached_tokens : int or None
        Cached tokens; the whole shared prefix if None.
    """
    profile = EngineProfile()
    if cached_tokens is None:
        cached_tokens = arrival.shared_prefix_tokens // BLOCK_TOKENS * BLOCK_TOKENS
    own = max(1, arrival.prompt_tokens - cached_tokens)
    steps_ms = own / profile.prefill_tokens_per_ms
    # The token itself takes one decode step after the last chunk of the prompt.
    return HOP_MS + steps_ms + profile.decode_step_ms


def quantile(values, share):
    """Return a quantile of a list."""
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, math.ceil(share * len(ranked)) - 1)]


def run_policy(deployment, policy_type, arrivals):
    """Run one policy on arrivals and return the finished `PolicyRun`."""
    run = PolicyRun(deployment, policy_type, arrivals)
    trio.run(run.main, clock=trio.testing.MockClock(autojump_threshold=0))
    return run


def p95_floor_ratio(run, arrivals, length_classes, is_prefix_cached=True):
    """Return the p95 of time to first token over its floor for some classes.

    Parameters
    ----------
    is_prefix_cached : bool
        Whether the floor assumes the whole shared prefix cached; otherwise the most
        tokens that an engine had cached when the request was dispatched.
    """
    values = [
        elapsed_ms
        / floor_ms(
            arrivals[number],
            None if is_prefix_cached else run.best_cached_tokens_by_number[number],
        )
        for number, elapsed_ms in run.first_token_ms_by_number.items()
        if length_class(arrivals[number].prompt_tokens) in length_classes
    ]
    return quantile(values, 0.95)


def p95_short_first_token_ms(run, arrivals):
    """Return the p95 time to first token of short requests."""
    return quantile(
        [
            elapsed_ms
            for number, elapsed_ms in run.first_token_ms_by_number.items()
            if length_class(arrivals[number].prompt_tokens) is LengthClass.SHORT
        ],
        0.95,
    )


SHORT_CLASSES = (LengthClass.SHORT,)
LONG_CLASSES = (LengthClass.LONG, LengthClass.VERY_LONG)


def deployment_figures(deployment):
    """Return the figures of all policies for one deployment."""
    arrivals = traffic(deployment, SEED)
    short_arrivals = [arrival for arrival in arrivals if not arrival.is_long]
    figures = []
    for name, policy_type in POLICIES.items():
        mixed_run = run_policy(deployment, policy_type, arrivals)
        short_only_run = run_policy(deployment, policy_type, short_arrivals)
        is_bounded = name == POLICY_IN_USE
        label = f"{deployment.name}, {name}"
        slowdown = p95_short_first_token_ms(
            mixed_run, arrivals
        ) / p95_short_first_token_ms(short_only_run, short_arrivals)
        figures += [
            Figure(
                f"{label}: short slowdown by long, p95",
                slowdown,
                "",
                SHORT_SLOWDOWN_BOUND if is_bounded else None,
                SHORT_SLOWDOWN_AIM if is_bounded else None,
            ),
            Figure(
                f"{label}: short first token to floor, p95",
                p95_floor_ratio(mixed_run, arrivals, SHORT_CLASSES),
                "",
                SHORT_FLOOR_BOUND if is_bounded else None,
                SHORT_FLOOR_AIM if is_bounded else None,
            ),
            Figure(
                f"{label}: long first token to floor, p95",
                p95_floor_ratio(mixed_run, arrivals, LONG_CLASSES),
                "",
                LONG_FLOOR_BOUND if is_bounded else None,
                LONG_FLOOR_AIM if is_bounded else None,
            ),
            Figure(
                f"{label}: long first token to the best cached floor, p95",
                p95_floor_ratio(
                    mixed_run, arrivals, LONG_CLASSES, is_prefix_cached=False
                ),
                "",
            ),
            Figure(
                f"{label}: prefix tokens missed of the best cached",
                1 - mixed_run.hit_tokens / max(1, mixed_run.best_hit_tokens),
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
