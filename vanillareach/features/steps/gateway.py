"""Steps about the gateway over stand-ins of the users' platform."""

import re

import trio
from behave import given, then, when

from vanillareach.core.suspicion import Loss
from vanillareach.features.support import endpoints, received
from vanillareach.features.users_platform.stage import KEY
from vanillareach.gateway.connections import CallerRequest
from vanillareach.gateway.forwarder import LOSSES_TO_REFUSE, fingerprint_of
from vanillareach.platform.calls import PlatformProtocol

MANY = 20


@given('a gateway before engines "{engines}" and services "{services}"')
def step_gateway(context, engines, services):
    services_by_name = dict.fromkeys(engines.split(","), "model")
    services_by_name.update(dict.fromkeys(services.split(","), "desk"))

    async def start():
        await context.platform.open(services_by_name)
        await context.platform.start_gateway("g1")

    context.run(start)


def start_another(context, name, domain):
    """Start a gateway and wait until all hear each other."""

    async def start():
        await context.platform.start_gateway(name, domain)
        others = len(context.platform.gateways) - 1
        for gateway in context.platform.gateways:
            await context.platform.until(
                lambda gateway=gateway: len(gateway.gossip.alive_names()) == others
            )

    context.run(start)


@given("a second gateway")
def step_second(context):
    start_another(context, "g2", "zone-a")


@given('a second gateway in domain "{domain}"')
def step_second_in(context, domain):
    start_another(context, "g2", domain)


@given('a third gateway in domain "{domain}"')
def step_third_in(context, domain):
    start_another(context, "g3", domain)


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
            gateway.state.crashes.record_loss(loss)

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


@when('a caller asks "{path}" for {tokens:d} tokens')
def step_asks_for(context, path, tokens):
    send(context, path, Vanillareach_Token_Usage=f"1000,{tokens}")


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
