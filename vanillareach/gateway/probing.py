"""Finds out when endpoints that took no connection can be reached again."""

import trio

from vanillareach.gateway.sockets import connect
from vanillareach.log import get_logger

PROBE_INTERVAL_MS = 300.0
PROBE_LIMIT_MS = 400.0

log = get_logger("probing")


class ReachabilityProber:
    """Connects to the endpoints set aside, without a request.

    Parameters
    ----------
    state : GatewayState
    clock : Clock
    """

    def __init__(self, state, clock):
        self._state = state
        self._clock = clock

    async def run(self):
        """Probe for ever."""
        while True:
            await self._clock.sleep_ms(PROBE_INTERVAL_MS)
            self._forget_unlisted()
            async with trio.open_nursery() as nursery:
                for endpoint in self._state.health.unreachable_by_key.values():
                    nursery.start_soon(self._probe, endpoint)

    def _forget_unlisted(self):
        health, listed = self._state.health, self._state.endpoints.by_id
        for key, endpoint in list(health.unreachable_by_key.items()):
            if listed.get(endpoint.id) != endpoint:
                health.note_reachable(key)

    async def _probe(self, endpoint):
        try:
            stream = await connect(endpoint.address, PROBE_LIMIT_MS)
        except OSError:
            return
        stream.socket.close()
        self._state.health.note_reachable(endpoint.key)
        log.info("Endpoint regained.", endpoint=endpoint.id)
