"""Steps about paths to endpoints that accept connections and pass nothing."""

import time
from unittest import mock

import trio
from behave import given, then, when

from bench.soak.proxy import FaultProxy
from vanillareach.features.steps.gateway import start_another
from vanillareach.features.steps.peer_forwarding import (
    CONNECTING_MODULES,
    add_long_prompt,
)
from vanillareach.features.users_platform.endpoint import HEALTH_PATH
from vanillareach.features.users_platform.stage import (
    ENGINE_PARAMETERS,
    configuration,
    free_address,
)

CALLERS_PER_GATEWAY = 6
PAUSE_S = 0.05
PATHS = ("/read/a", "/book/a", "/ask/a")
AFTER_CUT_S = 6.5
# Mode of the proxies, whether open connections are reset, and whose paths are cut.
ALL = ("m1", "m2", "m3", "m4", "d1", "d2", "d3")
HALF = ("m1", "m2", "d1", "d2")
FAULTS = {
    "reset new connections and open ones": ("cut", True, ALL),
    "reset new connections and keep open ones": ("cut", False, ALL),
    "accept new connections and pass nothing": ("silent", False, ALL),
    "pass nothing to the endpoints": ("mute", False, ALL),
    "pass nothing back": ("deaf", False, ALL),
    "reset connections, whole each other second": ("cut", True, ALL),
    "reset connections to half of the endpoints": ("cut", True, HALF),
    "pass nothing to half of the endpoints": ("silent", False, HALF),
    "reset connections to all engines": ("cut", True, ALL[:4]),
    "pass nothing to all engines": ("silent", False, ALL[:4]),
}


def count_checks(platform):
    """Return the number of health checks of all gateways."""
    return sum(g.forwarder.link_monitor.health_check_count for g in platform.gateways)


@given("engines that stream for half a second")
def step_drip(context):
    for name, endpoint in context.platform.endpoints_by_name.items():
        endpoint.default_step = "drip" if name.startswith("m") else "answer"


@given('a fourth gateway in domain "{domain}"')
def step_fourth_gateway(context, domain):
    start_another(context, "g4", domain)


@given("services that name a health path, and a proxy on each path")
def step_proxies(context):
    platform = context.platform
    connect_module = platform.links.connect
    for module in CONNECTING_MODULES:
        patch = mock.patch.object(module, "connect", connect_module)
        patch.start()
        context.add_cleanup(patch.stop)
    backends = [{"name": "desk"}, {"name": "model", "engine": ENGINE_PARAMETERS}]
    for backend in backends:
        backend["health_path"] = HEALTH_PATH

    async def start():
        for gateway in platform.gateways:
            proxies = platform.links.proxies_by_gateway[gateway.settings.name] = {}
            for endpoint in platform.endpoints_by_name.values():
                proxy = FaultProxy(free_address(), endpoint.address)
                await platform._nursery.start(proxy.run)
                proxies[endpoint.address] = proxy
        platform.store.put("config", "main", configuration(2, backends=backends))
        await platform.until(
            lambda: all(g.state.configuration.version == 2 for g in platform.gateways)
        )

    context.run(start)


def set_paths(platform, names, mode, resets_open=False, endpoints=ALL):
    """Set the mode of the proxies of gateways to some endpoints."""
    for name in names:
        proxies = platform.links.proxies_by_gateway[name]
        for endpoint in endpoints:
            proxy = proxies[platform.endpoints_by_name[endpoint].address]
            proxy.mode = mode
            if resets_open:
                proxy.reset_all()


async def call_until(context, number, end_s):
    """Call a gateway again and again; record what each request got."""
    platform, turn = context.platform, 0
    name = platform.gateways[number].settings.name
    while trio.current_time() < end_s:
        sent_s, path = trio.current_time(), PATHS[turn % len(PATHS)]
        turn += 1
        values = {"Vanillareach_Deadline_Ms": "4000"}
        if path == "/ask/a":
            values["Vanillareach_Token_Usage"] = "1000,100"
        body = f"{number} {turn} {sent_s}".encode()
        response = await platform.call(path, number, body=body, **values)
        is_served = response.status == 200 and response.is_complete
        context.calls.append((name, sent_s, is_served, response.status, path))
        await trio.sleep(PAUSE_S)


async def call_all(context, duration_s, disturb):
    """Let callers call all gateways for a time beside `disturb`."""
    context.calls, context.lost_s, context.checks_by_s = [], [], {}
    end_s = trio.current_time() + duration_s

    async def watch():
        while True:
            for gateway in context.platform.gateways:
                if gateway.state.reach.is_lost:
                    context.lost_s.append((gateway.settings.name, trio.current_time()))
            context.checks_by_s[trio.current_time()] = count_checks(context.platform)
            await trio.sleep(0.02)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch)
        async with trio.open_nursery() as callers:
            callers.start_soon(disturb)
            for number in range(len(context.platform.gateways)):
                for _ in range(CALLERS_PER_GATEWAY):
                    callers.start_soon(call_until, context, number, end_s)
                    await trio.sleep(0.005)
        nursery.cancel_scope.cancel()


