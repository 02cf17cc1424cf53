"""Choice of the endpoint for each attempt, and the attempt's timeouts."""

import math

import msgspec

from vanillareach.core.engine_room import EngineRoom, FreeRoom
from vanillareach.core.engine_time import decode_ms, pass_ms
from vanillareach.core.load_state import EngineLoad, InFlightRequest
from vanillareach.core.placement_types import (
    OLDER_VERSIONS_WORTH,
    EngineView,
    GenerationRequest,
    Placement,
)
from vanillareach.core.remaining_work import DEFAULT_CALL_MS, queue_ms
from vanillareach.core.request_costs import CostTraits
from vanillareach.core.retry_book import RetryBook
from vanillareach.core.routing import RequestKind
from vanillareach.core.shutdown_admission import ShutdownAdmission
from vanillareach.core.start_decision import ends_in_time, is_put_off
from vanillareach.core.state_change import ChangeKind
from vanillareach.core.unavailability import find_unavailability
from vanillareach.core.waiting import engine_time_ms, least_answer_ms

# Longest prompt that counts as short in the priority number sent to endpoints.
SHORT_PROMPT_TOKENS = 16_000
# An endpoint's priority number has one rank for short and one for long prompts within
# each rank of the route or team.
LENGTH_RANKS_PER_PRIORITY = 2
LOWEST_ENDPOINT_PRIORITY = 9
# Time reserved for a second attempt: this multiple of the predicted time to the first
# event, plus slack.
SECOND_ATTEMPT_FACTOR = 2.0
SECOND_ATTEMPT_SLACK_MS = 1_500.0
# Minimum timeout for the first event: this multiple of its predicted time, plus slack.
MIN_FIRST_EVENT_TIMEOUT_FACTOR = 1.5
MIN_FIRST_EVENT_TIMEOUT_SLACK_MS = 600.0
# Callers abandon a stream without events for this long: a fixed time, or this multiple
# of the route's latency objective or pause limit, whichever is longest. An attempt is
# given up after a share of that, so that another one can still continue the stream.
CALLER_IDLE_TIMEOUT_MS = 2_000.0
CALLER_IDLE_TIMEOUT_OBJECTIVES = 4.0
CALLER_IDLE_TIMEOUT_PAUSES = 8.0
EVENT_GAP_TIMEOUT_SHARE = 0.65
# A plain call without a first byte after this time is sent to another endpoint, unless
# the route's timeout is too short for two such attempts.
PLAIN_FIRST_BYTE_TIMEOUT_MS = 700.0
# Upper bound of the random cost added to an engine, in late callers, per instance of
# the fleet. It keeps instances with the same view from all choosing the same engine.
COST_JITTER_PER_INSTANCE = 0.002
# Number of instances above which the random cost grows no further.
MAX_JITTER_INSTANCES = 100
# Expected number of requests that one other instance has placed but not yet reported:
# the request rate of an instance times the latency of load updates, about 10 ms.
UNREPORTED_REQUESTS_PER_INSTANCE = 0.015
# Share of those that a placer doesn't know yet: the ones that other domains place,
# which reach it within some 4 ms.
PLACER_UNREPORTED_SHARE = 0.3
# Maximum time by which refused callers return later than the first endpoint takes
# requests again.
UNAVAILABLE_RETRY_JITTER_MS = 400.0
# Pending prefill of an engine above which it explains why an event is overdue.
BUSY_PREFILL_MS = 60.0
# Network latency between caller and instance, which is deducted from the latency
# objective.
CALLER_LATENCY_MS = 12.0
# Load of a plain endpoint, as a share of its slots, for which a cold one is used
# instead: the other ones serve in time, and a cold one costs a round trip for a permit.
COLD_LOAD = 0.5
# Costs of a plain call at an endpoint in multiples of its predicted time, besides its
# predicted completion: for the work left there, shared by the slots, which calls not
# reported yet add to; for each share of failed attempts; in another failure domain.
PLAIN_WORK_WEIGHT = 0.1
PLAIN_FAILURE_WEIGHT = 2.0
PLAIN_OTHER_DOMAIN_COST = 0.05
PLAIN_JITTER = 0.02
NO_LOAD = EngineLoad()


