"""Steps about what instances tell each other, and while one loads."""

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
from vanillareach.early_sockets import listen_early, take_early_socket
from vanillareach.features.users_platform.stage import free_address
from vanillareach.gateway.following import rank_delay_ms
from vanillareach.gateway.listener import CallerListener
from vanillareach.utils import split_address

TOLD_FROM_MS = 100_000.0


@given("a socket that listens early")
def step_early(context):
    context.address = free_address()
    listen_early({"FRONT": context.address}, ("FRONT",))


@when("a caller connects and sends {age_ms:d} ms before the listener starts")
def step_waits(context, age_ms):
    host, port = split_address(context.address)
    caller = socket.create_connection((host, port))
    caller.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    early = early_sockets._sockets_by_address[context.address]
    early._since_s -= age_ms / 1000
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


@then("the caller is answered")
def step_early_answered(context):
    assert context.received.startswith(b"HTTP/1.1 200"), context.received


@then("its request counts as received when the socket began to listen")
def step_counts(context):
    assert context.waited_ms >= context.age_ms, context.waited_ms


@when('listening early fails at "{first}" and "{second}"')
def step_early_fails(context, first, second):
    listen_early({"A": first, "B": second}, ("A", "B", "MISSING"))
    context.kept = [take_early_socket(first), take_early_socket(second)]


@then("no socket is kept")
def step_none_kept(context):
    assert context.kept == [None, None]


def domain_in(name):
    """Return the domain in an instance's name, empty if it isn't known."""
    return "" if name[0] == "?" else name[0]


@given('instances "{names}" beside instance "{own}"')
def step_tree(context, names, own):
    context.tree = DomainTree(domain_in(own))
    context.peers = [
        SimpleNamespace(name=name, domain=domain_in(name)) for name in names.split(",")
    ]
    context.silent = set()


@given('instance "{name}" is silent')
def step_silent_instance(context, name):
    context.silent.add(name)


def recipients(context):
    """Return the names of those told directly, and of the relays."""
    direct, relays = context.tree.recipients(
        context.peers, lambda peer: peer.name not in context.silent
    )
    return [peer.name for peer in direct], [peer.name for peer in relays]


@when('"{own}" tells of something')
def step_tells(context, own):
    context.told = recipients(context)


@then('"{direct}" are told directly, and relays of domains "{domains}"')
def step_told(context, direct, domains):
    assert context.told[0] == direct.split(","), context.told
    assert [name[0] for name in context.told[1]] == domains.split(","), context.told


@then('a message of "{origin}" that "{relay}" passes on goes to "{names}"')
def step_passed_on(context, origin, relay, names):
    relay_peers = [
        SimpleNamespace(name=name, domain=domain_in(name))
        for name in ["a1", *(peer.name for peer in context.peers)]
        if name != relay
    ]
    passed = DomainTree(domain_in(relay)).forward_recipients(relay_peers, origin)
    assert [peer.name for peer in passed] == names.split(","), passed


@when('"{own}" sends {beacons:d} beacons, each followed by {messages:d} messages')
def step_beacons(context, own, beacons, messages):
    context.relays = []
    for _ in range(beacons):
        context.tree.rotate_relays()
        context.relays.append([recipients(context)[1] for _ in range(messages + 1)])


@then('"{first}" and "{second}" relay {count:d} beacons each with what follows them')
def step_relays(context, first, second, count):
    for spans in context.relays:
        assert all(relay == spans[0] for relay in spans), spans
    names = [spans[0][0] for spans in context.relays]
    assert sorted(names) == sorted([first, second] * count), names


@given(
    "{count:d} instances that tell each other the age of a confirmation, "
    "{way_ms:d} ms on the way"
)
def step_tellers(context, count, way_ms):
    context.told_ms = TOLD_FROM_MS
    context.way_ms = way_ms
    context.tellers = [Freshness() for _ in range(count)]
    context.tellers[0].confirm(1, TOLD_FROM_MS)


@when("they have done so for {duration_ms:d} ms since the store confirmed it")
def step_tell_around(context, duration_ms):
    until_ms = context.told_ms + duration_ms
    while context.told_ms < until_ms:
        sent = [
            (teller.stamp, context.told_ms - teller.confirmed_ms)
            for teller in context.tellers
            if teller.confirmed_ms is not None
        ]
        context.told_ms += context.way_ms
        for stamp, age_ms in sent:
            for teller in context.tellers:
                teller.confirm(stamp, context.told_ms - age_ms)


@when("the store confirms it once more to the last of them")
def step_once_more(context):
    context.tellers[-1].confirm(2, context.told_ms)


@then("none of them takes it for younger than {age_ms:d} ms")
def step_not_younger(context, age_ms):
    ages = [context.told_ms - teller.confirmed_ms for teller in context.tellers]
    assert min(ages) >= age_ms, ages


@then("none of them takes it for older than {age_ms:d} ms")
def step_not_older(context, age_ms):
    ages = [context.told_ms - teller.confirmed_ms for teller in context.tellers]
    assert max(ages) <= age_ms, ages


@when("{count:d} instances order themselves by rank")
def step_ranks(context, count):
    context.delays = [rank_delay_ms(rank) for rank in range(count)]


@then("each of the first {count:d} asks at least {step_ms:d} ms after the one before")
def step_rank_steps(context, count, step_ms):
    delays = context.delays[:count]
    steps = [after - before for before, after in itertools.pairwise(delays)]
    assert min(steps) >= step_ms, steps


@then("the last asks within {limit_ms:d} ms after the first")
def step_last_rank(context, limit_ms):
    assert max(context.delays) - min(context.delays) <= limit_ms, context.delays[-1]
