"""Steps about the gateway over stand-ins of the users' platform."""

import re

import msgspec
import trio
from behave import given, then, when

from vanillareach.core.suspicion import Loss
from vanillareach.features.users_platform.stage import KEY, configuration, free_address
from vanillareach.gateway.connections import CallerRequest
from vanillareach.gateway.forwarder import LOSSES_TO_REFUSE, fingerprint_of
from vanillareach.platform.calls import PlatformProtocol
from vanillareach.platform.documents import decode_configuration

MANY = 20


def endpoints(context):
    """Return all stand-in endpoints."""
    return context.platform.endpoints_by_name.values()


def received(context):
    """Return all requests that reached endpoints."""
    return [request for endpoint in endpoints(context) for request in endpoint.received]


@given('a gateway before engines "{engines}" and services "{services}"')
def step_gateway(context, engines, services):
    services_by_name = dict.fromkeys(engines.split(","), "model")
    services_by_name.update(dict.fromkeys(services.split(","), "desk"))

    async def start():
        await context.platform.open(services_by_name)
        await context.platform.start_gateway("g1")

    context.run(start)


@given("a second gateway")
def step_second(context):
    async def start():
        second = await context.platform.start_gateway("g2")
        await context.platform.until(lambda: second.gossip.alive_names())

    context.run(start)


class FirstOnly(list):
    """Script shared by all endpoints: one step for the first request of all."""


@given('the first endpoint asked will "{fault}"')
def step_first(context, fault):
    context.script = FirstOnly([fault])
    for endpoint in endpoints(context):
        endpoint.script = context.script


@given('later ones will "{step}"')
def step_later(context, step):
    context.script.extend([step] * MANY)


@given('all endpoints will "{step}"')
def step_every(context, step):
    for endpoint in endpoints(context):
        endpoint.script = [step] * MANY


@given("no connection to any service can be made")
def step_no_connection(context):
    async def silence():
        platform = context.platform
        names = [e.name for e in endpoints(context) if e.service == "desk"]
        for name in names:
            platform.silence_endpoint(name)
        wanted = {platform.endpoints_by_name[name].address for name in names}
        state = platform.gateways[0].state
        await platform.until(
            lambda: {e.address for e in state.endpoints.usable("desk")} == wanted
        )

    context.run(silence)


@given("every engine refuses memory")
def step_refuses(context):
    for endpoint in endpoints(context):
        endpoint.script = ["refuse_memory"] * MANY


@given('three endpoints were lost while running the request to "{path}"')
def step_lost(context, path):
    gateway = context.platform.gateways[0]
    now_ms = context.platform.clock

    async def note():
        request = CallerRequest.__new__(CallerRequest)
        request.method, request.target, request.body = b"POST", path.encode(), b"body"
        request.headers = [(b"Authorization", f"Bearer {KEY}".encode())]
        fields = PlatformProtocol().read_request(request.headers)
        fingerprint = fingerprint_of(request, fields)
        for number in range(LOSSES_TO_REFUSE):
            loss = Loss(fingerprint, f"e{number}", f"zone-{number}", now_ms.now_ms())
            gateway.state.crashes.note_loss(loss)

    context.run(note)


def send(context, path, **values):
    """Send one request and keep its answer."""

    async def call():
        context.answer = await context.platform.call(path, **values)

    context.run(call)


@when('a caller sends "{path}"')
def step_sends(context, path):
    send(context, path)


@when('a caller calls "{path}" with "{header}" set to "{value}"')
def step_sends_with(context, path, header, value):
    send(context, path, **{header.replace("-", "_"): value})


@when('a caller asks "{path}" with a prompt of {tokens:d} tokens')
def step_sends_prompt(context, path, tokens):
    send(context, path, Vanillareach_Token_Usage=f"{tokens},100")


@when('a caller asks "{path}" for a long stream and reads it late')
def step_reads_late(context, path):
    async def call():
        async with await context.platform.connect() as caller:
            # Time enough for 12 MB on a busy machine.
            await caller.send(
                path,
                Vanillareach_Token_Usage="1000,100",
                Vanillareach_Deadline_Ms="60000",
            )
            # Longer than the silence that is taken for a loss.
            await trio.sleep(2.5)
            context.answer = await caller.receive()

    context.run(call)


