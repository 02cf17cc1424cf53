"""Steps about callers' connections: their end, their limits and their errors."""

import os
import socket

import msgspec
import structlog
import trio
from behave import given, then, when

from vanillareach.features.support import endpoints, received
from vanillareach.features.users_platform.stage import Caller, configuration
from vanillareach.utils import split_address

STOP_DURATION_MS = 5_000
# Longer than the shorter timeouts of the scenarios, shorter than the longer ones.
PAUSE_S = 1.5
SETTLE_S = 0.05
HEADER_BYTES = 1_000
BODY_BYTES = 2_000
MAX_LARGE_BODY_BYTES = 1_000_000
SMALL_BUFFER_BYTES = 4_096


async def connect_callers(context, count):
    """Return callers whose connections wait for their next request."""
    callers = [await context.platform.connect() for _ in range(count)]
    for caller in callers:
        assert (await caller.call("/read/a")).status == 200
    await trio.sleep(SETTLE_S)
    return callers


def close_idle_connections(context):
    """Close idle connections as a gateway does that stops."""
    gateway = context.platform.gateways[0]
    gateway.state.mark_stopping(gateway.clock.now_ms() + STOP_DURATION_MS)
    gateway.caller_listener.stop_accepting()


async def receive_all(context, callers):
    """Store the responses of all callers and close their connections."""
    context.responses = []
    for caller in callers:
        async with caller:
            context.responses.append(await caller.receive())


@when("{count:d} callers send a request just before idle connections are closed")
def step_send_before_close(context, count):
    async def call():
        callers = await connect_callers(context, count)
        for caller in callers:
            caller.send_nowait(caller.encode("/read/a"))
        close_idle_connections(context)
        await receive_all(context, callers)

    context.run(call)


@when("{count:d} callers send a request and idle connections are closed as it is read")
def step_close_while_read(context, count):
    async def close_in_same_turn(waiting):
        await trio.lowlevel.wait_readable(waiting)
        close_idle_connections(context)

    async def call():
        callers = await connect_callers(context, count)
        waiting, waker = socket.socketpair()
        with waiting, waker:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(close_in_same_turn, waiting)
                await trio.sleep(SETTLE_S)
                # All wait until the loop polls: it runs their tasks in any order.
                for caller in callers:
                    caller.send_nowait(caller.encode("/read/a"))
                os.write(waker.fileno(), b"x")
        await receive_all(context, callers)

    context.run(call)


def connect_at_once(context, count):
    """Return callers that have sent a request; no other task had a turn meanwhile."""
    address = split_address(context.platform.gateways[0].settings.front_listen)
    callers = []
    for _ in range(count):
        sock = socket.create_connection(address)
        sock.setblocking(False)
        stream = trio.SocketStream(trio.socket.from_stdlib_socket(sock))
        callers.append(Caller(context.platform, stream))
        callers[-1].send_nowait(callers[-1].encode("/read/a"))
    return callers


@when("{count:d} callers connect and send a request just before the listener closes")
def step_connect_before_close(context, count):
    async def call():
        callers = connect_at_once(context, count)
        close_idle_connections(context)
        await receive_all(context, callers)

    context.run(call)


@when("the gateway stops and {count:d} callers connect and send a request as it closes")
def step_connect_during_stop(context, count):
    gateway, callers = context.platform.gateways[0], []
    stop_accepting = gateway.caller_listener.stop_accepting

    def connect_and_stop_accepting():
        callers.extend(connect_at_once(context, count))
        stop_accepting()

    async def call():
        gateway.caller_listener.stop_accepting = connect_and_stop_accepting
        await gateway.stop()
        context.had_responses = [caller.has_data() for caller in callers]
        await receive_all(context, callers)

    context.run(call)


@then("each of them had its response as the stop ended")
def step_check_responses_at_stop(context):
    assert all(context.had_responses), context.had_responses


@then("each of them gets a complete response that closes its connection")
def step_check_closing_responses(context):
    ends = [
        (r.status, r.is_complete, r.values_by_name.get(b"connection"))
        for r in context.responses
    ]
    assert ends == [(200, True, b"close")] * len(ends), ends


@when('a caller sends "{path}" twice on a connection that is closed in between')
def step_ignore_close(context, path):
    async def call():
        gateway = context.platform.gateways[0]
        gateway.state.mark_stopping(gateway.clock.now_ms() + STOP_DURATION_MS)
        async with await context.platform.connect() as caller:
            request = caller.encode(path)
            await caller.send_raw(request)
            assert (await caller.receive()).is_complete
            begin_s = trio.current_time()
            await caller.send_raw(request)
            context.data = await caller.receive_raw()
            context.duration_ms = 1000 * (trio.current_time() - begin_s)

    context.run(call)


