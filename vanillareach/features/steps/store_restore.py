"""Steps about a store that comes back from an older copy."""

from behave import given, then, when

from vanillareach.control.object_api import PlatformUnavailableError
from vanillareach.features.steps.gateway_core import NOW_MS, make_endpoint
from vanillareach.platform.store import INSTANCE_KIND


@given("a copy of the store")
def step_copy(context):
    async def copy():
        context.copy = context.platform.store.copy()

    context.run(copy)


@given("a copy of the store without instances")
def step_copy_without_instances(context):
    step_copy(context)
    context.copy[0][INSTANCE_KIND] = {}


@when("the store comes back from the copy")
def step_restore(context):
    async def restore():
        context.platform.store.restore(context.copy)

    context.run(restore)


@then("all gateways learn of era {era:d}")
def step_era_known(context, era):
    stage = context.platform

    async def wait():
        await stage.until(lambda: all(g.state.store_era == era for g in stage.gateways))

    context.run(wait)


@when("a third gateway starts")
def step_third_gateway(context):
    async def start():
        await context.platform.start_gateway("g3")

    context.run(start)


@then("each gateway soon has an entry in the store")
def step_entries(context):
    stage = context.platform
    names = {gateway.settings.name for gateway in stage.gateways}

    async def wait():
        await stage.until(
            lambda: set(stage.store.objects_by_kind[INSTANCE_KIND]) == names
        )

    context.run(wait)


@when("the store answers once more from an earlier era")
def step_earlier_era(context):
    stage = context.platform

    async def call():
        store = stage.gateways[0].store
        stage.store.era = 2
        await store.list_endpoints()
        stage.store.era = 1
        try:
            await store.list_endpoints()
        except PlatformUnavailableError as error:
            context.error = error

    context.run(call)


@then("the gateway takes that answer for a failed call")
def step_failed_call(context):
    assert "era" in str(context.error), context.error


@when("the store comes back in era {era:d} and lists nothing at revision {revision:d}")
def step_empty_era(context, era, revision):
    context.now_ms = NOW_MS + 1_000
    context.endpoint_list.apply_list([], revision, context.now_ms, era)


@when(
    'the store comes back in era {era:d} and lists "{name}" of incarnation '
    "{incarnation:d} at revision {revision:d}"
)
def step_era_lists(context, era, name, incarnation, revision):
    context.now_ms = NOW_MS + 1_000
    context.endpoint_list.apply_list(
        [make_endpoint(name, incarnation)], revision, context.now_ms, era
    )
