"""Steps about emulated deployments and the load tool."""

import random
import re
import tempfile
from pathlib import Path

import msgspec
import trio
from behave import given, then, when

from vanillareach.emulation import results
from vanillareach.emulation.arrivals import plan_arrivals
from vanillareach.emulation.caller import CallRecord, EmulatedCaller, Outcome
from vanillareach.emulation.passes import EnginePasses
from vanillareach.emulation.scenario import (
    EngineTable,
    Scenario,
    ScenarioError,
    read_scenario,
)
from vanillareach.emulation.world import EmulatedDeployment
from vanillareach.features.users_platform.stage import free_address

SAMPLE = "docs/samples/scenarios/floods.toml"
CALM = """
name = "calm"
duration_s = 1.5
[[services]]
name = "model"
count = 3
[services.engine]
[[services]]
name = "desk"
count = 2
[[kinds]]
name = "short"
service = "model"
per_s = 8.0
prompt_tokens = 2000
answer_tokens = 100
objective_ms = 300
[[kinds]]
name = "lookup"
service = "desk"
per_s = 8.0
"""
CHANGES = {
    "kind has no such service": ('service = "model"', 'service = "elsewhere"'),
    "rate is 0": ("per_s = 8.0", "per_s = 0.0"),
    "prompt has no size": ("prompt_tokens = 2000", "prompt_tokens = 0"),
    "fault has no service": ("[[kinds]]", '[[faults]]\nkind="slow"\nat_s=1\n[[kinds]]'),
    "field is misspelt": ("duration_s", "dration_s"),
}


@when(
    "the sample scenario is planned twice with seed {seed:d} and once with seed {n:d}"
)
def step_plan(context, seed, n):
    scenario = read_scenario(SAMPLE)
    context.plans = [
        plan_arrivals(scenario, random.Random(value)) for value in (seed, seed, n)
    ]


@then("the first two plans are equal and the third is not")
def step_plans(context):
    first, second, third = context.plans
    assert len(first) > 100
    assert first == second
    assert first != third


@when(
    '{length:d} s of {rate:d} requests a second arrive as "{process}" with factor {x:d}'
)
def step_process(context, length, rate, process, x):
    text = CALM.replace("duration_s = 1.5", f"duration_s = {length}")
    scenario = msgspec.toml.decode(text, type=Scenario)
    scenario.kinds = scenario.kinds[:1]
    scenario.kinds[0].per_s = rate
    scenario.arrivals.process = process
    scenario.arrivals.factor = x
    scenario.arrivals.at_s = 500.0
    context.times = [a.at_s for a in plan_arrivals(scenario, random.Random(1))]


@then("the rate is {inside:d} a second {when} and {outside:d} otherwise, within 10%")
def step_rate(context, inside, when, outside):
    if "first 2 of 10" in when:
        share, is_inside = 0.2, [at % 10 < 2 for at in context.times]
    else:
        share, is_inside = 0.5, [at >= 500 for at in context.times]
    rate_inside = sum(is_inside) / (1000 * share)
    rate_outside = (len(is_inside) - sum(is_inside)) / (1000 * (1 - share))
    assert abs(rate_inside - inside) < 0.1 * inside, rate_inside
    assert abs(rate_outside - outside) < 0.1 * outside, rate_outside


@when("a scenario is read whose {change}")
def step_read_changed(context, change):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "scenario.toml"
        if change in CHANGES:
            path.write_text(CALM.replace(*CHANGES[change], 1))
        try:
            read_scenario(path)
            context.refusal = ""
        except ScenarioError as error:
            context.refusal = str(error)


@then('it is refused with "{text}"')
def step_refused_with(context, text):
    assert text in context.refusal, context.refusal


@when("an engine gets one prompt of {tokens:d} tokens with {events:d} events")
def step_one_prompt(context, tokens, events):
    figures = EngineTable().figures()
    context.passes = EnginePasses(figures)
    answer = events * figures.steps_per_pass
    run = context.passes.start(tokens, answer, 1, 0, 0)
    context.passes.add_prefill_part(run, 1)
    context.first = context.passes.next_pass()
    run.remaining_parts -= len(context.first.finished_parts)
    context.run_started = run


@then("its first pass reads for {duration:g} ms")
def step_reads_for(context, duration):
    assert abs(context.first.duration_ms - duration) < 0.1, context.first
    assert not context.first.decoded_requests


