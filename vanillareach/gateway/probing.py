"""Probes unreachable endpoints, and ejects those of silent failure domains.

An endpoint that can't be reached stays ejected until a connection to it is made.
"""

import trio

from vanillareach.core.domain_silence import SilentDomainDetector
from vanillareach.gateway.sockets import connect
from vanillareach.log import get_logger

PROBE_INTERVAL_MS = 300.0
# Interval at which an instance that doesn't probe uses all endpoints again.
DROP_INTERVAL_MS = 3_000.0
PROBE_TIMEOUT_MS = 400.0

log = get_logger("probing")


class ReachabilityProber:
    """Probes endpoints ejected as unreachable, by a connection without a request.

    In a large fleet only the placers probe, to which the others report what they can't
    reach; otherwise connections would grow with the number of instances.

    Parameters
    ----------
    state : GatewayState
    gossip : Gossip
        Provides when the instances of each domain were last heard.
    clock : Clock
    """

    def __init__(self, state, gossip, clock):
        self._state = state
        self._gossip = gossip
        self._clock = clock
        self._silent_domain_detector = SilentDomainDetector()

    async def run(self):
        """Probe at an interval until cancelled."""
        while True:
            if not self._gossip.has_full_picture:
                await self._clock.sleep_ms(DROP_INTERVAL_MS)
                if not self._gossip.has_full_picture:
                    self._state.health.unreachable_by_key.clear()
                continue
            await self._clock.sleep_ms(PROBE_INTERVAL_MS)
            self._eject_silent_domains()
            self._stop_probing_unlisted_endpoints()
            async with trio.open_nursery() as nursery:
                for endpoint in self._state.health.unreachable_by_key.values():
                    nursery.start_soon(self._probe, endpoint)

    def _eject_silent_domains(self):
        state = self._state
        silent_domains = self._silent_domain_detector.newly_silent(
            self._gossip.peers.last_heard_ms_by_domain(),
            self._gossip.peers.beacon_interval_ms(),
            self._clock.now_ms(),
        )
        for domain in silent_domains:
            state.health.eject_domain(domain, state.endpoints.by_id.values())
            log.warning("Domain silent.", domain=domain)

    def _stop_probing_unlisted_endpoints(self):
        """Stop probing endpoints whose entry was removed or has changed."""
        health, listed_by_id = self._state.health, self._state.endpoints.by_id
        for key, endpoint in list(health.unreachable_by_key.items()):
            if listed_by_id.get(endpoint.id) != endpoint:
                health.record_reachable(key)

    async def _probe(self, endpoint):
        try:
            stream = await connect(endpoint.address, PROBE_TIMEOUT_MS)
        except OSError:
            return
        stream.socket.close()
        self._state.health.record_reachable(endpoint.key, self._clock.now_ms())
        log.info("Endpoint regained.", endpoint=endpoint.id)
