"""Steps about what instances tell each other, and claims and losses they agree on."""

import trio
from behave import given, then, when

from vanillareach.core.directory import EndpointState
from vanillareach.core.objects import EndpointSpec
from vanillareach.core.rendezvous import rank_of, rank_owners
from vanillareach.core.suspicion import CrashTracker, Loss
from vanillareach.gateway.datagrams import DatagramSocket

NOW_MS = 100_000.0


@given("a datagram socket")
def step_datagram_socket(context):
    context.datagrams = DatagramSocket("127.0.0.1:0")
    host, port = context.datagrams.address
    context.datagrams_at = f"{host}:{port}"


@when("{count:d} datagrams are sent to it, and to an address that takes none")
def step_send_datagrams(context, count):
    sender = DatagramSocket("127.0.0.1:0")
    addresses = [context.datagrams_at] * count + ["127.0.0.1:0"]
    context.errors_by_address = sender.send_to_all(b"news", addresses)
    sender.close()


@then("one wake receives all {count:d}")
def step_one_wake(context, count):
    received = trio.run(context.datagrams.receive)
    context.datagrams.close()
    assert received == [b"news"] * count, len(received)


@then("the other address is named with its cause")
def step_unsent(context):
    assert list(context.errors_by_address) == ["127.0.0.1:0"]


@then("each of {count:d} names has the rank that the order of owners gives it")
def step_ranks(context, count):
    names = [f"instance-{number}" for number in range(count)]
    order = rank_owners("matter", names)
    ranks = [rank_of(name, "matter", names) for name in order]
    assert ranks == list(range(count))


def lose(context, fingerprint, *names_by_domain):
    """Record losses of endpoints while they ran a request."""
    for name, domain in names_by_domain:
        loss = Loss(fingerprint, name, domain, NOW_MS)
        context.crashes.record_loss(loss)


@given('"e1" and "e2" of domain "a" were lost at once, each with a request of its own')
def step_lost_together(context):
    context.crashes = CrashTracker()
    lose(context, "first", ("e1", "a"))
    lose(context, "second", ("e2", "a"))


@given('the request of "e1" lost "e3" of domain "b" too')
def step_lost_too(context):
    lose(context, "first", ("e3", "b"))


@given('the same request and a neighbour lost "e1" and then "e2" of domain "a"')
def step_lost_twice(context):
    context.crashes = CrashTracker()
    lose(context, "first", ("e1", "a"), ("e2", "a"))
    lose(context, "neighbour", ("e2", "a"))


@then("{count:d} loss counts against it")
@then("{count:d} losses count against it")
def step_counted(context, count):
    assert context.crashes.counted_losses("first", NOW_MS) == count


CLAIM_MS = 5_000.0
# Way of a notice between two instances.
NOTICE_WAY_MS = 5.0
MAX_NOTICES = 50


@given("an engine state on each of two instances")
def step_two_states(context):
    spec = EndpointSpec(name="e1", service="s", address="10.0.0.1:80", domain="a")
    context.states = [EndpointState(spec, NOW_MS) for _ in range(2)]


def relay_claims(states, notices):
    """Pass on each claim that is news, as peers do, and return how many were passed."""
    passed = 0
    while notices and passed < MAX_NOTICES:
        at_ms, number, attempt = notices.pop(0)
        passed += 1
        if states[number].isolate(attempt, at_ms + CLAIM_MS, at_ms):
            notices.append((at_ms + NOTICE_WAY_MS, 1 - number, attempt))
    return passed


@when('"{first}" and then "{second}" claim it on one each')
def step_two_claims(context, first, second):
    notices = [
        (NOW_MS, 0, first),
        (NOW_MS, 1, second),
    ]
    context.relays = relay_claims(context.states, notices)


@then('the engine is kept for "{attempt}" on both')
def step_kept(context, attempt):
    assert [state.isolated_by for state in context.states] == [attempt, attempt]
    assert all(state.is_isolated(NOW_MS + 100) for state in context.states)


@then("relaying what was news went on for {count:d} notices at most")
def step_relays(context, count):
    assert context.relays <= count, context.relays


@when('"{first}" claims the engine and "{second}" ends its own claim')
def step_end_other(context, first, second):
    state = context.states[0]
    state.isolate(first, NOW_MS + CLAIM_MS, NOW_MS)
    assert not state.isolate(second, NOW_MS + 1, NOW_MS + 1)


@then('the engine is kept for "{attempt}" on the first')
def step_kept_first(context, attempt):
    assert context.states[0].isolated_by == attempt
    assert context.states[0].is_isolated(NOW_MS + 100)
