"""Steps about the state that gateways share, and about stopping a gateway."""

import json
import random

import msgspec
import trio
from behave import given, then, when

from vanillareach.features.support import endpoints
from vanillareach.features.users_platform.stage import (
    CONDITION_TIMEOUT_S,
    configuration,
    free_address,
)
from vanillareach.gateway.report import InstanceReport
from vanillareach.gateways_cli import endpoints_table, instances_table
from vanillareach.platform.documents import decode_configuration
from vanillareach.platform.json_text import JsonReader
from vanillareach.utils import split_address

NESTING_DEPTH = 3_000
# Shape of random JSON values.
MAX_DEPTH, MAX_SIZE = 3, 5
MAX_TOKENS = 10_000
LEAF_SHARE, ARRAY_SHARE = 0.4, 0.7
AWKWARD_VALUES = (1, -2.5, None, True, "a", 'x"y', "{[,", "\\", "\u00e9\n", "")
AWKWARD_KEYS = ("a", 'b"', "c,", "{d", "e:")
UNDECODABLE_SPECS_BY_NAME = {
    "half of a surrogate pair": rb'{"backend":"desk","owner":"\udcff, [\"{"}',
    "values nested too deep": b"[" * NESTING_DEPTH + b"]" * NESTING_DEPTH,
    "bytes that are no UTF-8": b'{"backend":"\xff"}',
}


@when('the operator writes version {version:d} without the route "{name}"')
def step_write_without_route(context, version, name):
    document = configuration(version)
    remaining_routes = [route for route in document["routes"] if route["name"] != name]

    async def write():
        context.platform.store.put(
            "config", "main", {**document, "routes": remaining_routes}
        )

    context.run(write)


@then('"{path}" is soon refused with {status:d}')
def step_soon_refused(context, path, status):
    async def fetch():
        with trio.fail_after(CONDITION_TIMEOUT_S):
            while (await context.platform.call(path)).status != status:
                await trio.sleep(0.05)

    context.run(fetch)


@when("the gateway receives version {version:d}")
def step_receives_version(context, version):
    gateway = context.platform.gateways[0]

    async def deliver():
        decoded = decode_configuration(msgspec.json.encode(configuration(version)))
        gateway.state.apply_configuration(decoded, gateway.clock.now_ms(), "test")

    context.run(deliver)


@then("version {version:d} stays in force")
def step_stays_in_force(context, version):
    assert context.platform.gateways[0].state.configuration.version == version


@when("the store discards its history while version {version:d} is written")
def step_store_history_lost(context, version):
    async def discard():
        store = context.platform.store
        store.put("config", "main", configuration(version))
        store.discard_history()

    context.run(discard)


@then("version {version:d} comes into force")
@then("version {version:d} comes into force on both")
def step_in_force(context, version):
    gateways = context.platform.gateways

    async def wait():
        await context.platform.until(
            lambda: all(g.state.configuration.version == version for g in gateways)
        )

    context.run(wait)


@when("the second gateway loses access to the store and version {version:d} is written")
def step_store_unreachable(context, version):
    async def disconnect():
        second = context.platform.gateways[1]
        second.store._base = f"http://{free_address()}/api/objects"
        context.platform.store.put("config", "main", configuration(version))

    context.run(disconnect)


@when('the endpoint "{name}" starts draining')
def step_endpoint_draining(context, name):
    async def drain():
        context.platform.put_endpoint(name, "desk", state="draining")

    context.run(drain)


@when('another client writes an unreadable entry for "{name}"')
def step_unreadable_entry(context, name):
    async def put():
        context.platform.put_endpoint(name, "desk", slots="many")

    context.run(put)


@when("another client writes an entry with {text}")
def step_undecodable_entry(context, text):
    async def put():
        store = context.platform.store
        store.put("servers", "foreign", {})
        item = store.objects_by_kind["servers"]["foreign"]
        if text == "a number as its name":
            item["metadata"] = {**item["metadata"], "name": 7}
        else:
            item["spec"] = msgspec.Raw(UNDECODABLE_SPECS_BY_NAME[text])

    context.run(put)


def draw_value(draw, depth=0):
    """Return a random value that JSON can encode."""
    kind = draw.random()
    if depth > MAX_DEPTH or kind < LEAF_SHARE:
        return draw.choice(AWKWARD_VALUES)
    size = draw.randrange(MAX_SIZE)
    if kind < ARRAY_SHARE:
        return [draw_value(draw, depth + 1) for _ in range(size)]
    keys = [f"{draw.choice(AWKWARD_KEYS)}{number}" for number in range(size)]
    return {key: draw_value(draw, depth + 1) for key in keys}


