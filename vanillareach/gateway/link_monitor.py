"""Finds out whether this instance has lost its links to the endpoints.

A failed connection alone doesn't tell whether the endpoint or the own link is down. So
after each one the monitor connects to a few other endpoints at once; lost links are
known after the time of two connections. While they are lost, it goes on checking.
"""

import random

import trio

from vanillareach.core.endpoint_reach import choose_checked
from vanillareach.core.messages import EndpointFault
from vanillareach.gateway.sockets import connect
from vanillareach.log import get_logger

CHECK_TIMEOUT_MS = 300.0
# Pause between two checks while links are lost, and while they aren't.
LOST_CHECK_INTERVAL_MS = 250.0
CHECK_INTERVAL_MS = 100.0

log = get_logger("probing")


class LinkMonitor:
    """Keeps the `EndpointReach` of an instance up to date.

    Parameters
    ----------
    state : GatewayState
    domain : str
        Failure domain of the instance.
    clock : Clock
    """

    def __init__(self, state, domain, clock):
        self._state = state
        self._domain = domain
        self._clock = clock
        self._random = random.Random()
        # Endpoints that may be unreachable, of which peers are told after a check.
        self._suspects = []
        self._suspect_event = trio.Event()
        self._check_event = None

    def record_failed(self, endpoint):
        """Check the links soon, since no connection to an endpoint was made.

        Peers are told of the endpoint unless the links are lost.
        """
        self._suspects.append(endpoint)
        self._suspect_event.set()

    async def run(self):
        """Check the links after each failure, and while they are lost."""
        while True:
            if not self._state.reach.is_lost:
                await self._suspect_event.wait()
            self._suspect_event = trio.Event()
            suspects, self._suspects = self._suspects, []
            if await self.check():
                await self._clock.sleep_ms(LOST_CHECK_INTERVAL_MS)
                continue
            for endpoint in suspects:
                self._state.tell_fault(endpoint, EndpointFault.UNREACHABLE)
            await self._clock.sleep_ms(CHECK_INTERVAL_MS)

    async def check(self):
        """Connect to a few endpoints at once; return whether links are lost.

        Calls at the same time share one check.
        """
        if self._check_event is not None:
            await self._check_event.wait()
            return self._state.reach.is_lost
        event = self._check_event = trio.Event()
        try:
            await self._check()
        finally:
            self._check_event = None
            event.set()
        return self._state.reach.is_lost

    async def _check(self):
        state = self._state
        listed = state.endpoints.by_id.values()
        checked = choose_checked(listed, self._domain, self._random)
        connected = []

        async def check_endpoint(endpoint):
            try:
                stream = await connect(endpoint.address, CHECK_TIMEOUT_MS)
            except OSError:
                return
            stream.socket.close()
            connected.append(endpoint.id)

        async with trio.open_nursery() as nursery:
            for endpoint in checked:
                nursery.start_soon(check_endpoint, endpoint)
        if not state.reach.record_check(len(connected), len(checked)):
            return
        log.warning(
            "Links to endpoints lost." if state.reach.is_lost else "Links regained.",
            checked=[endpoint.id for endpoint in checked],
            connected=connected,
            set_aside=len(state.health.unreachable_by_key),
            flights=state.load_state.own_flight_count,
        )
        state.publish()
