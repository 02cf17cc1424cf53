"""A small fleet: the store, engines and gateways of one script, and its exit code."""

import asyncio
import os
import sys
import tempfile

from standins import (
    ENGINE_FIGURES,
    Channel,
    Gateway,
    Record,
    Store,
    configuration,
    now_s,
)

BROKEN, HELD, UNABLE = 1, 0, 2
HEARTBEAT_S = 1.2
# Time for the gateways to hear of each other before the first request.
SETTLING_S = 1.0


def has_trouble():
    """Return whether the script runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def pool_service(slots):
    """Return a service of model engines as operators write it."""
    return {
        "name": "pool",
        "max_connections": 374,
        "health_path": "/health",
        "engine": dict(ENGINE_FIGURES, slots=slots),
    }


def plain_service(name):
    """Return a plain service as operators write it."""
    return {"name": name, "max_connections": 110, "health_path": "/health"}


class Fleet:
    """Store, engines and gateways of one script.

    Parameters
    ----------
    folder : str
        For the logs of the gateways.

    Attributes
    ----------
    engines : list
        What writes entries into the store; each has `name` and `entry`.
    """

    def __init__(self, folder):
        self.folder = folder
        self.record = Record()
        self.store = Store()
        self.engines = []
        self.gateways = []
        self.tasks = set()

    async def open(self, services, routes, zones=("zone-a", "zone-b", "zone-c")):
        """Write config and entries, and start one gateway for each of `zones`."""
        for engine in self.engines:
            self.store.put("servers", engine.name, engine.entry())
        self.store.put("config", "main", configuration(3, services, routes))
        address = await self.store.serve()
        for number, zone in enumerate(zones):
            self.gateways.append(Gateway(f"g{number}", zone, address, self.folder))
        for gateway in self.gateways:
            await gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()
        self.start_soon(self._write_entries())
        await asyncio.sleep(SETTLING_S)
        self.record.started_s = now_s()

    def start_soon(self, coroutine):
        """Run a coroutine in the background; return its task."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        return task

    def time_s(self):
        """Return the time since the start of traffic."""
        return now_s() - self.record.started_s

    async def ask(self, gateway, method, path, attempt_id, headers, body=None):
        """Send one request on a channel of its own; record and return the `Answer`."""
        channel = Channel(gateway.front)
        begin_s = self.time_s()
        self.record.add(f"caller sends {attempt_id} {method} {path} to {gateway.name}")
        answer = await channel.ask(method, path, attempt_id, headers, body)
        channel.close()
        answer.begin_s = begin_s
        state = "whole" if answer.is_complete else "cut"
        text = answer.body[:60] if answer.status >= 300 else len(answer.body)
        self.record.add(f"caller gets {attempt_id} {answer.status} {state} {text}")
        return answer

    async def close(self):
        """End all processes and tasks."""
        for gateway in self.gateways:
            await gateway.end()
        for task in self.tasks:
            task.cancel()

    async def _write_entries(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for engine in self.engines:
                self.store.put("servers", engine.name, engine.entry())


def run_script(play, record_path):
    """Run ``play(fleet)``, which returns an exit code, and exit with that.

    Parameters
    ----------
    play : callable
        Coroutine function.
    record_path : Path
    """

    async def run():
        # Channels that end with the script leave errors that tell nothing.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        with tempfile.TemporaryDirectory(prefix="review-") as folder:
            fleet = Fleet(folder)
            try:
                async with asyncio.timeout(110):
                    return await play(fleet)
            finally:
                await fleet.close()
                fleet.record.write(record_path)

    try:
        code = asyncio.run(run())
    except Exception as error:
        print(f"could not run: {error!r}")
        code = UNABLE
    sys.exit(code)
