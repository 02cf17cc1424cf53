"""Steps that inject violations for the checks of the soak."""

import math
import random
from types import SimpleNamespace

import trio
from behave import given, then, when

from bench.layout import Gateway
from bench.soak.__main__ import wait_until_all_serve
from bench.soak.checks import find_leaked_reservations, find_violations
from bench.soak.endpoint import SoakEndpoint
from bench.soak.observations import (
    Arrival,
    Attempt,
    Crash,
    Fault,
    Process,
    SentNotice,
    SentSignal,
)
from bench.soak.tainted import PromptParts
from bench.soak.world import EVACUATED_ZONE, SoakEnvironment, expected_body
from vanillareach.features.users_platform.endpoint import ReceivedRequest
from vanillareach.platform import names

# No layout starts a gateway with this number.
UNUSED_GATEWAY_NUMBER = 99
TIMEOUT_S = 0.3
PROCESS, OTHER_PROCESS = Process(0, 1), Process(0, 2)
SENT_S = 10.0


class EndpointStage:
    """Stand-in endpoints without the rest of a platform."""

    def __init__(self):
        self.endpoints_by_name = {
            name: SoakEndpoint(name, 1) for name in ("m0", "m1", "d0", "d1", "d2")
        }


def scenario_environment(context):
    """Return the environment of the scenario."""
    if not hasattr(context, "environment"):
        context.environment = SoakEnvironment(EndpointStage(), (), random.Random(1))
    return context.environment


def record_received(
    context, name, attempt_id, step="answer", started_s=0.0, ended_s=0.0
):
    """Record that a request reached an endpoint."""
    headers = [(names.ATTEMPT_ID, attempt_id.encode())]
    received = ReceivedRequest(SimpleNamespace(target=b"/x", body=b"", headers=headers))
    received.step, received.arrived_s, received.ended_s = step, started_s, ended_s
    scenario_environment(context).endpoints_by_name[name].received.append(received)


def add_attempt(context, kind, status=200):
    """Add a caller's attempt that received the expected response."""
    environment = scenario_environment(context)
    attempt = Attempt(f"a-{len(environment.attempts)}", kind, 0.0, status, True)
    attempt.body = expected_body(attempt)
    environment.attempts.append(attempt)
    return attempt


def violation_names(context):
    """Return the names of the violations that the checks report."""
    environment = scenario_environment(context)

    async def check():
        return find_violations(environment) + find_leaked_reservations(environment)

    return {line.split()[0] for line in trio.run(check)}


@given('a "book" request that was executed once and answered with 200')
def step_book(context):
    context.attempt = add_attempt(context, "book")
    record_received(context, "d0", context.attempt.id)


@given('an "ask" request that received all events')
def step_ask(context):
    record_received(context, "m0", add_attempt(context, "ask").id)


@when("it runs a second time")
def step_runs_again(context):
    record_received(context, "d1", context.attempt.id)


@when("its answer becomes 503")
def step_becomes_refusal(context):
    context.attempt.status = 503


@when("its body is another request's")
def step_other_body(context):
    context.attempt.body = expected_body(Attempt("another", "book", 0.0))


@when("an endpoint gets a request that nobody sent")
def step_nobody(context):
    record_received(context, "d1", "nobody's")


@when("a stream is cut after events 1,3")
def step_cut_stream(context):
    attempt = add_attempt(context, "ask")
    attempt.is_complete = False
    attempt.body = b"id: 1\ndata: piece 1\n\nid: 3\ndata: piece 3\n\n"


@when("an endpoint keeps memory aside")
def step_keeps_memory(context):
    endpoint = scenario_environment(context).endpoints_by_name["m0"]
    endpoint.expiry_s_by_reservation["a-0"] = math.inf


@when("another endpoint sheds it first")
def step_sheds(context):
    record_received(context, "d1", context.attempt.id, "shed")


@when("another endpoint asks for quiet first")
def step_asks_for_quiet(context):
    record_received(context, "d1", context.attempt.id, "quiet")


