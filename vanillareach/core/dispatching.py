"""Where a request goes next, and how long its silence is borne."""

import math

from vanillareach.core.engine_time import pass_ms
from vanillareach.core.load_picture import EngineLoad, Flight
from vanillareach.core.placement_types import (
    EngineView,
    GenerationNeed,
    Placement,
)
from vanillareach.core.routing import RequestKind

# Prompts up to this length are short ones.
SHORT_TOKENS = 16_000
# Ranks of the endpoint's priority number taken by one rank of route or team.
RANKS_PER_PRIORITY = 2
LAST_PRIORITY = 9
# Time kept for a second attempt: this many predictions, and some slack.
SECOND_ATTEMPT_FACTOR = 2.0
SECOND_ATTEMPT_SLACK_MS = 1_500.0
# Silence before the first event that is always borne, in predictions and besides.
FIRST_EVENT_FACTOR = 1.5
FIRST_EVENT_SLACK_MS = 600.0
# Callers leave a stream after this silence: a fixed time, or multiples of what the
# route owes, whichever is longest. It is given up at a part of that.
CALLER_GAP_MS = 2_000.0
CALLER_GAP_OBJECTIVES = 4.0
CALLER_GAP_PAUSES = 8.0
GAP_SHARE = 0.65
# Silence of a plain call after which another endpoint is asked, if the time left then
# is as long again.
PLAIN_SILENCE_MS = 700.0
# Random cost of an engine, in worth, for each instance that places at the same time.
JITTER_PER_INSTANCE = 0.002
MAX_JITTER_INSTANCES = 100
# Requests of each other instance that are placed but not yet known here: the rate of an
# instance times the way of the news, some 10 ms.
UNSEEN_PER_INSTANCE = 0.015
# Part of its latency objective that a request waits for a place.
WAIT_SHARE = 0.25
# Refused callers return within these times, spread by up to this part of them.
MIN_RETRY_AFTER_MS = 300.0
MAX_RETRY_AFTER_MS = 3_000.0
RETRY_SPREAD = 0.5
# Reading left at an engine that explains its silence.
READING_LEFT_MS = 60.0
# A token written counts as so many read ones, and so many make a unit of worth.
TOKENS_PER_ANSWER_TOKEN = 10
TOKENS_PER_WORTH = 13_000
# Part of a latency objective that is spent between caller and instance.
CALLER_WAY_MS = 12.0
EMPTY = EngineLoad()


