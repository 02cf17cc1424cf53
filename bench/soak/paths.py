"""Paths of single gateways to all endpoints that accept connections and fail them.

The gateways share the proxies, so a connection is told apart by the process that holds
its other end.
"""

import trio

from bench.soak.injectors import SeededInjector
from bench.soak.processes import process_of

PAUSE_S = (1.0, 4.0)
DURATION_S = (1.0, 5.0)
MODES = ("cut", "silent", "deaf", "mute")


class PathInjector(SeededInjector):
    """Cuts the paths of single gateways; see `SeededInjector`."""

    GENERATOR = "paths"

    async def run(self, duration_s):
        """Cut paths for `duration_s`; return when the last ones are whole."""
        end_s = trio.current_time() + duration_s
        while trio.current_time() < end_s:
            await trio.sleep(self._random.uniform(*PAUSE_S))
            gateway = self._random.choice(self._environment.gateways)
            process = process_of(gateway)
            if process is not None:
                await self._cut(gateway, process, self._random.choice(MODES))

    async def _cut(self, gateway, process, mode):
        fault = self._record_fault("paths", gateway=gateway.number, detail=mode)
        proxies = self._environment.endpoint_proxies.values()
        for proxy in proxies:
            proxy.modes_by_process = {process.id: mode}
        await trio.sleep(self._random.uniform(*DURATION_S))
        for proxy in proxies:
            proxy.modes_by_process = {}
        fault.ended_s = trio.current_time()
