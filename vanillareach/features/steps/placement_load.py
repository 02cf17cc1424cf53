"""Steps that replay load patterns against the placement of generations."""

import math
from dataclasses import replace

from behave import given, then, when

from vanillareach.core.endpoint_list import ListedEndpoint
from vanillareach.core.engine_time import pass_ms
from vanillareach.core.load_state import EngineLoad, InFlightRequest, LoadState
from vanillareach.core.placement_types import (
    OLDER_VERSIONS_WORTH,
    OTHER_DOMAIN_COST,
    EngineView,
    GenerationRequest,
)
from vanillareach.core.routing import EngineFigures
from vanillareach.core.span_placement import place
from vanillareach.core.start_decision import ends_in_time, is_put_off

FIGURES = EngineFigures(
    slots=8,
    memory_tokens=405_000,
    step_ms=1.31,
    step_ms_per_writer=0.0018,
    step_ms_per_1k_context=0.00213,
    read_tokens_per_ms=154.0,
    attention_ms_per_1m_pairs=0.162,
    chunk_tokens=2048,
    steps_per_pass=34,
    hop_ms=0.1,
)
ENGINES = [
    ListedEndpoint(f"e{n}", 1, "model", f"10.0.0.{n}:80", "a", 8, False)
    for n in range(14)
]
SHORT_PROMPT_TOKENS = 5_000
SHORT_ANSWER_TOKENS = 1_300
OBJECTIVE_MS_BY_IS_SHORT = {True: 300.0, False: 4_000.0}
PAUSE_LIMIT_MS_BY_IS_SHORT = {True: 250.0, False: 1_000.0}


class LoadReplay:
    """The load state of a scenario and the placements made so far."""

    def __init__(self):
        self.load_state = LoadState()
        self.now_ms = 0.0
        self.failure_share_by_id = {}
        self.pace_by_id = {}
        self.placements = []
        self.refused_count = 0
        self.unreported_requests = 0.0
        self.time_to_deadline_ms = 10_000.0
        self.time_to_shutdown_ms = math.inf
        self.answer_tokens = SHORT_ANSWER_TOKENS
        self.domain_by_id = {}
        self.other_domain_cost = OTHER_DOMAIN_COST

    def views(self):
        """Return the `EngineView` of each engine."""
        loads = self.load_state.loads_by_engine(self.now_ms)
        return [
            EngineView(
                replace(engine, domain=self.domain_by_id.get(engine.id, "a")),
                loads.get(engine.id, EngineLoad()),
                self.failure_share_by_id.get(engine.id, 0.0),
                self.pace_by_id.get(engine.id, 1.0),
            )
            for engine in ENGINES
        ]

    def choose(self, tokens):
        """Return the placement of a prompt, or None."""
        is_short = tokens == SHORT_PROMPT_TOKENS
        request = GenerationRequest(
            tokens,
            self.answer_tokens,
            OBJECTIVE_MS_BY_IS_SHORT[is_short],
            self.time_to_deadline_ms,
            PAUSE_LIMIT_MS_BY_IS_SHORT[is_short],
            OLDER_VERSIONS_WORTH,
            "a",
            self.unreported_requests,
            self.time_to_shutdown_ms,
            self.other_domain_cost,
            predicted_tokens=self.answer_tokens,
            objective_ms=OBJECTIVE_MS_BY_IS_SHORT[is_short],
        )
        placement = place(request, FIGURES, self.views())
        if placement is None or is_put_off(request, FIGURES, placement):
            return None
        return placement if ends_in_time(request, FIGURES, placement) else None

    def arrive(self, tokens):
        """Place a prompt and record it, as an instance does."""
        placement = self.choose(tokens)
        if placement is None:
            self.refused_count += 1
            return
        is_short = tokens == SHORT_PROMPT_TOKENS
        flight = InFlightRequest(
            id=len(self.placements),
            engine=placement.endpoint.id,
            helpers=tuple(helper.id for helper in placement.helpers),
            reserved_tokens=placement.reserved_tokens,
            prompt_tokens=tokens,
            memory_tokens=tokens + SHORT_ANSWER_TOKENS - sum(placement.reserved_tokens),
            part_prefill_ms=placement.part_prefill_ms,
            objective_ms=OBJECTIVE_MS_BY_IS_SHORT[is_short],
            pause_limit_ms=PAUSE_LIMIT_MS_BY_IS_SHORT[is_short],
            worth=OLDER_VERSIONS_WORTH,
            is_prefilling=True,
            age_ms=0.0,
        )
        self.load_state.add(flight, self.now_ms)
        self.placements.append((placement, flight))

    def finish_prefills(self):
        """Let all in-flight requests decode."""
        for flight in self.load_state._own_flights.by_id.values():
            flight.is_prefilling = False


