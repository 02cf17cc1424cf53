"""Engines, callers and one placer, played event by event without a network."""

import heapq
import math
import random
from collections import Counter
from itertools import count
from types import SimpleNamespace

import msgspec

from vanillareach.core.dispatching import (
    CALLER_LATENCY_MS,
    Dispatcher,
    placed_flight,
)
from vanillareach.core.endpoint_list import ListedEndpoint
from vanillareach.core.engine_policies import PredictedLateness
from vanillareach.core.engine_time import decode_ms, pass_ms
from vanillareach.core.load_state import InFlightRequest
from vanillareach.core.ordered_placing import OrderedPlacement, PlacementAsk
from vanillareach.core.placement_types import (
    OLDER_VERSIONS_WORTH,
    GenerationRequest,
)
from vanillareach.core.routing import (
    EngineFigures,
    RequestKind,
    RoutedService,
    RoutedTeam,
    RouteTable,
)
from vanillareach.core.waiting import least_answer_ms
from vanillareach.features.steps.gateway_core import make_route
from vanillareach.gateway.ports import StorePosition
from vanillareach.gateway.settings import GatewaySettings
from vanillareach.gateway.state import GatewayState

POLL_MS = 60.0
# A sixth of the engines and requests of the first deployment in docs/hard-load.md.
ENGINE_COUNT = 9
FIGURES = EngineFigures(6, 382_500, 0.925, 0.002, 0.002, 256.0, 0.0917, 2_048, 52)
SERVICE = RoutedService("model", 100, FIGURES)
IMPATIENT_SHARE = 0.25
# Prompt and answer tokens, requests a second, objective, pause limit, priority.
KINDS = {
    "short": (4_960, 1_000, 34.5 / 6, 271.0, 200.0, 0),
    "medium": (45_000, 800, 5.5 / 6, 1_532.0, 500.0, 1),
    "long": (300_000, 800, 0.934 / 6, 8_055.0, 800.0, 2),
}


def route_table(priorities_by_route, team_priorities=()):
    """Return a `RouteTable` of one service with a route for each kind."""
    routes = []
    for name, priority in priorities_by_route.items():
        route = make_route(f"/{name}/", (("model", 1.0),))
        limits = {"objective_ms": KINDS[name][3], "pause_limit_ms": KINDS[name][4]}
        values = {f: getattr(route, f) for f in route.__slots__}
        values |= {"kind": RequestKind.STREAM, "priority": priority, **limits}
        routes.append(type(route)(**values))
    teams = {f"key-{n}": RoutedTeam(f"t{n}", p) for n, p in enumerate(team_priorities)}
    return RouteTable.build(1, routes, [SERVICE], teams or None, None)


class Caller:
    """One request of a caller, over all its attempts."""

    def __init__(self, number, kind, team, now_ms, generator):
        self.number, self.kind, self.team = number, kind, team
        self.tokens, self.answer, _, self.objective_ms, self.pause_ms, self.priority = (
            KINDS[kind]
        )
        self.sent_ms = now_ms
        self.deadline_ms = now_ms + generator.uniform(10_000, 15_000)
        self.is_impatient = generator.random() < IMPATIENT_SHARE
        self.tries = 0
        self.placed_ms = None
        self.first_event_ms = None
        self.is_served = False
        self.has_late_pause = False


