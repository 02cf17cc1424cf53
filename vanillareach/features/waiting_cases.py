"""Requests that wait, and engines without room for them, as scenarios begin with."""

from dataclasses import replace
from types import SimpleNamespace

from vanillareach.core.load_state import InFlightRequest
from vanillareach.core.waiting import (
    WaitingQueue,
)
from vanillareach.features.waiting_world import (
    ENGINE_COUNT,
    SERVICE,
    WaitingWorld,
)
from vanillareach.gateway.exchange import GatewayExchange

FULL_COUNT = 8
# Requests that hold a slot until a step ends them.
BLOCKER_ID = 1_000_000
# Less than the wait for a slot.
SHORT_TIME_MS = 100.0
TIME_LEFT_MS = 9_000.0


def blocker(number, engine, tokens=100, priority=0, is_prefilling=False):
    """Return a request that occupies a slot of an engine."""
    values = (tokens, tokens + 1_000, 1_000.0 if is_prefilling else 0.0)
    limits = (271.0, 200.0, 1.4, is_prefilling, 0.0, priority)
    return InFlightRequest(BLOCKER_ID + number, engine, (), (), *values, *limits)


def world_with(load):
    """Return a `WaitingWorld` whose engines have a load."""
    world = WaitingWorld()
    counts = [FULL_COUNT] * ENGINE_COUNT
    if load == "no requests":
        counts = []
    elif load == "one free slot":
        counts[0] -= 1
    for engine, count in enumerate(counts):
        for number in range(count):
            flight = blocker(100 * engine + number, f"e{engine}")
            world.state.load_state.add(flight, 0.0)
    return world


def ask(world, kind, team="t0", time_left_ms=None, **changes):
    """Let a request ask once; return its decision."""
    caller = world.arrive_silently(kind, team)
    if time_left_ms is not None:
        caller.deadline_ms = world.now_ms + time_left_ms
    request = world.ask(caller, caller.number, world.now_ms, **changes)
    return world.ordered.decide(request, world.now_ms)


def queue_of(world):
    """Return the queue of the world's service."""
    return world.ordered._queues_by_service.setdefault("model", WaitingQueue())


def add_waiting(world, count, kind, team="t0", time_left_ms=None, **changes):
    """Put requests into the queue without asking for room."""
    entries = []
    for _ in range(count):
        caller = world.arrive_silently(kind, team)
        if time_left_ms is not None:
            caller.deadline_ms = world.now_ms + time_left_ms
        request = world.ordered._waiting_request(
            world.ask(caller, caller.number, world.now_ms, **changes)
        )
        queue = queue_of(world)
        entries.append(queue.renew(request, world.now_ms))
    return entries


def exchange_of(world, kind, time_ms):
    """Return the `GatewayExchange` of a new request that has some time."""
    short_route = world.state.configuration.routes_by_host["calls.example"][0]
    route = replace(short_route, timeout_ms=60_000.0, is_generation=True)
    caller = world.arrive_silently(kind, "t0")
    fields = SimpleNamespace(
        attempt_id="a",
        timeout_ms=float(time_ms),
        prompt_tokens=caller.tokens,
        answer_tokens=caller.answer,
        length_hint=0,
        last_event_id=None,
    )
    request = SimpleNamespace(received_ms=world.now_ms)
    return GatewayExchange(
        request, fields, route, SERVICE, None, world.state.configuration
    )