@when('a caller opens "{path}" and leaves once an endpoint has it')
def step_leaves(context, path):
    async def call():
        async with await context.platform.connect() as caller:
            await caller.send(path)
            await context.platform.until(lambda: received(context))

    context.run(call)


@when('a caller opens "{path}" and stays')
def step_stays(context, path):
    async def call():
        context.caller = await context.platform.connect()
        await context.caller.send(path)
        await context.platform.until(lambda: received(context))

    context.run(call)


@when("a caller sends a body of {size:d} bytes")
def step_large_body(context, size):
    send(context, "/read/a", body=b"x" * size)


@when("a caller sends a header of {size:d} bytes")
def step_large_header(context, size):
    send(context, "/read/a", X_Large="x" * size)


@when("a caller sends {count:d} requests on one connection")
def step_many(context, count):
    async def call():
        async with await context.platform.connect() as caller:
            context.answers = [await caller.call("/read/a")]
            for _ in range(count - 1):
                caller._connection.start_next_cycle()
                context.answers.append(await caller.call("/read/a"))

    context.run(call)


@then("all of them are answered")
def step_all_answered(context):
    assert [answer.status for answer in context.answers] == [200] * 3


@then("the answer is {status:d}")
def step_status(context, status):
    assert context.answer.status == status, context.answer.status
    assert context.answer.is_whole


@then("the answer is 200, whole and signed")
def step_whole(context):
    answer = context.answer
    assert answer.status == 200, answer.status
    assert answer.is_whole
    assert answer.values_by_name[b"vanillareach-response-signature"] == b"signed"


@then("the answer is 200 but not whole")
def step_cut(context):
    assert context.answer.status == 200
    assert not context.answer.is_whole


@then("the answer says when to come back")
def step_come_back(context):
    assert float(context.answer.values_by_name[b"retry-after"]) > 0


@then("the answer closes its connection")
def step_closes(context):
    assert context.answer.values_by_name[b"connection"] == b"close"


@then('the endpoint got the team "{team}", its own name and no key')
def step_got(context, team):
    asked = [endpoint for endpoint in endpoints(context) if endpoint.received]
    values = asked[0].received[0].values_by_name
    assert values[b"vanillareach-tenant"] == team
    assert values[b"vanillareach-target-instance"] == asked[0].name
    assert b"authorization" not in values
    assert 0 < int(values[b"vanillareach-deadline-ms"]) <= 5000


@then("no endpoint was asked")
def step_none(context):
    assert not received(context)


@then("{count:d} requests reached endpoints")
def step_reached(context, count):
    assert len(received(context)) == count, len(received(context))


@then("its events are {first:d} to {last:d}, each once")
def step_events(context, first, last):
    numbers = [int(n) for n in re.findall(rb"id: (\d+)\n", context.answer.body)]
    assert numbers == list(range(first, last + 1)), context.answer.body
    assert b"half" not in context.answer.body


@then("the second request asks for what follows event {number:d}")
def step_follows(context, number):
    values = [request.values_by_name for request in received(context)]
    asked = sorted(value.get(b"last-event-id", "") for value in values)
    assert asked == ["", str(number)], asked


@then("memory was reserved, named in the request, and freed")
def step_reserved(context):
    holders = [endpoint for endpoint in endpoints(context) if endpoint.reservations]
    assert holders
    request = received(context)[0]
    for holder in holders:
        assert f"{holder.address}/" in request.values_by_name[b"vanillareach-helpers"]

    async def freed():
        await context.platform.until(
            lambda: not any(holder.tickets_by_id for holder in holders)
        )

    context.run(freed)


@then("the endpoint's work is ended")
def step_ended(context):
    async def ended():
        await context.platform.until(lambda: received(context)[0].left_early)

    context.run(ended)


@when('the operator writes version {version:d} without the route "{name}"')
def step_without(context, version, name):
    document = configuration(version)
    kept = [route for route in document["routes"] if route["name"] != name]

    async def write():
        context.platform.store.put("config", "main", {**document, "routes": kept})

    context.run(write)


@then('"{path}" is soon refused with {status:d}')
def step_soon(context, path, status):
    async def ask():
        with trio.fail_after(MANY):
            while (await context.platform.call(path)).status != status:
                await trio.sleep(0.05)

    context.run(ask)


