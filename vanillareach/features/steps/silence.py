"""Steps about endpoints that fall silent, and what happens to a request meanwhile."""

from behave import given, then, when

from vanillareach.features.support import received
from vanillareach.features.users_platform.stage import configuration


@given('the engine "{name}" has left')
def step_engine_left(context, name):
    platform = context.platform

    async def leave():
        platform.store.delete("servers", name)
        state = platform.gateways[0].state
        await platform.until(lambda: name not in state.endpoints.by_id)

    context.run(leave)


@given('the retry budget of "{service}" is spent')
def step_spend_retry_budget(context, service):
    gateway = context.platform.gateways[0]

    async def spend():
        share, now_ms = gateway.state.retry_share(service), gateway.clock.now_ms()
        while share.try_acquire(1, now_ms):
            pass

    context.run(spend)


def configuration_without(section, name, version):
    """Return a configuration that lacks an object of a section."""
    document = configuration(version)
    remaining = [item for item in document[section] if item["name"] != name]
    return {**document, section: remaining}


def send_while_version_changes(context, path, tokens, document):
    """Send a stream request; write a configuration once an endpoint received it."""
    stage = context.platform

    async def call():
        async with await stage.connect() as caller:
            await caller.send(path, Vanillareach_Token_Usage=f"{tokens},100")
            await stage.until(lambda: received(context))
            stage.store.put("config", "main", document)
            state = stage.gateways[0].state
            await stage.until(
                lambda: state.configuration.version == document["version"]
            )
            context.response = await caller.receive()

    context.run(call)


@when(
    'a caller sends "{path}" with a prompt of {tokens:d} tokens, and version '
    '{version:d} without the service "{name}" comes into force'
)
def step_remove_service_meanwhile(context, path, tokens, version, name):
    document = configuration_without("backends", name, version)
    send_while_version_changes(context, path, tokens, document)


@when(
    'a caller sends "{path}" with a prompt of {tokens:d} tokens, and version '
    '{version:d} without the route "{name}" comes into force'
)
def step_remove_route_meanwhile(context, path, tokens, version, name):
    document = configuration_without("routes", name, version)
    send_while_version_changes(context, path, tokens, document)


@when(
    'a caller sends "{path}" with a prompt of {tokens:d} tokens, and version '
    "{version:d} without keys comes into force"
)
def step_remove_keys_meanwhile(context, path, tokens, version):
    document = configuration(version)
    del document["tenants"]
    send_while_version_changes(context, path, tokens, document)


@then("no endpoint received a key")
def step_check_no_key(context):
    for request in received(context):
        assert b"authorization" not in request.values_by_name
