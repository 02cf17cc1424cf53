"""Steps for coordination among instances."""

import msgspec
import trio
from behave import given, then, when

from vanillareach.core.configuration import ConfigurationObject
from vanillareach.core.messages import Push
from vanillareach.core.spreading import is_watcher
from vanillareach.features.harness import (
    STANDARD_CONFIGURATION,
    TEAM_DOCUMENT,
    TEMPLATE_DOCUMENT,
)
from vanillareach.features.support import prompt_of
from vanillareach.standins.engine import EngineBehaviour

POLL_S = 0.02


def entries(context):
    """Return the entries that were not killed."""
    return [
        entry for entry in context.stage.entries_by_name.values() if not entry.killed
    ]


def entry_at(context, index):
    """Return one entry by its number."""
    return context.stage.entries_by_name[f"entry-{index}"]


def template_with_rate(rate):
    """Return the standard template with another default rate."""
    document = msgspec.json.decode(msgspec.json.encode(TEMPLATE_DOCUMENT))
    document["parameters"]["rate"]["default"] = rate
    return document


def rate_at(entry):
    """Return the rate in force for the standard team at one entry."""
    team = entry.components.view().teams_by_name.get("masons")
    return team.limits.requests_per_second if team else None


def eventually(context, condition, timeout_ms, describe):
    """Wait until a condition holds; if it doesn't in time, fail with `describe()`."""

    async def wait():
        with trio.move_on_after(timeout_ms / 1000):
            while not condition():
                await trio.sleep(POLL_S)
        return condition()

    assert context.run(wait), describe()


def advance_time(context, duration_ms):
    """Let virtual time pass."""
    context.run(trio.sleep, duration_ms / 1000)


@when("{duration:d} ms pass")
def step_pass(context, duration):
    advance_time(context, duration)


@when("an operator sets the rate to {rate:d} through entry {index:d}")
def step_set_rate(context, rate, index):
    entry = entry_at(context, index)
    document = template_with_rate(rate)
    context.change = context.run(
        lambda: entry.operator_call("PUT", "template/standard", document)
    )


@when("two operators change the rate to {one:d} and {two:d} against the same version")
def step_race(context, one, two):
    answers = []

    async def change(index, rate):
        entry = entry_at(context, index)
        document = template_with_rate(rate)
        answer = await entry.operator_call(
            "PUT", "template/standard", document, if_match="1"
        )
        answers.append((rate, answer))

    async def race():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(change, 0, one)
            nursery.start_soon(change, 4, two)

    context.run(race)
    context.race = answers


@then("one change is accepted and the other is answered with the current version")
def step_race_result(context):
    statuses = sorted(answer.status for _, answer in context.race)
    assert statuses == [200, 409], statuses
    accepted = next(rate for rate, answer in context.race if answer.status == 200)
    lost = next(answer for _, answer in context.race if answer.status == 409)
    standing = lost.json()["standing"]
    assert standing["version"] == 2
    assert standing["spec"]["parameters"]["rate"]["default"] == accepted
    context.accepted_rate = accepted


@then("the accepted rate is in force on all entries within {limit:d} ms")
def step_accepted_rate(context, limit):
    step_rate(context, context.accepted_rate, limit)


@then("the rate is {rate:d} on all entries within {limit:d} ms")
def step_rate(context, rate, limit):
    eventually(
        context,
        lambda: all(rate_at(entry) == rate for entry in entries(context)),
        limit,
        lambda: {entry.settings.name: rate_at(entry) for entry in entries(context)},
    )


@then("the rate is {rate:d} on the entries outside {domain} within {limit:d} ms")
def step_rate_outside(context, rate, domain, limit):
    outside = [e for e in entries(context) if e.settings.domain != domain]
    eventually(
        context,
        lambda: all(rate_at(entry) == rate for entry in outside),
        limit,
        lambda: {entry.settings.name: rate_at(entry) for entry in outside},
    )


@then("status counts {count:d} of {total:d} instances")
def step_status(context, count, total):
    entry = entry_at(context, 0)
    answer = context.run(
        lambda: entry.operator_call("GET", "status/template/standard")
    ).json()
    assert (answer["in_force"], answer["instances"]) == (count, total), answer


