"""Steps about refused requests and when their callers are told to return."""

import math
import random
from unittest.mock import patch

from behave import then, when

from vanillareach.core.retry_book import RetryBook
from vanillareach.features.attempt_cases import Case, play
from vanillareach.features.scripted_attempts import ScriptedPlacement
from vanillareach.features.waiting_cases import (
    TIME_LEFT_MS,
    exchange_of,
)
from vanillareach.gateway.placing import PlacementDecision


@when(
    "{count:d} callers with {time_ms:d} ms left are refused {wait_ms:d} ms before room"
)
def step_refused_at_once(context, count, time_ms, wait_ms):
    book, generator = RetryBook(), random.Random(1)
    context.delays = [
        book.retry_after_ms(1, wait_ms, 30.0, time_ms, generator.random(), 0.0)
        for _ in range(count)
    ]


@then("their retry times grow, differ, and take no more than a third of {time_ms:d} ms")
def step_retry_times(context, time_ms):
    delays = context.delays
    assert len({round(delay, 3) for delay in delays}) == len(delays)
    assert max(delays) <= time_ms / 3
    half = len(delays) // 2
    assert sum(delays[half:]) > 1.2 * sum(delays[:half]), delays


@when("a caller with {time_ms:d} ms left is refused by every engine")
def step_refused_by_all(context, time_ms):
    world = context.world
    context.delays = [
        world.dispatcher.refusal_retry_after_ms(
            exchange_of(world, "short", time_ms), world.now_ms
        )
        for _ in range(10)
    ]


@then("it is told to return after {least_ms:d} to {most_ms:d} ms")
def step_told_to_return(context, least_ms, most_ms):
    assert all(least_ms <= delay <= most_ms for delay in context.delays), context.delays
    assert len(set(context.delays)) == len(context.delays)


@when("{count:d} callers are refused while nothing is known of room")
def step_refused_unknown(context, count):
    context.book = RetryBook()
    for _ in range(count):
        context.book.retry_after_ms(1, math.inf, 30.0, TIME_LEFT_MS, 0.5, 0.0)


@then("one refused {wait_ms:d} ms before room is told to return by {most_ms:d} ms")
def step_refused_after_unknown(context, wait_ms, most_ms):
    delay_ms = context.book.retry_after_ms(1, wait_ms, 30.0, TIME_LEFT_MS, 1.0, 0.0)
    assert wait_ms <= delay_ms <= most_ms, delay_ms


@when("a request is refused in order with a retry time of {retry_ms:d} ms")
def step_refused_in_order(context, retry_ms):
    async def refuse(placement_client, exchange):
        return PlacementDecision(None, float(retry_ms), "too_late", True)

    with patch.object(ScriptedPlacement, "choose", refuse):
        context.run = play(Case("ask", ()))


@then(
    "its caller has a 503 within {limit_ms:d} ms, and the refusal is counted by "
    "priority"
)
def step_answered_at_once(context, limit_ms):
    run = context.run
    assert run.responder.status == 503
    assert run.responder.completed_ms - (run.deadline_ms - 5_000) <= limit_ms
    assert run.metrics.refusals == {("desk", "0", "too_late"): 1}
    assert run.logged("Refused.")[0]["retry_after_ms"] == 1_234
