"""Steps about the placers of large fleets, on instances in memory."""

from functools import partial

import msgspec
import trio
from behave import given, then, when

from vanillareach.core.crash_news import CrashNews
from vanillareach.core.messages import (
    Beacon,
    EndpointFault,
    EvacuationNews,
    MessageError,
    decode_message,
    encode_message,
)
from vanillareach.features.fleet_script import FleetScript, action, check
from vanillareach.gateway.peer_choice import PeerChooser


@given('a fleet of {count:d} instances in domains "{domains}"')
def step_fleet(context, count, domains):
    context.script = FleetScript(count, domains)


@when("the fleet runs for {duration_ms:d} ms")
def step_pass(context, duration_ms):
    @action(context)
    async def sleep(fleet):
        await trio.sleep(duration_ms / 1000)


@then("each domain has 2 placers, of the instances with the most capacity")
def step_two_placers(context):
    @check(context)
    async def verify(fleet):
        for domain in context.script.domains:
            names = fleet.placer_names(domain)
            fast = {f"{domain}{rank}" for rank in range(3)}
            assert len(names) == 2 and set(names) <= fast, names


@then("no domain has placers")
def step_no_placers(context):
    @check(context)
    async def verify(fleet):
        assert not any(fleet.placer_names(d) for d in context.script.domains)


@then("all instances know each other's requests")
def step_all_know(context):
    @check(context)
    async def verify(fleet):
        start_requests(fleet, 5_000)
        await trio.sleep(0.1)
        counts = {g.running_count for g in fleet.gateways_by_name.values()}
        assert counts == {context.script.instance_count}, counts


def start_requests(fleet, duration_ms):
    """Start a request at each instance that is not frozen."""
    for name, gateway in fleet.gateways_by_name.items():
        if not fleet.network.sockets_by_address[name].is_frozen:
            fleet._nursery.start_soon(gateway.run_request, duration_ms)


@when("each instance starts a request of {duration_ms:d} ms")
def step_start_requests(context, duration_ms):
    @action(context)
    async def start(fleet):
        start_requests(fleet, duration_ms)


def requests_known_to_placers(fleet, domains):
    """Return how many requests each placer knows, by its name."""
    return {
        name: fleet.gateways_by_name[name].running_count
        for domain in domains
        for name in fleet.placer_names(domain)
    }


@then("every placer knows {count:d} requests")
def step_placers_know(context, count):
    @check(context)
    async def verify(fleet):
        counts = requests_known_to_placers(fleet, context.script.domains)
        assert set(counts.values()) == {count}, counts


@then("no placer knows more than {count:d} requests")
def step_placers_know_at_most(context, count):
    @check(context)
    async def verify(fleet):
        counts = requests_known_to_placers(fleet, context.script.domains)
        assert max(counts.values()) <= count, counts


@when('a member of domain "{domain}" asks for a placement and sends nothing')
def step_ask_only(context, domain):
    @action(context)
    async def ask(fleet):
        member = fleet.members(domain)[0]
        fleet.memory["asked"] = member.gossip.placers()[0].name
        decision = await member.client.choose(member.exchange())
        assert decision.placement is not None


@then("the placer that answered knows 1 request")
def step_answering_placer_knows(context):
    @check(context)
    async def verify(fleet):
        assert fleet.gateways_by_name[fleet.memory["asked"]].running_count == 1


def preferred_placer(fleet, domain):
    """Return the name of the placer that the members of a domain ask first."""
    return fleet.members(domain)[0].gossip.placers()[0].name


@when('the preferred placer of domain "{domain}" {fails}')
def step_placer_fails(context, domain, fails):
    @action(context)
    async def fail(fleet):
        name = preferred_placer(fleet, domain)
        network = fleet.network
        if fails == "dies":
            fleet.kill(name)
        elif fails == "dies and starts again":
            fleet.kill(name)
            await trio.sleep(0.3)
            fleet.restart(name)
        elif fails == "freezes":
            fleet.memory["frozen"] = name
            network.sockets_by_address[name].is_frozen = True
            network.is_cut = lambda sender, receiver: sender == name
        elif fails == "receives nothing any more":
            network.is_cut = lambda sender, receiver: receiver == name
        elif fails == "sends nothing any more":
            network.is_cut = lambda sender, receiver: sender == name
        elif fails == "is cut off from half of its members":
            cut_off = {m.settings.name for m in fleet.members(domain)[::2]}
            network.is_cut = lambda sender, receiver: (
                name in (sender, receiver) and bool(cut_off & {sender, receiver})
            )
        else:
            raise AssertionError(fails)


