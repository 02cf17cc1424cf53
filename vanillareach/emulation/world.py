"""Local store and endpoints of a scenario, with its faults."""

import random
import time
from dataclasses import replace

import trio

from vanillareach.clock import MS_PER_SECOND, TrioClock
from vanillareach.core.endpoint_list import ListedEndpoint
from vanillareach.core.routing import CallerLimits
from vanillareach.emulation.endpoints import EmulatedEngine, EmulatedService
from vanillareach.emulation.scenario import API_KEY, TEAM_NAME
from vanillareach.gateway.listener import CallerListener
from vanillareach.log import get_logger
from vanillareach.platform import emulated_wire
from vanillareach.platform.standin_store import StandinStore

# Time for which the entry of a leaving endpoint stays in the store.
LEAVING_DURATION_S = 2.0
STORE_FAILURES_BY_FAULT = {"store_busy": "busy", "store_lost": "lost"}

log = get_logger("emulation")


class EmulatedDeployment:
    """Emulated store and endpoints that gateways connect to.

    Parameters
    ----------
    scenario : Scenario
    next_address : callable
        Returns a new local address to listen at on each call.

    Attributes
    ----------
    store : StandinStore
    store_address : str
    endpoints_by_name : dict of str to EmulatedEndpoint
    traffic_started : trio.Event
        Set when the first request reaches an endpoint.
    """

    def __init__(self, scenario, next_address):
        self._scenario = scenario
        self._next_address = next_address
        self._random = random.Random(scenario.seed)
        self._entries_by_name = {}
        self._engines_by_address = {}
        self._sequence = 0
        self.store = StandinStore()
        self.store_address = next_address()
        self.endpoints_by_name = {}
        self.traffic_started = trio.Event()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until cancelled; reports itself started once all listeners are open."""
        async with trio.open_nursery() as nursery:
            await self._listen(nursery, self.store_address, self.store.handle)
            for service in self._scenario.services:
                for index in range(service.count):
                    await self._open_endpoint(nursery, service, index)
            configuration = self._scenario.route_table()
            emulated_wire.write_configuration(
                self.store, configuration, {TEAM_NAME: [API_KEY]}
            )
            task_status.started()
            await trio.sleep_forever()

    async def inject_faults(self):
        """Inject the scenario's faults; their times count from the first request."""
        await self.traffic_started.wait()
        async with trio.open_nursery() as nursery:
            for fault in self._scenario.faults:
                nursery.start_soon(self._inject, fault)

    async def _listen(self, nursery, address, handle):
        listener = CallerListener(
            address, TrioClock(), CallerLimits, handle, lambda: False
        )
        await nursery.start(listener.run)

    def _detecting_traffic(self, handle):
        async def signal_and_handle(request, responder):
            self.traffic_started.set()
            await handle(request, responder)

        return signal_and_handle

    async def _open_endpoint(self, nursery, service, index):
        name, address = f"{service.name}-{index}", self._next_address()
        if service.engine is None:
            endpoint = EmulatedService(
                name, service.slots, service.work_ms, self._random
            )
        else:
            figures = service.engine.figures()
            endpoint = EmulatedEngine(name, figures, self._engines_by_address)
            self._engines_by_address[address] = endpoint
            nursery.start_soon(endpoint.run_passes)
        await self._listen(nursery, address, self._detecting_traffic(endpoint.handle))
        self.endpoints_by_name[name] = endpoint
        domains = self._scenario.domains
        self._put_entry(
            ListedEndpoint(
                id=name,
                incarnation=int(time.time() * MS_PER_SECOND),
                service=service.name,
                address=address,
                domain=domains[index % len(domains)],
                slots=endpoint.slots,
                is_leaving=False,
            )
        )

    def _put_entry(self, entry):
        self._sequence += 1
        self._entries_by_name[entry.id] = entry
        emulated_wire.put_endpoint(self.store, entry, self._sequence)

    async def _inject(self, fault):
        await trio.sleep(fault.at_s)
        if fault.kind in STORE_FAILURES_BY_FAULT:
            self.store.failure = STORE_FAILURES_BY_FAULT[fault.kind]
            await trio.sleep(fault.for_s)
            self.store.failure = ""
            return
        affected = self._choose_endpoints(fault)
        log.info("Fault injected.", kind=fault.kind, at=[e.name for e in affected])
        if fault.kind == "leave":
            await self._leave_and_return(affected, fault.for_s)
            return
        for endpoint in affected:
            if fault.kind == "slow":
                endpoint.pace = fault.x
            elif fault.kind == "quiet":
                endpoint.start_quiet(fault.for_s)
            else:
                endpoint.start_fault(fault.kind)
        await trio.sleep(fault.for_s)
        for endpoint in affected:
            endpoint.end_faults()

    def _choose_endpoints(self, fault):
        endpoints = [
            self.endpoints_by_name[entry.id]
            for entry in self._entries_by_name.values()
            if entry.service == fault.service
        ]
        return self._random.sample(endpoints, min(fault.count, len(endpoints)))

    async def _leave_and_return(self, affected, for_s):
        """Remove endpoints from the store and add them again as new incarnations."""
        entries = [self._entries_by_name[endpoint.name] for endpoint in affected]
        for entry in entries:
            self._put_entry(replace(entry, is_leaving=True))
        for endpoint in affected:
            endpoint.is_leaving = True
        await trio.sleep(LEAVING_DURATION_S)
        for entry in entries:
            emulated_wire.remove_endpoint(self.store, entry.id)
        await trio.sleep(for_s)
        for endpoint in affected:
            endpoint.is_leaving = False
        for entry in entries:
            incarnation = int(time.time() * MS_PER_SECOND)
            self._put_entry(replace(entry, incarnation=incarnation))
