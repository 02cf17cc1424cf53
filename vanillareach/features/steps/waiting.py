"""Steps about the order in which requests wait for engines."""

from types import SimpleNamespace

import msgspec
from behave import given, then, when

from vanillareach.core.priorities import UNKNOWN_PRIORITY
from vanillareach.core.waiting import MAX_ENTRIES
from vanillareach.features.waiting_cases import (
    FULL_COUNT,
    SHORT_TIME_MS,
    TIME_LEFT_MS,
    add_waiting,
    ask,
    blocker,
    queue_of,
    world_with,
)
from vanillareach.features.waiting_world import (
    ENGINE_COUNT,
    KINDS,
    LOADS,
    WaitingWorld,
    figures_by_kind,
    route_table,
)
from vanillareach.gateway.report import InstanceReport, build_report
from vanillareach.gateway.settings import GatewaySettings
from vanillareach.gateways_cli import instances_table
from vanillareach.metrics import Metrics

REPLAY_SEEDS = (1, 2, 3)
# Number under which a request that has come back waits.
RETURNING_ID = 999_999


@given("engines with {load}")
def step_engines_with(context, load):
    context.world = world_with(load)


@given("their answers are predicted to have all tokens that they may have")
def step_predicted(context):
    for flight in context.world.state.load_state.own_flights(context.world.now_ms):
        flight.predicted_work = flight.high_work = flight.answer_tokens


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
