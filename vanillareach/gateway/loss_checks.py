"""Finds out whether an endpoint that broke an attempt is still running."""

import math

import trio

from vanillareach.clock import MS_PER_SECOND
from vanillareach.core.messages import EndpointFault
from vanillareach.gateway.sockets import connect
from vanillareach.log import get_logger

# Time limit of the connection that checks whether an endpoint is still running.
CHECK_TIMEOUT_MS = 300.0
# A process that ends may accept a connection just before it closes the listener, which
# resets the connection.
SETTLING_MS = 10.0
SECOND_CHECK_DELAY_MS = 100.0
MAX_SECOND_CHECKS = 32

log = get_logger("request")


class EndpointLossChecker:
    """Connects to the endpoints of broken attempts and records those that are lost.

    Parameters
    ----------
    state : GatewayState
    placement_client : PlacementClient
    link_monitor : LinkMonitor
    clock : Clock
    """

    def __init__(self, state, placement_client, link_monitor, clock):
        self._state = state
        self._link_monitor = link_monitor
        self._placement_client = placement_client
        self._clock = clock
        self._limiter = trio.CapacityLimiter(MAX_SECOND_CHECKS)
        self._send_channel, self._receive_channel = trio.open_memory_channel(math.inf)

    async def run(self):
        """Check once more the endpoints that were reachable, until cancelled."""
        async with trio.open_nursery() as nursery:
            async for attempt in self._receive_channel:
                nursery.start_soon(self._check_again, attempt)

    async def check(self, attempt):
        """Record a loss if the endpoint of a broken attempt accepts no connection."""
        # Also if the caller leaves during the check.
        self._state.quarantine.record_abandoned(attempt)
        if not await self._is_lost(attempt):
            self._send_channel.send_nowait(attempt)

    def record_unreachable(self, endpoint, cause):
        """Record that an endpoint accepts no connection."""
        state = self._state
        self._link_monitor.record_failed(endpoint)
        now_ms = self._clock.now_ms()
        state.record_fault(endpoint, EndpointFault.UNREACHABLE, now_ms, is_told=False)
        self._placement_client.record_unreachable(endpoint)
        log.warning(
            "Endpoint unreachable.",
            endpoint=endpoint.id,
            cause=cause,
            set_aside=len(state.health.unreachable_by_key),
        )

    async def _check_again(self, attempt):
        async with self._limiter:
            await self._clock.sleep_ms(SECOND_CHECK_DELAY_MS)
            await self._is_lost(attempt, is_second=True)

    async def _is_lost(self, attempt, is_second=False):
        endpoint = attempt.placement.endpoint
        try:
            stream = await connect(endpoint.address, CHECK_TIMEOUT_MS)
        except OSError as error:
            if await self._link_monitor.check():
                # The own links are down; nothing is known of the endpoint.
                return True
            self._record_loss(attempt, str(error))
            return True
        is_closed = await _is_closed_soon(stream)
        stream.socket.close()
        if is_closed and self._link_monitor.uses_health:
            # The path may accept connections and end them. By the second check it is
            # known whether others do so, too.
            if not is_second or self._link_monitor.is_in_doubt():
                return False
            if await self._link_monitor.check():
                return True
        if is_closed:
            self._record_loss(attempt, "connection closed")
        return is_closed

    def _record_loss(self, attempt, cause):
        self.record_unreachable(attempt.placement.endpoint, cause)
        self._state.quarantine.record_loss(attempt)


async def _is_closed_soon(stream):
    """Return whether the other side ends a connection within `SETTLING_MS`."""
    with trio.move_on_after(SETTLING_MS / MS_PER_SECOND):
        try:
            return not await stream.receive_some(1)
        except trio.BrokenResourceError:
            return True
    return False
