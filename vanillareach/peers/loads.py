"""Distribution of engine load reports within a failure domain."""

import trio

from vanillareach.core.loadtree import LoadTree, interval_factor
from vanillareach.core.messages import EngineLoadReport, LoadReportBatch, PushAck
from vanillareach.log import get_logger
from vanillareach.peers.link import PeerUnresponsiveError

LOAD_REPORT_TIMEOUT_MS = 500

log = get_logger("loads")


class LoadSharing:
    """Sends own load reports to the domain's collector, and batches down its tree.

    Parameters
    ----------
    fleet : Fleet
    link : PeerLink
    clock : Clock
    directory : Directory
    interval_ms : float
        Time between two reports of one engine in a domain with few engines.
    """

    def __init__(self, fleet, link, clock, directory, interval_ms):
        self._interval_ms = interval_ms
        self._membership = fleet.membership
        self._link = link
        self._clock = clock
        self._directory = directory
        self._own_engines = set()
        self._batched_engines = set()
        self._batch_sender, self._batch_receiver = trio.open_memory_channel(100)
        fleet.add_handler(LoadReportBatch, self._on_batch)

    async def run(self):
        """Send queued batches until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_batches)
            async for address, batch in self._batch_receiver:
                nursery.start_soon(self._send_batch, address, batch)

    def record_own_report(self, engine, report):
        """Record a report that this instance polled from the engine."""
        if self._apply_report(EngineLoadReport(engine, report, 0)):
            self._own_engines.add(engine)

    def send_own_reports(self):
        """Send the reports recorded by this instance to the collector."""
        engines, self._own_engines = self._own_engines, set()
        if not engines:
            return
        tree = self._load_tree()
        if tree.collector == self._membership.own.name:
            self._batched_engines |= engines
        else:
            batch = LoadReportBatch(
                self._engine_loads(engines), is_from_collector=False
            )
            self._enqueue_batch((tree.collector,), batch)

    async def _send_batches(self):
        while True:
            await self._clock.sleep_ms(self.interval_ms())
            engines, self._batched_engines = self._batched_engines, set()
            if engines:
                self._forward_batch(engines)

    async def _on_batch(self, batch):
        updated_engines = {
            load.engine for load in batch.loads if self._apply_report(load)
        }
        if not batch.is_from_collector:
            self._batched_engines |= updated_engines
        elif updated_engines:
            self._forward_batch(updated_engines)
        return PushAck()

    def interval_ms(self):
        """Return the report interval, which is longer in a domain with many engines."""
        domain = self._membership.own.domain
        engines = sum(
            state.spec.domain == domain
            for state in self._directory.endpoints_by_id.values()
        )
        return self._interval_ms * interval_factor(engines)

    def _engine_loads(self, engines):
        now_ms = self._clock.now_ms()
        states = [
            self._directory.endpoints_by_id[name]
            for name in sorted(engines)
            if name in self._directory.endpoints_by_id
        ]
        return tuple(
            EngineLoadReport(
                state.spec.name, state.report, max(0, round(now_ms - state.reported_ms))
            )
            for state in states
        )

    def _forward_batch(self, engines):
        receivers = self._load_tree().children_of(self._membership.own.name)
        self._enqueue_batch(
            receivers,
            LoadReportBatch(self._engine_loads(engines), is_from_collector=True),
        )

    def _enqueue_batch(self, names, batch):
        addresses_by_name = {
            record.name: record.address for record in self._membership.alive()
        }
        for name in names:
            try:
                self._batch_sender.send_nowait((addresses_by_name[name], batch))
            except trio.WouldBlock:
                log.warning("Load report queue full; dropped a batch.")

    async def _send_batch(self, address, batch):
        try:
            await self._link.call(address, batch, LOAD_REPORT_TIMEOUT_MS)
        except PeerUnresponsiveError:
            log.debug("Peer did not acknowledge load reports.", address=address)

    def _load_tree(self):
        domain = self._membership.own.domain
        names = [record.name for record in self._membership.alive(domain)]
        return LoadTree(domain, names)

    def _apply_report(self, load):
        """Apply a report to the directory; return whether it was newer."""
        state = self._directory.endpoints_by_id.get(load.engine)
        if state is None:
            return False
        read_ms = self._clock.now_ms() - load.age_ms
        return state.apply_report(load.report, read_ms)