@then("its next passes write {events:d} events, {gap:d} ms apart")
def step_writes(context, events, gap):
    for _ in range(events):
        done = context.passes.next_pass()
        assert done.decoded_requests == [context.run_started]
        assert abs(done.duration_ms - gap) < 1.0, done.duration_ms
        context.run_started.remaining_events -= 1
    assert context.passes.is_idle


@when("an engine writes one answer and gets a prompt of {tokens:d} tokens")
def step_beside_writer(context, tokens):
    step_one_prompt(context, tokens, 10)
    run = context.passes.start(tokens, 100, 1, 0, 0)
    context.passes.add_prefill_part(run, 1)


@then("the next pass takes {duration:g} ms")
def step_next_pass(context, duration):
    done = context.passes.next_pass()
    assert abs(done.duration_ms - duration) < 0.1, done.duration_ms


@when("an engine and {helpers:d} helpers get a prompt of {tokens:d} tokens")
def step_helpers(context, helpers, tokens):
    engines = [EnginePasses(EngineTable().figures()) for _ in range(helpers + 1)]
    run = engines[0].start(tokens, 100, len(engines), 0, 0)
    for engine in engines:
        engine.add_prefill_part(run, len(engines))
    context.elapsed_ms = 0.0
    for engine in engines:
        elapsed_ms = 0.0
        while not engine.is_idle:
            done = engine.next_pass()
            elapsed_ms += done.duration_ms
            run.remaining_parts -= len(done.finished_parts)
            if done.finished_parts:
                break
        context.elapsed_ms = max(context.elapsed_ms, elapsed_ms)
    assert run.remaining_parts == 0


@then("it can write after {duration:d} ms")
def step_can_write(context, duration):
    assert abs(context.elapsed_ms - duration) < 1.0, context.elapsed_ms


def report_with(in_time, time_to_first_event_ms):
    """Return a report of ten requests."""
    records = [
        CallRecord("short", at, time_to_first_event_ms, 50.0, 1, Outcome.IN_TIME)
        for at in range(in_time)
    ]
    records += [
        CallRecord("short", at, None, 0.0, 2, Outcome.REFUSED)
        for at in range(in_time, 10)
    ]
    scenario = msgspec.toml.decode(CALM, type=Scenario)
    scenario.kinds = scenario.kinds[:1]
    return results.build_report(scenario, 2, records)


@when(
    "a run with {now:d} of 10 requests in time is shown against one with {before:d} "
    "of 10"
)
def step_show(context, now, before):
    context.shown = results.format_table(
        report_with(now, 100.0), report_with(before, 200.0)
    )


@then('its table is the one in "{path}"')
def step_golden(context, path):
    assert context.shown + "\n" == Path(path).read_text(), context.shown


@when('a report is read from "{path}"')
def step_bad_report(context, path):
    try:
        results.read_report(path)
        context.refusal = ""
    except results.ReportError as error:
        context.refusal = str(error)


@then("that fails with a sentence")
def step_fails(context):
    assert re.match(r"README\.md: .+", context.refusal), context.refusal


@given("an emulated deployment with a gateway")
def step_emulated(context):
    stage = context.platform
    context.calm = msgspec.toml.decode(CALM, type=Scenario)
    context.deployment = EmulatedDeployment(context.calm, free_address)

    async def start():
        await stage._nursery.start(context.deployment.run)
        stage.store_address = context.deployment.store_address
        await stage.start_gateway("g1")

    context.run(start)


@given("its first engine refuses and its first service fails")
def step_falls(context):
    context.deployment.endpoints_by_name["model-0"].start_fault("refuse")
    context.deployment.endpoints_by_name["desk-0"].start_fault("fail")


@when("its requests are sent")
def step_sent(context):
    random_source = random.Random(1)
    target = context.platform.gateways[0].settings.front_listen
    caller = EmulatedCaller(context.calm, [target], random_source)
    arrivals = plan_arrivals(context.calm, random_source)
    context.records = caller.records

    async def send():
        with trio.fail_after(20):
            await caller.run(arrivals)

    context.run(send)


@then("each kind has requests and all are answered")
def step_all_answered(context):
    answered = (Outcome.IN_TIME, Outcome.LATE)
    for kind in context.calm.kinds:
        records = [r for r in context.records if r.kind == kind.name]
        assert len(records) > 3
        wrong = [r for r in records if r.outcome not in answered]
        assert not wrong, wrong
