"""Steps about endpoints that name a limit of requests."""

import math
from random import Random

import trio
from behave import given, then, when

from vanillareach.features.fleet_script import action, check

LIMITED_ENGINE = "m-a1"
REQUEST_MS = 200.0
# All instances hear of a change within this time.
NEWS_S = 0.1
# Instances that have passed on an answer with a limit keep to it after this time.
SETTLING_S = 0.5
# An endpoint gets one and a half times its limit and five requests in it at most.
WINDOW_S = 4.0


@given('endpoint "{name}" names a limit of {limit} requests a second')
def step_name_limit(context, name, limit):
    context.platform.endpoints_by_name[name].limit = limit.encode()


@when(
    'callers send "{path}" to each gateway in turn, {rate:d} a second for '
    "{duration_ms:d} ms"
)
def step_call_in_turn(context, path, rate, duration_ms):
    platform, context.responses = context.platform, []

    async def call(gateway):
        values = {"Vanillareach_Token_Usage": "1000,100"}
        context.responses.append(await platform.call(path, gateway, **values))

    async def main():
        async with trio.open_nursery() as nursery:
            for number in range(rate * duration_ms // 1000):
                nursery.start_soon(call, number % len(platform.gateways))
                await trio.sleep(1 / rate)

    context.run(main)


@then(
    '{settling_ms:d} ms after it first named its limit, endpoint "{name}" got at least '
    "{least:d} and at most {most:d} requests"
)
def step_requests_in_limit(context, settling_ms, name, least, most):
    endpoint = context.platform.endpoints_by_name[name]
    since_s = endpoint.limited_since_s + settling_ms / 1000
    count = sum(request.arrived_s > since_s for request in endpoint.received)
    assert least <= count <= most, count


@when("all engines name a limit of {limit:g} requests a second")
def step_all_limited(context, limit):
    @action(context)
    async def name(fleet):
        for endpoint in fleet.store.endpoints:
            fleet.engines.limits_by_id[endpoint.id] = limit
        fleet.memory.setdefault("phases", []).append((trio.current_time(), limit))


@when("no engine names a limit")
def step_none_names(context):
    @action(context)
    async def name(fleet):
        fleet.engines.limits_by_id.clear()
        fleet.memory["phases"].append((trio.current_time(), math.inf))


@when("callers send {rate:d} requests a second for {duration_ms:d} ms, while {event}")
def step_call_fleet(context, rate, duration_ms, event):
    @action(context)
    async def call(fleet):
        duration_s = duration_ms / 1000
        async with trio.open_nursery() as nursery:
            nursery.start_soon(EVENTS[event], fleet, duration_s)
            random = Random(rate)
            for _ in range(int(rate * duration_s)):
                gateway = random.choice(list(fleet.gateways_by_name.values()))
                if gateway.state.has_initial_state:
                    fleet._nursery.start_soon(gateway.run_request, REQUEST_MS)
                await trio.sleep(random.expovariate(rate))
            nursery.cancel_scope.cancel()
        fleet.memory["ended_s"] = trio.current_time()


async def do_nothing(fleet, duration_s):
    """Let a fleet run."""


def coordinator_name(fleet):
    """Return the name of the instance that coordinates the limit of an engine."""
    gateway = next(
        g for g in fleet.gateways_by_name.values() if g.gossip.has_full_picture
    )
    return gateway.gossip.limit_coordination.coordinator_name((LIMITED_ENGINE, 1))


async def kill_coordinator(fleet, duration_s):
    """End the coordinator after a third of the time."""
    await trio.sleep(duration_s / 3)
    fleet.kill(coordinator_name(fleet))


async def freeze_coordinator(fleet, duration_s):
    """Let the coordinator handle nothing for a third of the time."""
    await trio.sleep(duration_s / 3)
    name = coordinator_name(fleet)
    gateway = fleet.gateways_by_name.pop(name)
    sock = fleet.network.sockets_by_address[name]
    sock.is_frozen = True
    await trio.sleep(duration_s / 3)
    sock.thaw()
    fleet.gateways_by_name[name] = gateway


async def cut_domain(fleet, duration_s):
    """Cut a domain off from the others for half of the time."""
    await trio.sleep(duration_s / 4)
    fleet.network.is_cut = lambda sender, receiver: (
        (sender[0] == "a") != (receiver[0] == "a")
    )
    await trio.sleep(duration_s / 2)
    fleet.network.is_cut = lambda sender, receiver: False


async def restart_instances(fleet, duration_s):
    """Restart one instance after another."""
    for name in sorted(fleet.gateways_by_name):
        fleet.kill(name)
        await trio.sleep(0.3)
        fleet.restart(name)
        await trio.sleep(0.7)


EVENTS = {
    "nothing else happens": do_nothing,
    "a coordinator dies": kill_coordinator,
    "a coordinator freezes": freeze_coordinator,
    'domain "a" is cut off': cut_domain,
    "instances restart in turn": restart_instances,
}


def most_in_window(arrivals):
    """Return the most arrivals in a window."""
    counts = (
        sum(start <= t <= start + WINDOW_S for t in arrivals) for start in arrivals
    )
    return max(counts, default=0)


def arrivals_by_phase(fleet):
    """Yield the limit of each phase with its duration and each engine's arrivals."""
    begun, ended_s = fleet.memory["phases"], fleet.memory["ended_s"]
    ends_s = [*(start_s for start_s, _ in begun[1:]), ended_s]
    for (start_s, limit), end_s in zip(begun, ends_s, strict=True):
        since_s = start_s + SETTLING_S
        arrivals_by_id = {
            engine: [t for t in arrivals if since_s < t <= end_s]
            for engine, arrivals in fleet.engines.arrivals_by_id.items()
        }
        yield limit, end_s - since_s, arrivals_by_id


def check_limits(fleet):
    """Check that no engine got more than the limits of the phases allowed."""
    for limit, _, arrivals_by_id in arrivals_by_phase(fleet):
        for arrivals in arrivals_by_id.values():
            most = most_in_window(arrivals)
            assert most <= 1.5 * limit * WINDOW_S + 5, (most, limit)


@then("each engine got at most what its limit allows, and {share:g} of it at least")
def step_fleet_in_limit(context, share):
    @check(context)
    async def verify(fleet):
        check_limits(fleet)
        limit, duration_s, arrivals_by_id = list(arrivals_by_phase(fleet))[-1]
        total = sum(map(len, arrivals_by_id.values()))
        allowed = limit * len(fleet.store.endpoints) * duration_s
        assert total >= share * allowed, (total, allowed)


@then("each engine got at most what its limits allowed, and soon counts as unlimited")
def step_fleet_followed(context):
    @check(context)
    async def verify(fleet):
        check_limits(fleet)
        arrivals_by_id = list(arrivals_by_phase(fleet))[-1][2]
        latest_s = trio.current_time() - NEWS_S
        # One that got no request can't have said so.
        asked = {
            e for e, times in arrivals_by_id.items() if times and times[0] < latest_s
        }
        limited = {
            (name, key[0])
            for name, gateway in fleet.gateways_by_name.items()
            for key in gateway.state.limits.limited_keys()
            if key[0] in asked
        }
        assert asked and not limited, limited


@then(
    'a request is refused within {most_ms:d} ms as "{reason}", and told when to return'
)
def step_refused_at_once(context, most_ms, reason):
    @check(context)
    async def verify(fleet):
        gateway = fleet.gateways_by_name["a2"]
        exchange, start_ms = gateway.exchange(), gateway.clock.now_ms()
        decision = await gateway.client.choose(exchange)
        now_ms = gateway.clock.now_ms()
        assert decision.placement is None and decision.reason == reason, decision.reason
        assert not gateway.dispatcher.may_wait(exchange, now_ms)
        assert now_ms - start_ms <= most_ms, now_ms - start_ms
        retry_after_ms = gateway.dispatcher.refusal_retry_after_ms(exchange, now_ms)
        assert 0 < retry_after_ms <= 20_000, retry_after_ms


@then(
    'an instance of domain "{first}" used {own:d} of {count:d} parts of limits, one of '
    'domain "{second}" {other:d} of {total:d}'
)
def step_shares(context, first, own, count, second, other, total):
    @check(context)
    async def verify(fleet):
        # The cut has just ended; nothing was heard yet.
        for domain, parts in ((first, own), (second, other)):
            share = fleet.gateways_by_name[f"{domain}0"].state.limits.share
            assert abs(share - parts / count) < 1e-6, (domain, share)


@then("all instances use limits whole")
def step_whole_shares(context):
    @check(context)
    async def verify(fleet):
        shares = {g.state.limits.share for g in fleet.gateways_by_name.values()}
        assert shares == {1.0}, shares


@when('the store is down, and domain "{domain}" is cut off for {duration_ms:d} ms')
def step_cut_without_store(context, domain, duration_ms):
    @action(context)
    async def cut(fleet):
        fleet.store.is_down = True
        fleet.network.is_cut = lambda sender, receiver: (
            (sender[0] == domain) != (receiver[0] == domain)
        )
        await trio.sleep(duration_ms / 1000)
        fleet.network.is_cut = lambda sender, receiver: False
        fleet.store.is_down = False


@when(
    'one instance alone knows that engine "{engine}" takes {limit:d} request a second'
)
def step_one_knows(context, engine, limit):
    @action(context)
    async def name(fleet):
        coordinator = coordinator_name(fleet)
        other = next(n for n in fleet.gateways_by_name if n != coordinator)
        gateway = fleet.memory["asking"] = fleet.gateways_by_name[other]
        # Not told to peers.
        key, now_ms = (engine, 1), gateway.clock.now_ms()
        gateway.state.limits.record_answer(key, limit, now_ms, now_ms)


@then("it is granted at most {most:d} of {count:d} requests that it asks for at once")
def step_few_granted(context, most, count):
    @check(context)
    async def verify(fleet):
        gateway = fleet.memory["asking"]
        endpoint = gateway.state.endpoints.by_id[LIMITED_ENGINE]
        granted = [await gateway.client._acquire_permit(endpoint) for _ in range(count)]
        assert sum(granted) <= most, granted


@when('engine "{engine}" names a limit, and its coordinator freezes')
def step_freeze_coordinator(context, engine):
    @action(context)
    async def freeze(fleet):
        name = coordinator_name(fleet)
        domain = next(d for d in "abc" if d != name[0])
        member = fleet.memory["member"] = fleet.members(domain)[0]
        endpoint = member.state.endpoints.by_id[engine]
        member.state.record_limit(endpoint, 1.0, member.clock.now_ms())
        await trio.sleep(NEWS_S)
        fleet.network.sockets_by_address[name].is_frozen = True


@then("a member is denied a permit, and its placers still answer")
def step_placers_answer(context):
    @check(context)
    async def verify(fleet):
        member = fleet.memory["member"]
        endpoint = member.state.endpoints.by_id[LIMITED_ENGINE]
        assert not await member.client._acquire_permit(endpoint)
        decision = await member.client._choose_at_placer(member.exchange(), set())
        assert decision is not None and decision.placement is not None