class WaitingWorld:
    """Requests, engines and a placer that orders them, or leaves it to chance.

    Parameters
    ----------
    is_ordered : bool
    seed : int
    table : RouteTable or None
    """

    def __init__(self, is_ordered=True, seed=1, table=None):
        self.now_ms = 0.0
        self.random = random.Random(seed)
        clock = SimpleNamespace(now_ms=lambda: self.now_ms)
        self.state = GatewayState(GatewaySettings(name="p", domain="a"), clock)
        priorities = {name: kind[5] for name, kind in KINDS.items()}
        self.state.configuration = table or route_table(priorities)
        engines = [
            ListedEndpoint(f"e{n}", 1, "model", f"10.0.0.{n}:80", "a", 6, False)
            for n in range(ENGINE_COUNT)
        ]
        self.state.apply_endpoints(engines, StorePosition(0, 1), 0.0, "test")
        self.dispatcher = Dispatcher(
            self.state, "a", random.Random(seed + 1), PredictedLateness()
        )
        self.ordered = OrderedPlacement(self.state, self.dispatcher)
        self.is_ordered = is_ordered
        self.callers = []
        self.silent_count = 0
        self.placed = []
        self.refusals = Counter()
        self.retry_after_ms = []
        self._events, self._numbers = [], count(1)
        self._prefilled_ms = Counter()
        self._running = {}

    def at(self, time_ms, action, *values):
        """Call `action` at a time."""
        heapq.heappush(self._events, (time_ms, next(self._numbers), action, values))

    def run(self, until_ms=math.inf):
        """Play all events up to a time."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, action, values = heapq.heappop(self._events)
            action(*values)

    def add_load(self, duration_ms, rate_factor, team_of=lambda generator: "t0"):
        """Let callers arrive; `rate_factor` returns a kind's factor at a time."""
        for kind, values in KINDS.items():
            time_ms = 0.0
            while time_ms < duration_ms:
                rate = max(1e-6, values[2] * rate_factor(kind, time_ms)) / 1_000
                time_ms += min(1_000.0, self.random.expovariate(rate))
                if self.random.random() < min(1.0, rate * 1e9):
                    self.at(time_ms, self.arrive, kind, team_of(self.random))

    def arrive(self, kind, team):
        """Let a caller send its first request; return the `Caller`."""
        number = len(self.callers) + 1
        caller = Caller(number, kind, team, self.now_ms, self.random)
        self.callers.append(caller)
        self.send(caller)
        return caller

    def arrive_silently(self, kind, team, number=None):
        """Return a new `Caller` that doesn't ask by itself."""
        self.silent_count += 1
        number = number or self.silent_count
        return Caller(number, kind, team, self.now_ms, self.random)

    def send(self, caller):
        """Let a caller send its request, again or for the first time."""
        caller.tries += 1
        waiting_id = next(self._numbers)
        self.poll(caller, waiting_id, self.now_ms)

    def ask(self, caller, request_id, received_ms, **changes):
        """Return the `PlacementAsk` of a request that arrived at a time."""
        waited_ms = self.now_ms - received_ms
        generation = GenerationRequest(
            caller.tokens,
            caller.answer,
            caller.objective_ms - waited_ms - CALLER_LATENCY_MS,
            caller.deadline_ms - self.now_ms,
            caller.pause_ms,
            OLDER_VERSIONS_WORTH,
            "a",
            predicted_tokens=caller.answer,
            high_tokens=caller.answer,
            objective_ms=caller.objective_ms,
        )
        values = {
            "service": SERVICE,
            "generation": generation,
            "excluded": frozenset(),
            "may_be_refused": True,
            "sender": "m",
            "waiting_id": request_id,
            "priority": caller.priority,
            "team": caller.team,
            "objective_ms": caller.objective_ms,
            "pause_limit_ms": caller.pause_ms,
        }
        return PlacementAsk(**(values | changes))

    def poll(self, caller, waiting_id, received_ms):
        """Ask for an engine as a member does."""
        ask = self.ask(caller, waiting_id, received_ms)
        if self.is_ordered:
            decision = self.ordered.decide(ask, self.now_ms)
            placement, is_final = decision.placement, decision.is_final
            retry_after_ms = decision.retry_after_ms
            interval_ms = decision.ask_interval_ms
        else:
            placement = self.dispatcher.place(
                SERVICE, ask.generation, ask.excluded, True, self.now_ms
            )
            answer_ms = least_answer_ms(FIGURES, ask.generation, ENGINE_COUNT)
            is_final = answer_ms > ask.generation.time_to_deadline_ms
            retry_after_ms, interval_ms = None, POLL_MS
        if placement is not None:
            self._run(caller, placement, received_ms)
        elif is_final:
            if retry_after_ms is None:
                left_ms = caller.deadline_ms - self.now_ms
                retry_after_ms = self.dispatcher.booked_retry_ms(
                    "model", 0, 0.0, 0.0, left_ms, self.now_ms
                )
            self._refuse(caller, retry_after_ms)
        else:
            self.at(
                self.now_ms + interval_ms, self.poll, caller, waiting_id, received_ms
            )

    def _refuse(self, caller, retry_after_ms):
        self.refusals[caller.kind] += 1
        left_ms = caller.deadline_ms - self.now_ms
        self.retry_after_ms.append((self.now_ms, retry_after_ms, left_ms))
        delay_ms = min(retry_after_ms, left_ms / 3)
        if caller.is_impatient:
            delay_ms = 20.0
        if caller.tries < 12 and left_ms > 1_000.0:
            self.at(self.now_ms + delay_ms, self.send, caller)

    def _run(self, caller, placement, received_ms):
        caller.placed_ms = self.now_ms
        self.placed.append(caller)
        flight = placed_flight(
            InFlightRequest(
                caller.number,
                "",
                (),
                (),
                caller.tokens,
                caller.tokens + caller.answer,
                0.0,
                caller.objective_ms,
                caller.pause_ms,
                OLDER_VERSIONS_WORTH,
                True,
                0.0,
                caller.priority,
                caller.answer,
                caller.answer,
            ),
            placement,
        )
        loads = self.state.load_state.loads_by_engine(self.now_ms)
        for engine in (flight.engine, *flight.helpers):
            begin_ms = max(self.now_ms, self._prefilled_ms[engine])
            self._prefilled_ms[engine] = begin_ms + flight.part_prefill_ms
            gap_ms = self._prefilled_ms[engine] - self.now_ms
            for other in loads[engine].decoding_requests if engine in loads else ():
                victim = self._running[other.id]
                if pass_ms(FIGURES, 6, 0) + gap_ms > other.pause_limit_ms:
                    victim.has_late_pause = True
        # A part for another engine joins the helper's next pass.
        part_end_ms = self.now_ms + flight.part_prefill_ms
        prefilled_ms = max(part_end_ms, self._prefilled_ms[flight.engine])
        first_ms = prefilled_ms + pass_ms(FIGURES, 3, 0)
        self.state.load_state.add(flight, self.now_ms)
        self._running[flight.id] = caller
        caller.first_event_ms = first_ms - caller.sent_ms
        self.at(first_ms, self._begin_decoding, flight)

    def _begin_decoding(self, flight):
        self.dispatcher.record_first_event(flight, self.now_ms)
        load = self.state.load_state.loads_by_engine(self.now_ms)[flight.engine]
        decoding = len(load.decoding_requests)
        caller = self._running[flight.id]
        duration_ms = decode_ms(FIGURES, caller.answer, decoding, load.context_tokens)
        self.at(self.now_ms + duration_ms, self._end, flight)

    def _end(self, flight):
        self.dispatcher.record_end(flight)
        caller = self._running.pop(flight.id)
        caller.is_served = self.now_ms <= caller.deadline_ms