class Dispatcher:
    """Chooses endpoints by the load and health that this instance knows.

    Parameters
    ----------
    state : GatewayState
    domain : str
        Failure domain of this instance.
    random : random.Random
    policy : EnginePolicy

    Attributes
    ----------
    shutdown : ShutdownAdmission
    """

    def __init__(self, state, domain, random, policy):
        self._state = state
        self._domain = domain
        self._random = random
        self._policy = policy
        self._last_flight_id = 0
        self._retry_books_by_service = {}
        self.shutdown = ShutdownAdmission(state)
        self._uses_costs = policy is not None and policy.uses_costs
        if self._uses_costs:
            state.costs.is_enabled = True

    def choose(self, exchange, now_ms, denied=frozenset()):
        """Return the `Placement` of the next attempt, or None; see `place`.

        Parameters
        ----------
        exchange : GatewayExchange
        now_ms : float
        denied : frozenset or set of str
            Ids of endpoints that take no further request now.
        """
        return self.place(
            exchange.service,
            self.generation_request(exchange, now_ms),
            self.excluded_ids(exchange, denied, now_ms),
            exchange.first_event_ms is None,
            now_ms,
            self._predicted_work(exchange, now_ms)[0],
        )

    def excluded_ids(self, exchange, denied, now_ms):
        """Return the ids of endpoints that a request must not use now.

        Endpoints whose paths pass nothing from this instance are among them unless no
        other one of the service is left.
        """
        excluded = exchange.excluded_endpoints | denied
        excluded |= self._state.withheld_endpoints().keys()
        avoided = self._state.paths.avoided_ids(now_ms)
        if avoided:
            usable = self._state.endpoints.usable(exchange.service.name)
            if {endpoint.id for endpoint in usable} - excluded - avoided:
                excluded |= avoided
        return excluded

    def generation_request(self, exchange, now_ms):
        """Return the `GenerationRequest` to place, or None for a plain call."""
        fields, route = exchange.fields, exchange.route
        if not exchange.is_generation:
            return None
        waited_ms = now_ms - exchange.request.received_ms
        predicted_tokens, high_tokens = self._predicted_work(exchange, now_ms)
        return GenerationRequest(
            prompt_tokens=fields.prompt_tokens,
            answer_tokens=fields.answer_tokens,
            time_to_objective_ms=route.objective_ms - waited_ms - CALLER_LATENCY_MS,
            time_to_deadline_ms=exchange.deadline_ms - now_ms,
            pause_limit_ms=route.pause_limit_ms,
            worth=OLDER_VERSIONS_WORTH,
            domain=self._domain,
            time_to_shutdown_ms=self.shutdown.time_left_ms(exchange, now_ms),
            least_answer_ms=self.shutdown.least_answer_ms(exchange, now_ms),
            objective_ms=route.objective_ms,
            predicted_tokens=predicted_tokens,
            high_tokens=high_tokens,
        )

    def _predicted_work(self, exchange, now_ms):
        """Return median and high quantile of a request's cost; 0 if unknown.

        Where costs aren't learned, that of a generation is what its caller tells.

        The first prediction holds for all attempts of the request: a second attempt
        is predicted to cost what is left.
        """
        if not self._uses_costs:
            return self._told_work(exchange)
        if exchange.cost_traits is None:
            exchange.cost_traits = cost_traits_of(exchange)
            costs = self._state.costs.model
            exchange.cost_prediction = costs.predict(exchange.cost_traits, now_ms)
        prediction = exchange.cost_prediction
        if prediction is None:
            return self._told_work(exchange)
        done = self._tokens_done(exchange)
        if not done:
            return round(prediction.median), round(prediction.high)
        rest = self._state.costs.model.predict(exchange.cost_traits, now_ms, done)
        return max(1, round(rest.median - done)), max(1, round(rest.high - done))

    def _told_work(self, exchange):
        """Return the length of an answer that its caller tells, as median and quantile.

        Both are 0 if it tells none. The maximum of tokens tells nothing if no engine
        could make so many within the time that the caller has given.
        """
        if not exchange.is_generation:
            return 0, 0
        figures, fields = exchange.service.engine, exchange.fields
        tokens = min(fields.length_hint, fields.answer_tokens) or fields.answer_tokens
        time_ms = exchange.deadline_ms - exchange.request.received_ms
        if decode_ms(figures, tokens, 1, fields.prompt_tokens) > time_ms:
            return 0, 0
        tokens_left = max(1, tokens - self._tokens_done(exchange))
        return tokens_left, tokens_left

    def _tokens_done(self, exchange):
        if not exchange.is_generation or not exchange.last_event_id:
            return 0
        return exchange.last_event_id * exchange.service.engine.steps_per_pass

    def record_cost(self, exchange, now_ms):
        """Learn from a request whose attempts have ended."""
        if not self._uses_costs or exchange.cost_traits is None:
            return
        sent = [a for a in exchange.attempts if a.may_have_run and a.flight]
        if not sent:
            return
        attempt = sent[-1]
        is_complete = exchange.is_answered
        if exchange.cost_traits.size_class:
            cost = self._tokens_done(exchange)
        elif exchange.route.kind is RequestKind.STREAM:
            # Without the length of the prompt its work isn't counted in tokens.
            return
        elif is_complete:
            cost = exchange.service_ms
        elif attempt.placement.wait_ms > 0 or exchange.failure_response is not None:
            return
        else:
            cost = now_ms - attempt.sent_ms
        if cost is None:
            return
        model = self._state.costs.model
        model.observe(exchange.cost_traits, cost, is_complete, now_ms)
        model.record_error(exchange.cost_prediction, cost, is_complete)

    def place(self, service, generation, excluded, may_be_refused, now_ms, call_ms=0.0):
        """Return the `Placement` of an attempt by the load known here, or None.

        None means that no endpoint has room, that the request couldn't be answered by
        its deadline where it is, or that it is put off; see `start_decision`.

        Parameters
        ----------
        service : RoutedService
            As configured when the request was admitted: the configuration in force may
            no longer have it.
        generation : GenerationRequest or None
            None for a call of a plain service.
        excluded : collection of str
            Ids of endpoints that are not to be used.
        may_be_refused : bool
            Whether a request may be refused or put off; a stream that has begun is
            continued.
        now_ms : float
        call_ms : float
            Predicted time of a plain call; 0 if unknown.
        """
        state = self._state
        candidates = self._candidates(service, excluded, now_ms)
        if not candidates:
            return None
        loads = state.load_state.loads_by_engine(now_ms)
        if generation is None and self._uses_costs:
            return self._choose_plain_by_work(candidates, loads, call_ms, now_ms)
        if generation is None:
            return self._choose_plain(candidates, loads, now_ms)
        figures = service.engine
        placement = self._policy.place(
            msgspec.structs.replace(
                generation,
                unreported_requests=self._unreported_requests(),
                other_domain_cost=self._state.other_domain_cost,
            ),
            figures,
            self._engine_views(candidates, loads, now_ms),
        )
        if placement is None or not may_be_refused:
            return placement
        if is_put_off(generation, figures, placement):
            return None
        return placement if ends_in_time(generation, figures, placement) else None

    def free_room(self, service, excluded, now_ms):
        """Return the `FreeRoom` of a service's engines; see `place`."""
        loads = self._state.load_state.loads_by_engine(now_ms)
        rooms = [
            EngineRoom(
                endpoint.id,
                service.engine,
                loads.get(endpoint.id, NO_LOAD),
                self._state.paces.pace(endpoint.id, now_ms),
            )
            for endpoint in self._candidates(service, excluded, now_ms)
        ]
        return FreeRoom(rooms, service.engine.memory_tokens)

    def _candidates(self, service, excluded, now_ms):
        candidates = [
            endpoint
            for endpoint in self._state.endpoints.usable(service.name)
            if endpoint.id not in excluded
        ]
        return self._state.health.prefer_healthy(candidates, now_ms)

    def unavailability(self, exchange):
        """Return the `Unavailability` of a request's service, or None."""
        return find_unavailability(
            self._state.endpoints,
            self._state.withheld_endpoints(),
            exchange.service.name,
            exchange.excluded_endpoints,
        )

    def _choose_plain(self, candidates, loads, now_ms):
        health, limits = self._state.health, self._state.limits

        def cost(endpoint):
            running = loads.get(endpoint.id, NO_LOAD).running
            return (
                (running + 1) / max(1, endpoint.slots)
                + health.failure_share(endpoint.key, now_ms)
                + (0.0 if endpoint.domain == self._domain else 0.05)
                + COLD_LOAD * (limits.cold_remaining_ms(endpoint.key, now_ms) > 0)
                + 0.02 * self._random.random()
            )

        return Placement(min(candidates, key=cost))

    def _choose_plain_by_work(self, candidates, loads, call_ms, now_ms):
        """Return the placement with the earliest predicted completion."""
        health, call_ms = self._state.health, call_ms or DEFAULT_CALL_MS
        best, waits_ms = None, []
        for endpoint in candidates:
            load = loads.get(endpoint.id, NO_LOAD)
            slots = max(1, endpoint.slots)
            wait_ms, work_ms = queue_ms(load.prefilling_requests, slots)
            waits_ms.append(wait_ms)
            cost = (
                (wait_ms + PLAIN_WORK_WEIGHT * work_ms / slots) / call_ms
                + PLAIN_FAILURE_WEIGHT * health.failure_share(endpoint.key, now_ms)
                + PLAIN_JITTER * self._random.random()
            )
            if endpoint.domain != self._domain:
                cost += PLAIN_OTHER_DOMAIN_COST
            if best is None or cost < best[0]:
                best = (cost, endpoint, wait_ms, work_ms, load.running)
        _, endpoint, wait_ms, work_ms, running = best
        why = (
            f"call takes {call_ms:.0f} ms; {running} calls there have {work_ms:.0f} ms "
            f"left; slot in {wait_ms:.0f} ms, elsewhere in "
            f"{min(waits_ms):.0f} to {max(waits_ms):.0f} ms"
        )
        return Placement(endpoint, why=why, wait_ms=wait_ms)

    def _unreported_requests(self):
        """Return the expected requests that others have placed but not reported."""
        state = self._state
        per_instance = UNREPORTED_REQUESTS_PER_INSTANCE
        if state.is_placer:
            per_instance *= PLACER_UNREPORTED_SHARE
        return per_instance * state.instance_count

    def _engine_views(self, candidates, loads, now_ms):
        """Return the `EngineView` of each candidate, in random order."""
        health, paces = self._state.health, self._state.paces
        limits, cold_engines = self._state.limits, self._state.cold_engines
        # The more instances place requests, the more placements are not known here yet.
        jitter = COST_JITTER_PER_INSTANCE * min(
            self._state.placing_instance_count, MAX_JITTER_INSTANCES
        )
        views = [
            EngineView(
                endpoint,
                loads.get(endpoint.id, NO_LOAD),
                health.failure_share(endpoint.key, now_ms),
                max(
                    paces.pace(endpoint.id, now_ms),
                    cold_engines.expected_pace(endpoint, now_ms),
                ),
                jitter=jitter * self._random.random(),
                is_limited=limits.is_limited(endpoint.key),
                is_cold=limits.cold_remaining_ms(endpoint.key, now_ms) > 0,
            )
            for endpoint in candidates
        ]
        self._random.shuffle(views)
        return views

    def event_gap_predictor(self, now_ms):
        """Return the function `expected_gap_ms` that `EnginePaces.update_paces` takes.

        It predicts by the load known here.
        """
        loads = self._state.load_state.loads_by_engine(now_ms)

        def expected_gap_ms(engine):
            load = loads.get(engine)
            if load is None:
                return None
            return self.event_gap_ms(
                engine,
                len(load.decoding_requests),
                load.context_tokens,
                load.pending_prefill_ms,
            )

        return expected_gap_ms

    def event_gap_ms(self, engine, decoding_count, context_tokens, pending_prefill_ms):
        """Return the time between events of an engine by its published figures.

        None if it isn't known, or if prefill lengthens the time.
        """
        state = self._state
        endpoint = state.endpoints.by_id.get(engine)
        if endpoint is None or pending_prefill_ms or not decoding_count:
            return None
        service = state.configuration.services_by_name.get(endpoint.service)
        if service is None or service.engine is None:
            return None
        return pass_ms(service.engine, decoding_count, context_tokens)

    def may_wait(self, exchange, now_ms):
        """Return whether a request for which no engine has room may wait.

        It may while it can still be answered by its deadline. There is nothing to wait
        for without an endpoint that may be asked.
        """
        if not exchange.is_generation or self._state.is_stopping:
            return False
        if self.unavailability(exchange) is not None:
            return False
        service = exchange.service
        excluded = self.excluded_ids(exchange, frozenset(), now_ms)
        candidates = self._candidates(service, excluded, now_ms)
        if not candidates:
            return False
        generation = self.generation_request(exchange, now_ms)
        answer_ms = least_answer_ms(service.engine, generation, len(candidates))
        return answer_ms <= generation.time_to_deadline_ms

    def record_dispatch(self, exchange, placement, now_ms):
        """Record the dispatch of a request and return its `InFlightRequest`."""
        flight = placed_flight(
            self.unplaced_flight(exchange, placement.flight_id, now_ms), placement
        )
        state = self._state
        state.load_state.add(flight, now_ms)
        state.record_dispatches(state.name, (flight,))
        state.publish(ChangeKind.FLIGHTS)
        return flight

    def unplaced_flight(self, exchange, flight_id=0, now_ms=0.0):
        """Return the `InFlightRequest` of a request whose endpoint isn't chosen yet.

        Parameters
        ----------
        exchange : GatewayExchange
        flight_id : int
            Id of the flight; 0 for a new one.
        now_ms : float
        """
        if not flight_id:
            self._last_flight_id += 1
            flight_id = self._last_flight_id
        fields, route = exchange.fields, exchange.route
        predicted_work, high_work = self._predicted_work(exchange, now_ms)
        return InFlightRequest(
            id=flight_id,
            engine="",
            helpers=(),
            reserved_tokens=(),
            prompt_tokens=fields.prompt_tokens,
            memory_tokens=fields.prompt_tokens + fields.answer_tokens,
            part_prefill_ms=0.0,
            objective_ms=route.objective_ms,
            pause_limit_ms=route.pause_limit_ms,
            worth=OLDER_VERSIONS_WORTH,
            is_prefilling=True,
            age_ms=0.0,
            priority=exchange.priority,
            predicted_work=predicted_work,
            high_work=high_work,
        )

    def record_first_event(self, flight, now_ms):
        """Record that the first event of an in-flight request has arrived."""
        self._state.load_state.mark_decoding(flight, now_ms)
        self._state.publish(ChangeKind.FLIGHTS)

    def record_end(self, flight):
        """Record that a request is no longer in flight, if it still was."""
        if self._state.load_state.remove(flight.id):
            self._state.publish(ChangeKind.FLIGHTS)

    def endpoint_priority(self, exchange):
        """Return the priority number for the endpoint, or None for the default.

        A lower number is more urgent: route and team come first, then short prompts.
        """
        tokens = exchange.fields.prompt_tokens
        if not tokens:
            return None
        length_rank = 0 if tokens <= SHORT_PROMPT_TOKENS else 1
        return min(
            LOWEST_ENDPOINT_PRIORITY,
            LENGTH_RANKS_PER_PRIORITY * exchange.priority + length_rank,
        )

    def first_byte_timeout_ms(self, exchange, placement, now_ms):
        """Return the time without a first byte after which an attempt is given up.

        It is infinite if the request must not run twice, or if the route's timeout is
        too short for two plain calls.
        """
        route = exchange.route
        if not route.is_repeatable:
            return float("inf")
        if route.kind is RequestKind.STREAM:
            predicted_ms = placement.first_event_ms
            second_attempt_ms = (
                SECOND_ATTEMPT_FACTOR * predicted_ms + SECOND_ATTEMPT_SLACK_MS
            )
            remaining_ms = exchange.deadline_ms - now_ms
            min_timeout_ms = (
                MIN_FIRST_EVENT_TIMEOUT_FACTOR * predicted_ms
                + MIN_FIRST_EVENT_TIMEOUT_SLACK_MS
            )
            return max(
                min_timeout_ms,
                min(
                    self.event_gap_timeout_ms(exchange),
                    remaining_ms - second_attempt_ms,
                ),
            )
        if route.timeout_ms < 2 * PLAIN_FIRST_BYTE_TIMEOUT_MS:
            return float("inf")
        return PLAIN_FIRST_BYTE_TIMEOUT_MS

    def event_gap_timeout_ms(self, exchange):
        """Return the time between events after which an attempt is given up.

        It is infinite if the request must not run twice.
        """
        route = exchange.route
        if not route.is_repeatable:
            return float("inf")
        return EVENT_GAP_TIMEOUT_SHARE * max(
            CALLER_IDLE_TIMEOUT_MS,
            CALLER_IDLE_TIMEOUT_OBJECTIVES * route.objective_ms,
            CALLER_IDLE_TIMEOUT_PAUSES * route.pause_limit_ms,
        )

    def is_prefill_pending(self, flight, now_ms):
        """Return whether pending prefill explains why a request's event is overdue.

        The engine and the helpers of the request count, with the prefill of all their
        requests.
        """
        loads = self._state.load_state.loads_by_engine(now_ms)
        return explains_silence(
            loads[engine].pending_prefill_ms
            for engine in (flight.engine, *flight.helpers)
            if engine in loads
        )

    def refusal_retry_after_ms(self, exchange, now_ms):
        """Return the delay after which the caller of a refused request may try again.

        It is when an endpoint that takes none now may be asked again, or when room is
        predicted.
        """
        unavailability = self.unavailability(exchange)
        if unavailability is not None and unavailability.wait_ms is not None:
            jitter_ms = UNAVAILABLE_RETRY_JITTER_MS * self._random.random()
            return unavailability.wait_ms + jitter_ms
        service = exchange.service
        if unavailability is not None:
            wait_ms, work_ms = math.inf, 0.0
        elif not exchange.is_generation:
            wait_ms, work_ms = self._call_wait_ms(service, now_ms)
        else:
            generation = self.generation_request(exchange, now_ms)
            room = self.free_room(service, frozenset(), now_ms)
            tokens = generation.prompt_tokens + generation.answer_tokens
            wait_ms = room.predicted_wait_ms(tokens, ())
            work_ms = engine_time_ms(service.engine, generation)
            work_ms /= max(1, room.engine_count)
        return self.booked_retry_ms(
            service.name,
            exchange.priority,
            wait_ms,
            work_ms,
            exchange.deadline_ms - now_ms,
            now_ms,
        )

    def _call_wait_ms(self, service, now_ms):
        """Return the wait of a plain call for a slot, and its time at all endpoints."""
        loads = self._state.load_state.loads_by_engine(now_ms)
        slots, waits_ms = 0, []
        for endpoint in self._candidates(service, frozenset(), now_ms):
            flights = loads.get(endpoint.id, NO_LOAD).prefilling_requests
            slots += max(1, endpoint.slots)
            waits_ms.append(queue_ms(flights, endpoint.slots)[0])
        return min(waits_ms, default=math.inf), DEFAULT_CALL_MS / max(1, slots)

    def booked_retry_ms(
        self, service, priority, wait_ms, work_ms, time_to_deadline_ms, now_ms
    ):
        """Return when a refused caller should try again; see `RetryBook`."""
        book = self._retry_books_by_service.setdefault(service, RetryBook())
        return book.retry_after_ms(
            priority,
            wait_ms,
            work_ms,
            time_to_deadline_ms,
            self._random.random(),
            now_ms,
        )


def explains_silence(pending_prefills_ms):
    """Return whether pending prefill of an engine explains that no event comes."""
    return any(pending_ms > BUSY_PREFILL_MS for pending_ms in pending_prefills_ms)


def placed_flight(flight, placement):
    """Return an `InFlightRequest` with the endpoints that were chosen for it."""
    return msgspec.structs.replace(
        flight,
        engine=placement.endpoint.id,
        helpers=tuple(helper.id for helper in placement.helpers),
        reserved_tokens=placement.reserved_tokens,
        memory_tokens=flight.memory_tokens - sum(placement.reserved_tokens),
        part_prefill_ms=placement.part_prefill_ms,
    )


def cost_traits_of(exchange):
    """Return the `CostTraits` of a request."""
    fields, team = exchange.fields, exchange.team
    traits = CostTraits(exchange.route.name, team=team.name if team else "")
    if exchange.is_generation:
        traits.size_class = fields.prompt_tokens.bit_length()
        traits.part = fields.prompt_parts[-1] if fields.prompt_parts else ""
        traits.hint_tokens = fields.length_hint
        if fields.answer_tokens:
            traits.limit = fields.answer_tokens
    return traits
