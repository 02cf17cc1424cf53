"""Steps about odd entries that other clients write into the store."""

import json

import msgspec
import trio
from behave import then, when

from vanillareach.features.users_platform.stage import configuration, free_address

# Until the gateways have read the list and told each other, with some to spare.
SPREAD_S = 2.5


def put_raw(platform, kind, name, text_by_field):
    """Write an entry whose fields are given as JSON text."""
    members = [f'"{field}":{text}' for field, text in text_by_field.items()]
    platform.store.put(kind, name, msgspec.Raw(f"{{{','.join(members)}}}".encode()))


def list_endpoint(context, name="foreign", **text_by_field):
    """List a sound endpoint once more, with other fields."""
    platform = context.platform
    text_by_field = {
        "backend": '"desk"',
        "address": f'"{platform.endpoints_by_name["d1"].address}"',
        "zone": '"zone-a"',
        "version": '"v1"',
        "slots": "8",
        "state": '"ready"',
        "cold_remaining_ms": "0",
        "sequence": "1",
        "born": "1",
        **text_by_field,
    }

    async def put():
        put_raw(platform, "servers", name, text_by_field)
        await trio.sleep(SPREAD_S)

    context.foreign_name = name
    context.run(put)


@when('another client lists a service\'s endpoint whose "{field}" is {text}')
def step_list_endpoint(context, field, text):
    list_endpoint(context, **{field: text})


@when('another client lists a service\'s endpoint with "{field}" nested {depth:d} deep')
def step_list_nested(context, field, depth):
    list_endpoint(context, **{field: "[" * depth + "]" * depth})


@when("another client lists a service's endpoint named {text}")
def step_list_named(context, text):
    list_endpoint(context, name=json.loads(text))


@when("the operator writes a configuration with values nested {depth:d} deep")
def step_write_nested(context, depth):
    async def put():
        text = "[" * depth + "]" * depth
        put_raw(context.platform, "config", "main", {"version": "2", "routes": text})
        await trio.sleep(SPREAD_S)

    context.run(put)


@when("the operator writes a configuration with the version {version:d}")
def step_write_version(context, version):
    document = configuration(version)
    text_by_field = {
        field: msgspec.json.encode(value).decode()
        for field, value in {**document, "version": 0}.items()
    }

    async def put():
        put_raw(
            context.platform,
            "config",
            "main",
            {**text_by_field, "version": str(version)},
        )
        await trio.sleep(SPREAD_S)

    context.run(put)


@when('another client lists an instance whose "{field}" is {text}')
def step_list_instance(context, field, text):
    text_by_field = {
        "address": f'"{free_address()}"',
        "forward_address": f'"{free_address()}"',
        "domain": '"zone-a"',
        field: text,
    }

    async def put():
        platform = context.platform
        put_raw(platform, "vanillareach-instances", "foreign", text_by_field)
        for gateway in platform.gateways:
            await gateway.follower._refresh_instances()
        await trio.sleep(SPREAD_S)

    context.run(put)


@when('{count:d} requests for "{path}" are sent to each gateway')
def step_call_each(context, count, path):
    async def call():
        context.responses = [
            await context.platform.call(path, gateway=number)
            for _ in range(count)
            for number in range(len(context.platform.gateways))
        ]

    context.run(call)


@then("all of them are served")
def check_served(context):
    """Check that all calls were served and no task has failed."""
    statuses = [response.status for response in context.responses]
    assert set(statuses) == {200}, statuses
    failures = [g.supervisor.failure_count for g in context.platform.gateways]
    assert not any(failures), failures


@then("all of them are served, and the entry is left out")
def step_served_without(context):
    check_served(context)
    for gateway in context.platform.gateways:
        assert context.foreign_name not in gateway.state.endpoints.by_id


@then("all of them are served, and the entry is listed")
def step_served_with(context):
    check_served(context)
    for gateway in context.platform.gateways:
        assert context.foreign_name in gateway.state.endpoints.by_id


@then("all of them are served, and the gateways know only each other")
def step_served_by_both(context):
    check_served(context)
    for gateway in context.platform.gateways:
        names = set(gateway.gossip.peers.by_name)
        assert names == {"g1", "g2"} - {gateway.settings.name}, names
