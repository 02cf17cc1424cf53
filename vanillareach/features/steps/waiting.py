"""Steps about the order in which requests wait for engines."""

import math
import random
from dataclasses import replace
from types import SimpleNamespace
from unittest.mock import patch

import msgspec
import trio
from behave import given, then, when

from vanillareach.core.load_state import InFlightRequest
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
    MAX_ENTRIES,
    RetryBook,
    WaitingQueue,
)
from vanillareach.features.attempt_cases import Case, play
from vanillareach.features.fleet_script import action, check
from vanillareach.features.scripted_attempts import ScriptedPlacement
from vanillareach.features.steps.placers import preferred_placer
from vanillareach.features.users_platform.stage import configuration, route
from vanillareach.features.waiting_world import (
    ENGINE_COUNT,
    KINDS,
    LOADS,
    SERVICE,
    WaitingWorld,
    figures_by_kind,
    route_table,
)
from vanillareach.gateway.exchange import GatewayExchange
from vanillareach.gateway.placing import QUERY_TIMEOUT_MS, PlacementDecision
from vanillareach.gateway.report import InstanceReport, build_report
from vanillareach.gateway.settings import GatewaySettings
from vanillareach.gateways_cli import instances_table
from vanillareach.metrics import Metrics
from vanillareach.platform.documents import decode_configuration

FULL_COUNT = 8
REPLAY_SEEDS = (1, 2, 3)
# Requests that hold a slot until a step ends them.
BLOCKER_ID = 1_000_000
# Less than the wait for a slot.
SHORT_TIME_MS = 100.0
TIME_LEFT_MS = 9_000.0
# Number under which a request that has come back waits.
RETURNING_ID = 999_999


def blocker(number, engine, tokens=100, priority=0, is_prefilling=False):
    """Return a request that occupies a slot of an engine."""
    values = (tokens, tokens + 1_000, 1_000.0 if is_prefilling else 0.0)
    limits = (271.0, 200.0, 1.4, is_prefilling, 0.0, priority)
    return InFlightRequest(BLOCKER_ID + number, engine, (), (), *values, *limits)


def world_with(load):
    """Return a `WaitingWorld` whose engines have a load."""
    world = WaitingWorld()
    counts = [FULL_COUNT] * ENGINE_COUNT
    if load == "no requests":
        counts = []
    elif load == "one free slot":
        counts[0] -= 1
    for engine, count in enumerate(counts):
        for number in range(count):
            flight = blocker(100 * engine + number, f"e{engine}")
            world.state.load_state.add(flight, 0.0)
    return world


def ask(world, kind, team="t0", time_left_ms=None, **changes):
    """Let a request ask once; return its decision."""
    caller = world.arrive_silently(kind, team)
    if time_left_ms is not None:
        caller.deadline_ms = world.now_ms + time_left_ms
    request = world.ask(caller, caller.number, world.now_ms, **changes)
    return world.ordered.decide(request, world.now_ms)


def queue_of(world):
    """Return the queue of the world's service."""
    return world.ordered._queues_by_service.setdefault("model", WaitingQueue())


def add_waiting(world, count, kind, team="t0", time_left_ms=None, **changes):
    """Put requests into the queue without asking for room."""
    entries = []
    for _ in range(count):
        caller = world.arrive_silently(kind, team)
        if time_left_ms is not None:
            caller.deadline_ms = world.now_ms + time_left_ms
        request = world.ordered._waiting_request(
            world.ask(caller, caller.number, world.now_ms, **changes)
        )
        queue = queue_of(world)
        entries.append(queue.renew(request, world.now_ms))
    return entries


@given("engines with {load}")
def step_engines_with(context, load):
    context.world = world_with(load)


@given("engines that lack the memory for a long prompt")
def step_engines_lack_memory(context):
    context.world = WaitingWorld()
    for engine in range(ENGINE_COUNT):
        flight = blocker(engine, f"e{engine}", tokens=200_000 + engine)
        context.world.state.load_state.add(flight, 0.0)


@given("nobody that wait for an engine")
def step_nobody_waits(context):
    pass


