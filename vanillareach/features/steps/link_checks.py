"""Steps about checks of the links to the endpoints, without sockets."""

from types import SimpleNamespace
from unittest import mock

import trio
from behave import given, then, when

from vanillareach.clock import TrioClock
from vanillareach.features.steps.gateway_core import make_endpoint
from vanillareach.gateway import link_monitor
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


@given('an instance with peers "{names}" that reaches no endpoint')
def step_instance(context, names):
    context.peer_names = names.split(",")


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

    async def check():
        clock = TrioClock()
        state = GatewayState(GatewaySettings(name="i1"), clock)
        endpoints = [make_endpoint(name) for name in ENGINES]
        state.apply_endpoints(endpoints, StorePosition(1, 1), clock.now_ms(), "store")
        service = SimpleNamespace(name="s", health_path="/health")
        state.configuration = SimpleNamespace(services_by_name={"s": service})
        peers = [SimpleNamespace(name=name) for name in context.peer_names]
        gossip = SimpleNamespace(
            peers=SimpleNamespace(forwarding_candidates=lambda: peers)
        )
        chooser = PeerChooser(state, gossip, clock)
        monitor = LinkMonitor(state, "a", clock, None, chooser)
        async with trio.open_nursery() as nursery:
            for name, after_ms in zip(
                context.peer_names, times.split(","), strict=True
            ):
                if after_ms != "-":
                    reporting = (report, state.paths, clock, name, float(after_ms))
                    nursery.start_soon(*reporting)
            began_ms = clock.now_ms()
            context.is_lost = await monitor.check()
            context.lasted_ms = clock.now_ms() - began_ms
            nursery.cancel_scope.cancel()

    with mock.patch.object(link_monitor, "connect", refuse):
        trio.run(check, clock=trio.testing.MockClock(autojump_threshold=0))


@then("its links are {result}")
def step_check_result(context, result):
    assert context.is_lost == (result == "lost"), context.lasted_ms


@then("it takes its links for lost within {most_ms:d} ms")
def step_check_time(context, most_ms):
    assert context.is_lost
    assert context.lasted_ms <= most_ms, context.lasted_ms
