"""Steps for emulated deployments and the load generator."""

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

SAMPLE_SCENARIO = "docs/samples/scenarios/floods.toml"
LONG_QUIET_S = 60.0
CALM_SCENARIO = """
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
REPLACEMENTS_BY_CHANGE = {
    "kind has no such service": ('service = "model"', 'service = "elsewhere"'),
    "rate is 0": ("per_s = 8.0", "per_s = 0.0"),
    "prompt has no size": ("prompt_tokens = 2000", "prompt_tokens = 0"),
    "fault has no service": ("[[kinds]]", '[[faults]]\nkind="slow"\nat_s=1\n[[kinds]]'),
    "field is misspelt": ("duration_s", "dration_s"),
}


@when(
    "the sample scenario is planned twice with seed {seed:d} "
    "and once with seed {other_seed:d}"
)
def step_plan_arrivals(context, seed, other_seed):
    scenario = read_scenario(SAMPLE_SCENARIO)
    context.plans = [
        plan_arrivals(scenario, random.Random(value))
        for value in (seed, seed, other_seed)
    ]


@then("the first two plans are equal and the third is not")
def step_compare_plans(context):
    first, second, third = context.plans
    assert len(first) > 100
    assert first == second
    assert first != third


@when(
    "{duration_s:d} s of {rate_per_s:d} requests a second "
    'arrive as "{process}" with factor {factor:d}'
)
def step_draw_arrivals(context, duration_s, rate_per_s, process, factor):
    text = CALM_SCENARIO.replace("duration_s = 1.5", f"duration_s = {duration_s}")
    scenario = msgspec.toml.decode(text, type=Scenario)
    scenario.kinds = scenario.kinds[:1]
    scenario.kinds[0].per_s = rate_per_s
    scenario.arrivals.process = process
    scenario.arrivals.factor = factor
    scenario.arrivals.at_s = 500.0
    context.arrival_times_s = [
        a.at_s for a in plan_arrivals(scenario, random.Random(1))
    ]


@then(
    "the rate is {rate_inside_per_s:d} a second {period} "
    "and {rate_outside_per_s:d} otherwise, within 10%"
)
def step_check_rates(context, rate_inside_per_s, period, rate_outside_per_s):
    if "first 2 of 10" in period:
        share, is_inside = 0.2, [at_s % 10 < 2 for at_s in context.arrival_times_s]
    else:
        share, is_inside = 0.5, [at_s >= 500 for at_s in context.arrival_times_s]
    rate_inside = sum(is_inside) / (1000 * share)
    rate_outside = (len(is_inside) - sum(is_inside)) / (1000 * (1 - share))
    assert abs(rate_inside - rate_inside_per_s) < 0.1 * rate_inside_per_s, rate_inside
    assert abs(rate_outside - rate_outside_per_s) < 0.1 * rate_outside_per_s, (
        rate_outside
    )


@when("a scenario is read whose {change}")
def step_read_changed_scenario(context, change):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "scenario.toml"
        if change in REPLACEMENTS_BY_CHANGE:
            path.write_text(CALM_SCENARIO.replace(*REPLACEMENTS_BY_CHANGE[change], 1))
        try:
            read_scenario(path)
            context.error_text = ""
        except ScenarioError as error:
            context.error_text = str(error)


@then('it is rejected with "{text}"')
def step_check_scenario_error(context, text):
    assert text in context.error_text, context.error_text


@when(
    "an engine gets one prompt of {prompt_tokens:d} tokens with {event_count:d} events"
)
def step_prefill_one_prompt(context, prompt_tokens, event_count):
    figures = EngineTable().figures()
    context.passes = EnginePasses(figures)
    answer_tokens = event_count * figures.steps_per_pass
    run = context.passes.start(prompt_tokens, answer_tokens, 1, 0, 0)
    context.passes.add_prefill_part(run, 1)
    context.first_pass = context.passes.next_pass()
    run.remaining_parts -= len(context.first_pass.finished_parts)
    context.running_request = run


@then("its first pass prefills for {duration_ms:g} ms")
def step_check_prefill_pass(context, duration_ms):
    assert abs(context.first_pass.duration_ms - duration_ms) < 0.1, context.first_pass
    assert not context.first_pass.decoded_requests


@then("its next passes decode {event_count:d} events, {gap_ms:d} ms apart")
def step_check_decode_passes(context, event_count, gap_ms):
    for _ in range(event_count):
        finished_pass = context.passes.next_pass()
        assert finished_pass.decoded_requests == [context.running_request]
        assert abs(finished_pass.duration_ms - gap_ms) < 1.0, finished_pass.duration_ms
        context.running_request.remaining_events -= 1
    assert context.passes.is_idle


@when("an engine decodes one answer and gets a prompt of {prompt_tokens:d} tokens")
def step_add_prompt_while_decoding(context, prompt_tokens):
    step_prefill_one_prompt(context, prompt_tokens, 10)
    run = context.passes.start(prompt_tokens, 100, 1, 0, 0)
    context.passes.add_prefill_part(run, 1)


@then("the next pass takes {duration_ms:g} ms")
def step_check_pass_duration(context, duration_ms):
    finished_pass = context.passes.next_pass()
    assert abs(finished_pass.duration_ms - duration_ms) < 0.1, finished_pass.duration_ms


@when("an engine and {helper_count:d} helpers get a prompt of {prompt_tokens:d} tokens")
def step_prefill_with_helpers(context, helper_count, prompt_tokens):
    engines = [EnginePasses(EngineTable().figures()) for _ in range(helper_count + 1)]
    run = engines[0].start(prompt_tokens, 100, len(engines), 0, 0)
    for engine in engines:
        engine.add_prefill_part(run, len(engines))
    context.elapsed_ms = 0.0
    for engine in engines:
        elapsed_ms = 0.0
        while not engine.is_idle:
            finished_pass = engine.next_pass()
            elapsed_ms += finished_pass.duration_ms
            run.remaining_parts -= len(finished_pass.finished_parts)
            if finished_pass.finished_parts:
                break
        context.elapsed_ms = max(context.elapsed_ms, elapsed_ms)
    assert run.remaining_parts == 0


@then("it can start to decode after {duration_ms:d} ms")
def step_check_prefill_duration(context, duration_ms):
    assert abs(context.elapsed_ms - duration_ms) < 1.0, context.elapsed_ms


def report_with(in_time, time_to_first_event_ms):
    """Return a report of ten requests; those not in time were refused."""
    records = [
        CallRecord("short", at_s, time_to_first_event_ms, 50.0, 1, Outcome.IN_TIME)
        for at_s in range(in_time)
    ]
    records += [
        CallRecord("short", at_s, None, 0.0, 2, Outcome.REFUSED)
        for at_s in range(in_time, 10)
    ]
    scenario = msgspec.toml.decode(CALM_SCENARIO, type=Scenario)
    scenario.kinds = scenario.kinds[:1]
    return results.build_report(scenario, 2, records)


@when(
    "a run with {in_time_now:d} of 10 requests in time "
    "is compared with one with {in_time_before:d} of 10"
)
def step_compare_reports(context, in_time_now, in_time_before):
    context.report_table = results.format_table(
        report_with(in_time_now, 100.0), report_with(in_time_before, 200.0)
    )


@then('its table is the one in "{path}"')
def step_check_report_table(context, path):
    assert context.report_table + "\n" == Path(path).read_text(), context.report_table


@when('a report is read from "{path}"')
def step_read_invalid_report(context, path):
    try:
        results.read_report(path)
        context.error_text = ""
    except results.ReportError as error:
        context.error_text = str(error)


@then("that fails with an error message naming the file")
def step_check_report_error(context):
    assert re.match(r"README\.md: .+", context.error_text), context.error_text


@given("an emulated deployment with a gateway")
def step_start_deployment(context):
    stage = context.platform
    context.emulated_scenario = msgspec.toml.decode(CALM_SCENARIO, type=Scenario)
    context.deployment = EmulatedDeployment(context.emulated_scenario, free_address)

    async def start():
        await stage._nursery.start(context.deployment.run)
        stage.store_address = context.deployment.store_address
        await stage.start_gateway("g1")

    context.run(start)


@given("its first engine refuses and its first service fails")
def step_start_faults(context):
    context.deployment.endpoints_by_name["model-0"].start_fault("refuse")
    context.deployment.endpoints_by_name["desk-0"].start_fault("fail")


@given("its first engine wants quiet and its first service leaves")
def step_start_signals(context):
    async def start():
        context.deployment.endpoints_by_name["model-0"].start_quiet(LONG_QUIET_S)

    context.run(start)
    context.deployment.endpoints_by_name["desk-0"].is_leaving = True


@then("the gateway takes one for quiet and one for leaving")
def step_check_signals(context):
    state = context.platform.gateways[0].state

    async def read():
        leaving = state.endpoints.leaving_unlike_list()
        return state.quiet_endpoints(), [endpoint.id for endpoint in leaving]

    assert context.run(read) == ({"model-0"}, ["desk-0"])


@when("its requests are sent")
def step_send_requests(context):
    random_source = random.Random(1)
    target = context.platform.gateways[0].settings.front_listen
    caller = EmulatedCaller(context.emulated_scenario, [target], random_source)
    arrivals = plan_arrivals(context.emulated_scenario, random_source)
    context.records = caller.records

    async def send():
        with trio.fail_after(20):
            await caller.run(arrivals)

    context.run(send)


@then("each kind has requests and all are answered")
def step_check_all_answered(context):
    answered = (Outcome.IN_TIME, Outcome.LATE)
    for kind in context.emulated_scenario.kinds:
        records = [r for r in context.records if r.kind == kind.name]
        assert len(records) > 3
        unanswered = [r for r in records if r.outcome not in answered]
        assert not unanswered, unanswered
