"""Steps about endpoints that are silent for a while, in front of an entry."""

import random

import msgspec
import trio
from behave import given, then, when

from vanillareach.core.breakers import RetryBudget
from vanillareach.core.streams import StreamProgress
from vanillareach.features.harness import (
    SERVICE_DOCUMENTS,
    TEAM_TOKEN,
    TEMPLATE_DOCUMENT,
    Answer,
    MemoryCall,
)
from vanillareach.features.support import (
    SCORES_PATH,
    engine_apps,
    expected_text,
    first_entry,
    prompt_of,
    send_keyed,
    service_apps,
)
from vanillareach.standins.engine import EngineBehaviour

SEARCH_PATH = "/services/desk/search"
CONFIGURATION_SPREAD_S = 2
MAX_FAULT_INTERVAL_S = 0.2
STREAM_TOKENS = 20


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


@given("one connection to each engine falls silent at token {token:d}")
def step_silent_connection(context, token):
    for app in engine_apps(context):
        app.behaviour = EngineBehaviour(hang_at_token=token, hangs=1)


def random_behaviour(generator):
    """Return an engine behaviour with at most one fault, at a random token."""
    token = generator.randrange(1, STREAM_TOKENS + 1)
    count = generator.randrange(1, 4)
    return generator.choice(
        (
            EngineBehaviour(),
            EngineBehaviour(pause_at_token=token, pause_ms=500 * count),
            EngineBehaviour(hang_at_token=token, hangs=count),
            EngineBehaviour(break_at_token=token, breaks=count),
        )
    )


@given("all engines pause, hang and break at random")
def step_random_faults(context):
    generator = random.Random(1)

    async def change_often():
        while True:
            app = generator.choice(engine_apps(context))
            app.behaviour = random_behaviour(generator)
            await trio.sleep(generator.random() * MAX_FAULT_INTERVAL_S)

    async def start():
        context.stage.nursery.start_soon(change_often)

    context.run(start)


@when("{count:d} streams of {tokens:d} tokens are requested over {duration:d} s")
def step_many_streams(context, count, tokens, duration):
    entry = first_entry(context)
    context.answers_by_prompt = {}

    async def request(prompt):
        document = {"model": "model", "prompt": prompt, "stream": True}
        context.answers_by_prompt[prompt] = await entry.team_call(
            "POST", "/v1/completions", {**document, "max_tokens": tokens}
        )

    async def run():
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(request, f"prompt {number}")
                await trio.sleep(duration / count)

    context.run(run)


@then("every stream is complete, with each token once, or ends with a problem")
def step_streams_right(context):
    complete = 0
    for prompt, answer in context.answers_by_prompt.items():
        progress = StreamProgress()
        progress.feed(answer.body)
        if not progress.done:
            problem = msgspec.json.decode(answer.body.split(b"data: ")[-1])
            outcomes = ("failed",) if answer.status == 200 else ("failed", "not_run")
            assert problem["outcome"] in outcomes, problem
            continue
        complete += 1
        text = progress.position().text
        assert text == expected_text(prompt, STREAM_TOKENS), (prompt, text)
    assert complete > len(context.answers_by_prompt) / 2, complete


@given("{count:d} retries are left")
def step_retries_left(context, count):
    budget = RetryBudget()
    while count == 0 and budget.try_acquire():
        pass
    budgets = first_entry(context).components.retry_budgets_by_service
    budgets["model-pool"] = budget


def changes_that_take_away(what):
    """Return the changes as (path, document) pairs; None deletes the object."""
    without_services = {**TEMPLATE_DOCUMENT, "services": []}
    team = [("team/masons", None)]
    if what == "the team":
        return team
    if what == "the template":
        return [*team, ("template/standard", None)]
    if what == "the services":
        services = [(f"service/{doc['name']}", None) for _, doc in SERVICE_DOCUMENTS]
        return [("template/standard", without_services), *services]
    limits = {"requests_in_flight": 1, "tokens_in_flight": 1, "time_limit_ms": 50}
    lowered = [("template/standard", {**TEMPLATE_DOCUMENT, "limits": limits})]
    for _, document in SERVICE_DOCUMENTS:
        changed = {**document, "time_limit_ms": 50, "gap_limit_ms": 50}
        lowered.append((f"service/{document['name']}", changed))
    return lowered


@given("an operator takes away {what} {delay_ms:d} ms later")
def step_take_away(context, what, delay_ms):
    entry = first_entry(context)

    async def change():
        await trio.sleep(delay_ms / 1000)
        for path, document in changes_that_take_away(what):
            method = "DELETE" if document is None else "PUT"
            answer = await entry.operator_call(method, path, document)
            assert answer.status == 200, (path, answer.body)

    async def start():
        context.stage.nursery.start_soon(change)

    context.run(start)


class SlowCall(MemoryCall):
    """Call whose caller doesn't read for a while before one of the messages."""

    def __init__(self, body, pause_s, paused_message):
        headers = [(b"authorization", f"Bearer {TEAM_TOKEN}".encode())]
        super().__init__("POST", "/v1/completions", headers, body)
        self._pause_s = pause_s
        self._messages_before_pause = paused_message

    async def send(self, message):
        """Queue a message, after the pause if it is due."""
        if self._messages_before_pause == 0:
            await trio.sleep(self._pause_s)
        self._messages_before_pause -= 1
        await super().send(message)


@when(
    "a caller reads a stream of {tokens:d} tokens and pauses for {pause_ms:d} ms at "
    "event {event:d}"
)
def step_read_slowly(context, tokens, pause_ms, event):
    entry = first_entry(context)
    document = {"model": "model", "prompt": prompt_of(100), "max_tokens": tokens}
    body = msgspec.json.encode({**document, "stream": True})

    async def read():
        call = SlowCall(body, pause_ms / 1000, event)
        entry.nursery.start_soon(call.run, entry.app)
        context.answer = Answer()
        async for message in call.messages:
            context.answer.record_event(message)

    context.run(read)


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


@then("a further call is refused with status {status:d}")
def step_further_call_refused(context, status):
    entry = first_entry(context)
    call = context.run(lambda: entry.team_call("POST", SCORES_PATH, {"score": 2}))
    assert call.status == status, (call.status, call.body)


@then("{count:d} calls ran")
def step_calls_ran(context, count):
    runs = sum(sum(app.runs_by_key.values()) for app in service_apps(context))
    assert runs == count, runs
