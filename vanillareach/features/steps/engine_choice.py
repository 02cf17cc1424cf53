"""Steps about the pace of engines and the baselines of placement."""

from behave import given, then, when

from vanillareach.core.endpoint_list import ListedEndpoint
from vanillareach.core.engine_pace import EnginePaces
from vanillareach.core.engine_policies import POLICIES_BY_NAME
from vanillareach.core.load_state import EngineLoad
from vanillareach.core.placement_types import EngineView, GenerationRequest
from vanillareach.emulation.scenario import EngineTable

SEEN_FROM_MS = 100_000.0


def paces(context):
    """Return the scenario's paces."""
    if not hasattr(context, "paces"):
        context.paces, context.now_ms = EnginePaces(), SEEN_FROM_MS
    return context.paces


def show_gaps(context, gaps, expected_ms):
    """Note gaps of engine "e1" and learn from them."""
    for gap in gaps.split(","):
        paces(context).record_gap("e1", float(gap), context.now_ms)
    context.paces.learn(lambda engine: expected_ms, context.now_ms)


@when('an engine that owes a pass of {expected_ms:d} ms shows gaps of "{gaps}" ms')
def step_gaps(context, expected_ms, gaps):
    show_gaps(context, gaps, expected_ms)


@when('an engine that reads shows gaps of "{gaps}" ms')
def step_gaps_reading(context, gaps):
    show_gaps(context, gaps, None)


@when("{duration_ms:d} ms go by")
def step_go_by(context, duration_ms):
    context.now_ms += duration_ms
    context.paces.learn(lambda engine: 45.0, context.now_ms)


@when("a peer tells that its pace is {pace:g}")
def step_peer_tells(context, pace):
    context.paces.merge_peer_paces((("e1", pace),), context.now_ms)


@then("no gap and no pace is kept")
def step_nothing_kept(context):
    kept = context.paces
    assert not any(kept._gaps_by_engine.values()), kept._gaps_by_engine
    assert not kept._peer_paces_by_engine, kept._peer_paces_by_engine


@then("its pace is {pace:g}")
def step_pace(context, pace):
    found = context.paces.pace("e1", context.now_ms)
    assert abs(found - pace) < 0.05, found


REQUEST = GenerationRequest(1_000, 100, 300.0, 10_000.0, 250.0, 1.0, "a")


def listed(name):
    """Return a listed engine."""
    return ListedEndpoint(name, 1, "model", "10.0.0.1:80", "a", 8, False)


@given(
    'engines "{names}" with {a:d}, {b:d} and {c:d} requests and {x:d}, {y:d} and {z:d} '
    "tokens"
)
def step_engines(context, names, a, b, c, x, y, z):
    loads = zip(names.split(","), (a, b, c), (x, y, z), strict=True)
    context.views = [
        EngineView(listed(name), EngineLoad(running=running, memory_tokens=held))
        for name, running, held in loads
    ]


@when('prompts are placed {count:d} times by "{policy}"')
def step_place_by(context, count, policy):
    chooser, figures = POLICIES_BY_NAME[policy](), EngineTable().figures()
    placed = [chooser.place(REQUEST, figures, context.views) for _ in range(count)]
    context.placed = [placement.endpoint.id for placement in placed]


@then('they go to "{names}"')
def step_go_to(context, names):
    assert context.placed == names.split(","), context.placed


@then("every policy refuses a prompt")
def step_all_refuse(context):
    figures = EngineTable().figures()
    assert len(POLICIES_BY_NAME) == 5
    for policy in POLICIES_BY_NAME.values():
        assert policy().place(REQUEST, figures, context.views) is None, policy
