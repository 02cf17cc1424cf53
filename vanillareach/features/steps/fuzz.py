"""Steps that feed mutated inputs to every part that handles external input."""

import random
from types import SimpleNamespace
from unittest import mock

import h11
import msgspec
import trio
from behave import given, then, when
from hypothesis import example
from hypothesis import given as given_any
from hypothesis import strategies as st

from vanillareach.control.object_api import PlatformError
from vanillareach.features.steps.properties import CHECKED
from vanillareach.features.support import endpoints
from vanillareach.features.users_platform.endpoint import response_body
from vanillareach.features.users_platform.stage import (
    HOST,
    KEY,
    configuration,
    free_address,
)
from vanillareach.gateway.gossip import Gossip
from vanillareach.gateway.ports import RegisteredInstance, StorePosition
from vanillareach.gateway.settings import GatewaySettings
from vanillareach.gateway.state import GatewayState
from vanillareach.peers.link import DIGEST_BYTES
from vanillareach.platform.calls import PlatformProtocol
from vanillareach.platform.documents import (
    DocumentError,
    decode_configuration,
    decode_endpoint,
)
from vanillareach.platform.pages import ObjectDocument
from vanillareach.platform.store import PlatformStore
from vanillareach.utils import split_address

ALL_ANSWERS_TIMEOUT_S = 20
MAX_PORT = 65_535
ENDPOINT_ENTRY = {
    "backend": "desk",
    "address": "10.0.0.1:80",
    "zone": "zone-a",
    "version": "1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 1,
    "born": 1,
}
UNEXPECTED_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**70), 2**70),
    st.floats(allow_nan=False),
    st.text(max_size=8),
    st.sampled_from(("", ":", "10.0.0.1:", ":80", "10.0.0.1:99999", "::1:80", "x:80")),
    st.lists(st.integers(0, 3), max_size=2),
    st.dictionaries(st.text(max_size=3), st.integers(0, 3), max_size=2),
)


def paths_in(value, path=()):
    """Return the paths of all nested values in a document."""
    found = [path] if path else []
    if isinstance(value, dict):
        for name in value:
            found += paths_in(value[name], (*path, name))
    elif isinstance(value, list):
        for index in range(len(value)):
            found += paths_in(value[index], (*path, index))
    return found


def with_value(document, path, value):
    """Return a copy of a document with the value at a path replaced."""
    copy = msgspec.json.decode(msgspec.json.encode(document))
    container = copy
    for step in path[:-1]:
        container = container[step]
    container[path[-1]] = value
    return copy


def mutated_documents(document):
    """Return a strategy for JSON documents with one to three values replaced."""

    def change(changes):
        changed = document
        for path, value in changes:
            try:
                changed = with_value(changed, path, value)
            except (KeyError, IndexError, TypeError):
                continue
        return msgspec.json.encode(changed)

    path_and_value = st.tuples(st.sampled_from(paths_in(document)), UNEXPECTED_VALUES)
    return st.lists(path_and_value, min_size=1, max_size=3).map(change)


def mutated_bytes(data, rng):
    """Return bytes with up to three random mutations."""
    changed = bytearray(data)
    for _ in range(rng.randrange(1, 4)):
        offset = rng.randrange(len(changed))
        kind = rng.choice(("flip", "drop", "double", "cut", "insert"))
        if kind == "flip":
            changed[offset] ^= 1 << rng.randrange(8)
        elif kind == "drop":
            del changed[offset : offset + rng.randrange(1, 20)]
        elif kind == "double":
            changed[offset:offset] = changed[offset : offset + rng.randrange(1, 60)]
        elif kind == "cut":
            del changed[max(1, offset) :]
        else:
            changed[offset:offset] = rng.randbytes(rng.randrange(1, 8))
        if not changed:
            changed += b"x"
    return bytes(changed)


@then("mutated configurations are decoded to tables that match requests, or rejected")
def step_configurations(context):
    outcomes = set()

    @CHECKED
    @given_any(mutated_documents(configuration(4)))
    def check(data):
        try:
            table = decode_configuration(data)
        except DocumentError:
            outcomes.add("refused")
            return
        outcomes.add("read")
        route = table.match(HOST, "/read/a")
        if route is not None:
            assert isinstance(route.pick_service(0.5), str)

    check()
    assert outcomes == {"refused", "read"}, outcomes


@then("mutated endpoint entries have an address to connect to, or are rejected")
def step_endpoint_entries(context):
    outcomes = set()

    stored = {"metadata": {"name": "d1", "rev": 3}, "spec": ENDPOINT_ENTRY}

    def with_address(address):
        return msgspec.json.encode(with_value(stored, ("spec", "address"), address))

    @CHECKED
    @example(with_address("10.0.0.1:99999"))
    @example(with_address("10.0.0.1:0"))
    @example(with_address(":80"))
    @given_any(mutated_documents(stored))
    def check(data):
        try:
            stored = msgspec.json.decode(data, type=ObjectDocument)
            endpoint = decode_endpoint(stored)
        except (msgspec.MsgspecError, DocumentError):
            outcomes.add("refused")
            return
        outcomes.add("read")
        host, port = split_address(endpoint.address)
        assert host
        assert 0 < port <= MAX_PORT, port

    check()
    assert outcomes == {"refused", "read"}, outcomes


