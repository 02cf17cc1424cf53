"""Steps about fleets in which two versions of the program run."""

import dataclasses

import msgspec
import trio
from behave import given, then, when

from vanillareach.clock import TrioClock
from vanillareach.core.load_state import InFlightRequest
from vanillareach.core.messages import (
    Beacon,
    EndpointFault,
    FlightUpdate,
    RequestLimit,
    decode_message,
    encode_message,
)
from vanillareach.core.routing import CallerLimits, RouteTable
from vanillareach.features.fleet_script import FleetScript, action, check
from vanillareach.gateway.settings import GatewaySettings
from vanillareach.gateway.state import GatewayState

# Encoded by commit cffcc25, the version in production.
PRODUCTION_BEACON = bytes.fromhex(
    "dc001a13a26731a161ad31302e302e302e313a37333430cd03e803c20ccb4044000000000000094d"
    "cb404b800000000000919c07a26d3191a26d329164cd1388cd14b4cb4033800000000000cb4072c0"
    "0000000000cb4069000000000000cb3fe3333333333333c3cb4010000000000000909192a26d32cb"
    "3ffe6666666666660506cb3ff8000000000000c302029192a26d332c939090909194a26d342d01cb"
    "4012000000000000ad31302e302e302e313a37333431c2"
)
PRODUCTION_UPDATE = bytes.fromhex(
    "9816a26731cd03e804919c07a26d3191a26d329164cd1388cd14b4cb4033800000000000cb4072c0"
    "0000000000cb4069000000000000cb3fe3333333333333c3cb401000000000000091059106919"
    "3a26d310301"
)
FLIGHT = InFlightRequest(
    7, "m1", ("m2",), (100,), 5000, 5300, 19.5, 300.0, 200.0, 0.6, True, 4.0
)
BEACON = Beacon(
    "g1",
    "a",
    "10.0.0.1:7340",
    1000,
    3,
    False,
    12,
    40.0,
    9,
    77,
    55.0,
    (FLIGHT,),
    paces=(("m2", 1.9),),
    configuration_stamp=5,
    endpoints_stamp=6,
    capacity=1.5,
    is_placer=True,
    store_era=2,
    endpoints_era=2,
    leaving=(("m3", 44),),
    limits=(RequestLimit("m4", 45, 1, 4.5),),
    forward_address="10.0.0.1:7341",
)
UPDATE = FlightUpdate(
    "g1", 1000, 4, (FLIGHT,), (5,), (6,), (("m1", 3, EndpointFault.FAILED),)
)


@when("a beacon and a flight update of the version in production are received")
def step_decode_production(context):
    context.messages = [
        decode_message(data) for data in (PRODUCTION_BEACON, PRODUCTION_UPDATE)
    ]


@then("they have the values that were sent, and defaults for newer fields")
def step_same_values(context):
    assert context.messages == [BEACON, UPDATE], context.messages


@when("the same beacon and flight update are encoded by this version")
def step_encode(context):
    context.encoded = [encode_message(message) for message in (BEACON, UPDATE)]


@then("they begin with the fields that the version in production sent")
def step_same_prefix(context):
    for data, old_data in zip(
        context.encoded, (PRODUCTION_BEACON, PRODUCTION_UPDATE), strict=True
    ):
        assert_extends(msgspec.msgpack.decode(data), msgspec.msgpack.decode(old_data))


def assert_extends(value, old_value):
    """Check that a decoded value is an older one with fields appended."""
    if not isinstance(old_value, list):
        assert value == old_value, (value, old_value)
        return
    assert len(value) >= len(old_value), (value, old_value)
    for part, old_part in zip(value, old_value, strict=False):
        assert_extends(part, old_part)


def make_older(gateway):
    """Let an instance handle configurations as one without `RouteTable.schema`."""
    apply_configuration = gateway.state.apply_configuration

    def apply_without_schema(configuration, *arguments):
        older = dataclasses.replace(configuration, schema=0)
        apply_configuration(older, *arguments)

    gateway.state.apply_configuration = apply_without_schema
    gateway.follower._must_complete_configuration = lambda: False


@given(
    'a fleet of {count:d} instances in domains "{domains}" whose {older} are of an '
    "older version"
)
def step_mixed_fleet(context, count, domains, older):
    context.script = FleetScript(count, domains)

    @action(context)
    async def settle(fleet):
        await trio.sleep(4)
        placers = {name for d in domains for name in fleet.placer_names(d)}
        for name, gateway in fleet.gateways_by_name.items():
            if (name in placers) == (older == "placers"):
                make_older(gateway)
                gateway.is_older = True
        fleet.store.configuration_reads = 0


@when("the operator writes version {version:d}")
def step_write_version(context, version):
    @action(context)
    async def write(fleet):
        fleet.store.write_configuration(version)
        fleet.written_s = trio.current_time()


@then("version {version:d} is in force everywhere within {limit_ms:d} ms")
def step_in_force(context, version, limit_ms):
    @check(context)
    async def verify(fleet):
        await trio.sleep_until(fleet.written_s + limit_ms / 1000)
        versions = {
            gateway.state.configuration.version
            for gateway in fleet.gateways_by_name.values()
        }
        assert versions == {version}, versions


@then("all instances of this version have it complete within {limit_ms:d} ms")
def step_complete(context, limit_ms):
    @check(context)
    async def verify(fleet):
        await trio.sleep_until(fleet.written_s + limit_ms / 1000)
        incomplete = [
            name
            for name, gateway in fleet.gateways_by_name.items()
            if not hasattr(gateway, "is_older")
            and not gateway.state.configuration.is_complete
        ]
        assert not incomplete, incomplete


@then("at most {count:d} reads of the configuration were made for that")
def step_reads(context, count):
    @check(context)
    async def verify(fleet):
        assert fleet.store.configuration_reads <= count, fleet.store.configuration_reads


@given("version {version:d} of schema {schema:d} in force")
def step_schema_in_force(context, version, schema):
    context.sent = [(version, schema)]


@when("a peer sends version {version:d} of schema {schema:d}")
def step_peer_sends(context, version, schema):
    context.sent.append((version, schema))


@then("the configuration in force has version {version:d} and schema {schema:d}")
def step_schema_result(context, version, schema):
    async def apply_all():
        state = GatewayState(GatewaySettings(name="g1"), TrioClock())
        for sent_version, sent_schema in context.sent:
            table = RouteTable.build(sent_version, [], [], None, CallerLimits())
            table = dataclasses.replace(table, schema=sent_schema)
            state.apply_configuration(table, 0.0, "peer", stamp=1)
        return state.configuration

    table = trio.run(apply_all)
    assert (table.version, table.schema) == (version, schema), table
