"""Steps about endpoints that fall silent, and what happens to a request meanwhile."""

from behave import given, when

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


def send_while_version_changes(context, path, tokens, version, section, name):
    """Send a stream request; take an object out of the configuration as it runs."""
    stage, document = context.platform, configuration(version)
    remaining = [item for item in document[section] if item["name"] != name]

    async def call():
        async with await stage.connect() as caller:
            await caller.send(path, Vanillareach_Token_Usage=f"{tokens},100")
            await stage.until(lambda: received(context))
            stage.store.put("config", "main", {**document, section: remaining})
            state = stage.gateways[0].state
            await stage.until(lambda: state.configuration.version == version)
            context.response = await caller.receive()

    context.run(call)


@when(
    'a caller sends "{path}" with a prompt of {tokens:d} tokens, and version '
    '{version:d} without the service "{name}" comes into force'
)
def step_remove_service_meanwhile(context, path, tokens, version, name):
    send_while_version_changes(context, path, tokens, version, "backends", name)


@when(
    'a caller sends "{path}" with a prompt of {tokens:d} tokens, and version '
    '{version:d} without the route "{name}" comes into force'
)
def step_remove_route_meanwhile(context, path, tokens, version, name):
    send_while_version_changes(context, path, tokens, version, "routes", name)