@when('a caller sends "{path}" twice at once to a stopping gateway')
def step_pipeline_during_stop(context, path):
    async def call():
        gateway = context.platform.gateways[0]
        gateway.state.mark_stopping(gateway.clock.now_ms() + STOP_DURATION_MS)
        async with await context.platform.connect() as caller:
            await caller.send_raw(2 * caller.encode(path))
            context.data = b""
            while data := await caller.receive_raw():
                context.data += data

    context.run(call)


@then("both are answered and the second response closes the connection")
def step_check_pipelined_responses(context):
    first, second = context.data.split(b"HTTP/1.1 200")[1:]
    assert b"Connection: close" not in first
    assert b"Connection: close" in second


@then("the connection ends within {limit_ms:d} ms")
def step_check_duration(context, limit_ms):
    assert not context.data
    assert context.duration_ms < limit_ms, context.duration_ms


@when(
    'a caller has sent {part} of a request as "{limit}" changes from {old:d} to {new:d}'
)
def step_change_limit(context, part, limit, old, new):
    stage = context.platform

    async def apply_limit(version, value):
        document = configuration(version)
        limits = {**document["limits"], limit: value}
        stage.store.put("config", "main", {**document, "limits": limits})
        state = stage.gateways[0].state
        await stage.until(lambda: state.configuration.version == version)

    async def call():
        await apply_limit(2, old)
        async with await stage.connect() as caller:
            await trio.sleep(SETTLE_S)
            request = caller.encode(
                "/read/a", body=b"x" * BODY_BYTES, X_Large="x" * HEADER_BYTES
            )
            sizes_by_part = {
                "nothing": 0,
                "half the header": HEADER_BYTES // 2,
                "half the body": len(request) - BODY_BYTES // 2,
            }
            size = sizes_by_part[part]
            await caller.send_raw(request[:size])
            await trio.sleep(SETTLE_S)
            await apply_limit(3, new)
            await trio.sleep(PAUSE_S if limit.endswith("timeout_ms") else SETTLE_S)
            await caller.send_raw(request[size:])
            context.response = await caller.receive()

    context.run(call)


async def raise_exception(request, responder):
    raise KeyError("figures")


async def answer_nothing(request, responder):
    return


async def send_bad_header(request, responder):
    await responder.answer(200, [(b"Bad", b"a\x00b")], b"")


async def send_bad_body(request, responder):
    await responder.answer(204, [], b"body")


async def start_after_deadline(request, responder):
    with trio.CancelScope() as scope:
        scope.cancel()
        await responder.start(200, [(b"Transfer-Encoding", b"chunked")])
    if not responder.is_started:
        await responder.answer(503, [], b"")


HANDLERS_BY_FAULT = {
    "a deadline before the first byte": start_after_deadline,
    "an exception": raise_exception,
    "no response": answer_nothing,
    "a bad header": send_bad_header,
    "a bad body": send_bad_body,
}


@given('the gateway will meet "{fault}" in its own code')
def step_break_handler(context, fault):
    context.platform.gateways[0].caller_listener.handle = HANDLERS_BY_FAULT[fault]
    capture_logs(context)


def capture_logs(context):
    """Store the log lines of the rest of the scenario."""
    capture = structlog.testing.capture_logs()
    context.lines = capture.__enter__()
    context.add_cleanup(capture.__exit__, None, None, None)


@then("it has a body of its own and closes the connection")
def step_check_error_body(context):
    response = context.response
    assert msgspec.json.decode(response.body)["outcome"] == "unknown"
    assert response.values_by_name[b"connection"] == b"close"
    assert b"vanillareach-response-signature" not in response.values_by_name


@then('a log line names "{path}" and not "{secret}"')
def step_check_log_line(context, path, secret):
    lines = [str(line) for line in context.lines if path in str(line)]
    assert lines, context.lines
    assert secret not in str(lines)


@given("the choice of an endpoint will raise an error")
def step_break_choice(context):
    async def choose(exchange):
        raise KeyError("figures")

    context.platform.gateways[0].forwarder._placement_client.choose = choose
    capture_logs(context)


@then('the request is counted once, as "{outcome}" for "{reason}"')
def step_check_request_count(context, outcome, reason):
    counts = dict(context.platform.gateways[0].metrics.requests)
    assert counts == {("forward", outcome, reason): 1}, counts


@when('a caller sends "{path}" by HEAD')
def step_send_head(context, path):
    async def call():
        context.response = await context.platform.call(path, method="HEAD", body=b"")

    context.run(call)


@when(
    'a caller sends "{path}" with a deadline of {deadline_ms:d} ms and reads after '
    "{delay_ms:d} ms"
)
def step_read_after_deadline(context, path, deadline_ms, delay_ms):
    async def call():
        async with await context.platform.connect(buffer_bytes=4096) as caller:
            await caller.send(path, Vanillareach_Deadline_Ms=str(deadline_ms))
            await trio.sleep(delay_ms / 1000)
            context.response = await caller.receive()

    context.run(call)


