"""Faults of a soak, drawn from a seed; several may overlap."""

import os
import random
import signal
from pathlib import Path

import trio

from bench.soak.world import DESK_NAMES, ENGINE_NAMES

PID_FOLDER = Path("build/entries")
# Steps of an endpoint's script, by the first letter of its name: engines and services.
FAULT_STEPS_BY_NAME_PREFIX = {
    "m": ("torn", "shed", "gap", "unsigned", "mute", "misdirect"),
    "d": ("fail", "shed", "cut", "reset", "unsigned", "stale", "encoded"),
}
# Probability that the next fault follows without a pause.
OVERLAP_PROBABILITY = 0.4


class FaultInjector:
    """Injects random faults for a given time.

    Each method ``_do_KIND`` injects one fault of its kind, ends it if it lasts and
    returns its target.

    Parameters
    ----------
    environment : SoakEnvironment

    Attributes
    ----------
    injected_faults : list of tuple
        Start and end in seconds, kind and target of each fault that is over.
    """

    def __init__(self, environment):
        self._environment = environment
        self._random = environment.random
        # Drills have a generator of their own, so that the other faults of a seed are
        # the same with and without them.
        self._drill_random = random.Random(environment.version)
        self.injected_faults = []

    async def run(self, duration_s):
        """Inject faults for `duration_s`, then wait for those that still last."""
        end_s = trio.current_time() + duration_s
        kinds = [name[4:] for name in dir(self) if name.startswith("_do_")]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_drills, end_s)
            while trio.current_time() < end_s:
                kind = self._random.choice(kinds)
                nursery.start_soon(self._inject, kind)
                if self._random.random() > OVERLAP_PROBABILITY:
                    await trio.sleep(0.2 + self._random.random())

    async def _run_drills(self, end_s):
        """Let the store come back from an older copy, now and then."""
        pause = self._drill_random.random
        while trio.current_time() < end_s:
            await trio.sleep(1 + 3 * pause())
            copy = self._environment.stage.store.copy()
            await trio.sleep(0.2 + 2 * pause())
            started_s = trio.current_time()
            interval = [started_s, float("inf")]
            self._environment.fault_intervals.append(interval)
            self._environment.restore_store(copy)
            await trio.sleep(0.2 + pause())
            self._environment.write_again()
            interval[1] = trio.current_time()
            self.injected_faults.append(
                (round(started_s, 2), round(interval[1], 2), "drill", None)
            )

    async def _inject(self, kind):
        started_s = trio.current_time()
        interval = [started_s, float("inf")]
        self._environment.fault_intervals.append(interval)
        target = await getattr(self, "_do_" + kind)()
        interval[1] = trio.current_time()
        self.injected_faults.append(
            (round(started_s, 2), round(interval[1], 2), kind, target)
        )

    def _signal_random_gateway(self, signal_number):
        gateway = self._random.choice(self._environment.gateways)
        path = PID_FOLDER / str(gateway.number)
        try:
            os.kill(int(path.read_text()), signal_number)
        except (OSError, ValueError):
            return None
        return gateway.number

    async def _do_kill(self):
        target = self._signal_random_gateway(signal.SIGKILL)
        await trio.sleep(1.0)
        return target

    async def _do_terminate(self):
        target = self._signal_random_gateway(signal.SIGTERM)
        await trio.sleep(1.0)
        return target

    async def _do_reload(self):
        return self._signal_random_gateway(signal.SIGHUP)

    async def _do_pause(self):
        gateway = self._random.choice(self._environment.gateways)
        try:
            pid = int((PID_FOLDER / str(gateway.number)).read_text())
            os.kill(pid, signal.SIGSTOP)
            await trio.sleep(0.3 + 2 * self._random.random())
        except (OSError, ValueError):
            return None
        try:
            os.kill(pid, signal.SIGCONT)
        except OSError:
            return None
        return gateway.number

    async def _apply_mode(self, proxy, mode):
        proxy.mode = mode
        await trio.sleep(0.3 + 2 * self._random.random())
        proxy.mode = "pass"
        if mode == "silent":
            proxy.reset_all()

    async def _do_store_link(self):
        number = self._random.randrange(len(self._environment.store_proxies))
        mode = self._random.choice(("delay", "silent", "deaf", "cut"))
        await self._apply_mode(self._environment.store_proxies[number], mode)
        return number, mode

    async def _do_store(self):
        store = self._environment.stage.store
        store.failure = self._random.choice(("busy", "lost"))
        failure = store.failure
        await trio.sleep(0.3 + 2 * self._random.random())
        store.failure = ""
        return failure

    async def _do_history(self):
        self._environment.write_configuration()
        self._environment.stage.store.discard_history()

    async def _do_endpoint_link(self):
        name = self._random.choice((*ENGINE_NAMES, *DESK_NAMES))
        mode = self._random.choice(("delay", "silent", "deaf", "cut"))
        await self._apply_mode(self._environment.endpoint_proxies[name], mode)
        return name, mode

    async def _do_endpoint_reset(self):
        name = self._random.choice((*ENGINE_NAMES, *DESK_NAMES))
        self._environment.endpoint_proxies[name].reset_all()
        return name

    async def _do_endpoint_answers(self):
        name = self._random.choice((*ENGINE_NAMES, *DESK_NAMES))
        step = self._random.choice(FAULT_STEPS_BY_NAME_PREFIX[name[0]])
        endpoint = self._environment.endpoints_by_name[name]
        endpoint.script.extend([step] * self._random.randint(1, 6))
        return name, step

    async def _do_configuration(self):
        self._environment.write_configuration()
        return self._environment.version
