"""Steps about the requests that a stopping gateway accepts."""

from behave import given, then, when

from vanillareach.core.answer_times import AnswerTimes, safe_answer_ms
from vanillareach.features.stop_trial import StopTrial, open_stop_stage

BUSY_COUNT = 2
CONNECTIONS = 6
ROUTE = "ask"
MS_PER_S = 1000


@given(
    "a gateway with {grace_s:d} s to stop, a peer, and engines of busy pace {pace:f}"
)
def step_open_stage(context, grace_s, pace):
    context.run(
        lambda: open_stop_stage(
            context.platform, pace, BUSY_COUNT, grace_s=float(grace_s)
        )
    )


def spread(first_ms, last_ms):
    """Return the times of requests, one for each connection, at even intervals."""
    step_ms = (last_ms - first_ms) / (CONNECTIONS - 1)
    return [first_ms + step_ms * number for number in range(CONNECTIONS)]


async def connect_and_call(context, count):
    """Keep connections, of which some have had a response."""
    platform = context.platform
    context.callers = [await platform.connect() for _ in range(CONNECTIONS)]
    await context.trial.call_before(context.callers[:count])


@given("{count:d} streams of {stream_ms:d} ms were served on connections that are kept")
def step_serve_streams(context, count, stream_ms):
    context.trial = StopTrial(context.platform, stream_ms=stream_ms)
    context.run(connect_and_call, context, count)


@given("{count:d} streams of {stream_ms:d} ms of undeclared length were served")
def step_serve_undeclared_streams(context, count, stream_ms):
    context.trial = StopTrial(
        context.platform, stream_ms=stream_ms, is_length_declared=False
    )

    async def serve():
        for _ in range(count):
            async with await context.platform.connect() as caller:
                await context.trial.call_before([caller])

    context.run(serve)


@when(
    "it stops and streams of {stream_ms:d} ms come on new connections from "
    "{first_ms:d} to {last_ms:d} ms later"
)
def step_stop_with_new(context, stream_ms, first_ms, last_ms):
    context.trial.set_durations([stream_ms])
    context.outcomes = context.run(context.trial.run_new, spread(first_ms, last_ms))


@given("{count:d} calls were answered on connections that are kept")
def step_answer_calls(context, count):
    context.trial = StopTrial(context.platform, "/book/a")
    context.run(connect_and_call, context, count)


@given("services that answer after a silence")
def step_answer_late(context):
    for endpoint in context.platform.endpoints_by_name.values():
        if endpoint.service == "desk":
            endpoint.default_step = "late"


@when(
    "it stops and {what} come on these connections from {first_ms:d} to {last_ms:d} ms "
    "later"
)
def step_stop(context, what, first_ms, last_ms):
    times_ms = spread(first_ms, last_ms)
    context.outcomes = context.run(context.trial.run, context.callers, times_ms)


@given("engines that are silent for {silence_ms:d} ms after their first event")
def step_silent(context, silence_ms):
    for endpoint in context.platform.endpoints_by_name.values():
        endpoint.silence_s = silence_ms / MS_PER_S


@when(
    "it stops and is paused from {from_ms:d} to {until_ms:d} ms later, while requests "
    "come on these connections"
)
def step_pause(context, from_ms, until_ms):
    context.outcomes = context.run(
        context.trial.run_paused, context.callers, from_ms, until_ms
    )


@then("each of them is whole, refused, or came to a closed connection")
def step_check_none_cut(context):
    names = {outcome.name for outcome in context.outcomes}
    assert names <= {"whole", "refused", "closed"}, context.outcomes


@then("at most {count:d} of them are cut and the others are whole or refused")
def step_check_few_cut(context, count):
    names = [outcome.name for outcome in context.outcomes]
    assert names.count("cut") <= count, context.outcomes
    assert set(names) <= {"cut", "whole", "refused"}, context.outcomes


@then("at least {count:d} of them are whole")
def step_check_whole(context, count):
    whole = [outcome for outcome in context.outcomes if outcome.name == "whole"]
    assert len(whole) >= count, context.outcomes


@given("answers of a route at slowdowns of {first:f}, {second:f} and {third:f}")
def step_record_answers(context, first, second, third):
    context.answer_times, context.now_ms = AnswerTimes(), 0.0
    for slowdown in (first, second, third):
        context.answer_times.record(ROUTE, slowdown, context.now_ms)


@when("no answer comes for {seconds:d} s")
def step_pass(context, seconds):
    context.now_ms += seconds * MS_PER_S


@then(
    "a stopping instance reckons with {expected_ms:d} ms for an answer of "
    "{nominal_ms:d} ms"
)
def step_check_reckoned(context, expected_ms, nominal_ms):
    slowdown = context.answer_times.largest_slowdown(ROUTE, context.now_ms)
    reckoned_ms = safe_answer_ms(nominal_ms, 1.0, slowdown * nominal_ms)
    assert round(reckoned_ms) == expected_ms, reckoned_ms
