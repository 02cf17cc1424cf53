"""A server's own 503 for a request that it has run is passed on as a refusal."""

import asyncio
from pathlib import Path

from review.common3.callers import request as send_request
from review.common3.configs import backend, config, route
from review.common3.engines import Engine
from review.common3.gateways import Gateway, random_host
from review.common3.http1 import encode_response
from review.common3.platform_store import PlatformStore
from review.common3.scenario import Scenario

SCORES = 60
INTERVAL_S = 0.1
# The grey server fails this part of its requests.
FAILED_PERCENT = 40
DEADLINE_MS = 2_500
PROMISES = (408, 421, 429, 503)


class GreyEngine(Engine):
    """Server that may fail part of its requests while its health check is good."""

    is_grey = False


async def work(engine, request, run, writer):
    """Book a score; a grey server fails some requests after that."""
    await asyncio.sleep(0.045)
    booked = len(engine.runs)
    fails = engine.is_grey and booked * FAILED_PERCENT % 100 < FAILED_PERCENT
    status, body = (503, b"booked, standings down") if fails else (200, b"booked")
    run.outcome = f"ran, answered {status} without Vanillareach-Not-Executed"
    writer.write(encode_response(status, engine.headers(request), body))


async def main(scenario):
    """Run the case; return whether the rule was broken."""
    host = random_host()
    store = PlatformStore()
    await store.start(host)
    routes = [route("r-score", "/score/", "non_idempotent", "desk", DEADLINE_MS)]
    store.put("config", "main", config(7, routes, [backend("desk", 110)]))
    engines = [
        GreyEngine(store, f"i-{n}", "desk", f"zone-{n}", 6, work) for n in range(3)
    ]
    engines[0].is_grey = scenario.has_trouble
    for engine in engines:
        await engine.start(host)
    gateway = scenario.add(Gateway("edge-0-1", "zone-0", store.address))
    await gateway.start()
    await asyncio.sleep(1.0)
    attempts_by_score, tasks = {}, []

    async def book(score):
        """Book one score, and try once more after a promise that it wasn't run."""
        attempts = attempts_by_score[score] = []
        while len(attempts) < 2:
            path, body = f"/score/{score}", f"score {score}".encode()
            attempt = await send_request(
                gateway.front, "POST", path, DEADLINE_MS, body=body
            )
            attempts.append(attempt)
            if attempt.status not in PROMISES:
                return

    for score in range(SCORES):
        tasks.append(asyncio.create_task(book(score)))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)
    ran = {run.attempt_id for engine in engines for run in engine.runs}
    refused = doubled = 0
    for score, attempts in attempts_by_score.items():
        doubled += sum(attempt.id in ran for attempt in attempts) > 1
        for attempt in attempts:
            is_false = attempt.status in PROMISES and attempt.id in ran
            refused += is_false
            mark = "refused though run: " if is_false else ""
            scenario.note(f"score {score}: {mark}{attempt.describe(scenario.zero_s)}")
    scenario.note_runs(engines)
    scenario.note(f"refused though run {refused}; scores booked twice {doubled}")
    return refused > 0


if __name__ == "__main__":
    Scenario(Path(__file__).parent).run(main)
