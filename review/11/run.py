"""An unreadable entry of another writer keeps all gateways from starting again."""

import asyncio
import time
from pathlib import Path

from review.common3.callers import request as send_request
from review.common3.configs import backend, config, route
from review.common3.engines import Engine
from review.common3.gateways import Gateway, random_host
from review.common3.http1 import encode_response
from review.common3.platform_store import PlatformStore
from review.common3.scenario import Scenario

GATEWAYS = 3
# Within `value_bytes`, 1,048,576; as large as a page of a list.
ENTRY_BYTES = 1_000_000
BEFORE_S, DOWN_S, RECOVERY_S, JUDGED_S = 6.0, 1.0, 12.0, 15.0
REQUEST_INTERVAL_S = 0.5
DEADLINE_MS = 2_500
SERVED_SHARE = 0.25


def foreign_entry():
    """Return the text of an entry with the escape of a byte that is no UTF-8."""
    return '{"backend":"other","note":"' + "s" * (ENTRY_BYTES - 100) + '\\udcff"}'


async def work(engine, request, run, writer):
    """Run a request and answer."""
    await asyncio.sleep(0.045)
    writer.write(encode_response(200, engine.headers(request), b"s" * 800))


async def send_for(scenario, gateways, duration_s, text):
    """Send requests to the gateways in turn; return the share that was served."""
    tasks, number = [], 0
    until_s = time.monotonic() + duration_s
    while time.monotonic() < until_s:
        front = gateways[number % len(gateways)].front
        request = send_request(front, "GET", "/read/standing", DEADLINE_MS)
        tasks.append(asyncio.create_task(request))
        number += 1
        await asyncio.sleep(REQUEST_INTERVAL_S)
    attempts = await asyncio.gather(*tasks)
    for attempt in attempts:
        scenario.note(f"{text}: {attempt.describe(scenario.zero_s)}")
    served = sum(a.status == 200 and a.is_complete for a in attempts)
    scenario.note(f"{text}: {served} of {len(attempts)} served")
    return served / len(attempts)


async def main(scenario):
    """Run the case; return whether the rule was broken."""
    host = random_host()
    store = PlatformStore()
    await store.start(host)
    routes = [
        route("r-read", "/read/", "idempotent", "desk", DEADLINE_MS, max_attempts=2)
    ]
    store.put("config", "main", config(7, routes, [backend("desk", 110)]))
    engines = [
        Engine(store, f"i-{n}", "desk", f"zone-{n}", 6, work) for n in range(GATEWAYS)
    ]
    for engine in engines:
        await engine.start(host)
    gateways = [
        scenario.add(Gateway(f"edge-{n}-1", f"zone-{n}", store.address))
        for n in range(GATEWAYS)
    ]
    await asyncio.gather(*(gateway.start() for gateway in gateways))
    await asyncio.sleep(1.0)
    before = await send_for(scenario, gateways, BEFORE_S, "before")
    if scenario.has_trouble:
        scenario.note("an entry of another writer")
        store.put_text("servers", "a-0", foreign_entry())
    scenario.note("all processes are killed")
    await asyncio.gather(*(gateway.stop() for gateway in gateways))
    await asyncio.sleep(DOWN_S)
    for gateway in gateways:
        await gateway.launch()
    scenario.note("all processes are started")
    await asyncio.sleep(RECOVERY_S)
    after = await send_for(scenario, gateways, JUDGED_S, "after recovery_s")
    for gateway in gateways:
        scenario.note(f"{gateway.node} says ready: {await gateway.is_ready()}")
    scenario.note_runs(engines)
    return before >= SERVED_SHARE > after


if __name__ == "__main__":
    Scenario(Path(__file__).parent).run(main)
