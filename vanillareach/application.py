"""Application of one entry instance: construction, start and graceful stop."""

import functools
import random

import trio

from vanillareach.clock import TrioClock
from vanillareach.control.object_api import HttpPlatform
from vanillareach.endpoints.http import HttpEndpoints
from vanillareach.log import get_logger
from vanillareach.node import Ports, build_node
from vanillareach.peers.link import NngLink
from vanillareach.servers import StopSignals, start_server
from vanillareach.traffic import ControlTraffic
from vanillareach.utils import freeze_startup_objects

LEAVE_PROPAGATION_MS = 1000
SETTLEMENT_TIMEOUT_S = 5

log = get_logger("main")


class Application:
    """One entry instance.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    """

    def __init__(self, settings):
        self.settings = settings
        self.clock = TrioClock()
        self.random = random.Random()
        self.stop_signals = StopSignals()
        self.servers_stopping = trio.Event()
        self.traffic = ControlTraffic()

    async def run(self):
        """Serve until a stop signal, then finish the requests in progress."""
        async with trio.open_nursery() as nursery:
            self.build(nursery)
            await nursery.start(self.stop_signals.watch, nursery.cancel_scope)
            await self.start(nursery)
            log.info("Serving.", name=self.settings.name, listen=self.settings.listen)
            await self.stop_signals.stopping.wait()
            log.info("Stopping.")
            await self.stop()
            nursery.cancel_scope.cancel()
        self.stop_signals.ignore()
        log.info("Stopped.")

    def build(self, nursery):
        """Create all components; nothing is sent or received yet."""
        settings = self.settings
        self.platform = HttpPlatform(
            settings.platform,
            self.clock,
            settings.platform_calls_per_second,
            settings.platform_call_limit_ms,
            self.traffic,
        )
        self.endpoints = HttpEndpoints(settings.connect_limit_ms)
        self.control_endpoints = HttpEndpoints(settings.connect_limit_ms, self.traffic)
        self.link = NngLink(settings.peer_listen, settings.peer_key, self.traffic)
        self.node = build_node(
            settings,
            self.clock,
            self.random,
            nursery,
            Ports(self.platform, self.endpoints, self.control_endpoints, self.link),
        )
        self.components = self.node.components
        self._add_gauges()

    def _add_gauges(self):
        metrics = self.components.metrics
        traffic = self.traffic
        metrics.add_gauge(
            "control_bytes_in", "Control bytes received.", lambda: traffic.bytes_in
        )
        metrics.add_gauge(
            "control_bytes_out", "Control bytes sent.", lambda: traffic.bytes_out
        )
        metrics.add_gauge(
            "platform_calls",
            "Calls made to the platform.",
            lambda: sum(self.platform.calls_by_method.values()),
        )
        metrics.add_gauge(
            "open_requests",
            "Requests in progress.",
            lambda: self.node.app.open_exchanges,
        )

    async def start(self, nursery):
        """Start all tasks, and return once callers can connect."""
        nursery.start_soon(self.node.run)
        self.servers_stopped = await start_server(
            nursery,
            self.node.app,
            self.settings.listen,
            self.servers_stopping,
            self.settings.stop_limit_s,
        )

    async def stop(self):
        """Finish running requests, store pending settlements, and close connections."""
        self.components.stopping = True
        await self.node.fleet.leave()
        # Requests that still arrive are served until peers and the load balancer have
        # noticed the stop.
        await self.clock.sleep_ms(LEAVE_PROPAGATION_MS)
        await self._wait_until(self.settings.stop_limit_s, self._is_idle)
        await self._wait_until(SETTLEMENT_TIMEOUT_S, self._is_settled)
        self.servers_stopping.set()
        with trio.move_on_after(self.settings.stop_limit_s):
            await self.servers_stopped.wait()
        self.components.traces.close()
        self.link.close()
        await self.endpoints.close()
        await self.control_endpoints.close()
        await self.platform.close()

    def _is_settled(self):
        return not self.components.ledger.pending_settlements

    def _is_idle(self):
        return self.node.app.open_exchanges == 0

    async def _wait_until(self, timeout_s, condition):
        with trio.move_on_after(timeout_s):
            while not condition():
                await trio.sleep(0.05)


def run_application(settings):
    """Run one entry instance until it has stopped."""
    freeze_startup_objects()
    trio.run(functools.partial(Application(settings).run))