@when(
    "six callers call each gateway, and after {wait_ms:d} ms the paths of "
    '"{names}" {fault}'
)
def step_cut_paths(context, wait_ms, names, fault):
    context.cut_names = names.split(",")
    mode, resets_open, endpoints = FAULTS[fault]

    async def disturb():
        await trio.sleep(wait_ms / 1000)
        context.cut_s = trio.current_time()
        while trio.current_time() < context.cut_s + AFTER_CUT_S:
            set_paths(context.platform, context.cut_names, mode, resets_open, endpoints)
            await trio.sleep(1.0)
            if "second" in fault:
                set_paths(context.platform, context.cut_names, "pass")
                await trio.sleep(1.0)

    context.run(call_all, context, wait_ms / 1000 + AFTER_CUT_S, disturb)


@then(
    "from {settling_ms:d} ms after the cut callers there are served {share:g} times as "
    "well as others"
)
def step_served_as_well(context, settling_ms, share):
    later = [c for c in context.calls if c[1] > context.cut_s + settling_ms / 1000]
    there = [c for c in later if c[0] in context.cut_names]
    others = [c for c in later if c[0] not in context.cut_names]
    share_there = sum(c[2] for c in there) / max(1, len(there))
    share_others = sum(c[2] for c in others) / max(1, len(others))
    failed = sorted((round(c[1] - context.cut_s, 2), *c[3:]) for c in there if not c[2])
    seen = (len(there), share_there, len(others), share_others, failed[:9])
    assert len(there) >= CALLERS_PER_GATEWAY * len(context.cut_names), seen
    assert share_others > 0 and share_there >= share * share_others, seen


@then("nobody suspects a request, and what may run once ran once")
def step_nothing_suspected(context):
    platform = context.platform
    assert not any(
        g.state.quarantine.evidence.marks_by_trait for g in platform.gateways
    )
    runs = [
        request.attempt_id
        for endpoint in platform.endpoints_by_name.values()
        for request in endpoint.received
        if request.path == "/book/a"
    ]
    assert len(runs) == len(set(runs))


@then("a gateway whose links are lost made at most {most:d} health checks a second")
def step_checks_bounded(context, most):
    # The last calls may go on for longer, and the checks with them.
    duration_s = AFTER_CUT_S + 1
    total = max(
        count
        for time_s, count in context.checks_by_s.items()
        if time_s <= context.cut_s + duration_s
    )
    limit = len(context.cut_names) * most * duration_s
    assert 0 < total <= limit, (total, limit, max(context.checks_by_s.values()))


@when('the paths of "{name}" are whole again')
def step_whole_again(context, name):
    context.run(trio.sleep, 0.1)
    set_paths(context.platform, [name], "pass")


@then('within {most_ms:d} ms "{name}" uses its own links')
def step_uses_own(context, most_ms, name):
    platform = context.platform
    gateway = next(g for g in platform.gateways if g.settings.name == name)
    assert context.lost_s

    async def wait():
        with trio.fail_after(most_ms / 1000):
            await platform.until(lambda: not gateway.state.reach.is_lost)
            before = gateway.metrics.attempts.copy()
            response = await platform.call("/read/a", platform.gateways.index(gateway))
            assert response.status == 200
            changed = gateway.metrics.attempts - before
            assert not any("peer" in result for _, result in changed), changed

    context.run(wait)


def read_long_prompts(platform):
    """Let all engines be silent, each with a long prompt that is still read."""
    script_all(platform, "m", "late_stream")
    for gateway in platform.gateways:
        for number in range(1, 5):
            add_long_prompt(gateway, f"m{number}", 9_000)


def script_all(platform, prefix, step):
    """Let all endpoints of a kind do a step with each request."""
    for name, endpoint in platform.endpoints_by_name.items():
        if name.startswith(prefix):
            endpoint.default_step = step


async def pause_all(platform):
    """Stop the loop that runs the gateways, as a signal does."""
    await trio.sleep(1.0)
    time.sleep(1.5)  # noqa: ASYNC251


async def crash_all(platform, prefixes):
    """Let all endpoints of some kinds reset all connections."""
    await trio.sleep(0.5)
    for name, endpoint in platform.endpoints_by_name.items():
        endpoint.is_down = name[0] in prefixes


EVENTS = {
    "all engines are down": lambda p: crash_all(p, "m"),
    "all endpoints are down": lambda p: crash_all(p, "md"),
    "nothing else happens": lambda platform: None,
    "an engine resets all requests": lambda p: script_all(p, "m1", "reset"),
    "a service is silent": lambda p: script_all(p, "d1", "mute"),
    "engines are silent in a long prefill": read_long_prompts,
    "all engines reset all requests": lambda p: script_all(p, "m", "reset"),
    "the gateways are paused for 1500 ms": pause_all,
}


@when("six callers call each gateway for {duration_ms:d} ms, while {event}")
def step_call_while(context, duration_ms, event):
    async def disturb():
        coroutine = EVENTS[event](context.platform)
        if coroutine is not None:
            await coroutine

    context.run(call_all, context, duration_ms / 1000, disturb)


@then("no gateway has ever lost its links")
def step_never_lost(context):
    assert not context.lost_s, (context.lost_s[0], len(context.lost_s))


@then("at most {most:d} health checks were made")
def step_few_checks(context, most):
    endpoints = context.platform.endpoints_by_name.values()
    count = sum(len(endpoint.health_checks_s) for endpoint in endpoints)
    assert count <= most, count