def replay(context):
    """Return the scenario's `LoadReplay`."""
    if not hasattr(context, "replay"):
        context.replay = LoadReplay()
    return context.replay


@given('engine "{name}" fails half of its requests')
def step_failing_engine(context, name):
    replay(context).failure_share_by_id[name] = 0.5


@given('engine "{name}" is {pace:d} times slower')
def step_slow_engine(context, name, pace):
    replay(context).pace_by_id[name] = pace


@given('every engine but "{name}" is {pace:d} times slower')
def step_all_slow_but_one(context, name, pace):
    paces = {engine.id: pace for engine in ENGINES if engine.id != name}
    replay(context).pace_by_id.update(paces)


@given("an instance that shuts down in {time_to_shutdown_ms:d} ms")
def step_instance_shutdown(context, time_to_shutdown_ms):
    replay(context).time_to_shutdown_ms = time_to_shutdown_ms


@when("a short prompt arrives whose answer takes about {answer_ms:d} ms")
def step_long_answer(context, answer_ms):
    load_replay = replay(context)
    load_replay.answer_tokens = round(answer_ms / FIGURES.step_ms)
    load_replay.arrive(SHORT_PROMPT_TOKENS)


@when("{count:d} short prompts arrive at once")
def step_short_prompts(context, count):
    load_replay = replay(context)
    for _ in range(count):
        load_replay.arrive(SHORT_PROMPT_TOKENS)
        # The prefill of a short prompt takes tens of ms; the next one arrives later.
        load_replay.now_ms += 40.0
        load_replay.finish_prefills()


@when("a prompt of {tokens:d} tokens arrives with {remaining_ms:d} ms left")
def step_prompt_near_deadline(context, tokens, remaining_ms):
    replay(context).time_to_deadline_ms = remaining_ms
    replay(context).arrive(tokens)


@when("a prompt of {tokens:d} tokens arrives")
def step_long_prompt(context, tokens):
    replay(context).arrive(tokens)


@when("{count:d} prompts of {tokens:d} tokens arrive {gap_ms:d} ms apart")
def step_long_prompts(context, count, tokens, gap_ms):
    load_replay = replay(context)
    for _ in range(count):
        load_replay.arrive(tokens)
        load_replay.now_ms += gap_ms


@then("at most {count:d} engines decode")
def step_decoding_engines(context, count):
    decoding_views = [
        view for view in context.replay.views() if view.load.decoding_requests
    ]
    assert 0 < len(decoding_views) <= count, len(decoding_views)


@then("no decoding request is predicted to pause for more than {limit_ms:d} ms")
def step_predicted_pauses(context, limit_ms):
    for view in context.replay.views():
        load = view.load
        if load.decoding_requests:
            pause_ms = pass_ms(
                FIGURES,
                len(load.decoding_requests),
                load.context_tokens,
                load.pending_prefill_ms,
            )
            assert pause_ms <= limit_ms, (view.endpoint.id, pause_ms)


@then("its first event is predicted within {limit_ms:d} ms")
def step_first_event_within(context, limit_ms):
    placement, _ = context.replay.placements[-1]
    assert placement.helpers
    assert placement.first_event_ms < limit_ms, placement


@then("a short prompt that arrives next is predicted to be in time")
def step_next_in_time(context):
    placement = context.replay.choose(SHORT_PROMPT_TOKENS)
    assert placement.first_event_ms < OBJECTIVE_MS_BY_IS_SHORT[True], placement


