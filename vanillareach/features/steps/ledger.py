"""Steps for calls with an idempotency key."""

import trio
from behave import given, then, when

from vanillareach.core.ledger import ClaimGranted, ShardOwners, claim_key, shard_of
from vanillareach.features.support import (
    IDEMPOTENCY_KEY,
    SCORES_PATH,
    runs_of,
    send_keyed,
    service_apps,
)
from vanillareach.invariants import find_violations

SETTLEMENT_WAIT_S = 3
MAX_RESENDS = 10


def entry_at(context, index):
    """Return one entry by its number."""
    return context.stage.entries_by_name[f"entry-{index}"]


async def send(entry, key=IDEMPOTENCY_KEY, score=1):
    """Send one keyed call through an entry."""
    return await entry.team_call(
        "POST", SCORES_PATH, {"score": score}, idempotency_key=key
    )


@when("a keyed call is sent through entry {index:d}")
def step_send(context, index):
    context.answer = context.run(send, entry_at(context, index))
    context.first = context.answer


@when("the key is sent again through entry {index:d}")
def step_again(context, index):
    context.run(trio.sleep, SETTLEMENT_WAIT_S)
    context.answer = context.run(send, entry_at(context, index))


@when("one key is sent through entries {one:d} and {two:d} at once")
def step_race(context, one, two):
    context.answers = []

    async def call(index):
        context.answers.append(await send(entry_at(context, index)))

    async def race():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call, one)
            nursery.start_soon(call, two)

    context.run(race)


@then('one call is done and the other gets "{reason}" or the recorded response')
def step_concurrent_result(context, reason):
    done = [a for a in context.answers if a.status == 201]
    others = [a for a in context.answers if a.status != 201]
    assert done, [a.body for a in context.answers]
    assert all(a.json()["reason"] == reason for a in others), others


@given("the services take {delay:d} ms for a call")
def step_delay(context, delay):
    for app in service_apps(context):
        app.behaviour.delay_ms = delay


@when("entry {index:d} is killed {moment:d} ms after a keyed call was sent through it")
def step_kill_around(context, index, moment):
    entry = entry_at(context, index)

    async def run():
        context.stage.nursery.start_soon(send, entry)
        await trio.sleep(moment / 1000)
        entry.kill()

    context.run(run)


@when("the key is sent again through entry {index:d} until it succeeds")
def step_until_success(context, index):
    async def run():
        for _ in range(MAX_RESENDS):
            answer = await send(entry_at(context, index))
            if answer.status == 201:
                return
            await trio.sleep(2)

    context.run(run)


@then("the key ran at most 1 time")
def step_at_most_once(context):
    assert runs_of(context) <= 1, runs_of(context)


@given("the platform loses the response to the next write of every entry")
def step_lose_response(context):
    for entry in context.stage.entries_by_name.values():
        entry.platform.lose_write_answers = 1


@given("the platform drops the next write of every entry")
def step_drop(context):
    for entry in context.stage.entries_by_name.values():
        entry.platform.drop_writes = 1


def owner_of_key(context):
    """Return the entry that is the preferred writer of the test key's shard."""
    key = claim_key("masons", "desk", IDEMPOTENCY_KEY)
    entries = context.stage.entries_by_name
    shard_count = entry_at(context, 0).settings.ledger_shards
    owners = ShardOwners(shard_count)
    return entries[owners.owner(shard_of(key, shard_count), entries)]


@given("the owner of the key's shard is paused")
def step_pause_owner(context):
    owner = owner_of_key(context)
    context.stage.network.paused_addresses.add(owner.settings.peer_listen)


@when("a keyed call is sent through another entry")
def step_send_other(context):
    owner = owner_of_key(context)
    other = next(e for e in context.stage.entries_by_name.values() if e is not owner)
    context.answer = context.run(send, other)


@when(
    "a keyed call within {limit:d} ms is sent through another entry and the owner of "
    "the key's shard is paused after {delay:d} ms"
)
def step_pause_owner_during_call(context, limit, delay):
    async def pause_later():
        await trio.sleep(delay / 1000)
        step_pause_owner(context)

    async def start():
        context.stage.nursery.start_soon(pause_later)

    context.run(start)
    owner = owner_of_key(context)
    other = next(e for e in context.stage.entries_by_name.values() if e is not owner)
    context.answer = send_keyed(context, entry=other, x_time_limit_ms=str(limit))


@then('the call is "{outcome}"')
def step_outcome(context, outcome):
    headers = context.answer.headers_by_name
    assert headers.get("x-outcome") == outcome, context.answer.body


@when(
    "the caller disconnects {moment:d} ms after a keyed call was sent "
    "through entry {index:d}"
)
def step_disconnect(context, moment, index):
    entry = entry_at(context, index)

    async def run():
        with trio.move_on_after(moment / 1000):
            await entry.team_call_until_cancelled(
                "POST", SCORES_PATH, {"score": 1}, IDEMPOTENCY_KEY
            )

    context.run(run)


class UnstoredLedger:
    """Ledger that grants every claim: a fault that the check must detect."""

    pending_settlements = 0

    async def claim(self, claim, deadline_ms):
        """Grant the claim without storing it."""
        return ClaimGranted(claim.record.attempt)

    async def settle(self, settle):
        """Store nothing."""


@given("the entries grant every claim without storing it")
def step_grant_unstored(context):
    for entry in context.stage.entries_by_name.values():
        entry.components.ledger = UnstoredLedger()


@then("the check reports a key that ran twice")
def step_reported(context):
    async def observe():
        return context.stage.observations()

    found = {violation.check for violation in find_violations(context.run(observe))}
    assert found == {"at most once"}, found
    # The checks after the scenario must not report the injected fault again.
    for app in service_apps(context):
        app.runs_by_key.clear()


@when("{rate:d} keyed calls a second arrive for {duration:d} seconds")
def step_rate(context, rate, duration):
    entries = list(context.stage.entries_by_name.values())

    def writes():
        return sum(entry.platform.write_count for entry in entries)

    async def run():
        before = writes()
        async with trio.open_nursery() as nursery:
            for number in range(rate * duration):
                entry = entries[number % len(entries)]
                nursery.start_soon(send, entry, f"k-{number}")
                await trio.sleep(1 / rate)
        context.writes_per_second = (writes() - before) / duration

    context.run(run)


@then("the platform gets at most {bound:d} writes a second")
def step_writes(context, bound):
    assert context.writes_per_second <= bound, context.writes_per_second