@given("{count:d} {kind} prompts that wait for an engine")
def step_waiting(context, count, kind):
    add_waiting(context.world, count, kind, time_left_ms=TIME_LEFT_MS)


@when("a {kind} prompt asks for an engine")
def step_asks(context, kind):
    context.decision = ask(context.world, kind, time_left_ms=TIME_LEFT_MS)


@when("a {kind} prompt with {time_ms:d} ms left asks for an engine")
def step_asks_with(context, kind, time_ms):
    context.decision = ask(context.world, kind, time_left_ms=float(time_ms))


@then("the asking prompt {outcome}")
def step_outcome(context, outcome):
    decision = context.decision
    if decision.placement is not None:
        seen = "is placed"
    else:
        seen = f"is refused: {decision.reason}" if decision.is_final else "waits"
    assert seen == outcome, decision


@when('"{load}" is replayed at {factor:f} times its rates, by chance and in order')
def step_replay(context, load, factor):
    context.replays = {}
    for is_ordered in (False, True):
        callers = []
        for seed in REPLAY_SEEDS:
            world = WaitingWorld(is_ordered, seed)
            world.add_load(
                10_000, lambda kind, time_ms: factor * LOADS[load](kind, time_ms)
            )
            world.run()
            callers += world.callers
        context.replays[is_ordered] = figures_by_kind(callers)


@then("in order all {kind} prompts are answered before their deadline")
def step_all_served(context, kind):
    figures = context.replays[True][kind]
    assert figures.served == figures.count, figures


@then("in order no fewer {kind} prompts are in time than by chance")
def step_in_time(context, kind):
    chance, ordered = (context.replays[o][kind].in_time for o in (False, True))
    assert ordered >= chance, (chance, ordered)


@then("a long prompt avoids the engines that decode, whatever its own priority")
def step_long_avoids_decoding(context):
    for priority in (0, 1, 2):
        world = WaitingWorld()
        decoding = [f"e{n}" for n in range(4)]
        for number in range(12):
            flight = blocker(number, decoding[number % 4], priority=1)
            world.state.load_state.add(flight, 0.0)
        placement = ask(world, "long", priority=priority).placement
        used = {placement.endpoint.id, *(helper.id for helper in placement.helpers)}
        assert not used & set(decoding), (priority, used)


@then("a long prompt takes the same engines whoever decodes there")
def step_whoever_decodes(context):
    used = set()
    for decoding_priority in (0, 1, 2):
        world = WaitingWorld()
        for number in range(18):
            flight = blocker(number, f"e{number % 6}", priority=decoding_priority)
            world.state.load_state.add(flight, 0.0)
        placement = ask(world, "long", priority=1).placement
        used.add(tuple(sorted(h.id for h in (placement.endpoint, *placement.helpers))))
    assert len(used) == 1, used


@then("a short prompt is placed beside prefills of any priority")
def step_short_beside(context):
    for priority in (0, 2):
        world = WaitingWorld()
        for engine in range(ENGINE_COUNT):
            for number in range(4):
                flight = blocker(
                    10 * engine + number, f"e{engine}", 100, priority, True
                )
                flight.part_prefill_ms, flight.objective_ms = 25.0, 8_000.0
                world.state.load_state.add(flight, 0.0)
        assert ask(world, "short").placement is not None, priority


@given("{count:d} urgent prompts that were refused while all slots were taken")
def step_urgent_refused(context, count):
    context.world = world = world_with("all slots taken")
    for _ in range(count):
        caller = world.arrive_silently("short", "t0")
        caller.deadline_ms = world.now_ms + SHORT_TIME_MS
        asked = world.ask(caller, caller.number, world.now_ms)
        assert world.ordered.decide(asked, world.now_ms).is_final
    for flight in world.state.load_state.own_flights(world.now_ms):
        world.state.load_state.remove(flight.id)


@when("{count:d} medium prompts ask for an engine one after another")
def step_ask_in_turn(context, count):
    context.decisions = [ask(context.world, "medium") for _ in range(count)]