@then("each is predicted to be in time when the last has arrived")
def step_each_in_time(context):
    load_replay = context.replay
    loads = load_replay.load_state.loads_by_engine(load_replay.now_ms)
    assert len(load_replay.placements) == 4
    for _, flight in load_replay.placements:
        pending_prefill_ms = max(
            loads[engine].pending_prefill_ms
            for engine in (flight.engine, *flight.helpers)
        )
        age_ms = (
            load_replay.now_ms
            - load_replay.load_state._own_flights.dispatched_ms_by_id[flight.id]
        )
        assert age_ms + pending_prefill_ms < flight.objective_ms, (
            age_ms,
            pending_prefill_ms,
        )


@then("its memory is reserved without exceeding any engine's memory")
def step_memory_reserved(context):
    placement, flight = context.replay.placements[-1]
    assert sum(placement.reserved_tokens) > 0
    assert flight.memory_tokens <= FIGURES.memory_tokens
    for view in context.replay.views():
        assert view.load.memory_tokens <= FIGURES.memory_tokens, view.load


@then("it is refused")
def step_refused(context):
    assert context.replay.refused_count == 1, context.replay.placements[-1]


@then("it is placed")
def step_placed(context):
    assert context.replay.refused_count == 0
    assert len(context.replay.placements) == 1


@then("it is put off")
def step_put_off(context):
    assert context.replay.refused_count == 1, context.replay.placements[-1]


@then("it is placed beside them")
def step_placed_beside(context):
    load_replay = context.replay
    placement, flight = load_replay.placements[-1]
    assert load_replay.refused_count == 0 and flight.prompt_tokens > 100_000
    assert placement.first_event_ms < load_replay.time_to_deadline_ms, placement


@then("no engine has more than {count:d} requests")
def step_max_requests(context, count):
    assert max(view.load.running for view in context.replay.views()) <= count


@then("some prompts are refused")
def step_some_refused(context):
    assert context.replay.refused_count > 0


@then('engine "{name}" has no request')
def step_no_request(context, name):
    views = {view.endpoint.id: view for view in context.replay.views()}
    assert views[name].load.running == 0


@then(
    "with {unreported_requests:f} unreported requests "
    "the next short prompt {choice} their engine"
)
def step_unreported_requests(context, unreported_requests, choice):
    load_replay = context.replay
    load_replay.unreported_requests = unreported_requests
    # Placement batches short prompts on an engine until one slot is left.
    for _ in range(2):
        load_replay.arrive(SHORT_PROMPT_TOKENS)
        load_replay.now_ms += 40.0
        load_replay.finish_prefills()
    running = max(view.load.running for view in load_replay.views())
    assert (running == 7) is (choice == "joins"), running


@then('engine "{name}" has {count:d} requests')
def step_request_count(context, name, count):
    hosts = [flight.engine for _, flight in context.replay.placements]
    assert hosts.count(name) == count, hosts


@given(
    "half of the engines are in another domain, where {count:d} short prompts decode"
)
def step_other_domain(context, count):
    replay = context.replay = LoadReplay()
    replay.domain_by_id = {engine.id: "b" for engine in ENGINES[::2]}
    for engine in ENGINES[1::2]:
        replay.failure_share_by_id[engine.id] = 1.0
    for _ in range(count):
        replay.arrive(SHORT_PROMPT_TOKENS)
    replay.finish_prefills()
    replay.failure_share_by_id.clear()
    assert {replay.domain_by_id.get(f.engine) for _, f in replay.placements} == {"b"}
    replay.placements.clear()


@when(
    "{count:d} short prompts arrive one after another, at a cost of {cost:f}",
)
def step_arrive_at_cost(context, count, cost):
    replay = context.replay
    replay.other_domain_cost = cost
    for _ in range(count):
        replay.arrive(SHORT_PROMPT_TOKENS)
        replay.finish_prefills()


@then("between {least:d} and {most:d} of them leave their domain")
def step_leave_domain(context, least, most):
    placements = [placement for placement, _ in context.replay.placements]
    left = sum(placement.endpoint.domain == "b" for placement in placements)
    assert least <= left <= most, (left, len(placements))
