"""Steps about the predicted costs of requests."""

import math
import random
from types import SimpleNamespace

import msgspec
import trio
from behave import given, then, when

from vanillareach.core import cost_exchange as exchange
from vanillareach.core.cost_exchange import CostCell, CostExchange, CostSummary
from vanillareach.core.request_costs import CostModel, CostTraits, level_key
from vanillareach.features.fleet_script import action, check


def model(context):
    """Return the scenario's `CostModel` and its state."""
    if not hasattr(context, "costs"):
        context.costs, context.now_ms = CostModel(), 1_000.0
        context.rng = random.Random(3)
    return context.costs


def traits(team="", part="", hint=0, route="chat"):
    """Return the `CostTraits` of a short prompt."""
    return CostTraits(route, 13, team, part, hint)


def answer(context, cost, is_complete=True, **fields):
    """Let one answer end."""
    costs = model(context)
    context.now_ms += 10.0
    costs.observe(traits(**fields), cost, is_complete, context.now_ms)


def predict(context, **fields):
    """Return the prediction after cached ones have expired."""
    context.now_ms += 1_500.0
    return model(context).predict(traits(**fields), context.now_ms)


def is_near(value, expected, percent):
    """Return whether a value is within some per cent of another."""
    return abs(value - expected) <= expected * percent / 100


@when('{count:d} answers of {low:d} to {high:d} tokens end on route "chat"')
def step_answers(context, count, low, high):
    model(context)
    for _ in range(count):
        answer(context, context.rng.uniform(low, high))


@when(
    '{count:d} answers of {low:d} to {high:d} tokens end on route "chat" of team '
    '"{team}"'
)
def step_team_answers(context, count, low, high, team):
    model(context)
    for _ in range(count):
        answer(context, context.rng.uniform(low, high), team=team)


@when("{duration:d} s pass without answers")
def step_idle(context, duration):
    context.now_ms += 1_000.0 * duration


@then(
    "its predicted median is within {near:d} % of {median:d} and its high within "
    "{high_near:d} % of {high:d}"
)
def step_quantiles(context, near, median, high_near, high):
    found = predict(context)
    assert is_near(found.median, median, near), found.median
    assert is_near(found.high, high, high_near), found.high


@then('team "{team}" is predicted about {tokens:d} tokens')
def step_team_predicted(context, team, tokens):
    assert is_near(predict(context, team=team).median, tokens, 25)


@then('team "" is predicted about {tokens:d} tokens')
def step_no_team_predicted(context, tokens):
    assert is_near(predict(context).median, tokens, 25), predict(context).median


@then('a team is told apart from "odd" among {count:d} others with {tokens:d} tokens')
def step_unseen_team(context, count, tokens):
    for number in range(count * 60):
        answer(context, tokens, team=f"other {number % count}")
    assert is_near(predict(context, team="unseen").median, tokens, 25)


@when("{count:d} answers of {tokens:d} tokens end, half of them cut off at {cut:d}")
def step_cut(context, count, tokens, cut):
    context.naive = CostModel()
    for number in range(count):
        is_complete = number % 2 == 0
        cost = tokens if is_complete else cut
        answer(context, cost, is_complete)
        context.naive.observe(traits(), cost, True, context.now_ms)


@then("a model that takes them for complete predicts less than {tokens:d}")
def step_naive(context, tokens):
    assert context.naive.predict(traits(), context.now_ms).median < tokens


@when("hints that {kind} come with answers of {low:d} to {high:d} tokens")
def step_hints(context, kind, low, high):
    model(context)
    for _ in range(600):
        tokens = math.exp(context.rng.uniform(math.log(low), math.log(high)))
        hint = tokens * context.rng.uniform(0.9, 1.1)
        if kind == "say nothing":
            # Answers are long, whatever was said.
            tokens = context.rng.uniform(high / 2, high)
            hint = math.exp(context.rng.uniform(math.log(low), math.log(high)))
        answer(context, tokens, hint=round(hint))


@then("a hint of {hint:d} is predicted within {near:d} % of {tokens:d}")
def step_hint_near(context, hint, near, tokens):
    assert is_near(predict(context, hint=hint).median, tokens, near)


@then("a hint of {hint:d} is predicted above {tokens:d}")
def step_hint_above(context, hint, tokens):
    assert predict(context, hint=hint).median > tokens


@when("{count:d} answers of {teams:d} teams, parts and {routes:d} routes end")
def step_flood(context, count, teams, routes):
    for number in range(count):
        route = f"route {number % routes}" if number % 2 else "chat"
        answer(context, 300, team=f"t{number}", part=f"p{number}", route=route)
        answer(context, 300, team="steady", part=f"p{number}")
        if number % 20 == 0:
            answer(context, 9_000, team="steady", part="known")


@then("at most {count:d} sketches are kept")
def step_bounded(context, count):
    assert model(context).sketch_count <= count, model(context).sketch_count


@then('the part of team "steady" that came all along is still known')
def step_steady(context):
    found = predict(context, team="steady", part="known")
    assert is_near(found.median, 9_000, 25), found.median