@given('a "{kind}" request sent at 10 s that ended at {end_s:g} s with {outcome}')
def step_ended(context, kind, end_s, outcome):
    attempt = Attempt("a-0", kind, SENT_S, sent_s=SENT_S, ended_s=end_s)
    attempt.process = PROCESS
    if outcome == "a part":
        attempt.status = 200
    elif outcome.endswith("body"):
        attempt.status, attempt.is_complete = 200, True
        body = expected_body(attempt)
        attempt.body = body[: len(body) // 2] if outcome.startswith("half") else body
    elif outcome != "no answer":
        attempt.status, attempt.is_complete = int(outcome.split()[1]), True
    context.attempt = attempt
    scenario_environment(context).attempts.append(attempt)


@given("it was at {visits}")
def step_visits(context, visits):
    for visit in visits.split(", ") if visits != "none" else ():
        name, step, span = visit.split()
        record_received(context, name, context.attempt.id, step, *times(span))


@given("there was {disturbances}")
def step_disturbances(context, disturbances):
    observations = scenario_environment(context).observations
    if disturbances.startswith("timeout"):
        for version in disturbances.removeprefix("timeout ").split(", "):
            timeout_ms, written_s = version.split(" at ")
            timeouts = {context.attempt.kind: float(timeout_ms)}
            observations.timeouts_ms.append((float(written_s), timeouts))
        return
    for name, *details in map(str.split, disturbances.split(", ")):
        if name.isupper():
            process = OTHER_PROCESS if "other" in details else PROCESS
            signal = SentSignal(process, name, float(details[0]))
            observations.signals.append(signal)
        elif name == "idle":
            context.attempt.idle_s = float(details[0])
        elif name == "close_announced":
            context.attempt.was_close_announced = True
        elif name == "started":
            observations.first_seen_s_by_process[PROCESS] = float(details[0])
        elif name != "nothing":
            observations.faults.append(fault(name, *details))


def fault(kind, *details):
    """Return a `Fault` of a kind; `details` are its endpoint and mode, and its span."""
    names_by_kind = {"link": "endpoint_link", "reset": "endpoint_reset"}
    *target, span = details
    values = dict(zip(("endpoint", "detail"), target, strict=False))
    return Fault(names_by_kind.get(kind, kind), *times(span), **values)


def times(span):
    """Return the start and end of a span such as ``10-12``, in seconds."""
    started, _, ended = span.partition("-")
    return float(started), float(ended or started)


@given("d0 {told} in its answer to a request that was passed on")
def step_told(context, told):
    attempt = add_attempt(context, "read")
    attempt.process, attempt.started_s, attempt.ended_s = PROCESS, SENT_S, SENT_S
    record_received(context, "d0", attempt.id)
    cause, *duration_s = told.split()
    duration_s = float(duration_s[0]) if duration_s else math.inf
    notice = SentNotice(cause, attempt.id, SENT_S, duration_s, 1)
    scenario_environment(context).endpoints_by_name["d0"].notices.append(notice)


@given("a {arrival} arrived {after_s:g} s later at d0 from {process}")
def step_arrived(context, arrival, after_s, process):
    attempt = add_attempt(context, "read")
    attempt.process = PROCESS if process == "the process" else OTHER_PROCESS
    at_s = attempt.started_s = SENT_S + after_s
    sender_id = attempt.id if "request" in arrival else f"{attempt.id}-1:2-0"
    incarnation = 2 if "restart" in arrival else 1
    context.environment.endpoints_by_name["d0"].arrivals.append(
        Arrival(sender_id, at_s, incarnation, arrival == "renewal")
    )


@given("others were answered at {visits}")
def step_others(context, visits):
    for visit in visits.split(", "):
        name, at_s, *process = visit.split()
        other = add_attempt(context, context.attempt.kind)
        other.process = OTHER_PROCESS if process else PROCESS
        record_received(
            context, name, other.id, "answer", float(at_s), float(at_s) + 0.1
        )


@when("the gateway has made {count:d} retries at {at_s:g} s")
def step_retries(context, count, at_s):
    for _ in range(count):
        other = add_attempt(context, "read")
        other.process = PROCESS
        record_received(context, "d0", other.id, "shed", at_s, at_s)
        record_received(context, "d1", other.id, "answer", at_s, at_s)


@given(
    "a gateway that had {memory_mb:g} MB at its peak, and {earlier_mb:g} MB before the "
    "seed"
)
def step_peak(context, memory_mb, earlier_mb):
    observations = scenario_environment(context).observations
    observations.first_peak_mb_by_process[PROCESS] = earlier_mb
    observations.peak_mb_by_process[PROCESS] = memory_mb


@given("engines that crashed at {crashes} s")
def step_crashes(context, crashes):
    environment = scenario_environment(context)
    environment.prompts = PromptParts(1)
    environment.observations.first_seen_s_by_process[PROCESS] = 0.0
    for at_s in crashes.split(", "):
        environment.observations.crashes.append(Crash("m0", "", float(at_s)))


@given("{count:d} requests with the part reached m0 at {at_s:g} s")
def step_with_part(context, count, at_s):
    prompts = scenario_environment(context).prompts
    for _ in range(count):
        attempt = add_attempt(context, "ask", 503)
        attempt.process = PROCESS
        attempt.prompt_parts = prompts.first_part, prompts.deadly_part
        record_received(context, "m0", attempt.id, "stream", at_s, at_s)
        record_received(context, "m0", attempt.id, "stream", at_s, at_s)


@given(
    "{count:d} {kind} requests at {at_s:g} s of which {begun:d} begin at their "
    "{ordinal} attempt"
)
def step_sound(context, count, kind, at_s, begun, ordinal):
    first_part = scenario_environment(context).prompts.first_part
    for number in range(count):
        attempt = add_attempt(context, "ask", 200 if number < begun else 503)
        attempt.started_s, attempt.ended_s = at_s, at_s + 1
        attempt.prompt_parts = (first_part if kind == "sound" else "other", "part")
        if number < begun and ordinal == "second":
            record_received(context, "m1", attempt.id, "shed", at_s, at_s)
        if number < begun:
            record_received(context, "m0", attempt.id, "stream", at_s, at_s)


@when("its caller left before the end")
def step_caller_left(context):
    context.attempt.ended_s = None


@when("its last byte could not be sent")
def step_not_sent(context):
    context.attempt.sent_s = None


@given("a gateway that accepts no connection")
def step_dead_gateway(context):
    scenario_environment(context).gateways = (Gateway(UNUSED_GATEWAY_NUMBER),)


@then('waiting for it reports "{violation}"')
def step_waited_for(context, violation):
    lines = trio.run(wait_until_all_serve, scenario_environment(context), TIMEOUT_S)
    assert [line.split()[0] for line in lines] == [violation], lines


@then("the checks report no violation")
def step_none_broken(context):
    assert not violation_names(context), violation_names(context)


@then('the checks report "{violation}"')
def step_found(context, violation):
    assert violation_names(context) == {violation}, violation_names(context)


@given("d0 named a limit of {per_s:d} a second from {start_s:g} s to {end_s:g} s")
def step_named_limit(context, per_s, start_s, end_s):
    limit = Fault("endpoint_limit", start_s, end_s, endpoint="d0", detail=str(per_s))
    scenario_environment(context).observations.faults.append(limit)


@given("d0 was cold from {start_s:g} s to {end_s:g} s")
def step_was_cold(context, start_s, end_s):
    fault = Fault("endpoint_cold", start_s, end_s, endpoint="d0")
    scenario_environment(context).observations.faults.append(fault)


@given("{count:d} requests reached d0 within {duration_s:g} s from {start_s:g} s on")
def step_reached_limited(context, count, duration_s, start_s):
    for number in range(count):
        attempt = add_attempt(context, "read")
        attempt.process = PROCESS
        at_s = start_s + duration_s * number / count
        attempt.started_s, attempt.ended_s = at_s, at_s + 0.1
        record_received(context, "d0", attempt.id, "answer", at_s, at_s + 0.1)
        endpoint = scenario_environment(context).endpoints_by_name["d0"]
        endpoint.arrivals.append(Arrival(attempt.id, at_s, endpoint.incarnation))


@given("the domain of d1 was evacuated from {start_s:g} s to {end_s:g} s")
def step_was_evacuated(context, start_s, end_s):
    environment = scenario_environment(context)
    environment.endpoints_by_name["d1"].zone = EVACUATED_ZONE
    evacuation = Fault("evacuation", start_s, end_s, detail=EVACUATED_ZONE)
    environment.observations.faults.append(evacuation)


@given("a {arrival} reached d1 at {at_s:g} s")
def step_reached_evacuated(context, arrival, at_s):
    attempt = add_attempt(context, "read")
    attempt.process = PROCESS
    sender_id = attempt.id if arrival == "request" else f"{attempt.id}-1:2-0"
    context.environment.endpoints_by_name["d1"].arrivals.append(
        Arrival(sender_id, at_s, 1, arrival == "renewal")
    )