@when("the gateway hears of version {version:d}")
def step_hears(context, version):
    gateway = context.platform.gateways[0]

    async def hear():

        table = decode_configuration(msgspec.json.encode(configuration(version)))
        gateway.state.take_table(table, gateway.clock.now_ms(), "test")

    context.run(hear)


@then("version {version:d} stays in force")
def step_stays_in_force(context, version):
    assert context.platform.gateways[0].state.table.version == version


@when("the store forgets its history while version {version:d} is written")
def step_forgets(context, version):
    async def forget():
        store = context.platform.store
        store.put("config", "main", configuration(version))
        store.forget_history()

    context.run(forget)


@then("version {version:d} comes into force")
@then("version {version:d} comes into force on both")
def step_in_force(context, version):
    gateways = context.platform.gateways

    async def wait():
        await context.platform.until(
            lambda: all(g.state.table.version == version for g in gateways)
        )

    context.run(wait)


@when("the store turns the second gateway away and version {version:d} is written")
def step_turned_away(context, version):
    async def turn_away():
        second = context.platform.gateways[1]
        second.store._base = f"http://{free_address()}/api/objects"
        context.platform.store.put("config", "main", configuration(version))

    context.run(turn_away)


@when('the endpoint "{name}" leaves')
def step_leaves_list(context, name):
    async def leave():
        context.platform.list_endpoint(name, "desk", state="draining")

    context.run(leave)


@when('another writer puts an unreadable entry for "{name}"')
def step_unreadable(context, name):
    async def put():
        context.platform.list_endpoint(name, "desk", slots="many")

    context.run(put)


@when('a caller sends {count:d} times "{path}" after the gateways know')
def step_after(context, count, path):
    async def call():
        endpoint_list = context.platform.gateways[0].state.endpoints
        await context.platform.until(lambda: len(endpoint_list.usable("desk")) == 1)
        for _ in range(count):
            answer = await context.platform.call(path)
            assert answer.status == 200

    context.run(call)


@then('only "{name}" was asked')
def step_only(context, name):
    asked = {endpoint.name for endpoint in endpoints(context) if endpoint.received}
    assert asked == {name}, asked


@then("the second gateway counts one request at an endpoint")
def step_counts(context):
    second = context.platform.gateways[1]

    def counted():
        loads = second.state.picture.loads_by_engine(second.clock.now_ms())
        return sum(load.running for load in loads.values()) == 1

    async def wait():
        await context.platform.until(counted)

    context.run(wait)


def take_beacon(context, name, incarnation):
    """Let the gateway take a beacon of another instance."""
    gossip = context.platform.gateways[0].gossip

    async def take():
        beacon = msgspec.structs.replace(
            gossip._beacon(),
            name=name,
            address=free_address(),
            incarnation=incarnation,
            sequence=1,
        )
        async with trio.open_nursery() as nursery:
            gossip._take(beacon, nursery)

    context.run(take)
    return gossip._peers_by_name[name]


@given('a beacon of instance "{name}" with incarnation {incarnation:d}')
def step_beacon(context, name, incarnation):
    context.peer = take_beacon(context, name, incarnation)


@when(
    '"{name}" is silent for {silent_ms:d} ms and a beacon with incarnation {n:d} comes'
)
def step_beacon_after(context, name, silent_ms, n):
    context.peer.heard_ms -= silent_ms
    take_beacon(context, name, n)


@then('the gateway goes by incarnation {incarnation:d} of "{name}"')
def step_goes_by(context, incarnation, name):
    assert context.peer.order == (incarnation, 1), context.peer.order


@when("the store cuts all calls")
def step_store_cut(context):
    async def cut():
        context.platform.store.failure = "lost"

    context.run(cut)


@when("the gateway is asked to stop")
def step_stop(context):
    gateway = context.platform.gateways[0]

    async def stop():
        context.platform._nursery.start_soon(gateway.stop)
        await context.platform.until(lambda: gateway.state.is_stopping)

    context.run(stop)


@then("the gateway is not ready")
def step_not_ready(context):
    gateway = context.platform.gateways[0]

    async def ask():
        host, _, port = gateway.settings.ready_listen.rpartition(":")
        stream = await trio.open_tcp_stream(host, int(port))
        async with stream:
            await stream.send_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            context.ready = await stream.receive_some(1000)

    context.run(ask)
    assert context.ready.startswith(b"HTTP/1.1 503"), context.ready
