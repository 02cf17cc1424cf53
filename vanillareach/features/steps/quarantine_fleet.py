"""Steps about evidence of crashes in fleets of instances."""

from dataclasses import replace
from types import SimpleNamespace

import trio
from behave import then, when

from vanillareach.core.crash_evidence import CrashReport, Suspect
from vanillareach.core.crash_verdicts import guilty_trait
from vanillareach.features.fleet_script import action, check


def exchange_with(gateway, name, parts):
    """Return an exchange of an instance whose prompt has parts."""
    exchange = gateway.exchange()
    exchange.fields = replace(exchange.fields, prompt_parts=tuple(parts.split()))
    exchange.suspect = Suspect(name, parts.split())
    return exchange


def record_crashes(gateway, names, part):
    """Let an instance see a crash of each engine, in turn, by other requests."""
    evidence, now_ms = gateway.state.quarantine.evidence, gateway.clock.now_ms()
    for name in names:
        suspect = Suspect(f"request of {name}", [part])
        rounds = {p: evidence.count_rounds(p) + 1 for p in suspect.parts}
        report = CrashReport((name, 1), suspect.fingerprint, rounds, now_ms)
        report.is_own = True
        evidence.record_report(report, now_ms)
    gateway.state.publish()


def a_member(fleet):
    """Return an instance that places no requests for others, if there is one."""
    return (fleet.members() or list(fleet.gateways_by_name.values()))[-1]


@when("an instance that places no requests for others sees a part in four crashes")
def step_see_crashes(context):
    @action(context)
    async def see(fleet):
        record_crashes(a_member(fleet), ("e1", "e2", "e3", "e4"), "deadly")


@when("another instance starts again")
def step_restart_another(context):
    @action(context)
    async def restart(fleet):
        name = next(name for name in fleet.gateways_by_name if name.startswith("b"))
        fleet.kill(name)
        await trio.sleep(1.0)
        fleet.restart(name)


@then("all instances refuse the part within {limit_ms:d} ms")
def step_all_refuse(context, limit_ms):
    @check(context)
    async def verify(fleet):
        await trio.sleep(limit_ms / 1_000)
        unaware = [
            name
            for name, gateway in fleet.gateways_by_name.items()
            if guilty_trait(
                gateway.state.quarantine.evidence, Suspect("another", ["deadly"])
            )
            is None
        ]
        assert not unaware, unaware


@when('an instance has seen requests with "{parts}" in three crashes in turn')
def step_mistake(context, parts):
    @action(context)
    async def see(fleet):
        await trio.sleep(2.0)
        for name in ("e1", "e2", "e3"):
            see_crash(fleet, name, [parts, "other"])


@when('an instance has seen only requests with "{parts}" in four crashes in turn')
def step_certain(context, parts):
    @action(context)
    async def see(fleet):
        await trio.sleep(2.0)
        for name in ("e1", "e2", "e3", "e4"):
            see_crash(fleet, name, [parts])


def see_crash(fleet, name, requests):
    """Let the first instance see an engine crash while requests with parts run."""
    gateway = next(iter(fleet.gateways_by_name.values()))
    evidence, now_ms = gateway.state.quarantine.evidence, gateway.clock.now_ms()
    reports = []
    for number, parts in enumerate(requests):
        suspect = Suspect(f"{number} at {name}", parts.split())
        rounds = {p: evidence.count_rounds(p) + 1 for p in suspect.parts}
        reports.append(CrashReport((name, 1), suspect.fingerprint, rounds, now_ms))
    for report in reports:
        report.is_own = True
        evidence.record_report(report, now_ms)
    gateway.state.publish()


@when(
    'each instance in turn gets a request with "{parts}" every {interval_ms:d} ms for '
    "{duration_ms:d} ms"
)
def step_keep_sending(context, parts, interval_ms, duration_ms):
    @action(context)
    async def send(fleet):
        fleet.memory["trials"] = trials = []
        for number in range(duration_ms // interval_ms):
            for name, gateway in fleet.gateways_by_name.items():
                await trio.sleep(interval_ms / len(fleet.gateways_by_name) / 1_000)
                exchange = exchange_with(gateway, f"{name} {number}", parts)
                if number and not gateway.state.quarantine.refuses(exchange):
                    assert exchange.is_trial
                    attempt = SimpleNamespace(exchange=exchange, rounds_by_part={})
                    gateway.state.quarantine.record_sent(attempt)
                    trials.append((gateway, exchange))


@then("exactly one request was sent as a trial")
def step_one_trial(context):
    @check(context)
    async def verify(fleet):
        assert len(fleet.memory["trials"]) == 1, fleet.memory["trials"]


@when("the trial gets output")
def step_trial_output(context):
    @action(context)
    async def write(fleet):
        gateway, exchange = fleet.memory["trials"][0]
        gateway.state.quarantine.record_output(exchange)
        await trio.sleep(1.0)


@then('no instance refuses "{parts}" any more')
def step_cleared(context, parts):
    @check(context)
    async def verify(fleet):
        for name, gateway in fleet.gateways_by_name.items():
            exchange = exchange_with(gateway, "another", parts)
            assert not gateway.state.quarantine.refuses(exchange), name
