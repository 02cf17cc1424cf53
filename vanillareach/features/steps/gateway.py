"""Steps about a gateway in front of stand-ins of the users' platform."""

import re

import trio
from behave import given, then, when

from vanillareach.core.crash_evidence import CrashReport, Suspect
from vanillareach.features.support import endpoints, received
from vanillareach.features.users_platform.stage import KEY
from vanillareach.gateway.exchange import fingerprint_of
from vanillareach.gateway.request_reader import CallerRequest
from vanillareach.platform.calls import PlatformProtocol

SCRIPT_LENGTH = 20


@given('a gateway in front of engines "{engines}" and services "{services}"')
def step_start_gateway(context, engines, services):
    services_by_name = dict.fromkeys(engines.split(","), "model")
    services_by_name.update(dict.fromkeys(services.split(","), "desk"))

    async def start():
        await context.platform.open(services_by_name)
        await context.platform.start_gateway("g1")

    context.run(start)


def start_another(context, name, domain, **settings):
    """Start a gateway and wait until all receive each other's beacons."""

    async def start():
        await context.platform.start_gateway(name, domain, **settings)
        others = len(context.platform.gateways) - 1
        for gateway in context.platform.gateways:
            await context.platform.until(
                lambda gateway=gateway: (
                    len(gateway.gossip.peers.alive_names()) == others
                )
            )

    context.run(start)


@given("a second gateway")
def step_start_second_gateway(context):
    start_another(context, "g2", "zone-a")


@given('a second gateway in domain "{domain}"')
def step_start_second_gateway_in_domain(context, domain):
    start_another(context, "g2", domain)


@given('a third gateway in domain "{domain}"')
def step_start_third_gateway_in_domain(context, domain):
    start_another(context, "g3", domain)


class SharedScript(list):
    """Script shared by all endpoints: the next request at any of them takes a step."""


@given('the first endpoint called will "{fault}"')
def step_first_request_gets(context, fault):
    context.script = SharedScript([fault])
    for endpoint in endpoints(context):
        endpoint.script = context.script


@given('later ones will "{step}"')
def step_later_requests_get(context, step):
    context.script.extend([step] * SCRIPT_LENGTH)


@given('all endpoints will "{step}"')
def step_all_requests_get(context, step):
    for endpoint in endpoints(context):
        endpoint.script = [step] * SCRIPT_LENGTH


@given("no connection to any service can be made")
def step_make_service_unreachable(context):
    async def make_unreachable():
        platform = context.platform
        names = [e.name for e in endpoints(context) if e.service == "desk"]
        for name in names:
            platform.make_endpoint_unreachable(name)
        expected = {platform.endpoints_by_name[name].address for name in names}
        state = platform.gateways[0].state
        await platform.until(
            lambda: {e.address for e in state.endpoints.usable("desk")} == expected
        )

    context.run(make_unreachable)


@given("every engine refuses reservations")
def step_refuse_reservations(context):
    for endpoint in endpoints(context):
        endpoint.script = ["refuse_memory"] * SCRIPT_LENGTH


@given("every engine answers reservations without end")
def step_endless_reservations(context):
    for endpoint in endpoints(context):
        endpoint.script = ["endless_reservation"] * SCRIPT_LENGTH


@given('three endpoints were lost while running the request to "{path}"')
def step_record_three_losses(context, path):
    gateway = context.platform.gateways[0]
    clock = context.platform.clock

    async def record_losses():
        request = CallerRequest.__new__(CallerRequest)
        request.method, request.target, request.body = b"POST", path.encode(), b"body"
        request.headers = [(b"Authorization", f"Bearer {KEY}".encode())]
        fields = PlatformProtocol().read_request(request.headers)
        suspect = Suspect(fingerprint_of(request, fields))
        now_ms = clock.now_ms()
        for number in range(3):
            key = (f"e{number}", 1)
            report = CrashReport(key, suspect.fingerprint, {}, now_ms)
            gateway.state.quarantine.evidence.record_report(report, now_ms)

    context.run(record_losses)


def send(context, path, **values):
    """Send one request and keep its response."""

    async def call():
        context.response = await context.platform.call(path, **values)

    context.run(call)


@when('a caller sends "{path}"')
def step_send_request(context, path):
    send(context, path)


@when('a caller calls "{path}" with "{header}" set to "{value}"')
def step_send_request_with_header(context, path, header, value):
    send(context, path, **{header.replace("-", "_"): value})


@when('a caller sends "{path}" with a prompt of {tokens:d} tokens')
def step_send_prompt(context, path, tokens):
    send(context, path, Vanillareach_Token_Usage=f"{tokens},100")


@when('a caller sends "{path}" for an answer of {tokens:d} tokens')
def step_request_answer_tokens(context, path, tokens):
    send(context, path, Vanillareach_Token_Usage=f"1000,{tokens}")


