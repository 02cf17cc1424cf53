"""Steps about messages between gateway instances, and callers during the start."""

import itertools
import socket
from types import SimpleNamespace

import trio
from behave import given, then, when

from vanillareach import early_sockets
from vanillareach.clock import TrioClock
from vanillareach.core.domain_tree import DomainTree
from vanillareach.core.freshness import Freshness
from vanillareach.core.routing import CallerLimits
from vanillareach.core.store_schedule import rank_delay_ms
from vanillareach.early_sockets import listen_early, pop_early_socket
from vanillareach.features.users_platform.stage import free_address
from vanillareach.gateway.listener import CallerListener
from vanillareach.utils import split_address

FIRST_CONFIRMATION_MS = 100_000.0


@given("a socket that listens before the application starts")
def step_early_listener(context):
    context.address = free_address()
    listen_early({"FRONT": context.address}, ("FRONT",))


@when("a caller connects and sends a request {age_ms:d} ms before the listener starts")
def step_early_request(context, age_ms):
    host, port = split_address(context.address)
    caller = socket.create_connection((host, port))
    caller.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    early_socket = early_sockets._sockets_by_address[context.address]
    early_socket._listening_since_s -= age_ms / 1000
    context.age_ms = age_ms

    async def serve():
        clock = TrioClock()
        async with trio.open_nursery() as nursery:

            async def handle(request, responder):
                context.waited_ms = clock.now_ms() - request.received_ms
                await responder.answer(200, [], b"")
                nursery.cancel_scope.cancel()

            listener = CallerListener(
                context.address, clock, CallerLimits, handle, lambda: False
            )
            await nursery.start(listener.run)

    trio.run(serve)
    with caller:
        context.received = caller.recv(1000)


@then("the caller gets a response")
def step_early_answered(context):
    assert context.received.startswith(b"HTTP/1.1 200"), context.received


@then("the request counts as received at the time when the socket began to listen")
def step_received_early(context):
    assert context.waited_ms >= context.age_ms, context.waited_ms


@when('early listening fails at "{first}" and "{second}"')
def step_early_fails(context, first, second):
    listen_early({"A": first, "B": second}, ("A", "B", "MISSING"))
    context.early_sockets_taken = [pop_early_socket(first), pop_early_socket(second)]


@then("no early socket is kept")
def step_none_kept(context):
    assert context.early_sockets_taken == [None, None]


def domain_of(name):
    """Return the failure domain: the first letter of the name, empty for a `?`."""
    return "" if name[0] == "?" else name[0]


@given('peers "{names}" of instance "{own}"')
def step_instances(context, names, own):
    context.tree = DomainTree(domain_of(own))
    context.peers = [
        SimpleNamespace(name=name, domain=domain_of(name)) for name in names.split(",")
    ]
    context.dead_names = set()


@given('peer "{name}" is not alive')
def step_peer_not_alive(context, name):
    context.dead_names.add(name)


def recipients(context):
    """Return the names of the direct recipients, and of the relays."""
    direct, relays = context.tree.recipients(
        context.peers, lambda peer: peer.name not in context.dead_names
    )
    return [peer.name for peer in direct], [peer.name for peer in relays]


@when('"{own}" sends a message')
def step_broadcast(context, own):
    context.recipients = recipients(context)


@then('it goes to "{direct}" directly, and to relays of domains "{domains}"')
def step_recipients(context, direct, domains):
    assert context.recipients[0] == direct.split(","), context.recipients
    assert [name[0] for name in context.recipients[1]] == domains.split(","), (
        context.recipients
    )


@then('a message of "{origin}" that "{relay}" relays goes to "{names}"')
def step_relayed(context, origin, relay, names):
    relay_peers = [
        SimpleNamespace(name=name, domain=domain_of(name))
        for name in ["a1", *(peer.name for peer in context.peers)]
        if name != relay
    ]
    relayed_to = DomainTree(domain_of(relay)).forward_recipients(relay_peers, origin)
    assert [peer.name for peer in relayed_to] == names.split(","), relayed_to


@when('"{own}" sends {beacons:d} beacons, each followed by {messages:d} messages')
def step_beacons(context, own, beacons, messages):
    context.relays_by_beacon = []
    for _ in range(beacons):
        context.tree.rotate_relays()
        context.relays_by_beacon.append(
            [recipients(context)[1] for _ in range(messages + 1)]
        )


@then(
    '"{first}" and "{second}" each relay {count:d} beacons and the messages after them'
)
def step_relays(context, first, second, count):
    for relays_by_message in context.relays_by_beacon:
        assert all(relay == relays_by_message[0] for relay in relays_by_message), (
            relays_by_message
        )
    names = [relays_by_message[0][0] for relays_by_message in context.relays_by_beacon]
    assert sorted(names) == sorted([first, second] * count), names


@given(
    "{count:d} instances that send each other the age of a confirmation with "
    "{latency_ms:d} ms latency"
)
def step_gossip_confirmation(context, count, latency_ms):
    context.now_ms = FIRST_CONFIRMATION_MS
    context.latency_ms = latency_ms
    context.instance_freshness = [Freshness() for _ in range(count)]
    context.instance_freshness[0].confirm(1, FIRST_CONFIRMATION_MS)


@when("they exchange ages for {duration_ms:d} ms after the confirmation by the store")
def step_exchange_ages(context, duration_ms):
    until_ms = context.now_ms + duration_ms
    while context.now_ms < until_ms:
        messages = [
            (freshness.stamp, context.now_ms - freshness.confirmed_ms)
            for freshness in context.instance_freshness
            if freshness.confirmed_ms is not None
        ]
        context.now_ms += context.latency_ms
        for stamp, age_ms in messages:
            for freshness in context.instance_freshness:
                freshness.confirm(stamp, context.now_ms - age_ms)


@when("the store sends a new confirmation to the last of them")
def step_confirm_again(context):
    context.instance_freshness[-1].confirm(2, context.now_ms)


@then("its age at each of them is at least {age_ms:d} ms")
def step_not_younger(context, age_ms):
    ages = [
        context.now_ms - freshness.confirmed_ms
        for freshness in context.instance_freshness
    ]
    assert min(ages) >= age_ms, ages


@then("its age at each of them is at most {age_ms:d} ms")
def step_not_older(context, age_ms):
    ages = [
        context.now_ms - freshness.confirmed_ms
        for freshness in context.instance_freshness
    ]
    assert max(ages) <= age_ms, ages


@when("{count:d} instances are ordered by rank")
def step_ranks(context, count):
    context.delays = [rank_delay_ms(rank) for rank in range(count)]


@then(
    "each of the first {count:d} calls the store at least {step_ms:d} ms after the "
    "one before"
)
def step_rank_steps(context, count, step_ms):
    delays = context.delays[:count]
    steps = [after - before for before, after in itertools.pairwise(delays)]
    assert min(steps) >= step_ms, steps


@then("the last calls the store within {limit_ms:d} ms after the first")
def step_last_rank(context, limit_ms):
    assert max(context.delays) - min(context.delays) <= limit_ms, context.delays[-1]
