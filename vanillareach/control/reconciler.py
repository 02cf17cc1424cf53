"""Sends engines the orders that bring a service to its desired state."""

import msgspec
import trio

from vanillareach.control.object_api import PlatformError
from vanillareach.core.leases import RENEW_INTERVAL_MS, Lease, LeaseRecord
from vanillareach.core.objects import ServiceKind
from vanillareach.core.reconciling import ObservedEngine, engines_to_change
from vanillareach.core.rendezvous import owner_of
from vanillareach.endpoints.base import EndpointError
from vanillareach.endpoints.engine import EngineOrder, OrderRefusedError
from vanillareach.log import get_logger
from vanillareach.utils import new_id

LEASE_COLLECTION = "leases"
IDLE_CHECK_INTERVAL_MS = 10_000
# A check that falls due within this time is made in the current round, not the next.
EARLY_CHECK_TOLERANCE_MS = 500

log = get_logger("reconciler")


class Reconciler:
    """Reconciles the services for which this instance is preferred.

    Rendezvous hashing selects the instance that tries to get a service's lease. Only
    the holder of the lease may send orders.

    Parameters
    ----------
    components : EntryComponents
    platform : Platform
    engines : EngineClient
    fleet : Fleet
    """

    def __init__(self, components, platform, engines, fleet):
        self._components = components
        self._platform = platform
        self._engines = engines
        self._fleet = fleet
        self.leases_by_service = {}
        self.orders_sent = 0
        self._last_check_by_service = {}

    async def run(self):
        """Reconcile until cancelled."""
        while True:
            await self._components.clock.sleep_ms(RENEW_INTERVAL_MS)
            for service in list(self._components.view().services_by_name.values()):
                if service.kind is ServiceKind.ENGINE and self._is_preferred(service):
                    await self._reconcile_if_due(service)

    async def _reconcile_if_due(self, service):
        """Reconcile a service, less often while there is nothing to change."""
        now_ms = self._components.clock.now_ms()
        checked_spec, next_check_ms = self._last_check_by_service.get(
            service.name, (None, 0.0)
        )
        if checked_spec == service and now_ms < next_check_ms:
            return
        await self._reconcile(service)
        has_pending_changes = service.name in self.leases_by_service
        interval_ms = (
            RENEW_INTERVAL_MS if has_pending_changes else IDLE_CHECK_INTERVAL_MS
        )
        self._last_check_by_service[service.name] = (
            service,
            now_ms + interval_ms - EARLY_CHECK_TOLERANCE_MS,
        )

    def _is_preferred(self, service):
        members = self._fleet.membership
        names = [record.name for record in members.alive()]
        return owner_of(f"reconcile/{service.name}", names) == members.own.name

    async def _reconcile(self, service):
        observed = await self._read_engines(service)
        names = engines_to_change(observed, service)
        if not names:
            # With nothing to change no lease is needed, so none is written.
            self.leases_by_service.pop(service.name, None)
            return
        lease = self.leases_by_service.setdefault(
            service.name, Lease(self._components.owner)
        )
        try:
            await self._acquire_or_renew(service.name, lease)
        except PlatformError as error:
            log.info("Lease not renewed.", service=service.name, error=str(error))
        for name in names:
            await self._send_order(service, lease, name)

    async def _acquire_or_renew(self, name, lease):
        """Acquire or renew a lease, unless another instance may hold it."""
        clock = self._components.clock
        stored = await self._platform.read(LEASE_COLLECTION, name)
        record = msgspec.convert(stored.spec, LeaseRecord) if stored else None
        lease.record_read(record, clock.now_ms())
        new_record = lease.next_record(new_id("l"), clock.now_ms())
        if new_record is None:
            return
        lease.record_write_start(new_record, clock.now_ms())
        version = stored.metadata.resourceVersion if stored else ""
        # If the response is lost, the next read shows whether the write took effect.
        await self._platform.write(
            LEASE_COLLECTION, name, msgspec.to_builtins(new_record), version
        )
        lease.record_read(new_record, clock.now_ms())

    async def _read_engines(self, service):
        observed = []

        async def read(state):
            try:
                order = await self._engines.read_order(state.spec.address)
            except EndpointError:
                order = None
            observed.append(ObservedEngine(state.spec.name, order))

        async with trio.open_nursery() as nursery:
            for state in self._components.directory.of_service(service.name):
                nursery.start_soon(read, state)
        return sorted(observed, key=lambda engine: engine.name)

    async def _send_order(self, service, lease, name):
        state = self._components.directory.endpoints_by_id.get(name)
        checks_fencing = service.engines_check_fencing
        if state is None or not lease.may_order(
            self._components.clock.now_ms(), checks_fencing
        ):
            return
        order = EngineOrder(
            service.model, service.version, service.adapters, fencing=lease.fencing
        )
        try:
            await self._engines.send_order(state.spec.address, order)
            self.orders_sent += 1
        except OrderRefusedError:
            log.warning(
                "Order refused; another instance holds the lease.", endpoint=name
            )
        except EndpointError as error:
            log.warning("Order got no valid response.", endpoint=name, error=str(error))