@then(
    "{count:d} random objects and arrays are split into the parts that decoding gives"
)
def step_split_random(context, count):
    for seed in range(count):
        draw = random.Random(seed)
        values = [draw_value(draw) for _ in range(draw.randrange(MAX_SIZE))]
        members = {f"k{number}": value for number, value in enumerate(values)}
        indent = draw.choice((None, 1))
        reader = JsonReader(json.dumps(values, indent=indent).encode(), MAX_TOKENS)
        parts = [reader.read_value() for _ in reader.elements()]
        assert [json.loads(part) for part in parts] == values, values
        reader = JsonReader(json.dumps(members, indent=indent).encode(), MAX_TOKENS)
        parts_by_key = {key: reader.read_value() for key in reader.members()}
        decoded = {json.loads(k): json.loads(v) for k, v in parts_by_key.items()}
        assert decoded == members, members


@when("a gateway that knows no other starts")
def step_start_alone(context):
    async def start():
        platform = context.platform
        for gateway in platform.gateways:
            platform.kill_gateway(gateway.settings.name)
        platform.store.objects_by_kind.pop("vanillareach-instances", None)
        context.new_gateway = await platform.start_gateway("g-alone")

    context.run(start)


@given("the store lists objects in pages of {size:d}")
def step_page_size(context, size):
    context.platform.store.page_size = size


@when('another client writes an entry named "{name}"')
def step_named_entry(context, name):
    async def put():
        context.platform.store.put("servers", name, {})

    context.run(put)


@then('it knows the endpoints "{names}"')
def step_knows_endpoints(context, names):
    async def wait():
        known = context.new_gateway.state.endpoints
        await context.platform.until(lambda: known.usable("desk"))
        assert {e.id for e in known.usable("desk")} == set(names.split(","))

    context.run(wait)


@then("it gets ready")
def step_check_ready(context):
    assert context.new_gateway.state.is_ready


@when(
    'a caller sends {count:d} requests for "{path}" after the change reached the '
    "gateway"
)
def step_call_after_update(context, count, path):
    async def call():
        endpoint_list = context.platform.gateways[0].state.endpoints
        await context.platform.until(lambda: len(endpoint_list.usable("desk")) == 1)
        for _ in range(count):
            response = await context.platform.call(path)
            assert response.status == 200

    context.run(call)


@then('only "{name}" received requests')
def step_only_received(context, name):
    endpoint_names = {
        endpoint.name for endpoint in endpoints(context) if endpoint.received
    }
    assert endpoint_names == {name}, endpoint_names


@then("the {number} gateway counts one request at an endpoint")
def step_counts_request(context, number):
    gateway = context.platform.gateways[("first", "second", "third").index(number)]

    def has_one_request():
        loads = gateway.state.load_state.loads_by_engine(gateway.clock.now_ms())
        return sum(load.running for load in loads.values()) == 1

    async def wait():
        await context.platform.until(has_one_request)

    context.run(wait)


def deliver_beacon(context, name, incarnation):
    """Deliver a beacon of another instance to the gateway."""
    gossip = context.platform.gateways[0].gossip

    async def deliver():
        beacon = msgspec.structs.replace(
            gossip.announcements.beacon(),
            name=name,
            address=free_address(),
            incarnation=incarnation,
            sequence=1,
        )
        async with trio.open_nursery() as nursery:
            gossip._handle_beacon(beacon, nursery)

    context.run(deliver)
    return gossip.peers.by_name[name]


@given('a beacon of instance "{name}" with incarnation {incarnation:d}')
def step_beacon(context, name, incarnation):
    context.peer = deliver_beacon(context, name, incarnation)


@when(
    '"{name}" sends nothing for {silent_ms:d} ms and then a beacon with incarnation '
    "{incarnation:d}"
)
def step_beacon_after_silence(context, name, silent_ms, incarnation):
    context.peer.last_heard_ms -= silent_ms
    deliver_beacon(context, name, incarnation)


@then('the gateway uses incarnation {incarnation:d} of "{name}"')
def step_current_incarnation(context, incarnation, name):
    assert context.peer.last_message_order == (incarnation, 1), (
        context.peer.last_message_order
    )


