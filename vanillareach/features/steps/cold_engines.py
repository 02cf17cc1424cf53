"""Steps about engines that are cold and take few requests."""

import re
from dataclasses import replace
from random import Random

import msgspec
import trio
from behave import given, then, when

from vanillareach.core.cold_engines import MARGIN_MS, ColdEngines
from vanillareach.core.endpoint_list import ListedEndpoint
from vanillareach.core.messages import (
    PermitQuery,
    RequestLimit,
    decode_message,
    encode_message,
)
from vanillareach.core.routing import RoutedService
from vanillareach.features.fleet_script import action, check
from vanillareach.features.gateway_network import endpoints_of
from vanillareach.features.users_platform.stage import configuration
from vanillareach.gateway.report import InstanceReport
from vanillareach.gateways_cli import instances_table
from vanillareach.platform.documents import (
    EndpointDocument,
    decode_configuration,
    decode_endpoint,
)
from vanillareach.platform.pages import MetadataDocument, ObjectDocument
from vanillareach.platform.signals import read_signals

ENGINE = ListedEndpoint("e", 1, "model", "10.0.0.1:80", "a", 6, False)
DEPLOYMENT_FIGURES = {
    "slots": 6,
    "kv_tokens": 382_500,
    "step_ms": 0.925,
    "read_per_s": 256_000.0,
    "pairs_per_m": 0.0917,
    "stride": 52,
}
SHORT_TOKENS, LONG_TOKENS = 4_960, 300_000
LONG_MS = 6_000.0
# Time for which all instances hear of a list, an answer or a return.
NEWS_S = 0.8


@given(
    "a service whose endpoints take {per_s:g} requests a second when cold, "
    "{start_ms:g} ms from their start"
)
def step_cold_service(context, per_s, start_ms):
    context.cold = ColdEngines()
    service = RoutedService("model", 0, None, per_s, start_ms)
    context.cold.set_services({"model": service})


@when("at {now_ms:g} ms the {kind} list says that an endpoint is cold for {entry} ms")
def step_cold_entry(context, now_ms, kind, entry):
    record_entry(context, None if entry == "no" else float(entry), now_ms, kind)


def record_entry(context, cold_ms, now_ms, kind):
    endpoint = replace(ENGINE, cold_ms=cold_ms)
    context.cold.record_list([endpoint], now_ms, now_ms, kind == "first")


@when("at {now_ms:g} ms there is {news}")
def step_cold_news(context, now_ms, news):
    kind, _, value = news.removesuffix(" ms").partition(" of ")
    if kind == "an entry":
        record_entry(context, float(value), now_ms, "later")
    elif kind == "an answer":
        context.cold.record_answer(ENGINE, float(value), now_ms)
    elif kind == "a peer's record":
        context.cold.record_reported(ENGINE, float(value), now_ms)
    elif kind == "a return":
        context.cold.record_returned([ENGINE], now_ms)


@then("at {now_ms:g} ms it is cold for {remaining_ms:g} ms, with {spare:g} ms to spare")
def step_cold_for(context, now_ms, remaining_ms, spare):
    limit = context.cold.limit(ENGINE, now_ms)
    found_ms = 0.0 if limit is None else limit.until_ms - now_ms - MARGIN_MS
    assert max(0.0, found_ms) == remaining_ms, found_ms


@then(
    "a peer with {latency_ms:g} ms latency to it extends that time by at most "
    "{most_ms:g} ms in {count:d} messages"
)
def step_cold_agree(context, latency_ms, most_ms, count):
    peer = ColdEngines()
    peer.set_services({"model": RoutedService("model", 0, None, 4.0, 8_000.0)})
    peer.record_list([replace(ENGINE, cold_ms=0.0)], 10_000, 10_000, True)
    pair, now_ms = (context.cold, peer), 10_600.0
    until_ms = context.cold.limit(ENGINE, now_ms).until_ms
    for number in range(count):
        sender, receiver = pair[number % 2], pair[1 - number % 2]
        for record in sender.news([ENGINE], now_ms, False):
            receiver.record_reported(ENGINE, record[2], now_ms + latency_ms)
        now_ms += 10.0
    extensions = [c.limit(ENGINE, 10_600.0).until_ms - until_ms for c in pair]
    assert all(0 <= ms <= most_ms + 1 for ms in extensions), extensions


@then('an answer of status {status:d} with Vanillareach-Cold-Ms "{value}" says {cold}')
def step_cold_header(context, status, value, cold):
    signals = read_signals(status, [(b"Vanillareach-Cold-Ms", value.encode())])
    assert signals.cold_ms == (None if cold == "none" else float(cold)), signals


@then(
    "a service without cold figures, and one with negative ones, has no cold endpoints"
)
def step_cold_absent(context):
    document = configuration(1)
    document["backends"][0] |= {"cold_per_s": -4, "cold_start_s": -1}
    services = decode_configuration(msgspec.json.encode(document)).services_by_name
    figures = {(s.cold_per_s, s.cold_start_ms) for s in services.values()}
    assert figures == {(0.0, 0.0)}, figures


