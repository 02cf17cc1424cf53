"""Steps that plant faults for the soak's checks."""

import math
import random
from types import SimpleNamespace

import trio
from behave import given, then, when
from bench.soak.environment import Attempt, SoakEnvironment, expected_body

from bench.layout import Gateway
from bench.soak.__main__ import wait_until_all_serve
from bench.soak.checks import find_leaked_reservations, find_violations
from vanillareach.features.users_platform.endpoint import (
    ReceivedRequest,
    StandinEndpoint,
)
from vanillareach.platform import names

# No layout starts a gateway of this number.
UNUSED_NUMBER = 99
WAIT_S = 0.3


class PlantedStage:
    """A stage of endpoints alone."""

    def __init__(self):
        self.endpoints_by_name = {
            name: StandinEndpoint(name) for name in ("m0", "d0", "d1")
        }


def planted_world(context):
    """Return the scenario's world."""
    if not hasattr(context, "world"):
        context.environment = SoakEnvironment(PlantedStage(), (), random.Random(1))
    return context.environment


def reach(context, name, attempt_id, step="answer"):
    """Let a request reach an endpoint."""
    headers = [(names.ATTEMPT_ID, attempt_id.encode())]
    received = ReceivedRequest(SimpleNamespace(target=b"/x", body=b"", headers=headers))
    received.step = step
    planted_world(context).endpoints_by_name[name].received.append(received)


def add_attempt(context, kind, status=200):
    """Add a caller's attempt that got what was expected."""
    environment = planted_world(context)
    attempt = Attempt(f"a-{len(environment.attempts)}", kind, 0.0, status, True)
    attempt.body = expected_body(attempt)
    environment.attempts.append(attempt)
    return attempt


def broken_promises(context):
    """Return the names of the promises that the checks find broken."""
    environment = planted_world(context)

    async def check():
        return find_violations(environment) + find_leaked_reservations(environment)

    return {line.split()[0] for line in trio.run(check)}


@given('a caller\'s "book" that ran once and was answered 200')
def step_book(context):
    context.attempt = add_attempt(context, "book")
    reach(context, "d0", context.attempt.id)


@given('a caller\'s "ask" that got events 1 to 6')
def step_ask(context):
    reach(context, "m0", add_attempt(context, "ask").id)


@when("it runs a second time")
def step_runs_again(context):
    reach(context, "d1", context.attempt.id)


@when("its answer becomes 503")
def step_becomes_refusal(context):
    context.attempt.status = 503


@when("its body is another request's")
def step_other_body(context):
    context.attempt.body = expected_body(Attempt("another", "book", 0.0))


@when("an endpoint gets a request that nobody sent")
def step_nobody(context):
    reach(context, "d1", "nobody's")


@when("a stream is cut after events 1,3")
def step_cut_stream(context):
    attempt = add_attempt(context, "ask")
    attempt.is_complete = False
    attempt.body = b"id: 1\ndata: piece 1\n\nid: 3\ndata: piece 3\n\n"


@when("an endpoint keeps memory aside")
def step_keeps_memory(context):
    endpoint = planted_world(context).endpoints_by_name["m0"]
    endpoint.expiry_s_by_reservation["a-0"] = math.inf


@when("an endpoint sheds it before")
def step_sheds(context):
    reach(context, "d1", context.attempt.id, "shed")


@given("a gateway that takes no connection")
def step_dead_gateway(context):
    planted_world(context).gateways = (Gateway(UNUSED_NUMBER),)


@then('"{promise}" is found broken when it is waited for')
def step_waited_for(context, promise):
    lines = trio.run(wait_until_all_serve, planted_world(context), WAIT_S)
    assert [line.split()[0] for line in lines] == [promise], lines


@then("no promise is found broken")
def step_none_broken(context):
    assert not broken_promises(context), broken_promises(context)


@then('"{promise}" is found broken')
def step_found(context, promise):
    assert broken_promises(context) == {promise}, broken_promises(context)
