"""Steps about checks of the links to the endpoints, without sockets."""

from types import SimpleNamespace
from unittest import mock

import trio
from behave import given, then, when

from vanillareach.clock import MS_PER_SECOND, TrioClock
from vanillareach.core.endpoint_list import ListedEndpoint
from vanillareach.core.path_evidence import PLAIN_SILENCE_MS
from vanillareach.features.steps.gateway_core import make_endpoint
from vanillareach.features.steps.peer_forwarding import add_long_prompt
from vanillareach.gateway import link_monitor
from vanillareach.gateway.idle_timeouts import IdleTimeoutMonitor
from vanillareach.gateway.link_monitor import LinkMonitor
from vanillareach.gateway.peer_choice import PeerChooser
from vanillareach.gateway.ports import StorePosition
from vanillareach.gateway.settings import GatewaySettings
from vanillareach.gateway.state import GatewayState

ENGINES = ("e0", "e1", "e2", "e3")
REPORT_INTERVAL_MS = 100.0


async def refuse(address, timeout_ms):
    """Connect to nothing."""
    raise OSError(address)


async def answer(address, timeout_ms):
    """Return a connection on which one byte comes back."""
    stream = mock.AsyncMock()
    stream.socket = mock.Mock()
    stream.receive_some.return_value = b"H"
    return stream


def make_monitor(peer_names, clock, endpoints):
    """Return state and link monitor of an instance with endpoints and peers."""
    state = GatewayState(GatewaySettings(name="i1"), clock)
    state.apply_endpoints(endpoints, StorePosition(1, 1), clock.now_ms(), "store")
    services = {
        name: SimpleNamespace(name=name, health_path="/health")
        for name in {endpoint.service for endpoint in endpoints}
    }
    state.configuration = SimpleNamespace(services_by_name=services)
    peers = [SimpleNamespace(name=name) for name in peer_names]
    gossip = SimpleNamespace(peers=SimpleNamespace(forwarding_candidates=lambda: peers))
    chooser = PeerChooser(state, gossip, clock)
    client = SimpleNamespace(knows_all_loads=True)
    idle_timeouts = IdleTimeoutMonitor(client, clock)
    return state, LinkMonitor(state, "a", clock, client, chooser, idle_timeouts)


def make_attempt(number, endpoint, prompt_tokens=0, first_event_ms=0.0):
    """Return an attempt that is sent now, a plain call without a prompt."""
    engine = "figures" if prompt_tokens else None
    return SimpleNamespace(
        flight=SimpleNamespace(id=number, prompt_tokens=prompt_tokens),
        placement=SimpleNamespace(endpoint=endpoint, first_event_ms=first_event_ms),
        exchange=SimpleNamespace(service=SimpleNamespace(engine=engine)),
        sent_ms=TrioClock().now_ms(),
    )


async def start_with_requests(nursery, state, monitor, names=ENGINES[:3]):
    """Run a monitor, and let it wait for answers of some endpoints."""
    nursery.start_soon(monitor.run)
    await trio.testing.wait_all_tasks_blocked()
    attempts = [
        make_attempt(number, state.endpoints.by_id[name])
        for number, name in enumerate(names)
    ]
    for attempt in attempts:
        monitor.record_sent(attempt)
    await trio.testing.wait_all_tasks_blocked()
    return attempts


def run_instance(context, play, mock_clock=None):
    """Play a scenario with an instance on a mock clock.

    Parameters
    ----------
    context : behave.runner.Context
    play : callable
        Coroutine function of (nursery, clock, state, monitor).
    mock_clock : trio.testing.MockClock or None
        None for one that jumps to the next deadline by itself.
    """

    async def connect(address, timeout_ms):
        context.has_checked = True
        is_reached = address in context.reached
        return await (answer if is_reached else refuse)(address, timeout_ms)

    async def main():
        clock = TrioClock()
        state, monitor = make_monitor(context.peer_names, clock, context.endpoints)
        async with trio.open_nursery() as nursery:
            await play(nursery, clock, state, monitor)
            nursery.cancel_scope.cancel()

    context.has_checked = False
    with mock.patch.object(link_monitor, "connect", connect):
        trio.run(main, clock=mock_clock or trio.testing.MockClock(autojump_threshold=0))


@given('an instance with peers "{names}" that reaches no endpoint')
def step_instance(context, names):
    context.peer_names, context.reached = names.split(","), ()
    context.endpoints = [make_endpoint(name) for name in ENGINES]