@then("an entry without a cold time is decoded as one that doesn't say")
def step_cold_entry_absent(context):
    entry = EndpointDocument("model", "10.0.0.1:80", "a", "1", 6, "ready", 1)
    values = msgspec.to_builtins(entry)
    del values["cold_remaining_ms"]
    spec = msgspec.Raw(msgspec.json.encode(values))
    endpoint = decode_endpoint(ObjectDocument(MetadataDocument("e"), spec))
    assert endpoint.cold_ms is None
    # An entry as an older instance passes it on.
    values = msgspec.to_builtins(endpoint)
    del values["cold_ms"]
    assert msgspec.convert(values, ListedEndpoint) == endpoint


@then("a permit query of an older version is decoded")
def step_old_permit_query(context):
    query = PermitQuery(1, "a", "a:1", RequestLimit("e", 1, 1, 2.0), True, 900.0)
    values = msgspec.msgpack.decode(encode_message(query))
    older = decode_message(msgspec.msgpack.encode(values[:-1]))
    assert older == msgspec.structs.replace(query, cold_ms=0.0), older


@given(
    "cold engines take {per_s:g} requests a second, for {start_s:g} s from their start"
)
def step_cold_fleet(context, per_s, start_s):
    @action(context)
    async def configure(fleet):
        document = configuration(1)
        model = document["backends"][1]
        model["engine"] = model["engine"] | fleet.memory.get("figures", {})
        model |= {"cold_per_s": per_s, "cold_start_s": start_s}
        fleet.store.configuration = decode_configuration(msgspec.json.encode(document))
        fleet.memory |= {"cold_per_s": per_s, "cold_start_s": start_s}


@given("{count:d} engines in each domain, of the figures of the first deployment")
def step_deployment(context, count):
    @action(context)
    async def build(fleet):
        fleet.store.endpoints = endpoints_of(context.script.domains, count)
        fleet.memory["figures"] = DEPLOYMENT_FIGURES


@when("the engines of the fleet {begin}")
def step_all_cold(context, begin):
    @action(context)
    async def make_cold(fleet):
        begin_cold(fleet, fleet.store.endpoints, begin == "start again")


def begin_cold(fleet, endpoints, is_start):
    """Let engines be cold from now on; if they start again, the store lists that."""
    now_s = trio.current_time()
    for endpoint in endpoints:
        until_s = now_s + fleet.memory["cold_start_s"]
        fleet.engines.cold_until_s_by_id[endpoint.id] = until_s
        fleet.engines.arrivals_by_id.pop(endpoint.id, None)
        fleet.engines.incarnations_by_id[endpoint.id] = 1 + is_start
    ids = {endpoint.id for endpoint in endpoints}
    fleet.store.endpoints = [
        replace(e, incarnation=1 + is_start) if e.id in ids else e
        for e in fleet.store.endpoints
    ]
    fleet.memory["cold_ids"], fleet.memory["cold_since_s"] = ids, now_s


def cold_arrivals(fleet):
    """Yield the times of the requests that each engine got while it was cold."""
    for engine in sorted(fleet.memory["cold_ids"]):
        until_s = fleet.engines.cold_until_s_by_id[engine]
        arrivals = fleet.engines.arrivals_by_id.get(engine, ())
        since_s = fleet.memory["cold_since_s"]
        yield engine, [t for t in arrivals if since_s <= t < until_s]


@then(
    "no cold engine got more than {factor:g} times that and {slack:d} requests in a "
    "second"
)
def step_cold_bound(context, factor, slack):
    @check(context)
    async def verify(fleet):
        allowed = factor * fleet.memory["cold_per_s"] + slack
        for engine, times in cold_arrivals(fleet):
            most = max((sum(s <= t < s + 1 for t in times) for s in times), default=0)
            assert most <= allowed, (engine, most, allowed)


@then("the cold engines got at least {share:g} of what they take")
def step_cold_used(context, share):
    @check(context)
    async def verify(fleet):
        until_s = min(trio.current_time(), *fleet.engines.cold_until_s_by_id.values())
        duration_s = until_s - fleet.memory["cold_since_s"] - NEWS_S
        total = sum(len(times) for _, times in cold_arrivals(fleet))
        count = len(fleet.memory["cold_ids"])
        taken = total / (count * duration_s * fleet.memory["cold_per_s"])
        assert taken >= share, taken


@then("no instance takes an engine for cold, or limits it")
def step_none_cold(context):
    @check(context)
    async def verify(fleet):
        for gateway in fleet.gateways_by_name.values():
            gateway.state.closed_endpoints()
            assert not gateway.state.limits.limited_keys()
            assert not gateway.state.cold_endpoints()


@when("the store is down while an instance starts again")
def step_restart_without_store(context):
    @action(context)
    async def restart(fleet):
        fleet.store.is_down = True
        fleet.kill("a2")
        fleet.restart("a2")
        await trio.sleep(2.0)


