"""Steps about the pace of engines and the baseline placement policies."""

from behave import given, then, when

from vanillareach.core.endpoint_list import ListedEndpoint
from vanillareach.core.engine_pace import EnginePaces
from vanillareach.core.engine_policies import POLICIES_BY_NAME
from vanillareach.core.load_state import EngineLoad
from vanillareach.core.placement_types import EngineView, GenerationRequest
from vanillareach.emulation.scenario import EngineTable

START_MS = 100_000.0


def paces(context):
    """Return the scenario's `EnginePaces`."""
    if not hasattr(context, "paces"):
        context.paces, context.now_ms = EnginePaces(), START_MS
    return context.paces


def record_gaps(context, gaps, expected_ms):
    """Record gaps of engine "e1" and update its pace from them."""
    for gap in gaps.split(","):
        paces(context).record_gap("e1", float(gap), context.now_ms)
    context.paces.update_paces(lambda engine: expected_ms, context.now_ms)


@when('an engine with passes of {expected_ms:d} ms has event gaps of "{gaps}" ms')
def step_gaps(context, expected_ms, gaps):
    record_gaps(context, gaps, expected_ms)


@when('an engine with pending prefill has event gaps of "{gaps}" ms')
def step_gaps_during_prefill(context, gaps):
    record_gaps(context, gaps, None)


@when("{duration_ms:d} ms elapse")
def step_time_passes(context, duration_ms):
    context.now_ms += duration_ms
    context.paces.update_paces(lambda engine: 45.0, context.now_ms)


@when("a peer reports a pace of {pace:g}")
def step_peer_pace(context, pace):
    context.paces.merge_peer_paces((("e1", pace),), context.now_ms)


@then("no gap and no pace is stored")
def step_nothing_stored(context):
    engine_paces = context.paces
    assert not any(engine_paces._gaps_by_engine.values()), engine_paces._gaps_by_engine
    assert not engine_paces._peer_paces_by_engine, engine_paces._peer_paces_by_engine


@then("its pace is {pace:g}")
def step_pace(context, pace):
    actual_pace = context.paces.pace("e1", context.now_ms)
    assert abs(actual_pace - pace) < 0.05, actual_pace


REQUEST = GenerationRequest(1_000, 100, 300.0, 10_000.0, 250.0, 1.0, "a")


def listed_engine(name):
    """Return the `ListedEndpoint` of an engine."""
    return ListedEndpoint(name, 1, "model", "10.0.0.1:80", "a", 8, False)


@given(
    'engines "{names}" with {running_1:d}, {running_2:d} and {running_3:d} requests '
    "and {memory_1:d}, {memory_2:d} and {memory_3:d} tokens"
)
def step_engines(
    context, names, running_1, running_2, running_3, memory_1, memory_2, memory_3
):
    loads = zip(
        names.split(","),
        (running_1, running_2, running_3),
        (memory_1, memory_2, memory_3),
        strict=True,
    )
    context.views = [
        EngineView(
            listed_engine(name),
            EngineLoad(running=running_count, memory_tokens=memory_tokens),
        )
        for name, running_count, memory_tokens in loads
    ]


@when('prompts are placed {count:d} times by "{policy}"')
def step_place_by(context, count, policy):
    placement_policy, figures = POLICIES_BY_NAME[policy](), EngineTable().figures()
    placements = [
        placement_policy.place(REQUEST, figures, context.views) for _ in range(count)
    ]
    context.engine_ids = [placement.endpoint.id for placement in placements]


@then('the chosen engines are "{names}"')
def step_go_to(context, names):
    assert context.engine_ids == names.split(","), context.engine_ids


@then("every policy refuses a prompt")
def step_all_refuse(context):
    figures = EngineTable().figures()
    assert len(POLICIES_BY_NAME) == 6
    for policy in POLICIES_BY_NAME.values():
        assert policy().place(REQUEST, figures, context.views) is None, policy
