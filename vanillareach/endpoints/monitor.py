"""Polls the load of engines and cancels their expired requests."""

import trio

from vanillareach.core.loadtree import polls_engine_load
from vanillareach.core.objects import ServiceKind
from vanillareach.core.sweeping import expired_requests
from vanillareach.endpoints.base import EndpointError, EndpointLimitError
from vanillareach.log import get_logger

SWEEP_INTERVAL_MS = 2000

log = get_logger("endpoints")


class EngineMonitor:
    """Monitors the engines of the failure domain that are assigned to this instance.

    Cancelling an expired request frees the memory that the engine still uses for it.

    Parameters
    ----------
    components : EntryComponents
    engines : EngineClient
    fleet : Fleet
        Provides the living instances, among which the engines are divided, and drains
        engines that report that they are leaving.
    loads : LoadSharing
        Records and distributes the load reports.
    """

    def __init__(self, components, engines, fleet, loads):
        self._components = components
        self._engines = engines
        self._fleet = fleet
        self._loads = loads
        self._service_kinds_by_name = {}

    async def run(self):
        """Poll loads and cancel expired requests until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_loads)
            nursery.start_soon(self._sweep_expired)

    async def _poll_loads(self):
        while True:
            await self._for_each_engine(self._read_load)
            self._loads.send_own_reports()
            await self._components.clock.sleep_ms(self._loads.interval_ms())

    async def _sweep_expired(self):
        while True:
            await self._components.clock.sleep_ms(SWEEP_INTERVAL_MS)
            await self._for_each_engine(self._cancel_expired)

    async def _for_each_engine(self, action):
        async with trio.open_nursery() as nursery:
            for state in self._assigned_engines():
                nursery.start_soon(self._run_logging_errors, action, state)

    async def _run_logging_errors(self, action, state):
        try:
            await action(state)
        except EndpointLimitError as error:
            log.warning(
                "Engine answer broken off.", endpoint=state.spec.name, error=str(error)
            )
        except EndpointError as error:
            log.debug("Engine call failed.", endpoint=state.spec.name, error=str(error))

    def _assigned_engines(self):
        settings = self._components.settings
        # The engines of a service that was deleted may still run its requests.
        self._service_kinds_by_name.update(
            (spec.name, spec.kind)
            for spec in self._components.view().services_by_name.values()
        )
        alive = self._fleet.membership.alive(settings.domain)
        names = [record.name for record in alive]
        return [
            state
            for state in self._components.directory.endpoints_by_id.values()
            if state.spec.domain == settings.domain
            and self._service_kinds_by_name.get(state.spec.service)
            is ServiceKind.ENGINE
            and polls_engine_load(settings.name, state.spec.name, names)
        ]

    async def _read_load(self, state):
        report = await self._engines.read_load(state.spec.address)
        self._loads.record_own_report(state.spec.name, report)
        if report.leaving:
            self._fleet.drain(state.spec.name)

    async def _cancel_expired(self, state):
        resident = await self._engines.list_requests(state.spec.address)
        for request in expired_requests(resident, self._components.clock.wall_ms()):
            log.warning(
                "Cancelling expired request.",
                endpoint=state.spec.name,
                request=request.request_id,
            )
            await self._engines.cancel(state.spec.address, request.request_id)
