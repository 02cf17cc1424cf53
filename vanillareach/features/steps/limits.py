"""Steps for team limits across instances."""

import msgspec
import trio
from behave import given, then, when

from vanillareach.core.shares import team_home
from vanillareach.features.harness import TEMPLATE_DOCUMENT

WARM_UP_S = 4


@given("the team may send {rate:d} requests a second")
def step_rate(context, rate):
    document = msgspec.json.decode(msgspec.json.encode(TEMPLATE_DOCUMENT))
    document["parameters"]["rate"]["default"] = rate
    entry = context.stage.entries_by_name["entry-0"]

    async def change():
        answer = await entry.operator_call("PUT", "template/standard", document)
        assert answer.status == 200, answer.body
        await trio.sleep(3)

    context.run(change)


@given("the team's home instance in {domain} is killed")
def step_kill_home(context, domain):
    async def kill():
        entries = [
            entry
            for entry in context.stage.entries_by_name.values()
            if entry.settings.domain == domain
        ]
        home = team_home("masons", [entry.settings.name for entry in entries])
        context.stage.entries_by_name[home].kill()

    context.run(kill)


@when(
    "the team sends {rate:d} requests a second through {place} for {duration:d} seconds"
)
def step_send(context, rate, place, duration):
    living = [e for e in context.stage.entries_by_name.values() if not e.killed]
    entries = living if place == "all entries" else living[:1]
    admitted = []

    async def send_one(entry, at_s):
        document = {"query": at_s}
        answer = await entry.team_call("POST", "/services/desk/search", document)
        if answer.status == 201 and at_s >= WARM_UP_S:
            admitted.append(at_s)

    async def send():
        async with trio.open_nursery() as nursery:
            for number in range(rate * duration):
                entry = entries[number % len(entries)]
                nursery.start_soon(send_one, entry, number / rate)
                await trio.sleep(1 / rate)

    context.run(send)
    context.admitted_rate = len(admitted) / (duration - WARM_UP_S)


@then("between {least:d} and {most:d} requests a second were admitted")
def step_admitted(context, least, most):
    assert least <= context.admitted_rate <= most, context.admitted_rate
