"""Finds out whether this instance has lost its links to the endpoints.

A failed connection alone doesn't tell whether the endpoint or the own link is down. So
after each one the monitor connects to a few other endpoints at once; lost links are known
after the time of two connections. While they are lost, it goes on connecting.
"""

import random

import trio

from vanillareach.core.endpoint_reach import MIN_UNREACHED_ENDPOINTS
from vanillareach.gateway.sockets import connect
from vanillareach.log import get_logger

CHECK_TIMEOUT_MS = 300.0
# Pause between two checks while links are lost.
CHECK_INTERVAL_MS = 250.0

log = get_logger("probing")


class LinkMonitor:
    """Keeps the `EndpointReach` of an instance up to date.

    Parameters
    ----------
    state : GatewayState
    clock : Clock
    """

    def __init__(self, state, clock):
        self._state = state
        self._clock = clock
        self._random = random.Random()
        self._wake_event = trio.Event()
        self._check_event = None

    def record_connected(self):
        """Record that a connection to an endpoint was made."""
        if self._state.reach.record_connected():
            # Their links were down, not they.
            self._state.health.unreachable_by_key.clear()
            log.warning("Links to endpoints regained.")
            self._state.publish()

    def record_failed(self, endpoint):
        """Record that no connection to an endpoint was made; check others soon."""
        state = self._state
        listed_count = len(state.endpoints.by_id)
        if state.reach.record_failed(endpoint.id, listed_count, self._clock.now_ms()):
            log.warning(
                "Links to endpoints lost.",
                listed=listed_count,
                set_aside=len(state.health.unreachable_by_key),
                flights=state.load_state.own_flight_count,
            )
            state.publish()
        self._wake_event.set()

    async def run(self):
        """Check a few endpoints after each failure, and while links are lost."""
        while True:
            if not self._state.reach.is_lost:
                await self._wake_event.wait()
            self._wake_event = trio.Event()
            await self.check()
            await self._clock.sleep_ms(CHECK_INTERVAL_MS)

    async def check(self):
        """Connect to a few endpoints at once; return whether links are lost.

        Calls at the same time share one check.
        """
        if self._check_event is not None:
            await self._check_event.wait()
            return self._state.reach.is_lost
        self._check_event = trio.Event()
        try:
            listed = list(self._state.endpoints.by_id.values())
            count = min(MIN_UNREACHED_ENDPOINTS, len(listed))
            async with trio.open_nursery() as nursery:
                for endpoint in self._random.sample(listed, count):
                    nursery.start_soon(self._check_endpoint, endpoint)
        finally:
            self._check_event.set()
            self._check_event = None
        return self._state.reach.is_lost

    async def _check_endpoint(self, endpoint):
        try:
            stream = await connect(endpoint.address, CHECK_TIMEOUT_MS)
        except OSError:
            self.record_failed(endpoint)
            return
        stream.socket.close()
        self.record_connected()
