"""Steps about news of endpoints in a fleet in memory."""

from dataclasses import replace

import trio
from behave import then, when

from vanillareach.features.fleet_script import action, check
from vanillareach.features.steps.placers import engine_of
from vanillareach.gateway.ports import EndpointSignals

QUIET_JITTER_MS = 500.0


@when("nothing else happens")
def step_nothing(context):
    return


@when('engine "{engine}" tells an instance of domain "{domain}" that it leaves')
def step_tell_leaving(context, engine, domain):
    @action(context)
    async def tell(fleet):
        member = instances_of(fleet, domain)[-1]
        member.state.record_signals(engine_of(member, engine), EndpointSignals(True))


def instances_of(fleet, domain):
    """Return the instances of a domain, the placers first."""
    return [
        g for name, g in sorted(fleet.gateways_by_name.items()) if name[0] == domain
    ]


@when('an instance of domain "{domain}" starts again')
def step_restart(context, domain):
    @action(context)
    async def restart(fleet):
        name = instances_of(fleet, domain)[-1].settings.name
        fleet.kill(name)
        await trio.sleep(0.1)
        fleet.restart(name)


@when('domain "{domain}" is cut off for {duration_ms:d} ms')
def step_cut(context, domain, duration_ms):
    @action(context)
    async def cut(fleet):
        fleet.network.is_cut = lambda sender, receiver: (
            (sender[0] == domain) != (receiver[0] == domain)
        )
        await trio.sleep(duration_ms / 1000)
        fleet.network.is_cut = lambda sender, receiver: False


@when('engine "{engine}" starts again')
def step_engine_restart(context, engine):
    @action(context)
    async def restart(fleet):
        fleet.store.endpoints = [
            replace(endpoint, incarnation=2) if endpoint.id == engine else endpoint
            for endpoint in fleet.store.endpoints
        ]


@then('every instance knows that engine "{engine}" leaves, and chooses others')
def step_all_know(context, engine):
    @check(context)
    async def verify(fleet):
        ignorant = [
            name
            for name, gateway in fleet.gateways_by_name.items()
            if not gateway.state.endpoints.is_leaving(engine_of(gateway, engine))
        ]
        assert not ignorant, ignorant
        for gateway in fleet.gateways_by_name.values():
            assert engine not in await chosen_engines(gateway, 1)


@then('no instance takes engine "{engine}" for leaving')
def step_none_leaving(context, engine):
    @check(context)
    async def verify(fleet):
        for gateway in fleet.gateways_by_name.values():
            endpoint = engine_of(gateway, engine)
            assert endpoint.incarnation == 2, gateway.settings.name
            assert not gateway.state.unusable_cause(endpoint)


async def chosen_engines(gateway, count):
    """Return the engines that an instance chooses for requests."""
    decisions = [await gateway.client.choose(gateway.exchange()) for _ in range(count)]
    return {decision.placement.endpoint.id for decision in decisions}


@when(
    'all engines but "{engine}" ask an instance of domain "{domain}" for '
    "{quiet_ms:d} ms of quiet"
)
def step_others_quiet(context, engine, domain, quiet_ms):
    @action(context)
    async def ask(fleet):
        fleet.memory["member"] = member = instances_of(fleet, domain)[-1]
        for endpoint in list(member.state.endpoints.by_id.values()):
            if endpoint.id != engine:
                signals = EndpointSignals(False, quiet_ms)
                member.state.record_signals(endpoint, signals)


@when('engine "{engine}" asks that instance for {quiet_ms:d} ms of quiet')
def step_quiet(context, engine, quiet_ms):
    @action(context)
    async def ask(fleet):
        member = fleet.memory["member"]
        signals = EndpointSignals(False, quiet_ms)
        member.state.record_signals(engine_of(member, engine), signals)


@then('that instance is given engine "{engine}" only, others are given others too')
def step_given(context, engine):
    @check(context)
    async def verify(fleet):
        member = fleet.memory["member"]
        assert await chosen_engines(member, 5) == {engine}
        other = instances_of(fleet, member.settings.name[0])[-2]
        assert await chosen_engines(other, 20) - {engine}


@then(
    "that instance refuses at once, and tells the time until {wait_ms:d} ms have passed"
)
def step_refused(context, wait_ms):
    @check(context)
    async def verify(fleet):
        member = fleet.memory["member"]
        exchange, start_s = member.exchange(), trio.current_time()
        decision = await member.client.choose(exchange)
        now_ms, dispatcher = member.clock.now_ms(), member.dispatcher
        assert decision.placement is None and decision.reason == "quiet"
        assert not dispatcher.may_wait(exchange, now_ms)
        assert trio.current_time() - start_s < 0.02
        retry_after_ms = dispatcher.refusal_retry_after_ms(exchange, now_ms)
        passed_ms = now_ms - 1000 * start_s
        assert wait_ms - passed_ms <= retry_after_ms
        assert retry_after_ms <= 1.1 * wait_ms + QUIET_JITTER_MS, retry_after_ms
