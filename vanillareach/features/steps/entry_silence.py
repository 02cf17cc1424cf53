"""Steps about endpoints that are silent for a while, in front of an entry."""

import trio
from behave import given, then, when

from vanillareach.core.breakers import RetryBudget
from vanillareach.features.harness import SERVICE_DOCUMENTS
from vanillareach.features.support import (
    SCORES_PATH,
    engine_apps,
    first_entry,
    send_keyed,
    service_apps,
)
from vanillareach.standins.engine import EngineBehaviour

SEARCH_PATH = "/services/desk/search"
CONFIGURATION_SPREAD_S = 2


@given('the services "{names}" have an idle timeout of {limit_ms:d} ms')
def step_idle_timeout(context, names, limit_ms):
    entry = first_entry(context)

    async def change():
        for _, document in SERVICE_DOCUMENTS:
            if document["name"] in names.split(","):
                path = f"service/{document['name']}"
                changed = {**document, "gap_limit_ms": limit_ms}
                answer = await entry.operator_call("PUT", path, changed)
                assert answer.status == 200, answer.body
        await trio.sleep(CONFIGURATION_SPREAD_S)

    context.run(change)


@given("the services answer after {delay_ms:d} ms")
def step_slow_services(context, delay_ms):
    for app in service_apps(context):
        app.behaviour.delay_ms = delay_ms


@given("the second endpoint called {behaviour}")
def step_second_endpoint(context, behaviour):
    apps_by_address = context.stage.apps_by_address
    dispatches = context.stage.endpoints.dispatches

    async def change_when_first_is_known():
        while not dispatches:
            await trio.sleep(0.001)
        for address, app in apps_by_address.items():
            if address != dispatches[0].endpoint:
                app.behaviour = type(app.behaviour)(refuse=behaviour == "refuses")

    async def start():
        context.stage.nursery.start_soon(change_when_first_is_known)

    context.run(start)


@given("{count:d} engines are left")
def step_engines_left(context, count):
    engines = [
        address
        for address, app in context.stage.apps_by_address.items()
        if hasattr(app, "engine")
    ]
    for address in engines[count:]:
        context.stage.endpoints.kill(address)


@given("all engines pause for {pause_ms:d} ms at token {token:d}")
def step_pause_engines(context, pause_ms, token):
    for app in engine_apps(context):
        app.behaviour = EngineBehaviour(pause_at_token=token, pause_ms=pause_ms)


@given("{count:d} retries are left")
def step_retries_left(context, count):
    budget = RetryBudget()
    while count == 0 and budget.try_acquire():
        pass
    budgets = first_entry(context).components.retry_budgets_by_service
    budgets["model-pool"] = budget


@when("a caller sends a {kind} call")
def step_send_call(context, kind):
    if kind == "keyed":
        context.answer = send_keyed(context)
        return
    path = SEARCH_PATH if kind == "repeatable" else SCORES_PATH
    entry = first_entry(context)
    context.answer = context.run(lambda: entry.team_call("POST", path, {"score": 1}))


@then("the response has the status {status:d}")
def step_status(context, status):
    assert context.answer.status == status, (context.answer.status, context.answer.body)


@then("{count:d} calls ran")
def step_calls_ran(context, count):
    runs = sum(sum(app.runs_by_key.values()) for app in service_apps(context))
    assert runs == count, runs