@then("all of them are placed at once")
def step_all_placed(context):
    assert all(decision.placement is not None for decision in context.decisions)


@then(
    'metrics and "vanillareach gateways" show {count:d} waiting requests of priority '
    "{priority:d}"
)
def step_shown(context, count, priority):
    world, metrics = context.world, Metrics()
    waiting = world.ordered.waiting_counts(world.now_ms)
    metrics.read_waiting = lambda: waiting
    line = f'vanillareach_waiting{{priority="{priority}",service="model"}} {count}.0'
    assert line in metrics.render().decode(), metrics.render()
    gossip = SimpleNamespace(peers=SimpleNamespace(time_since_heard=list))
    reservations = SimpleNamespace(active_count=0)
    settings = GatewaySettings(name="p", domain="a")
    report = build_report(settings, world.state, gossip, reservations, 0.0, waiting)
    received = msgspec.json.decode(msgspec.json.encode(report), type=InstanceReport)
    table = instances_table({"127.0.0.1:1": received})
    assert f"waiting model {priority}:{count}" in table, table


@given(
    "{count:d} medium prompts of a large team wait, then one of each of 23 small teams"
)
def step_teams(context, count):
    context.world = WaitingWorld()
    context.large = add_waiting(context.world, count, "medium", "large")
    context.small = [
        add_waiting(context.world, 1, "medium", f"small-{number}")[0]
        for number in range(23)
    ]


@then("the small teams come before the second prompt of the large one")
def step_small_first(context):
    order = list(queue_of(context.world))
    assert {e.request.team for e in order[:24]} == {
        "large",
        *(e.request.team for e in context.small),
    }


@given("a medium prompt that was refused {ago_ms:d} ms ago, and {count:d} newcomers")
def step_refused_before(context, ago_ms, count):
    context.world = world = world_with("all slots taken")
    context.returning = world.arrive_silently("medium", "t0")
    context.returning.deadline_ms = SHORT_TIME_MS
    asked = world.ask(context.returning, context.returning.number, world.now_ms)
    assert world.ordered.decide(asked, world.now_ms).is_final
    world.now_ms += ago_ms
    add_waiting(world, count, "medium", time_left_ms=TIME_LEFT_MS)


@when("its caller returns with as much time left as the newcomers have")
def step_returns(context):
    world, caller = context.world, context.returning
    caller.deadline_ms = world.now_ms + TIME_LEFT_MS
    context.decision = world.ordered.decide(
        world.ask(caller, RETURNING_ID, world.now_ms), world.now_ms
    )


@then("{count:d} newcomers are ahead of it")
def step_newcomers_ahead(context, count):
    assert context.decision.ahead == count, context.decision


@given("a medium prompt, and short ones of its priority that arrive every 20 ms")
def step_first_of_many(context):
    context.world = WaitingWorld()
    context.early = add_waiting(context.world, 1, "medium", "early")[0]