@when("the store closes the connection of every call")
def step_store_drops_calls(context):
    async def cut():
        context.platform.store.failure = "lost"

    context.run(cut)


@given("the gateway has {grace_s:d} s to stop")
def step_grace(context, grace_s):
    context.platform.gateways[0].settings.grace_s = grace_s


@when('a caller sends "{path}" and the gateway is asked to stop')
def step_send_and_stop(context, path):
    stage, gateway = context.platform, context.platform.gateways[0]

    async def call():
        async with await stage.connect() as caller:
            await caller.send(path, Vanillareach_Deadline_Ms="60000")
            await stage.until(lambda: gateway.state.load_state.own_flight_count)
            stage._nursery.start_soon(gateway.stop)
            with trio.fail_after(CONDITION_TIMEOUT_S):
                context.response = await caller.receive()

    context.run(call)


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

    async def fetch():
        host, _, port = gateway.settings.ready_listen.rpartition(":")
        stream = await trio.open_tcp_stream(host, int(port))
        async with stream:
            await stream.send_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            context.ready = await stream.receive_some(1000)

    context.run(fetch)
    assert context.ready.startswith(b"HTTP/1.1 503"), context.ready


@given(
    'the endpoint "{unreachable}" can\'t be reached and "{failing}" failed {count:d} '
    "attempts"
)
def step_faulty_endpoints(context, unreachable, failing, count):
    context.faults = (unreachable, failing, count)


def inject_faults(context, state):
    """Record the faults of the scenario's endpoints in a gateway's state."""
    unreachable, failing, count = context.faults
    by_id = state.endpoints.by_id
    state.health.record_unreachable(by_id[unreachable], [])
    for _ in range(count):
        state.health.record_outcome(
            by_id[failing].key, True, context.platform.clock.now_ms()
        )


async def fetch_report(context, number):
    """Return the report of a gateway, read from its metrics address."""
    address = context.platform.gateways[number].settings.metrics_listen
    stream = await trio.open_tcp_stream(*split_address(address))
    async with stream:
        await stream.send_all(
            b"GET /state HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        )
        data = b""
        while part := await stream.receive_some(65_536):
            data += part
    return msgspec.json.decode(data.partition(b"\r\n\r\n")[2], type=InstanceReport)


@then(
    'the first gateway reports "{leaving}" leaving, "{unreachable}" unreachable, '
    '"{failing}" shunned'
)
def step_reports(context, leaving, unreachable, failing):
    first = context.platform.gateways[0]
    expected_standing_by_id = {
        leaving: "leaving",
        unreachable: "unreachable",
        failing: "shunned",
    }

    async def fetch():
        await context.platform.until(
            lambda: len(first.state.endpoints.usable("desk")) == 1
        )
        second = await fetch_report(context, 1)
        # No other task runs between these two calls, so the faults are still in effect.
        inject_faults(context, first.state)
        own = msgspec.json.decode(first._encoded_report(), type=InstanceReport)
        context.reports = [own, second]

    context.run(fetch)
    standing_by_id = {e.id: e.standing for e in context.reports[0].endpoints}
    assert standing_by_id == {**expected_standing_by_id, "d2": "usable"}, standing_by_id


@then("its report has its peer, its version and the remaining retries")
def step_report_names(context):
    report = context.reports[0]
    assert [(peer.name, peer.domain) for peer in report.peers] == [("g2", "zone-b")]
    assert report.peers[0].heard_ms_ago >= 0
    assert (
        report.configuration_version
        == context.platform.gateways[0].state.configuration.version
    )
    assert report.retries_left_by_service["model"] > 0


@then("the table has a row for each gateway and one for a gateway that doesn't answer")
def step_report_table(context):
    reports = dict(zip(("x:1", "x:2"), context.reports, strict=True))
    rows = instances_table({**reports, "x:3": None}).splitlines()
    assert len(rows) == 4
    # The instance that doesn't answer is the odd one.
    assert rows[1].split() == ["x:3", "no", "answer"], rows
    assert rows[2].startswith("g1 ") and rows[3].startswith("g2 "), rows
    behind = msgspec.structs.replace(context.reports[1], configuration_version=0)
    rows = instances_table({**reports, "x:2": behind}, row_count=1).splitlines()
    assert rows[1].startswith("g2 ") and rows[2] == "1 more, 0 of them odd", rows
    assert len(endpoints_table(context.reports[0]).splitlines()) == 5