def learn(costs, tokens, count, now_ms, team=""):
    """Let an exchange's model learn answers."""
    costs.is_enabled = True
    for _ in range(count):
        costs.model.observe(traits(team=team), tokens, True, now_ms)


@given("an instance that has learned 500 tokens")
def step_learned(context):
    context.exchange = CostExchange()
    learn(context.exchange, 500, 100, 1_000.0)


def summary_of(kind):
    """Return the bytes of a summary that can't be used."""
    key, ends = level_key("chat", 13), bytes([9])
    cells = {
        "negative": CostCell(key, -800, 60, ends),
        "huge": CostCell(key, 2**62, 60, ends),
        "of a later version": CostCell(key, 8_000, 60, ends),
        "beyond the buckets": CostCell(key, 8_000, 60, bytes([9] * 30)),
    }
    if kind == "random bytes":
        return random.Random(2).randbytes(300)
    if kind == "NaN":
        return msgspec.msgpack.encode([1, 0, [[key, math.nan, 60, ends]]])
    version = 7 if kind == "of a later version" else exchange.SUMMARY_VERSION
    return msgspec.msgpack.encode(CostSummary(version, 0, (cells[kind],)))


@when("a peer sends a summary that is {kind}")
def step_bad_summary(context, kind):
    beacon = SimpleNamespace(
        name="p", domain="a", is_placer=False, costs=summary_of(kind)
    )
    context.exchange.receive(beacon, False, 2_000.0)


@then("the instance still predicts about 500 tokens")
def step_still(context):
    costs = context.exchange.model
    # A weight beyond any bound counts as that of one instance, at the level it names;
    # a team that has answers of its own is predicted by these.
    learn(context.exchange, 500, 60, 9_000.0, team="t")
    found = costs.predict(traits(team="t"), 12_000.0)
    assert is_near(found.median, 500, 25), found.median


@given("an instance that has learned of {count:d} teams")
def step_teams(context, count):
    context.exchange = CostExchange()
    for number in range(count):
        learn(context.exchange, 100 + 90 * number, 50, 1_000.0, f"team {number}")


@when("each of its beacons of 60 s is received three times")
def step_received(context):
    context.receiver, context.summaries = CostExchange(), []
    context.receiver.is_enabled = True
    for now_ms in range(1_000, 61_000, 250):
        costs = context.exchange.take_summary(now_ms)
        context.summaries += [costs] if costs else []
        beacon = SimpleNamespace(name="p", domain="a", is_placer=False, costs=costs)
        for _ in range(3):
            context.receiver.receive(beacon, False, now_ms)


@then("no summary exceeds {size:d} bytes and at most {count:d} were sent")
def step_sizes(context, size, count):
    assert 5 < len(context.summaries) <= count, len(context.summaries)
    assert max(map(len, context.summaries)) <= size


@then("the receiver's weight of the route is at most that of the sender")
def step_weight(context):
    sent, _ = context.exchange.model.level_sketches(61_000.0)
    got = context.receiver.model.remote_by_key
    key = level_key("chat", 13)
    assert 0.5 * sent[key].weight < got[key].weight <= 1.1 * sent[key].weight
    assert len(got) >= 20, len(got)


@when("all instances learn answers of {tokens:d} tokens for {duration:d} s")
def step_fleet_learns(context, tokens, duration):
    @action(context)
    async def run(fleet):
        fleet.memory["answers"] = 0
        for _ in range(duration):
            for gateway in fleet.gateways_by_name.values():
                learn(gateway.state.costs, tokens, 1, gateway.clock.now_ms())
                fleet.memory["answers"] += 1
            await trio.sleep(1.0)


@when("an instance starts anew")
def step_restart(context):
    @action(context)
    async def restart(fleet):
        name = sorted(fleet.gateways_by_name)[-1]
        fleet.kill(name)
        await trio.sleep(1.0)
        fleet.restart(name)
        fleet.gateways_by_name[name].state.costs.is_enabled = True
        fleet.memory["started"] = fleet.gateways_by_name[name]


@then("within {limit_ms:d} ms it predicts about {tokens:d} tokens")
def step_started_knows(context, limit_ms, tokens):
    @check(context)
    async def verify(fleet):
        await trio.sleep(limit_ms / 1000)
        gateway = fleet.memory["started"]
        costs = gateway.state.costs.model
        found = costs.predict(traits(), gateway.clock.now_ms())
        assert found is not None and is_near(found.median, tokens, 25), found


@then("no instance counts an answer more than once")
def step_counted_once(context):
    @check(context)
    async def verify(fleet):
        await trio.sleep(12.0)
        for gateway in fleet.gateways_by_name.values():
            costs = gateway.state.costs.model
            own, _ = costs.level_sketches(gateway.clock.now_ms())
            key = level_key("chat", 13)
            remote = costs.remote_by_key.get(key)
            weight = remote.weight if remote else 0.0
            if costs.includes_own and key in own:
                weight += own[key].weight
            assert 0 < weight <= 1.02 * fleet.memory["answers"], weight