@when('an HTTP/1.0 caller sends "{path}"')
def step_send_http_1_0(context, path):
    async def call():
        async with await context.platform.connect() as caller:
            request = caller.encode(path, Vanillareach_Token_Usage="1000,100")
            await caller.send_raw(request.replace(b"HTTP/1.1", b"HTTP/1.0", 1))
            context.data = b""
            context.is_reset = False
            try:
                while data := await caller._stream.receive_some():
                    context.data += data
            except trio.BrokenResourceError:
                context.is_reset = True

    context.run(call)


@then("its connection is reset after the first events")
def step_check_reset(context):
    assert context.is_reset, context.data


@given("the gateway may hold {size:d} bytes of answers")
def step_set_answer_budget(context, size):
    context.platform.gateways[0].buffer_budget.max_bytes = size


@when('{count:d} callers send "{path}" one after another and don\'t read the answers')
def step_leave_unread(context, count, path):
    async def call():
        context.callers = []
        for _ in range(count):
            caller = await context.platform.connect(buffer_bytes=SMALL_BUFFER_BYTES)
            context.callers.append(caller)
            await caller.send(path)
            await context.platform.until(caller.has_data)
            await trio.sleep(SETTLE_S)

    context.run(call)


@then("at most {size:d} bytes of answers are held")
def step_check_answers_held(context, size):
    held = context.platform.gateways[0].buffer_budget.total_bytes
    assert 0 < held <= size, held


@then(
    "within {limit_ms:d} ms no request is in flight, and no endpoint has a connection"
)
def step_check_endpoints_done(context, limit_ms):
    platform = context.platform

    def is_done():
        has_connections = any(
            listener.open_connections for listener in platform.endpoint_listeners
        )
        flights = platform.gateways[0].state.load_state.own_flight_count
        return not has_connections and not flights

    async def wait():
        with trio.fail_after(limit_ms / 1000):
            await platform.until(is_done)

    context.run(wait)


@then("a caller that reads gets its answer whole")
def step_check_whole_answer(context):
    response = context.run(context.platform.call, "/read/a")
    assert response.status == 200 and response.is_complete, response.status


@then("the caller that has waited longest has an incomplete answer")
def step_check_cut(context):
    response = context.run(context.callers[0].receive)
    assert not response.is_complete


@then("no bytes of answers are held")
def step_check_no_answers_held(context):
    budget = context.platform.gateways[0].buffer_budget
    context.run(context.platform.until, lambda: not budget.total_bytes)


@given("the gateway may hold {size:d} bytes of request bodies")
def step_set_body_budget(context, size):
    gateway = context.platform.gateways[0]
    gateway.body_budget.max_bytes = size
    limits = {**configuration(2)["limits"], "max_body_bytes": MAX_LARGE_BODY_BYTES}

    async def allow():
        context.platform.store.put("config", "main", configuration(2, limits=limits))
        await context.platform.until(lambda: gateway.state.configuration.version == 2)

    context.run(allow)


@when("{count:d} callers send bodies of {size:d} bytes one after another")
def step_send_bodies(context, count, size):
    async def send():
        context.callers = [await context.platform.connect() for _ in range(count)]
        for caller in context.callers:
            await caller.send("/book/a", body=bytes(size))
            await trio.sleep(SETTLE_S)
        context.response = await context.callers[-1].receive()

    context.run(send)


@then("the last of them is refused with {status:d} and may come back")
def step_check_body_refused(context, status):
    assert context.response.status == status, context.response.status
    assert float(context.response.values_by_name[b"retry-after"]) > 0


@then("no endpoint got the request of the last one")
def step_check_not_passed_on(context):
    assert len(received(context)) == len(context.callers) - 1


@when("these callers leave")
def step_leave(context):
    async def leave():
        for caller in context.callers:
            await caller.__aexit__()

    context.run(leave)


@then("no bytes of request bodies are held")
def step_check_none_held(context):
    budget = context.platform.gateways[0].body_budget
    context.run(context.platform.until, lambda: not budget.held_bytes)


@then("another body of {size:d} bytes is accepted")
def step_accept_another(context, size):
    for endpoint in endpoints(context):
        endpoint.script = []

    async def send():
        return await context.platform.call("/read/a", body=bytes(size))

    assert context.run(send).status == 200


@when("a caller sends chunks of {size:d} bytes until it gets a response")
def step_send_chunks(context, size):
    chunk = b"%x\r\n%s\r\n" % (size, bytes(size))

    async def send():
        async with await context.platform.connect() as caller:
            head = caller.encode("/book/a", body=b"").partition(b"\r\n\r\n")[0]
            await caller.send_raw(head + b"\r\nTransfer-Encoding: chunked\r\n\r\n")
            context.sent_bytes = 0
            while not caller.has_data():
                await caller.send_raw(chunk)
                context.sent_bytes += size
                await trio.sleep(SETTLE_S)
            context.response = await caller.receive()

    context.run(send)


@then("it is refused with {status:d} after at most {size:d} bytes")
def step_check_chunks_refused(context, status, size):
    assert context.response.status == status, context.response.status
    assert context.sent_bytes <= size, context.sent_bytes
