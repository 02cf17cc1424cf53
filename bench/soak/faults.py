"""Faults of a soak, drawn from a seed; several may overlap."""

import random

import trio

from bench.soak.observations import Fault
from bench.soak.processes import process_of, send_signal
from bench.soak.world import DESK_NAMES, ENGINE_NAMES

# Steps of an endpoint's script, by the first letter of its name: engines and services.
FAULT_STEPS_BY_NAME_PREFIX = {
    "m": ("torn", "shed", "gap", "unsigned", "mute", "misdirect"),
    "d": ("fail", "shed", "cut", "reset", "unsigned", "stale", "encoded"),
}
# Probability that the next fault follows without a pause.
OVERLAP_PROBABILITY = 0.4


class FaultInjector:
    """Injects random faults for a given time and records them.

    Each method ``_do_KIND`` injects one fault of its kind and ends it if it lasts. It
    is given the `Fault` and adds the target to it.

    Parameters
    ----------
    environment : SoakEnvironment
    """

    def __init__(self, environment):
        self._environment = environment
        self._observations = environment.observations
        self._random = environment.random
        # Drills have a generator of their own, so that the other faults of a seed are
        # the same with and without them.
        self._drill_random = random.Random(environment.version)

    async def run(self, duration_s):
        """Inject faults for `duration_s`, then wait for those that still last."""
        end_s = trio.current_time() + duration_s
        kinds = [name[4:] for name in dir(self) if name.startswith("_do_")]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_drills, end_s)
            while trio.current_time() < end_s:
                kind = self._random.choice(kinds)
                nursery.start_soon(self.inject, kind)
                if self._random.random() > OVERLAP_PROBABILITY:
                    await trio.sleep(0.2 + self._random.random())

    async def _run_drills(self, end_s):
        """Let the store come back from an older copy, now and then."""
        pause = self._drill_random.random
        while trio.current_time() < end_s:
            await trio.sleep(1 + 3 * pause())
            copy = self._environment.stage.store.copy()
            await trio.sleep(0.2 + 2 * pause())
            fault = self._record("drill")
            self._environment.restore_store(copy)
            await trio.sleep(0.2 + pause())
            self._environment.write_again()
            fault.ended_s = trio.current_time()

    def _record(self, kind):
        fault = Fault(kind, trio.current_time())
        self._observations.faults.append(fault)
        return fault

    async def inject(self, kind):
        """Inject one fault of a kind."""
        fault = self._record(kind)
        await getattr(self, "_do_" + kind)(fault)
        fault.ended_s = trio.current_time()

    def _signal_random_gateway(self, fault, name):
        gateway = self._random.choice(self._environment.gateways)
        fault.gateway = gateway.number
        process = process_of(gateway)
        return process if send_signal(self._observations, process, name) else None

    async def _do_kill(self, fault):
        self._signal_random_gateway(fault, "KILL")
        await trio.sleep(1.0)

    async def _do_terminate(self, fault):
        self._signal_random_gateway(fault, "TERM")
        await trio.sleep(1.0)

    async def _do_reload(self, fault):
        self._signal_random_gateway(fault, "HUP")

    async def _do_pause(self, fault):
        process = self._signal_random_gateway(fault, "STOP")
        if process is None:
            return
        await trio.sleep(0.3 + 2 * self._random.random())
        send_signal(self._observations, process, "CONT")

    async def _apply_mode(self, fault, proxy, mode):
        fault.detail = proxy.mode = mode
        await trio.sleep(0.3 + 2 * self._random.random())
        proxy.mode = "pass"
        if mode == "silent":
            proxy.reset_all()

    async def _do_store_link(self, fault):
        fault.gateway = self._random.randrange(len(self._environment.store_proxies))
        mode = self._random.choice(("delay", "silent", "deaf", "cut"))
        proxy = self._environment.store_proxies[fault.gateway]
        await self._apply_mode(fault, proxy, mode)

    async def _do_store(self, fault):
        store = self._environment.stage.store
        store.failure = fault.detail = self._random.choice(("busy", "lost"))
        await trio.sleep(0.3 + 2 * self._random.random())
        store.failure = ""

    async def _do_history(self, fault):
        self._environment.write_configuration()
        self._environment.stage.store.discard_history()

    async def _do_endpoint_link(self, fault):
        fault.endpoint = self._random.choice((*ENGINE_NAMES, *DESK_NAMES))
        mode = self._random.choice(("delay", "silent", "deaf", "cut"))
        proxy = self._environment.endpoint_proxies[fault.endpoint]
        await self._apply_mode(fault, proxy, mode)

    async def _do_endpoint_reset(self, fault):
        fault.endpoint = self._random.choice((*ENGINE_NAMES, *DESK_NAMES))
        self._environment.endpoint_proxies[fault.endpoint].reset_all()

    async def _do_endpoint_answers(self, fault):
        name = fault.endpoint = self._random.choice((*ENGINE_NAMES, *DESK_NAMES))
        step = fault.detail = self._random.choice(FAULT_STEPS_BY_NAME_PREFIX[name[0]])
        endpoint = self._environment.endpoints_by_name[name]
        endpoint.script.extend([step] * self._random.randint(1, 6))

    async def _do_configuration(self, fault):
        self._environment.write_configuration()