class KindFigures(msgspec.Struct):
    """What the callers of one kind of request got.

    Attributes
    ----------
    count, served : int
        All of them, and those whose answer was complete before their deadline.
    first_event_ms : list of float
        Time from the first try to the first event of those served, in order.
    late_pauses : int
        Served ones with a pause beyond their limit.
    in_time : int
        Served ones whose first event came within the objective, without such a pause.
    """

    count: int = 0
    served: int = 0
    first_event_ms: list = msgspec.field(default_factory=list)
    late_pauses: int = 0
    in_time: int = 0

    def quantile_ms(self, fraction):
        """Return a quantile of the times to the first event."""
        return self.first_event_ms[int(fraction * (len(self.first_event_ms) - 1))]


def figures_by_kind(callers):
    """Return the `KindFigures` of each kind of request."""
    figures = {kind: KindFigures() for kind in KINDS}
    for caller in sorted(callers, key=lambda c: c.first_event_ms or 0.0):
        own = figures[caller.kind]
        own.count += 1
        if caller.is_served:
            own.served += 1
            own.first_event_ms.append(caller.first_event_ms)
            own.late_pauses += caller.has_late_pause
            is_late = caller.first_event_ms > caller.objective_ms
            own.in_time += not (is_late or caller.has_late_pause)
    return figures


def long_surge(kind, time_ms):
    """Long prompts at 2.3 times their rate for 6 s, short ones at 1.8 in the middle."""
    if kind == "long":
        return 2.3 if 2_000 <= time_ms < 8_000 else 1.0
    return 1.8 if kind == "short" and 4_000 <= time_ms < 6_000 else 1.0


def alternating_bursts(kind, time_ms):
    """Bursts of 10 s of short prompts, then of long ones."""
    is_first = time_ms % 20_000 < 10_000
    return {"short": (0.3, 2.5), "long": (2.8, 0.05)}.get(kind, (1.0, 1.0))[is_first]


LOADS = {"long surge": long_surge, "alternating bursts": alternating_bursts}