@then("it is first within {limit_ms:d} ms, though each short one takes less time")
def step_not_starved(context, limit_ms):
    world, queue = context.world, queue_of(context.world)
    first = context.early.request
    for number in range(limit_ms // 20):
        world.now_ms += 20.0
        generation = msgspec.structs.replace(
            first.generation,
            time_to_deadline_ms=first.generation.time_to_deadline_ms - world.now_ms,
        )
        queue.renew(msgspec.structs.replace(first, generation=generation), world.now_ms)
        if number and next(iter(queue)) is context.early:
            return
        for entry in list(queue):
            if entry is not context.early:
                queue.discard(entry.request.key)
                break
        add_waiting(world, 1, "short", f"late-{number}", priority=1)
    raise AssertionError("starved")


@given("a {kind} prompt that has {time_ms:d} ms left, of a team of its own")
def step_with_time_left(context, kind, time_ms):
    if not hasattr(context, "world"):
        context.world, context.entries = WaitingWorld(), []
    context.entries += add_waiting(
        context.world,
        1,
        kind,
        f"team-{len(context.entries)}",
        time_left_ms=float(time_ms),
        priority=1,
    )


@then("the second one goes first")
def step_second_first(context):
    order = list(queue_of(context.world))
    assert order == context.entries[::-1], [e.rank for e in order]


@given("a prompt of unknown priority, and prompts of the same kind that follow it")
def step_unknown_priority(context):
    context.world = world = WaitingWorld()
    changes = {"priority": UNKNOWN_PRIORITY, "waiting_id": 0}
    context.unknown = add_waiting(world, 1, "medium", "t1", **changes)[0]
    assert context.unknown.request.priority == KINDS["medium"][5]
    context.known = [
        add_waiting(world, 1, "medium", f"other-{number}")[0] for number in range(5)
    ]
    context.urgent = add_waiting(world, 1, "short")[0]


@then("it goes by its time among those of the least urgent priority of its limits")
def step_by_its_time(context):
    order = list(queue_of(context.world))
    assert order[0] is context.urgent, order
    starts_ms = [entry.latest_start_ms for entry in order[1:]]
    assert context.unknown in order[1:] and starts_ms == sorted(starts_ms), starts_ms
    # An older version doesn't take a refusal as final, so it is told to wait.
    busy = world_with("all slots taken")
    caller = busy.arrive_silently("medium", "t1")
    caller.deadline_ms = SHORT_TIME_MS
    asked = busy.ask(caller, 0, 0.0, priority=UNKNOWN_PRIORITY)
    assert not busy.ordered.decide(asked, busy.now_ms).is_final


@when("a prompt asks that has tried all engines")
def step_tried_all(context):
    engines = frozenset(f"e{n}" for n in range(ENGINE_COUNT))
    context.decision = ask(context.world, "medium", excluded=engines)


@given("{passed_ms:d} ms have passed since their first events")
def step_passed(context, passed_ms):
    context.world.now_ms += passed_ms


@then("room for it is predicted within {least_ms:d} to {most_ms:d} ms")
def step_predicted_room(context, least_ms, most_ms):
    wait_ms = context.decision.predicted_wait_ms
    assert least_ms <= wait_ms <= most_ms, wait_ms


@when("a prompt of the same priority asks for an engine")
def step_same_priority(context):
    context.decision = ask(context.world, "medium", priority=2)


@then("it isn't placed on the engine with the most free memory")
def step_not_on_held(context):
    placement = context.decision.placement
    used = {placement.endpoint.id, *(helper.id for helper in placement.helpers)}
    assert "e0" not in used, used


@when(
    "{count:d} callers with {time_ms:d} ms left are refused {wait_ms:d} ms before room"
)
def step_refused_at_once(context, count, time_ms, wait_ms):
    book, generator = RetryBook(), random.Random(1)
    context.delays = [
        book.retry_after_ms(1, wait_ms, 30.0, time_ms, generator.random(), 0.0)
        for _ in range(count)
    ]


@then("their retry times grow, differ, and take no more than a third of {time_ms:d} ms")
def step_retry_times(context, time_ms):
    delays = context.delays
    assert len({round(delay, 3) for delay in delays}) == len(delays)
    assert max(delays) <= time_ms / 3
    half = len(delays) // 2
    assert sum(delays[half:]) > 1.2 * sum(delays[:half]), delays


def exchange_of(world, kind, time_ms):
    """Return the `GatewayExchange` of a new request that has some time."""
    short_route = world.state.configuration.routes_by_host["calls.example"][0]
    route = replace(short_route, timeout_ms=60_000.0, is_generation=True)
    caller = world.arrive_silently(kind, "t0")
    fields = SimpleNamespace(
        attempt_id="a",
        timeout_ms=float(time_ms),
        prompt_tokens=caller.tokens,
        answer_tokens=caller.answer,
        length_hint=0,
        last_event_id=None,
    )
    request = SimpleNamespace(received_ms=world.now_ms)
    return GatewayExchange(
        request, fields, route, SERVICE, None, world.state.configuration
    )


@when("a caller with {time_ms:d} ms left is refused by every engine")
def step_refused_by_all(context, time_ms):
    world = context.world
    context.delays = [
        world.dispatcher.refusal_retry_after_ms(
            exchange_of(world, "short", time_ms), world.now_ms
        )
        for _ in range(10)
    ]


@then("it is told to return after {least_ms:d} to {most_ms:d} ms")
def step_told_to_return(context, least_ms, most_ms):
    assert all(least_ms <= delay <= most_ms for delay in context.delays), context.delays
    assert len(set(context.delays)) == len(context.delays)


@when("{count:d} callers are refused while nothing is known of room")
def step_refused_unknown(context, count):
    context.book = RetryBook()
    for _ in range(count):
        context.book.retry_after_ms(1, math.inf, 30.0, TIME_LEFT_MS, 0.5, 0.0)


@then("one refused {wait_ms:d} ms before room is told to return by {most_ms:d} ms")
def step_refused_after_unknown(context, wait_ms, most_ms):
    delay_ms = context.book.retry_after_ms(1, wait_ms, 30.0, TIME_LEFT_MS, 1.0, 0.0)
    assert wait_ms <= delay_ms <= most_ms, delay_ms


@when("a request is refused in order with a retry time of {retry_ms:d} ms")
def step_refused_in_order(context, retry_ms):
    async def refuse(placement_client, exchange):
        return PlacementDecision(None, float(retry_ms), "too_late", True)

    with patch.object(ScriptedPlacement, "choose", refuse):
        context.run = play(Case("ask", ()))


@then(
    "its caller has a 503 within {limit_ms:d} ms, and the refusal is counted by "
    "priority"
)
def step_answered_at_once(context, limit_ms):
    run = context.run
    assert run.responder.status == 503
    assert run.responder.completed_ms - (run.deadline_ms - 5_000) <= limit_ms
    assert run.metrics.refusals == {("desk", "0", "too_late"): 1}
    assert run.logged("Refused.")[0]["retry_after_ms"] == 1_234


@when("{count:d} long prompts of {teams:d} teams ask for an engine")
def step_flood(context, count, teams):
    world = context.world
    for number in range(count):
        ask(world, "long", f"team-{number % teams}")
        world.now_ms += 0.5


@then("queue and records keep their bounds")
def step_bounds(context):
    assert 0 < len(queue_of(context.world)) <= MAX_ENTRIES
    book = context.world.dispatcher._retry_books_by_service["model"]
    assert len(book._booked_until_ms_by_priority) <= len(KINDS)


@then("a medium prompt that asks then is first")
def step_first_in_flood(context):
    decision = ask(context.world, "medium")
    assert not decision.is_final and decision.ahead == 0, decision


@given("a service whose requests have one priority")
def step_one_priority(context):
    table = route_table({"short": 1, "medium": 1, "long": 1})
    context.world = WaitingWorld(table=table)


@given("a prompt with {time_ms:d} ms left waits, all slots but one being taken")
def step_one_slot(context, time_ms):
    world = context.world
    for engine in range(ENGINE_COUNT):
        for number in range(FULL_COUNT - (engine == 0)):
            flight = blocker(100 * engine + number, f"e{engine}")
            world.state.load_state.add(flight, 0.0)
    add_waiting(world, 1, "short", "t1", time_left_ms=float(time_ms))


@when("one with {time_ms:d} ms left asks")
def step_one_asks(context, time_ms):
    context.decision = ask(context.world, "short", "t2", time_left_ms=float(time_ms))


@then("it has to wait")
def step_has_to_wait(context):
    decision = context.decision
    assert decision.placement is None and not decision.is_final, decision


@then(
    "the first {count:d} of {total:d} that wait ask every {often:d} ms, the last less "
    "often"
)
def step_intervals(context, count, total, often):
    decisions = [
        ask(context.world, "medium", time_left_ms=TIME_LEFT_MS) for _ in range(total)
    ]
    intervals_ms = [decision.ask_interval_ms for decision in decisions]
    assert intervals_ms[:count] == [often] * count, intervals_ms
    assert min(intervals_ms[count:]) > often, intervals_ms


@then("it gets the slot")
def step_gets_slot(context):
    assert context.decision.placement is not None, context.decision


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
