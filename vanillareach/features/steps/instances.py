"""Steps about datagrams, ranks, losses of endpoints and claims between instances."""

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
    context.datagram_socket = DatagramSocket("127.0.0.1:0")
    host, port = context.datagram_socket.address
    context.datagram_address = f"{host}:{port}"


@when("{count:d} datagrams are sent to it, and another to an invalid address")
def step_send_datagrams(context, count):
    sender = DatagramSocket("127.0.0.1:0")
    addresses = [context.datagram_address] * count + ["127.0.0.1:0"]
    context.errors_by_address = sender.send_to_all(b"news", addresses)
    sender.close()


@then("one call receives all {count:d}")
def step_receive_datagrams(context, count):
    received = trio.run(context.datagram_socket.receive)
    context.datagram_socket.close()
    assert received == [b"news"] * count, len(received)


@then("the error of the invalid address is returned")
def step_send_error(context):
    assert list(context.errors_by_address) == ["127.0.0.1:0"]


@then("the rank of each of {count:d} names is its place in the order of owners")
def step_ranks(context, count):
    names = [f"instance-{number}" for number in range(count)]
    order = rank_owners("matter", names)
    ranks = [rank_of(name, "matter", names) for name in order]
    assert ranks == list(range(count))


def record_losses(context, fingerprint, *names_by_domain):
    """Record losses of endpoints that ran a request."""
    for name, domain in names_by_domain:
        loss = Loss(fingerprint, name, domain, NOW_MS)
        context.crashes.record_loss(loss)


@given('"e1" and "e2" of domain "a" were lost at once while running different requests')
def step_lost_together(context):
    context.crashes = CrashTracker()
    record_losses(context, "first", ("e1", "a"))
    record_losses(context, "second", ("e2", "a"))


@given('the request of "e1" was also running on "e3" of domain "b" when that was lost')
def step_lost_elsewhere(context):
    record_losses(context, "first", ("e3", "b"))


@given(
    'a request ran on "e1" and, with another, on "e2" of domain "a" as they were lost'
)
def step_lost_twice(context):
    context.crashes = CrashTracker()
    record_losses(context, "first", ("e1", "a"), ("e2", "a"))
    record_losses(context, "neighbour", ("e2", "a"))


@then("{count:d} loss counts against it")
@then("{count:d} losses count against it")
def step_counted_losses(context, count):
    assert context.crashes.counted_losses("first", NOW_MS) == count


CLAIM_DURATION_MS = 5_000.0
# Transit time of a notice between two instances.
NOTICE_LATENCY_MS = 5.0
MAX_NOTICES = 50


@given("an engine state on each of two instances")
def step_two_states(context):
    spec = EndpointSpec(name="e1", service="s", address="10.0.0.1:80", domain="a")
    context.states = [EndpointState(spec, NOW_MS) for _ in range(2)]


def relay_claims(states, notices):
    """Relay new claims as peers do, and return the number of delivered notices."""
    delivered_count = 0
    while notices and delivered_count < MAX_NOTICES:
        arrival_ms, number, attempt = notices.pop(0)
        delivered_count += 1
        if states[number].isolate(attempt, arrival_ms + CLAIM_DURATION_MS, arrival_ms):
            notices.append((arrival_ms + NOTICE_LATENCY_MS, 1 - number, attempt))
    return delivered_count


@when('"{first}" and then "{second}" claim the engine, each on another instance')
def step_two_claims(context, first, second):
    notices = [
        (NOW_MS, 0, first),
        (NOW_MS, 1, second),
    ]
    context.delivered_count = relay_claims(context.states, notices)


@then('the engine is isolated for "{attempt}" on both instances')
def step_isolated_on_both(context, attempt):
    assert [state.isolated_by for state in context.states] == [attempt, attempt]
    assert all(state.is_isolated(NOW_MS + 100) for state in context.states)


@then("at most {count:d} notices are delivered")
def step_notice_count(context, count):
    assert context.delivered_count <= count, context.delivered_count


@when('"{first}" claims the engine and "{second}" ends its own claim')
def step_end_other_claim(context, first, second):
    state = context.states[0]
    state.isolate(first, NOW_MS + CLAIM_DURATION_MS, NOW_MS)
    assert not state.isolate(second, NOW_MS + 1, NOW_MS + 1)


@then('the engine is isolated for "{attempt}" on the first instance')
def step_isolated_on_first(context, attempt):
    assert context.states[0].isolated_by == attempt
    assert context.states[0].is_isolated(NOW_MS + 100)