@when("all watchers of {domain} are killed")
def step_kill_watchers(context, domain):
    async def kill():
        members = [e for e in entries(context) if e.settings.domain == domain]
        for entry in members:
            membership = entry.fleet.membership
            if is_watcher(entry.settings.name, domain, membership.alive(domain)):
                entry.kill()

    context.run(kill)


@when("the platform's template changes to rate {rate:d}")
def step_platform_change(context, rate):
    async def change():
        store = context.stage.store
        stored = store.read("configurations", "template.standard")
        item = ConfigurationObject(
            "template", "standard", 2, "direct", spec=template_with_rate(rate)
        )
        spec = {"item": msgspec.to_builtins(item)}
        store.write("configurations", item.key, spec, stored.metadata.resourceVersion)

    context.run(change)


@given("the platform loses the response to the next write of entry {index:d}")
def step_lose_response(context, index):
    entry_at(context, index).platform.lose_write_answers = 1


@given("the platform drops the next write of entry {index:d}")
def step_drop_write(context, index):
    entry_at(context, index).platform.drop_writes = 1


@given("the platform is down for all entries")
def step_platform_down(context):
    for entry in entries(context):
        entry.platform.down = True


@given("the platform is down for the entries of {domain}")
def step_platform_down_for(context, domain):
    for entry in entries(context):
        if entry.settings.domain == domain:
            entry.platform.down = True


@when("the platform is back")
def step_platform_back(context):
    for entry in entries(context):
        entry.platform.down = False


@then("the change is accepted as version {version:d}")
def step_accepted(context, version):
    assert context.change.status == 200, context.change.body
    assert context.change.json()["version"] == version


@then('the change is refused as "{outcome}"')
def step_refused(context, outcome):
    answer = context.change.json()
    assert context.change.status >= 400
    assert answer["outcome"] == outcome, answer


@then('the refusal mentions "{words}"')
def step_refusal_names(context, words):
    assert words in context.change.json()["detail"], context.change.json()


INVALID_CHANGES_BY_FAULT = {
    "an unknown field": ("template", {**TEMPLATE_DOCUMENT, "colour": "red"}),
    "a parameter too large": ("team", {**TEAM_DOCUMENT, "parameters": {"rate": 9999}}),
    "a missing template": ("team", {**TEAM_DOCUMENT, "template": "none"}),
    "an unknown service": ("template", {**TEMPLATE_DOCUMENT, "services": ["none"]}),
    "a model offered twice": (
        "service",
        {"name": "other", "kind": "engine", "model": "model"},
    ),
    "a negative limit": (
        "template",
        {**TEMPLATE_DOCUMENT, "limits": {"requests_in_flight": -1}},
    ),
}


@when("an operator applies a document with {fault}")
def step_invalid_change(context, fault):
    kind, document = INVALID_CHANGES_BY_FAULT[fault]
    entry = entry_at(context, 4)
    context.change = context.run(
        lambda: entry.operator_call("PUT", f"{kind}/{document['name']}", document)
    )


@when("a peer pushes the first version of the {kind} again")
def step_push_old(context, kind):
    documents = dict(STANDARD_CONFIGURATION)
    document = documents[kind]
    item = ConfigurationObject(kind, document["name"], 1, "old", spec=document)

    async def push():
        sender = entry_at(context, 0)
        for entry in entries(context):
            if entry is not sender:
                address = entry.settings.peer_listen
                await sender.link.call(address, Push((item,)), 1000)

    advance_time(context, 1000)
    context.run(push)


@when("an operator deletes the team through entry {index:d}")
def step_delete_team(context, index):
    entry = entry_at(context, index)
    context.change = context.run(lambda: entry.operator_call("DELETE", "team/masons"))
    assert context.change.status == 200, context.change.body


@then("the team is unknown on all entries within {limit:d} ms")
def step_team_unknown(context, limit):
    eventually(
        context,
        lambda: all(rate_at(entry) is None for entry in entries(context)),
        limit,
        lambda: {entry.settings.name: rate_at(entry) for entry in entries(context)},
    )


def start_without_platform(context, name, domain):
    """Start an entry that cannot reach the platform."""

    async def start():
        entry = await context.stage.add_entry(name, domain)
        entry.platform.down = True

    context.run(start)


