"""Steps about requests that wait at the placers of a fleet, of all versions."""

import msgspec
import trio
from behave import given, then, when

from vanillareach.core.messages import (
    PlacementQuery,
    PlacementReply,
    decode_message,
    encode_message,
)
from vanillareach.core.priorities import UNKNOWN_PRIORITY
from vanillareach.core.start_decision import ASK_INTERVAL_MS
from vanillareach.core.state_change import ChangeKind
from vanillareach.core.waiting import (
    ENTRY_TTL_INTERVALS,
)
from vanillareach.features.fleet_script import action, check
from vanillareach.features.steps.placers import preferred_placer
from vanillareach.features.users_platform.stage import configuration, route
from vanillareach.features.waiting_cases import (
    FULL_COUNT,
    TIME_LEFT_MS,
    blocker,
    exchange_of,
)
from vanillareach.features.waiting_world import (
    KINDS,
    WaitingWorld,
)
from vanillareach.gateway.placing import QUERY_TIMEOUT_MS
from vanillareach.platform.documents import decode_configuration


@given("the fleet's model has two priorities")
def step_two_priorities(context):
    @action(context)
    async def configure(fleet):
        long_wait = {"session_affinity": True, "target_latency_ms": 20_000}
        routes = [
            route("ask", "streaming", "model", resumable=True, **long_wait),
            route("once", "streaming", "model", priority=1, **long_wait),
        ]
        document = configuration(1, routes=routes)
        del document["tenants"]
        fleet.store.configuration = decode_configuration(msgspec.json.encode(document))


@when("all slots of all engines are taken")
def step_fill(context):
    @action(context)
    async def fill(fleet):
        gateway = fleet.gateways_by_name["c9"]
        slots = FULL_COUNT + 2
        for index, engine in enumerate(gateway.state.endpoints.by_id):
            for number in range(slots):
                flight = blocker(slots * index + number, engine)
                gateway.state.load_state.add(flight, gateway.clock.now_ms())
        gateway.state.publish(ChangeKind.FLIGHTS)
        await trio.sleep(0.1)


@when("{count:d} members of all domains wait for an engine")
def step_members_wait(context, count):
    @action(context)
    async def wait(fleet):
        fleet.memory["placed"] = []
        members = [m for m in fleet.members() if m.settings.name != "c9"]

        async def poll(member):
            exchange = member.exchange()
            while True:
                decision = await member.client.choose(exchange)
                if decision.placement is not None:
                    fleet.memory["placed"].append(member.settings.name)
                    member.dispatcher.record_dispatch(
                        exchange, decision.placement, member.clock.now_ms()
                    )
                    return
                assert not decision.is_final, decision.reason
                await member.clock.sleep_ms(decision.ask_interval_ms)

        fleet.memory["waiting"] = members[:count]
        for member in members[:count]:
            fleet._nursery.start_soon(poll, member)
        await trio.sleep(0.2)
        assert waiting_in(fleet, "a")[preferred_placer(fleet, "a")] > 0


def waiting_in(fleet, domain):
    """Return how many requests wait at each placer of a domain."""
    counts = {}
    for name in fleet.placer_names(domain):
        gateway = fleet.gateways_by_name[name]
        waiting = gateway.ordered.waiting_counts(gateway.clock.now_ms())
        counts[name] = sum(waiting.get("model", {}).values())
    return counts


@then('the other placer of domain "{domain}" has the waiting requests of its members')
def step_other_placer(context, domain):
    @check(context)
    async def verify(fleet):
        own = [m for m in fleet.memory["waiting"] if m.settings.domain == domain]
        assert not fleet.memory["placed"]
        assert own and max(waiting_in(fleet, domain).values()) == len(own)


@when("the slots become free")
def step_free(context):
    @action(context)
    async def free(fleet):
        gateway = fleet.gateways_by_name["c9"]
        for flight in gateway.state.load_state.own_flights(gateway.clock.now_ms()):
            gateway.dispatcher.record_end(flight)
        await trio.sleep(0.05)


@then("each of the waiting requests was placed once")
def step_placed_once(context):
    @check(context)
    async def verify(fleet):
        names = [member.settings.name for member in fleet.memory["waiting"]]
        missing = set(names) - set(fleet.memory["placed"])
        assert sorted(fleet.memory["placed"]) == sorted(names), missing
        flights = [m.state.load_state.own_flight_count for m in fleet.memory["waiting"]]
        assert flights == [1] * len(names), flights
        assert not any(waiting_in(fleet, "a").values())


@then("instances of older versions get the same worth for prompts of any length")
def step_same_worth(context):
    world, worths = WaitingWorld(), set()
    for kind in KINDS:
        exchange = exchange_of(world, kind, TIME_LEFT_MS)
        worths.add(world.dispatcher.generation_request(exchange, 0.0).worth)
        worths.add(world.dispatcher.unplaced_flight(exchange).worth)
    assert len(worths) == 1 and min(worths) > 0.0, worths


@then("a query without the newer fields is decoded with an unknown priority")
def step_old_query(context):
    world = WaitingWorld()
    caller = world.arrive_silently("medium", "t0")
    generation = world.ask(caller, 1, 0.0).generation
    flight = blocker(1, "")
    query = PlacementQuery(1, "m", "m", "model", generation, (), True, flight)
    values = msgspec.msgpack.decode(encode_message(query))
    del values[9:]
    # The tag, then the fields; those of an older version lack the priority inside.
    values[5], values[8] = values[5][:9], values[8][:12]
    decoded = decode_message(msgspec.msgpack.encode(values))
    assert isinstance(decoded, PlacementQuery)
    assert (decoded.priority, decoded.waiting_id) == (UNKNOWN_PRIORITY, 0)
    assert decoded.flight.priority == UNKNOWN_PRIORITY
    assert decoded.generation.priority == UNKNOWN_PRIORITY


@then("a reply without the newer fields lets its request wait")
def step_old_reply(context):
    values = msgspec.msgpack.decode(
        encode_message(PlacementReply(1, True, None, 300.0, True, "too_late"))
    )
    reply = decode_message(msgspec.msgpack.encode(values[:5]))
    assert (reply.is_final, reply.reason) == (False, "")
    # An entry outlives three polls, and one poll that found the placer silent.
    assert ENTRY_TTL_INTERVALS >= 3
    assert ENTRY_TTL_INTERVALS * ASK_INTERVAL_MS >= ASK_INTERVAL_MS + QUERY_TIMEOUT_MS