class FixedResponsePool:
    """Connection pool that returns the same response to every request."""

    def __init__(self, status, content, era):
        headers = [] if era is None else [(b"Store-Era", era)]
        self._response = SimpleNamespace(
            status=status, content=content, headers=headers
        )

    async def request(self, *arguments, **values):
        """Return the fixed response."""
        return self._response


async def call_every_method(store):
    """Call every method of a store and return the names of the errors raised."""
    errors = set()
    for call, *arguments in (
        (store.read_configuration,),
        (store.wait_for_configuration, StorePosition(0, 1), 0),
        (store.list_endpoints,),
        (store.list_instances,),
        (store.register_instance, RegisteredInstance("g1", "127.0.0.1:1")),
        (store.remove_instance, "g1"),
    ):
        try:
            await call(*arguments)
        except PlatformError as error:
            errors.add(type(error).__name__)
    return errors


@then("no mutated response of the store raises anything but its own errors")
def step_store_responses(context):
    errors = set()
    stored = {"metadata": {"name": "main", "rev": 3}, "spec": configuration(4)}
    entry = {"metadata": {"name": "d1", "rev": 3}, "spec": ENDPOINT_ENTRY}
    page = {"items": [entry, stored], "more": False, "at": 7}
    watch = {"events": [{"object": stored, "deleted": False}], "at": 9}
    documents = st.one_of(
        mutated_documents(stored),
        mutated_documents(page),
        mutated_documents(watch),
        st.binary(max_size=40),
    )

    @CHECKED
    @given_any(
        st.sampled_from((200, 404, 409, 410, 429, 500)),
        documents,
        st.sampled_from((None, b"3", b"", b"x", b"-1")),
    )
    def check(status, data, era):
        store = PlatformStore("127.0.0.1:1")
        store._pool = FixedResponsePool(status, data, era)
        errors.update(trio.run(call_every_method, store))

    check()
    assert errors, "no mutation led to an error"


@then("no mutated datagram of a peer raises an error, authenticated or not")
def step_datagrams(context):
    rng = random.Random(3)
    clock = SimpleNamespace(now_ms=lambda: 5_000.0, wall_ms=lambda: 1e12)

    async def check():
        async with trio.open_nursery() as nursery:
            gossips = [
                Gossip(settings, GatewayState(settings, clock), None, clock)
                for settings in (
                    GatewaySettings(name=name, peer_listen=free_address())
                    for name in ("g1", "g2")
                )
            ]
            authenticator = gossips[0]._authenticator
            beacon = authenticator.encode(gossips[0].announcements.beacon())
            payload = beacon[DIGEST_BYTES:]
            for number in range(2_000):
                if number % 2:
                    data = mutated_bytes(beacon, rng)
                else:
                    mutated_payload = mutated_bytes(payload, rng)
                    data = authenticator._digest(mutated_payload) + mutated_payload
                gossips[1]._handle_datagram(data, nursery)
            nursery.cancel_scope.cancel()

    trio.run(check)


@then("no mutated header of a caller or an endpoint raises an error")
def step_headers(context):
    rng = random.Random(4)
    protocol = PlatformProtocol()
    valid = [
        (b"Vanillareach-Attempt-Id", b"a1"),
        (b"Vanillareach-Deadline-Ms", b"5000"),
        (b"Vanillareach-Token-Usage", b"1000,100"),
        (b"Authorization", b"Bearer " + KEY.encode()),
        (b"Last-Event-Id", b"4"),
        (b"Connection", b"close, x-hop"),
        (b"Vanillareach-Weight-Versions", b"3"),
    ]
    for _ in range(2_000):
        headers = [
            (name, mutated_bytes(value, rng) if rng.random() < 0.5 else value)
            for name, value in valid
        ]
        fields = protocol.read_request(headers)
        assert fields.prompt_tokens >= 0
        assert fields.timeout_ms is None or isinstance(fields.timeout_ms, float)
        protocol.read_response(200, headers)