@when('entry "{name}" starts with the platform down')
def step_start_in_first_domain(context, name):
    start_without_platform(context, name, "domain-a")


@when('entry "{name}" starts in {domain} with the platform down')
def step_start_in_domain(context, name, domain):
    start_without_platform(context, name, domain)


@then('entry "{name}" is ready within {limit:d} ms')
def step_ready(context, name, limit):
    components = context.stage.entries_by_name[name].components
    eventually(
        context,
        lambda: not components.unready_reason(),
        limit,
        components.unready_reason,
    )


@then('entry "{name}" is not ready after {wait:d} ms')
def step_not_ready(context, name, wait):
    advance_time(context, wait)
    assert context.stage.entries_by_name[name].components.unready_reason()


@given("{domain} is cut off from its peers")
def step_partition(context, domain):
    for other in ("domain-a", "domain-b", "domain-c"):
        if other != domain:
            context.stage.network.partition(domain, other)


@when("the partition ends")
def step_end_partition(context):
    context.stage.network.remove_partitions()
    step_platform_back(context)


@when("entry {index:d} is killed")
def step_kill(context, index):
    async def kill():
        entry_at(context, index).kill()

    context.run(kill)


@when("entry {index:d} is paused for {duration:d} ms")
def step_pause(context, index, duration):
    entry = entry_at(context, index)
    context.stage.network.paused_addresses.add(entry.settings.peer_listen)
    advance_time(context, duration)
    others = [e for e in entries(context) if e is not entry]
    assert all(len(e.fleet.membership.alive()) == 8 for e in others)
    context.stage.network.paused_addresses.clear()


@when("entry {index:d} announces that it is leaving")
def step_announce(context, index):
    entry = entry_at(context, index)
    context.run(entry.fleet.leave)


@then("all entries know {count:d} members within {limit:d} ms")
def step_members(context, count, limit):
    def known():
        return {
            entry.settings.name: len(entry.fleet.membership.alive())
            for entry in entries(context)
        }

    eventually(context, lambda: set(known().values()) == {count}, limit, known)


@then("entry {index:d} streams a complete response")
def step_serves(context, index):
    entry = entry_at(context, index)
    document = {"model": "model", "prompt": "x", "max_tokens": 5, "stream": True}
    answer = context.run(lambda: entry.team_call("POST", "/v1/completions", document))
    assert answer.status == 200, answer.body
    assert answer.body.endswith(b"data: [DONE]\n\n"), answer.body


@given("a steady load of {rate:d} requests a second for {duration:d} ms")
def step_load(context, rate, duration):
    context.load_answers = []
    context.load_size = rate * duration // 1000
    context.load_duration_ms = duration

    async def one(entry, number):
        document = {
            "model": "model",
            "prompt": f"{number} " + prompt_of(100),
            "max_tokens": 3,
            "stream": True,
        }
        answer = await entry.team_call("POST", "/v1/completions", document)
        context.load_answers.append(answer)

    async def load():
        living = entries(context)
        for number in range(context.load_size):
            entry = living[number % len(living)]
            entry.nursery.start_soon(one, entry, number)
            await trio.sleep(1 / rate)

    async def start():
        context.stage.nursery.start_soon(load)
        await trio.sleep(1)

    context.run(start)


@when("{engine} is reported as leaving by {sign}")
def step_leaving(context, engine, sign):
    async def report():
        context.stage.record_leaving(engine)
        if sign == "the platform's list":
            context.stage.mark_leaving(engine)
        elif sign == "its own load report":
            context.stage.apps_by_address[engine].behaviour = EngineBehaviour(
                leaving=True
            )
        else:
            await entry_at(context, 5).operator_call("POST", f"drain/{engine}")

    context.run(report)


@then('the load ends with all requests answered "{outcome}"')
def step_load_ends(context, outcome):
    advance_time(context, context.load_duration_ms)
    assert len(context.load_answers) == context.load_size
    bodies = [answer.body for answer in context.load_answers]
    complete_count = sum(body.endswith(b"data: [DONE]\n\n") for body in bodies)
    assert complete_count == context.load_size, (complete_count, context.load_size)