@when(
    'the peers report faults of {count:d} endpoints after "{times}" ms, one each 100 ms'
)
def step_report_faults(context, count, times):
    """Let each peer begin at its time; "-" is never."""

    async def report(paths, clock, name, after_ms):
        await clock.sleep_ms(after_ms)
        for engine in ENGINES[:count]:
            paths.record_peer_fault(name, engine, clock.now_ms())
            await clock.sleep_ms(REPORT_INTERVAL_MS)

    async def check(nursery, clock, state, monitor):
        for name, after_ms in zip(context.peer_names, times.split(","), strict=True):
            if after_ms != "-":
                reporting = (report, state.paths, clock, name, float(after_ms))
                nursery.start_soon(*reporting)
        began_ms = clock.now_ms()
        context.is_lost = await monitor.check()
        context.lasted_ms = clock.now_ms() - began_ms

    run_instance(context, check)


@when(
    "it is stalled for {stall_ms:d} ms with requests at 3 endpoints, answered "
    "{time_ms:d} ms later"
)
def step_stall(context, stall_ms, time_ms):
    """Let the time pass at once, as for a process that is stopped and continued."""
    mock_clock = trio.testing.MockClock()

    async def stall(nursery, clock, state, monitor):
        attempts = await start_with_requests(nursery, state, monitor)
        mock_clock.jump((PLAIN_SILENCE_MS + stall_ms) / MS_PER_SECOND)
        await trio.testing.wait_all_tasks_blocked()
        mock_clock.autojump_threshold = 0
        await clock.sleep_ms(time_ms)
        for attempt in attempts:
            monitor.record_bytes(attempt)
        await clock.sleep_ms(1_000)

    run_instance(context, stall, mock_clock)


@when("its event loop is late by {late_ms:d} ms again and again for {for_ms:d} ms")
def step_always_late(context, late_ms, for_ms):
    mock_clock = trio.testing.MockClock()

    async def run_late(nursery, clock, state, monitor):
        await start_with_requests(nursery, state, monitor)
        end_ms = clock.now_ms() + for_ms
        while clock.now_ms() < end_ms:
            mock_clock.jump((PLAIN_SILENCE_MS + late_ms) / MS_PER_SECOND)
            await trio.testing.wait_all_tasks_blocked()

    run_instance(context, run_late, mock_clock)


@given('an instance with peers "{names}" that reaches "{reached}" only')
def step_reaches_some(context, names, reached):
    """Give it endpoints of two services, each at an address that is its name."""
    context.peer_names, context.reached = names.split(","), reached.split(",")
    context.endpoints = [
        ListedEndpoint(name, 1, name[0], name, "a", 8, False)
        for name in (*ENGINES, "t0", "t1", "t2")
    ]


@given('requests that fill "{names}"')
def step_full(context, names):
    context.full = names.split(",")


def fill(context, state):
    """Let an instance know of requests in all slots of some endpoints."""
    instance = SimpleNamespace(state=state, clock=TrioClock())
    for name in context.full:
        for _ in range(state.endpoints.by_id[name].slots):
            add_long_prompt(instance, name, 1_000)


@given(
    'a generation at "{name}" whose first event is predicted after {predicted_ms:d} ms'
)
def step_generation(context, name, predicted_ms):
    context.generation = (name, float(predicted_ms))


def start_generation(context, state, monitor):
    """Let a monitor wait for the answer of the scenario's generation."""
    name, first_event_ms = context.generation
    endpoint = state.endpoints.by_id[name]
    attempt = make_attempt(100, endpoint, 1_000_000, first_event_ms)
    context.silent = []
    monitor.record_sent(attempt)
    monitor._idle_timeouts.watch(
        attempt.flight,
        attempt.sent_ms + 2 * first_event_ms,
        lambda: context.silent.append(name),
    )


@when('its requests to "{names}" get no answer for {for_ms:d} ms')
def step_no_answer(context, names, for_ms):
    async def wait(nursery, clock, state, monitor):
        if "full" in context:
            fill(context, state)
        if "generation" in context:
            start_generation(context, state, monitor)
        await start_with_requests(nursery, state, monitor, names.split(","))
        await clock.sleep_ms(for_ms)
        context.dead = sorted(key[0] for key in state.paths.dead_keys)

    run_instance(context, wait)


@then("the generation is {what}")
def step_generation_silent(context, what):
    assert len(context.silent) == (what == "silent"), context.silent


@then('the paths to "{names}" are dead')
def step_dead_paths(context, names):
    expected = [] if names == "none" else names.split(",")
    assert context.dead == expected, context.dead


@then("it has made {what}")
def step_check_made(context, what):
    assert context.has_checked == (what == "a check")


@then("its links are {result}")
def step_check_result(context, result):
    assert context.is_lost == (result == "lost"), context.lasted_ms


@then("it takes its links for lost within {most_ms:d} ms")
def step_check_time(context, most_ms):
    assert context.is_lost
    assert context.lasted_ms <= most_ms, context.lasted_ms