@when("the frozen placer goes on")
def step_thaw(context):
    @action(context)
    async def thaw(fleet):
        fleet.network.is_cut = lambda sender, receiver: False
        fleet.network.sockets_by_address[fleet.memory["frozen"]].thaw()


@when('both placers of domain "{domain}" die')
def step_both_die(context, domain):
    @action(context)
    async def kill(fleet):
        for name in fleet.placer_names(domain):
            fleet.kill(name)


@when('domain "{domain}" is cut off from the other domains')
def step_cut_domain(context, domain):
    @action(context)
    async def cut(fleet):
        fleet.network.is_cut = lambda sender, receiver: (
            (sender[0] == domain) != (receiver[0] == domain)
        )


async def place_at_members(fleet, domain):
    """Place a request at each member; return the slowest time, in ms, and sources."""
    slowest_ms, sources = 0.0, []

    async def place(member):
        nonlocal slowest_ms
        start_s = trio.current_time()
        decision = await member.client.choose(member.exchange())
        slowest_ms = max(slowest_ms, 1000 * (trio.current_time() - start_s))
        assert decision.placement is not None
        sources.append(decision.placement.flight_id != 0)

    async with trio.open_nursery() as nursery:
        for member in fleet.members(domain):
            nursery.start_soon(place, member)
    return slowest_ms, sources


@then(
    'every member of domain "{domain}" gets a placement from a placer within '
    "{limit_ms:d} ms"
)
def step_placed_by_placer(context, domain, limit_ms):
    @check(context)
    async def verify(fleet):
        slowest_ms, sources = await place_at_members(fleet, domain)
        assert all(sources), sources
        assert slowest_ms <= limit_ms, slowest_ms


@then('every member of domain "{domain}" gets a placement within {limit_ms:d} ms')
def step_placed(context, domain, limit_ms):
    @check(context)
    async def verify(fleet):
        slowest_ms, _ = await place_at_members(fleet, domain)
        assert slowest_ms <= limit_ms, slowest_ms


@then('{count:d} placers of domain "{domain}" answer')
def step_placers_answer(context, count, domain):
    @check(context)
    async def verify(fleet):
        # The last in the order: the first ones are placers or were.
        member = fleet.members(domain)[-1]
        exchange = member.exchange()
        flight = member.dispatcher.unplaced_flight(exchange)
        make_query = partial(member.client._placement_query, exchange, (), flight)
        answering = 0
        for placer in member.gossip.placers():
            reply = await member.gossip.ask(placer, make_query, 100.0)
            answering += reply is not None
        assert answering == count, answering


@then('domain "{domain}" has at least {count:d} placers')
def step_at_least_placers(context, domain, count):
    @check(context)
    async def verify(fleet):
        assert len(fleet.placer_names(domain)) >= count, fleet.placer_names(domain)


def engine_of(gateway, engine):
    """Return a listed engine."""
    return gateway.state.endpoints.by_id[engine]


@when('a member of domain "{domain}" can\'t reach engine "{engine}"')
def step_unreachable(context, domain, engine):
    @action(context)
    async def record(fleet):
        fleet.memory["member"] = member = fleet.members(domain)[0]
        member.state.record_fault(
            engine_of(member, engine),
            EndpointFault.UNREACHABLE,
            member.clock.now_ms(),
        )


@when('the member reports again that it can\'t reach engine "{engine}"')
def step_unreachable_again(context, engine):
    @action(context)
    async def record(fleet):
        member = fleet.memory["member"]
        member.state.record_fault(
            engine_of(member, engine),
            EndpointFault.UNREACHABLE,
            member.clock.now_ms(),
        )


@when('{count:d} members of domain "{domain}" see engine "{engine}" fail')
def step_members_see_failure(context, count, domain, engine):
    @action(context)
    async def record(fleet):
        for member in fleet.members(domain)[:count]:
            member.state.record_fault(
                engine_of(member, engine),
                EndpointFault.FAILED,
                member.clock.now_ms(),
            )


@when('a placer of domain "{domain}" reaches engine "{engine}"')
def step_reached(context, domain, engine):
    @action(context)
    async def record(fleet):
        placer = fleet.gateways_by_name[preferred_placer(fleet, domain)]
        fleet.memory["placer"] = placer
        placer.state.health.record_reachable(
            engine_of(placer, engine).key, placer.clock.now_ms()
        )


@then('the placer that reached engine "{engine}" still uses it')
def step_still_used(context, engine):
    @check(context)
    async def verify(fleet):
        placer = fleet.memory["placer"]
        assert placer.state.health.prefer_healthy(
            [engine_of(placer, engine)], placer.clock.now_ms()
        )
        assert engine_of(placer, engine).key not in (
            placer.state.health.unreachable_by_key
        )