class Dispatcher:
    """Chooses endpoints over what an instance knows.

    Parameters
    ----------
    state : GatewayState
    domain : str
    random : random.Random
    policy : EnginePolicy
    """

    def __init__(self, state, domain, random, policy):
        self._state = state
        self._domain = domain
        self._random = random
        self._policy = policy
        self._number = 0

    def choose(self, exchange, now_ms):
        """Return the `Placement` of the next attempt, or None if there is none."""
        state = self._state
        usable = [
            endpoint
            for endpoint in state.endpoints.usable(exchange.service.name)
            if endpoint.id not in exchange.tried
        ]
        usable = state.health.prefer_healthy(usable, now_ms)
        if not usable:
            return None
        loads = state.picture.loads_by_engine(now_ms)
        if exchange.service.engine is None or not exchange.fields.prompt_tokens:
            return self._choose_plain(usable, loads, now_ms)
        return self._choose_engine(exchange, usable, loads, now_ms)

    def _choose_plain(self, usable, loads, now_ms):
        health = self._state.health

        def cost(endpoint):
            running = loads.get(endpoint.id, EMPTY).running
            return (
                (running + 1) / max(1, endpoint.slots)
                + health.failure_share(endpoint.key, now_ms)
                + (0.0 if endpoint.domain == self._domain else 0.05)
                + 0.02 * self._random.random()
            )

        return Placement(min(usable, key=cost))

    def _choose_engine(self, exchange, usable, loads, now_ms):
        fields, route = exchange.fields, exchange.route
        waited_ms = now_ms - exchange.request.received_ms
        need = GenerationNeed(
            prompt_tokens=fields.prompt_tokens,
            answer_tokens=fields.answer_tokens,
            objective_left_ms=route.objective_ms - waited_ms - CALLER_WAY_MS,
            deadline_left_ms=exchange.deadline_ms - now_ms,
            pause_limit_ms=route.pause_limit_ms,
            worth=worth_of(fields),
            domain=self._domain,
            unseen=UNSEEN_PER_INSTANCE * self._state.instances,
            stay_ms=self._stay_ms(exchange, now_ms),
        )
        health = self._state.health
        # Dispatches of others that are not known yet grow with their number.
        jitter = JITTER_PER_INSTANCE * min(self._state.instances, MAX_JITTER_INSTANCES)
        views = [
            EngineView(
                endpoint,
                loads.get(endpoint.id, EMPTY),
                health.failure_share(endpoint.key, now_ms),
                self._state.paces.pace(endpoint.id, now_ms),
                jitter=jitter * self._random.random(),
            )
            for endpoint in usable
        ]
        self._random.shuffle(views)
        chosen = self._policy.place(need, exchange.service.engine, views)
        if chosen is None:
            return None
        # A stream that has begun goes on, whatever that costs.
        if chosen.gain < 0 and exchange.first_event_ms is None:
            return None
        return chosen

    def _stay_ms(self, exchange, now_ms):
        """Return how long this instance stays for a stream that is to begin."""
        if exchange.first_event_ms is not None:
            return math.inf
        return self._state.ends_ms - now_ms

    def expected_gap_ms(self, now_ms):
        """Return a function of an engine's id; see `EnginePaces.learn`."""
        state = self._state
        loads = state.picture.loads_by_engine(now_ms)

        def expected(engine):
            listed, load = state.endpoints.by_id.get(engine), loads.get(engine)
            if listed is None or load is None or load.reading_ms or not load.writers:
                return None
            service = state.table.services_by_name.get(listed.service)
            if service is None or service.engine is None:
                return None
            return pass_ms(service.engine, len(load.writers), load.context_tokens)

        return expected

    def may_wait(self, exchange, now_ms):
        """Return whether a request without a place may wait for one.

        Reading that is in progress ends soon, so a short wait places more than a
        refusal does; a longer one would only use up the caller's time.
        """
        if exchange.service.engine is None or self._state.is_stopping:
            return False
        waited_ms = now_ms - exchange.request.received_ms
        return waited_ms < WAIT_SHARE * exchange.route.objective_ms

    def begin(self, exchange, target, now_ms):
        """Record a dispatch and return its `Flight`."""
        self._number += 1
        fields, route = exchange.fields, exchange.route
        flight = Flight(
            id=self._number,
            engine=target.endpoint.id,
            helpers=tuple(helper.id for helper in target.helpers),
            held_tokens=target.held_tokens,
            prompt_tokens=fields.prompt_tokens,
            memory_tokens=fields.prompt_tokens
            + fields.answer_tokens
            - sum(target.held_tokens),
            part_ms=target.part_ms,
            objective_ms=route.objective_ms,
            pause_limit_ms=route.pause_limit_ms,
            worth=worth_of(fields),
            is_reading=True,
            age_ms=0.0,
        )
        self._state.picture.add(flight, now_ms)
        self._state.publish(only_flights=True)
        return flight

    def note_first_event(self, flight):
        """Record that a flight has begun to write."""
        self._state.picture.note_writing(flight)
        self._state.publish(only_flights=True)

    def end(self, flight):
        """Record the end of a dispatch."""
        self._state.picture.remove(flight.id)
        self._state.publish(only_flights=True)

    def endpoint_priority(self, exchange):
        """Return the priority number for the endpoint, or None for the default.

        Route and team rank first, then shorter prompts.
        """
        tokens = exchange.fields.prompt_tokens
        if not tokens:
            return None
        length_rank = 0 if tokens <= SHORT_TOKENS else 1
        return min(LAST_PRIORITY, RANKS_PER_PRIORITY * exchange.priority + length_rank)

    def silence_limit_ms(self, exchange, target, now_ms):
        """Return the silence before the first byte that is taken for a loss."""
        route = exchange.route
        if not route.is_repeatable:
            return float("inf")
        if route.kind is RequestKind.STREAM:
            predicted_ms = target.first_event_ms
            second_ms = SECOND_ATTEMPT_FACTOR * predicted_ms + SECOND_ATTEMPT_SLACK_MS
            left_ms = exchange.deadline_ms - now_ms
            least_ms = FIRST_EVENT_FACTOR * predicted_ms + FIRST_EVENT_SLACK_MS
            return max(least_ms, min(self.gap_limit_ms(exchange), left_ms - second_ms))
        if route.timeout_ms < 2 * PLAIN_SILENCE_MS:
            return float("inf")
        return PLAIN_SILENCE_MS

    def gap_limit_ms(self, exchange):
        """Return the silence between events that is taken for a loss."""
        route = exchange.route
        if not route.is_repeatable:
            return float("inf")
        return GAP_SHARE * max(
            CALLER_GAP_MS,
            CALLER_GAP_OBJECTIVES * route.objective_ms,
            CALLER_GAP_PAUSES * route.pause_limit_ms,
        )

    def is_explained(self, flight, now_ms):
        """Return whether a silence is due to reading that the engine has left."""
        loads = self._state.picture.loads_by_engine(now_ms)
        return any(
            loads[engine].reading_ms > READING_LEFT_MS
            for engine in (flight.engine, *flight.helpers)
            if engine in loads
        )

    def retry_after_ms(self, exchange, now_ms):
        """Return when a refused caller may find room: when most reading is done."""
        names = [e.id for e in self._state.endpoints.usable(exchange.service.name)]
        loads = self._state.picture.loads_by_engine(now_ms)
        left = sorted(loads.get(name, EMPTY).reading_ms for name in names)
        wait_ms = left[len(left) // 2] if left else MAX_RETRY_AFTER_MS
        spread = RETRY_SPREAD * self._random.random()
        return max(MIN_RETRY_AFTER_MS, min(MAX_RETRY_AFTER_MS, wait_ms)) * (1 + spread)


def worth_of(fields):
    """Return the relative worth of a generation: tokens in, and ten times out.

    Benefits of unlike prompts compare in it.
    """
    tokens = fields.prompt_tokens + TOKENS_PER_ANSWER_TOKEN * fields.answer_tokens
    return tokens / TOKENS_PER_WORTH
