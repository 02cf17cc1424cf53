"""A stopping gateway takes a stream that it can't finish, and cuts it."""

import asyncio
import time
from pathlib import Path

from review.common3.callers import Channel
from review.common3.configs import backend, config, route
from review.common3.engines import Engine
from review.common3.gateways import BOUNDS, Gateway, random_host
from review.common3.platform_store import PlatformStore
from review.common3.scenario import CaseError, Scenario

DEADLINE_MS = 10_000
SHORT_EVENTS, LONG_EVENTS = 10, 60
EVENT_GAP_S = 0.1
SHORT_STREAMS = 10
# The platform asks for readiness and hands out channels in these intervals.
READY_INTERVAL_S = 1.0
CHANNEL_INTERVAL_S = 0.1
# A request sent up to here is excused if its engine is at work at the end.
EXCUSED_S = 3.0
HEAD = (
    "HTTP/1.1 200 OK\r\nVanillareach-Attempt-Id: {}\r\n"
    "Vanillareach-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)


async def work(engine, request, run, writer):
    """Send as many events as the request asks for, at an even pace."""
    writer.write(HEAD.format(request.headers["vanillareach-attempt-id"]).encode())
    for number in range(1, int(request.target.rpartition("=")[2]) + 1):
        await asyncio.sleep(EVENT_GAP_S)
        event = f"id: {number}\ndata: {'s' * 40}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
    writer.write(b"0\r\n\r\n")


class CallerWave:
    """Requesters that open new channels as the platform hands them out.

    The zone has one node, so the platform uses it in rotation or not, as long as it
    takes channels.

    Attributes
    ----------
    attempts : list of Attempt
    """

    def __init__(self, scenario, gateway):
        self.attempts = []
        self._scenario = scenario
        self._gateway = gateway

    async def run(self, until_s):
        """Open a channel at each interval and ask for a long stream."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._watch_readiness(until_s))
            while time.monotonic() < until_s:
                group.create_task(self._ask())
                await asyncio.sleep(CHANNEL_INTERVAL_S)

    async def _watch_readiness(self, until_s):
        while time.monotonic() < until_s:
            is_ready = await self._gateway.is_ready()
            self._scenario.note(f"{self._gateway.node} says ready: {is_ready}")
            await asyncio.sleep(READY_INTERVAL_S)

    async def _ask(self):
        channel = Channel()
        try:
            await channel.open(self._gateway.front)
        except OSError:
            # Not a channel of the gateway any more: the requester goes elsewhere.
            return
        path = f"/stream/x?events={LONG_EVENTS}"
        attempt = await channel.send("POST", path, DEADLINE_MS, body=b"q")
        self.attempts.append(await channel.receive(attempt))
        channel.close()


async def read_short(gateway):
    """Ask for a short stream and check that it is complete."""
    channel = await Channel().open(gateway.front)
    path = f"/stream/x?events={SHORT_EVENTS}"
    attempt = await channel.send("POST", path, DEADLINE_MS, body=b"q")
    await channel.receive(attempt)
    channel.close()
    if attempt.status != 200 or not attempt.is_complete:
        raise CaseError("a short stream failed before the disruption")


async def main(scenario):
    """Run the case; return whether the rule was broken."""
    host = random_host()
    store = PlatformStore()
    await store.start(host)
    routes = [
        route(
            "r-stream",
            "/stream/",
            "streaming",
            "minutes",
            DEADLINE_MS,
            target_latency_ms=300,
            gap_target_ms=250,
        )
    ]
    store.put("config", "main", config(7, routes, [backend("minutes", 480)]))
    engines = [Engine(store, f"i-{n}", "minutes", "zone-a", 40, work) for n in range(3)]
    for engine in engines:
        await engine.start(host)
    gateway = scenario.add(Gateway("edge-a-1", "zone-a", store.address))
    await gateway.start()
    await asyncio.sleep(1.0)
    for _ in range(SHORT_STREAMS):
        await read_short(gateway)
    stopped_s = time.monotonic()
    if scenario.has_trouble:
        scenario.note("SIGTERM")
        gateway.terminate()
    wave = CallerWave(scenario, gateway)
    await wave.run(stopped_s + EXCUSED_S + 0.5)
    if scenario.has_trouble:
        await gateway.process.wait()
        after_s = time.monotonic() - stopped_s
        scenario.note(f"{gateway.node} ended {after_s:.3f} s after SIGTERM")
    passed_on = {run.attempt_id for engine in engines for run in engine.runs}
    lost = 0
    for attempt in wave.attempts:
        sent_s, ended_s = attempt.sent_s - stopped_s, attempt.ended_s - stopped_s
        is_lost = (
            attempt.id in passed_on
            and not attempt.is_complete
            and sent_s > EXCUSED_S
            and ended_s < BOUNDS["grace_s"] + 1.0
            and ended_s - sent_s < DEADLINE_MS / 1000
        )
        lost += is_lost
        scenario.note(
            ("lost: " if is_lost else "") + f"{attempt.id} sent {sent_s:.3f} s and "
            f"ended {ended_s:.3f} s after SIGTERM, status {attempt.status}, "
            f"complete {attempt.is_complete}"
        )
    scenario.note_runs(engines)
    scenario.note(f"taken later than {EXCUSED_S} s, passed on and cut: {lost}")
    return lost > 0


if __name__ == "__main__":
    Scenario(Path(__file__).parent).run(main)