@then('no placement of domain "{domain}" uses engine "{engine}"')
def step_not_used(context, domain, engine):
    @check(context)
    async def verify(fleet):
        for member in fleet.members(domain):
            for _ in range(2):
                decision = await member.client.choose(member.exchange())
                assert decision.placement.endpoint.id != engine


@then("a beacon without the newer fields is decoded with their defaults")
def step_old_beacon(context):
    @check(context)
    async def verify(fleet):
        gateway = next(iter(fleet.gateways_by_name.values()))
        values = msgspec.msgpack.decode(
            encode_message(gateway.gossip.announcements.beacon())
        )
        newer_fields = (
            "capacity",
            "is_placer",
            "store_era",
            "endpoints_era",
            "leaving",
            "crash_news",
            "limits",
            "forward_address",
            "has_lost_links",
            "evacuations",
            "cold",
            "costs",
            "configuration_schema",
        )
        beacon = decode_message(
            msgspec.msgpack.encode(values[: len(values) - len(newer_fields)])
        )
        assert isinstance(beacon, Beacon)
        assert (beacon.capacity, beacon.is_placer) == (0.0, False)
        assert beacon.crash_news == CrashNews()
        assert (beacon.limits, beacon.cold) == ((), ())
        assert beacon.evacuations == EvacuationNews()
        assert (beacon.forward_address, beacon.has_lost_links) == ("", False)
        assert beacon.costs == b""
        assert beacon.configuration_schema == 0


@then("a message of an unknown kind is rejected")
def step_unknown_message(context):
    try:
        decode_message(msgspec.msgpack.encode([99, "x"]))
    except MessageError:
        return
    raise AssertionError("a message of an unknown kind was decoded")


@when('a member of domain "{domain}" can\'t reach any engine')
def step_none_reached(context, domain):
    @action(context)
    async def record(fleet):
        fleet.memory["member"] = member = fleet.members(domain)[0]
        for endpoint in member.state.endpoints.by_id.values():
            member.client.record_unreachable(endpoint)


@then("that member still gets a placement from a placer")
def step_still_placed(context):
    @check(context)
    async def verify(fleet):
        member = fleet.memory["member"]
        decision = await member.client.choose(member.exchange())
        assert decision.placement is not None and decision.placement.flight_id


def peer_chooser(fleet):
    """Return the `PeerChooser` of the instance that has lost its links."""
    gateway = fleet.memory["cut_off"]
    if "chooser" not in fleet.memory:
        chooser = PeerChooser(gateway.state, gateway.gossip, gateway.clock)
        fleet.memory["chooser"] = chooser
    return fleet.memory["chooser"]


def chosen_peers(fleet):
    """Return the names of the peers that the instance chooses for 30 requests."""
    chooser, gateway = peer_chooser(fleet), fleet.memory["cut_off"]
    chosen = set()
    for _ in range(30):
        exchange = gateway.exchange()
        exchange.request.method = b"POST"
        chosen.add(chooser.choose(exchange).endpoint.peer.name)
    return chosen


@when('an instance of domain "{domain}" has lost its links to all endpoints')
def step_lose_links(context, domain):
    @action(context)
    async def lose(fleet):
        names = sorted(n for n in fleet.gateways_by_name if n[0] == domain)
        gateway = fleet.memory["cut_off"] = fleet.gateways_by_name[names[-1]]
        # The placers' beacons reach all instances of their domain.
        other = fleet.gateways_by_name[(fleet.placer_names(domain) or names)[0]]
        fleet.memory["also_cut_off"] = other.settings.name
        for lost in (gateway, other):
            lost.state.reach.is_lost = True
            lost.state.publish()
        await trio.sleep(0.1)


@then(
    'it hands requests to peers of domain "{domain}", and not to one that has lost '
    "its links"
)
def step_near_peers(context, domain):
    @check(context)
    async def verify(fleet):
        chosen = chosen_peers(fleet)
        assert chosen and {name[0] for name in chosen} == {domain}, chosen
        assert fleet.memory["also_cut_off"] not in chosen, chosen


@when('{count:d} peers of domain "{domain}" could not help it')
def step_unable_peers(context, count, domain):
    @action(context)
    async def record(fleet):
        chooser, gateway = peer_chooser(fleet), fleet.memory["cut_off"]
        peers = gateway.gossip.peers.by_name.values()
        near = [peer for peer in peers if peer.name[0] == domain]
        for peer in near[:count]:
            chooser.record_unable(peer)


@then("it hands requests to peers of other domains")
def step_far_peers(context):
    @check(context)
    async def verify(fleet):
        own_domain = fleet.memory["cut_off"].settings.domain
        chosen = chosen_peers(fleet)
        assert chosen and own_domain not in {name[0] for name in chosen}, chosen
