"""Steps for requests that crash engines."""

import msgspec
import trio
from behave import given, then, when

from vanillareach.core.hashing import hash128_hex
from vanillareach.core.streams import DONE_EVENT
from vanillareach.core.suspicion import Loss
from vanillareach.features.support import engine_apps, prompt_of
from vanillareach.standins.engine import EngineBehaviour

STREAM_TOKENS = 30
CRASHING_PROMPT = "a poison note"


def completion(prompt, tokens=STREAM_TOKENS):
    """Return the body of a streamed completion."""
    return {"model": "model", "prompt": prompt, "max_tokens": tokens, "stream": True}


async def stream(entry, prompt):
    """Stream one completion through an entry."""
    return await entry.team_call("POST", "/v1/completions", completion(prompt))


@given('engines crash on the word "{word}"')
def step_crash(context, word):
    for app in engine_apps(context):
        app.behaviour = EngineBehaviour(crash_on=word)


@given("a crashing request lost two engines, of which the first entry knows one")
def step_unknown_loss(context):
    fingerprint = hash128_hex(msgspec.json.encode(completion(CRASHING_PROMPT)))
    losses = [("engine-1", "domain-b"), ("engine-2", "domain-c")]

    async def record():
        for number, entry in enumerate(context.stage.entries_by_name.values()):
            now_ms = entry.components.clock.now_ms()
            known = losses if number else losses[:1]
            for endpoint, domain in known:
                loss = Loss(fingerprint, endpoint, domain, now_ms)
                entry.components.fleet.crashes.record_loss(loss)

    context.run(record)


@when("the first entry is sent the crashing request")
def step_send_crashing(context):
    entry = next(iter(context.stage.entries_by_name.values()))

    async def run():
        context.crashing_answers = [await stream(entry, CRASHING_PROMPT)]

    context.run(run)


@when("other requests stream while a crashing request is sent {count:d} times")
def step_repeat_crashing(context, count):
    entries = list(context.stage.entries_by_name.values())
    context.other_answers = []
    context.crashing_answers = []

    async def stream_other(number):
        entry = entries[number % len(entries)]
        answer = await stream(entry, f"{number} " + prompt_of(50))
        context.other_answers.append(answer)

    async def run():
        async with trio.open_nursery() as nursery:
            for number in range(30):
                nursery.start_soon(stream_other, number)
            for number in range(count):
                entry = entries[number % len(entries)]
                context.crashing_answers.append(await stream(entry, CRASHING_PROMPT))
                await trio.sleep(0.5)

    context.run(run)


@then("at most {count:d} engines are lost")
def step_lost(context, count):
    assert len(context.stage.endpoints.unreachable_addresses) <= count, (
        context.stage.endpoints.unreachable_addresses
    )


@then("all other requests got complete responses")
def step_others_complete(context):
    ends = [answer.body.endswith(DONE_EVENT) for answer in context.other_answers]
    assert len(ends) == 30 and all(ends), [
        answer.body[-400:]
        for answer in context.other_answers
        if DONE_EVENT not in answer.body
    ]


@then('the crashing request was finally refused as "{reason}" with a retry-after time')
def step_quarantined(context, reason):
    answer = context.crashing_answers[-1]
    assert answer.json()["reason"] == reason, answer.body
    assert answer.json()["outcome"] == "not_run", answer.body
    assert int(answer.headers_by_name["retry-after"]) > 60


def stream_while_domain_is_lost(context, domain):
    """Run 30 streams and kill all engines of a domain 0.3 s after their start."""
    entries = list(context.stage.entries_by_name.values())
    context.streams = []

    async def stream_one(number):
        entry = entries[number % len(entries)]
        context.streams.append(await stream(entry, f"{number} " + prompt_of(50)))

    async def run():
        async with trio.open_nursery() as nursery:
            for number in range(30):
                nursery.start_soon(stream_one, number)
            await trio.sleep(0.3)
            for name in list(context.stage.apps_by_address):
                stored = context.stage.store.read("endpoints", name)
                if stored.spec["domain"] == domain and name.startswith("engine"):
                    context.stage.endpoints.kill(name)

    context.run(run)


@when("all engines of {domain} are lost while 30 streams run")
def step_lose(context, domain):
    stream_while_domain_is_lost(context, domain)


@when("another domain is lost {wait:d} ms later while the same 30 streams run again")
def step_lose_another(context, wait):
    context.run(trio.sleep, wait / 1000)
    stream_while_domain_is_lost(context, "domain-b")


@then("all streams are complete")
def step_all_complete(context):
    ends = [answer.body.endswith(DONE_EVENT) for answer in context.streams]
    assert len(ends) == 30 and all(ends), [a.body[-200:] for a in context.streams]


@then("no request is quarantined")
def step_none_quarantined(context):
    counts = [
        entry.components.metrics.requests
        for entry in context.stage.entries_by_name.values()
    ]
    assert not any("quarantined" in key for c in counts for key in c), counts