@when('a caller sends "{path}" for a long stream and reads it late')
def step_read_stream_late(context, path):
    async def call():
        async with await context.platform.connect() as caller:
            # The deadline leaves enough time for 12 MB on a busy machine.
            await caller.send(
                path,
                Vanillareach_Token_Usage="1000,100",
                Vanillareach_Deadline_Ms="60000",
            )
            # Longer than the idle timeout of the attempt.
            await trio.sleep(2.5)
            context.response = await caller.receive()

    context.run(call)


@when('a caller sends "{path}" and disconnects once an endpoint received it')
def step_disconnect_after_dispatch(context, path):
    async def call():
        async with await context.platform.connect() as caller:
            await caller.send(path)
            await context.platform.until(lambda: received(context))

    context.run(call)


@when('a caller sends "{path}" and keeps the connection open')
def step_keep_request_open(context, path):
    async def call():
        context.caller = await context.platform.connect()
        await context.caller.send(path)
        await context.platform.until(lambda: received(context))

    context.run(call)


@when("a caller sends a body of {size:d} bytes")
def step_send_large_body(context, size):
    send(context, "/read/a", body=b"x" * size)


@when("a caller sends a header of {size:d} bytes")
def step_send_large_header(context, size):
    send(context, "/read/a", X_Large="x" * size)


@when("a caller sends {count:d} requests on one connection")
def step_send_requests_on_one_connection(context, count):
    async def call():
        async with await context.platform.connect() as caller:
            context.responses = [await caller.call("/read/a")]
            for _ in range(count - 1):
                caller._connection.start_next_cycle()
                context.responses.append(await caller.call("/read/a"))

    context.run(call)


@then("all of them are answered")
def step_check_all_responses(context):
    assert [response.status for response in context.responses] == [200] * 3


@then("the response is {status:d}")
def step_check_status(context, status):
    assert context.response.status == status, context.response.status
    assert context.response.is_complete


@then("the response is 200, complete and signed")
def step_check_complete_and_signed(context):
    response = context.response
    assert response.status == 200, response.status
    assert response.is_complete
    assert response.values_by_name[b"vanillareach-response-signature"] == b"signed"


@then("the response is 200 but incomplete")
def step_check_incomplete(context):
    assert context.response.status == 200
    assert not context.response.is_complete


@then("the response has a Retry-After header")
def step_check_retry_after(context):
    assert float(context.response.values_by_name[b"retry-after"]) > 0


@then("the response closes its connection")
def step_check_connection_close(context):
    assert context.response.values_by_name[b"connection"] == b"close"


@then('the endpoint received the team "{team}", its own name and no key')
def step_check_endpoint_headers(context, team):
    called_endpoints = [
        endpoint for endpoint in endpoints(context) if endpoint.received
    ]
    values = called_endpoints[0].received[0].values_by_name
    assert values[b"vanillareach-tenant"] == team
    assert values[b"vanillareach-target-instance"] == called_endpoints[0].name
    assert b"authorization" not in values
    assert 0 < int(values[b"vanillareach-deadline-ms"]) <= 5000


@then("no endpoint received a request")
def step_check_no_request(context):
    assert not received(context)


@then("{count:d} requests reached endpoints")
def step_check_request_count(context, count):
    assert len(received(context)) == count, len(received(context))


@then("its events are {first:d} to {last:d}, each once")
def step_check_events(context, first, last):
    numbers = [int(n) for n in re.findall(rb"id: (\d+)\n", context.response.body)]
    assert numbers == list(range(first, last + 1)), context.response.body
    assert b"half" not in context.response.body


@then("the second request resumes after event {number:d}")
def step_check_last_event_id(context, number):
    values = [request.values_by_name for request in received(context)]
    event_ids = sorted(value.get(b"last-event-id", "") for value in values)
    assert event_ids == ["", str(number)], event_ids


@then("memory was reserved, named in the request and released")
def step_check_reservations(context):
    reserving_endpoints = [
        endpoint for endpoint in endpoints(context) if endpoint.reservation_count
    ]
    assert reserving_endpoints
    request = received(context)[0]
    for endpoint in reserving_endpoints:
        assert f"{endpoint.address}/" in request.values_by_name[b"vanillareach-helpers"]

    async def wait_for_release():
        await context.platform.until(
            lambda: (
                not any(
                    endpoint.expiry_s_by_reservation for endpoint in reserving_endpoints
                )
            )
        )

    context.run(wait_for_release)


@then("the request is cancelled at the endpoint")
def step_check_cancelled(context):
    async def wait_for_cancellation():
        await context.platform.until(lambda: received(context)[0].was_cancelled)

    context.run(wait_for_cancellation)