def request_bytes(number):
    """Return a valid request with a unique id."""
    body = b"body"
    return (
        f"POST /read/{number} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Vanillareach-Attempt-Id: fuzz-{number}\r\n"
        "Vanillareach-Deadline-Ms: 5000\r\n"
        f"Authorization: Bearer {KEY}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


async def exchange(address, data):
    """Send bytes, shut down the sending side, and return all received bytes."""
    received = b""
    stream = await trio.open_tcp_stream(*split_address(address))
    async with stream:
        try:
            await stream.send_all(data)
            await stream.send_eof()
            while part := await stream.receive_some(65_536):
                received += part
        except trio.BrokenResourceError:
            pass
    return received


@when("{count:d} callers send mutated requests")
def step_send_mutated_requests(context, count):
    rng = random.Random(5)
    address = context.platform.gateways[0].settings.front_listen
    context.sent = [mutated_bytes(request_bytes(n), rng) for n in range(count)]
    context.received = []

    async def send():
        with trio.fail_after(ALL_ANSWERS_TIMEOUT_S):
            for data in context.sent:
                context.received.append(await exchange(address, data))

    with mock.patch("vanillareach.gateway.connections.log") as context.log:
        context.run(send)


@then("the gateway raised no internal error")
def step_no_internal_error(context):
    assert not context.log.exception.called, context.log.exception.mock_calls


@then("each got a response or a closed connection")
def step_each_answered(context):
    assert len(context.received) == len(context.sent)
    wrong = [x for x in context.received if x and not x.startswith(b"HTTP/1.1 ")]
    assert not wrong, wrong[:3]
    statuses = {x[9:12] for x in context.received if x}
    assert len(statuses) > 1, statuses


@then("endpoints received only requests that were sent completely")
def step_only_complete_requests(context):
    for endpoint in endpoints(context):
        for received in endpoint.received:
            path, body = received.path.encode(), received.body or b""
            assert any(path in data and body in data for data in context.sent), path


@then('a request to "{path}" succeeds')
def step_still_serves(context, path):
    async def call():
        context.answer = await context.platform.call(path)

    context.run(call)
    assert context.answer.status == 200


@given("a gateway in front of an endpoint that sends mutated responses")
def step_mutating_endpoint(context):
    stage, rng = context.platform, random.Random(6)
    context.sent_by_attempt = {}

    async def answer(stream):
        async with stream:
            data = b""
            while b"\r\n\r\n" not in data:
                part = await stream.receive_some(65_536)
                if not part:
                    return
                data += part
            lines = data.lower().split(b"\r\n")
            ids = [x for x in lines if x.startswith(b"vanillareach-attempt-id: ")]
            attempt_id = ids[0].partition(b": ")[2].decode()
            body = response_body(attempt_id)
            valid = (
                f"HTTP/1.1 200 OK\r\nVanillareach-Attempt-Id: {attempt_id}\r\n"
                "Vanillareach-Response-Signature: signed\r\n"
                f"Content-Length: {len(body)}\r\n\r\n{body}"
            ).encode()
            is_valid = rng.random() < 0.3
            sent = valid if is_valid else with_mutated_head(valid, rng)
            context.sent_by_attempt[attempt_id] = sent
            try:
                await stream.send_all(sent)
            except trio.BrokenResourceError:
                return

    async def start():
        await stage.open({"d1": "desk"})
        address = free_address()
        host, port = split_address(address)
        listeners = await trio.open_tcp_listeners(port, host=host)
        stage._nursery.start_soon(trio.serve_listeners, answer, listeners)
        stage.endpoints_by_name["d1"].address = address
        stage.put_endpoint("d1", "desk")
        await stage.start_gateway("g1")

    context.run(start)


def with_mutated_head(data, rng):
    """Return a response with a mutated head, or with its body truncated."""
    head, body = data.split(b"\r\n\r\n", 1)
    if rng.random() < 0.5:
        return data[: len(head) + 4 + rng.randrange(len(body))]
    return mutated_bytes(head + b"\r\n\r\n", rng) + body


@when("{count:d} callers send it requests")
def step_call_mutating_endpoint(context, count):
    context.answers = []

    async def ask():
        with trio.fail_after(ALL_ANSWERS_TIMEOUT_S):
            for _ in range(count):
                attempt_id = context.platform.next_id()
                answer = await context.platform.call(
                    "/book/a", Vanillareach_Attempt_Id=attempt_id
                )
                context.answers.append((attempt_id, answer))

    with mock.patch("vanillareach.gateway.connections.log") as context.log:
        context.run(ask)


@then("each complete success is the response that the endpoint sent")
def step_successes_from_endpoint(context):
    for attempt_id, answer in context.answers:
        if answer.status != 200 or not answer.is_complete:
            continue
        sent = context.sent_by_attempt[attempt_id]
        head, body = parse_response(sent)
        values_by_name = {name.lower(): value for name, value in head.headers}
        assert head.status_code == 200, sent
        assert answer.body == body, sent
        assert values_by_name[b"vanillareach-attempt-id"] == attempt_id.encode(), sent
        assert b"vanillareach-response-signature" in values_by_name, sent


def parse_response(data):
    """Parse the head and the body of an endpoint's response."""
    client = h11.Connection(h11.CLIENT)
    client.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
    client.send(h11.EndOfMessage())
    client.receive_data(data)
    client.receive_data(b"")
    head, body = None, b""
    while not isinstance(event := client.next_event(), h11.EndOfMessage):
        if isinstance(event, h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
    return head, body


@then("some calls succeeded and some failed")
def step_successes_and_failures(context):
    statuses = {answer.status for _, answer in context.answers}
    assert 200 in statuses and 502 in statuses, statuses