@then("it takes all engines for cold, and for no longer than its peers do")
def step_learned_from_peer(context):
    @check(context)
    async def verify(fleet):
        def remaining_ms(name):
            gateway = fleet.gateways_by_name[name]
            limits, now_ms = gateway.state.limits, gateway.clock.now_ms()
            keys = [endpoint.key for endpoint in fleet.store.endpoints]
            return [limits.cold_remaining_ms(key, now_ms) for key in keys]

        pairs = list(zip(remaining_ms("a2"), remaining_ms("b2"), strict=True))
        assert all(0 < own <= other + 1_000 for own, other in pairs), pairs


@when(
    'domain "{domain}" is unused for {unused_ms:d} ms and then used for {used_ms:d} '
    "ms, with {short:d} requests of {short_ms:d} ms and {long:d} long one a second"
)
def step_domain_returns(context, domain, unused_ms, used_ms, short, short_ms, long):
    @action(context)
    async def load(fleet):
        fleet.memory["refused"] = []
        returning = [e for e in fleet.store.endpoints if e.domain == domain]
        for gateway in fleet.gateways_by_name.values():
            state, now_ms = gateway.state, gateway.clock.now_ms()
            for endpoint in returning:
                # Stands in for an evacuation.
                state.quiet_periods.record(endpoint.key, unused_ms, now_ms)
        async with trio.open_nursery() as nursery:
            # Beyond the slots of the warm engines, callers ask once.
            slots = 8 * (len(fleet.store.endpoints) - len(returning))
            waits = short * short_ms / 1000 <= slots
            nursery.start_soon(
                send_requests, fleet, short, SHORT_TOKENS, short_ms, waits
            )
            nursery.start_soon(send_requests, fleet, long, LONG_TOKENS, LONG_MS, waits)
            await trio.sleep(unused_ms / 1000)
            begin_cold(fleet, returning, False)
            for gateway in fleet.gateways_by_name.values():
                now_ms = gateway.clock.now_ms()
                gateway.state.record_taken_back([domain], now_ms)
            await trio.sleep(used_ms / 1000)
            nursery.cancel_scope.cancel()


async def send_requests(fleet, rate, tokens, duration_ms, waits):
    """Send requests of one kind until cancelled; record those that were refused."""
    random, gateways = Random(rate), list(fleet.gateways_by_name.values())

    async def send(gateway):
        placement = await gateway.run_request(duration_ms, tokens, waits)
        if placement is None:
            fleet.memory["refused"].append((trio.current_time(), tokens))

    async with trio.open_nursery() as nursery:
        while True:
            nursery.start_soon(send, random.choice(gateways))
            await trio.sleep(random.expovariate(rate))


@then("no request was refused")
def step_none_refused(context):
    @check(context)
    async def verify(fleet):
        assert not fleet.memory["refused"], fleet.memory["refused"]


@then('the part of domain "{domain}" has risen')
def step_part_rose(context, domain):
    @check(context)
    async def verify(fleet):
        since_s = fleet.memory["cold_since_s"]

        def count(first_s, last_s):
            return sum(
                since_s + first_s <= t < since_s + last_s
                for _, times in cold_arrivals(fleet)
                for t in times
            )

        parts = [count(s, s + 1) for s in range(4)]
        assert 0 < 1.5 * parts[0] < parts[3], parts


@given("a configuration in which cold endpoints take {per_s:g} requests a second")
def step_cold_configuration(context, per_s):
    platform, document = context.platform, configuration(2)
    for service in document["backends"]:
        service |= {"cold_per_s": per_s, "cold_start_s": 1}

    async def change():
        platform.store.put("config", "main", document)
        await trio.sleep(NEWS_S)

    context.run(change)


@given('endpoint "{name}" says that it is cold for {duration_s:g} s')
def step_say_cold(context, name, duration_s):
    async def say():
        endpoint = context.platform.endpoints_by_name[name]
        endpoint.cold_until_s = trio.current_time() + duration_s

    context.run(say)


@then('endpoint "{name}" got at most {most:d} requests in a second, and some')
def step_cold_requests(context, name, most):
    received = context.platform.endpoints_by_name[name].received
    times = [request.arrived_s for request in received]
    counts = [sum(s <= t < s + 1 for t in times) for s in times]
    assert 0 < max(counts, default=0) <= most, counts


@then('the report says "{text}" and a time of endpoint "{name}"')
def step_cold_report(context, text, name):
    async def report():
        return context.platform.gateways[0]._encoded_report()

    decoded = msgspec.json.decode(context.run(report), type=InstanceReport)
    (endpoint,) = [e for e in decoded.endpoints if e.id == name]
    assert re.fullmatch(text + r" \d+ s", endpoint.standing), endpoint
    assert 0 < endpoint.cold_ms <= 30_500, endpoint
    table = instances_table({"x": decoded})
    assert table.splitlines()[1].split()[9:11] == ["0", "1"], table
