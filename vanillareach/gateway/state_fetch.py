"""Fetches configuration and endpoints from a peer that has newer ones.

They don't fit into a datagram, so a beacon only tells their versions and ages.
"""

from vanillareach.core.messages import (
    MessageError,
    StateQuery,
    StateReply,
    unpack_configuration,
)
from vanillareach.gateway.ports import StorePosition
from vanillareach.log import get_logger
from vanillareach.peers.link import PeerUnresponsiveError

# Timeout of a call that fetches configuration or endpoints from a peer.
FETCH_TIMEOUT_MS = 600.0

log = get_logger("gossip")


class StateFetcher:
    """Keeps configuration and endpoints as new as those of the peers.

    Parameters
    ----------
    state : GatewayState
    link : PeerLink
    clock : Clock
    """

    def __init__(self, state, link, clock):
        self._state = state
        self._link = link
        self._clock = clock
        self._is_fetching_configuration = False
        self._is_fetching_endpoints = False

    def reconcile(self, address, beacon, max_delay_ms, random, nursery):
        """Apply a peer's confirmations; fetch what it has newer.

        Parameters
        ----------
        address : str
            Address of the peer.
        beacon : Beacon
        max_delay_ms : float
            A fetch waits a random part of this time, so that not all instances fetch at
            once. It isn't delayed while this instance can't serve without it.
        random : random.Random
        nursery : trio.Nursery
            Runs the fetch.
        """
        now_ms = self._clock.now_ms()
        self._state.observe_era(beacon.store_era)
        wants_configuration = self._confirm_configuration(beacon, now_ms)
        wants_endpoints = self._confirm_endpoints(beacon, now_ms)
        # Several peers announce one change at once; it is fetched from one of them.
        wants_configuration &= not self._is_fetching_configuration
        wants_endpoints &= not self._is_fetching_endpoints
        if not wants_configuration and not wants_endpoints:
            return
        self._is_fetching_configuration |= wants_configuration
        self._is_fetching_endpoints |= wants_endpoints
        delay_ms = max_delay_ms * random.random()
        if not self._state.has_initial_state:
            delay_ms = 0.0
        query = StateQuery(wants_configuration, wants_endpoints)
        nursery.start_soon(self._fetch, address, query, delay_ms)

    def _confirm_configuration(self, beacon, now_ms):
        """Apply a confirmation; return whether the peer's configuration is wanted.

        It is if it is newer, or the same with fields that the own one lacks.
        """
        if beacon.configuration_age_ms < 0:
            return False
        state, configuration = self._state, self._state.configuration
        if configuration is None:
            return beacon.configuration_version > -1
        if beacon.configuration_version != configuration.version:
            return beacon.configuration_version > configuration.version
        confirmed_ms = now_ms - beacon.configuration_age_ms
        state.confirm_configuration(confirmed_ms, beacon.configuration_stamp)
        is_more_complete = beacon.configuration_schema > configuration.schema
        return is_more_complete and not configuration.is_complete

    def _confirm_endpoints(self, beacon, now_ms):
        """Apply a confirmation; return whether the peer has another, newer list."""
        if beacon.endpoints_age_ms < 0:
            return self._lacks_entries_of(beacon)
        state, stamp = self._state, beacon.endpoints_stamp
        confirmed_ms = now_ms - beacon.endpoints_age_ms
        is_newer = state.endpoints_freshness.is_newer(stamp, confirmed_ms)
        position = (beacon.endpoints_era, beacon.endpoints_revision)
        if not is_newer or position < (state.endpoints.era, state.endpoints.revision):
            return False
        if beacon.endpoints_digest != state.endpoints.digest:
            return True
        state.confirm_endpoints(beacon.endpoints_revision, confirmed_ms, stamp)
        return False

    def _lacks_entries_of(self, beacon):
        """Return whether a peer has a part of a list, and this instance nothing."""
        has_partial_list = not beacon.endpoints_revision and beacon.endpoints_digest
        return bool(has_partial_list) and not self._state.endpoints.is_loaded

    async def _fetch(self, address, query, delay_ms):
        try:
            await self._clock.sleep_ms(delay_ms)
            await self._fetch_now(address, query)
        except (PeerUnresponsiveError, MessageError) as error:
            log.info(
                "Fetching state from peer failed.", address=address, cause=str(error)
            )
        finally:
            if query.wants_configuration:
                self._is_fetching_configuration = False
            if query.wants_endpoints:
                self._is_fetching_endpoints = False

    async def _fetch_now(self, address, query):
        reply = await self._link.call(address, query, FETCH_TIMEOUT_MS)
        if not isinstance(reply, StateReply):
            raise MessageError(f"unexpected {type(reply).__name__}")
        now_ms = self._clock.now_ms()
        if reply.configuration is not None:
            self._state.apply_configuration(
                unpack_configuration(reply.configuration),
                now_ms - max(0.0, reply.configuration_age_ms),
                address,
                reply.configuration_stamp,
            )
        if reply.endpoints is None:
            return
        if reply.endpoints_age_ms < 0:
            if not self._state.endpoints.is_loaded:
                self._state.add_endpoints(
                    reply.endpoints, reply.endpoints_era, now_ms, address
                )
        else:
            self._state.apply_endpoints(
                reply.endpoints,
                StorePosition(reply.endpoints_era, reply.endpoints_revision),
                now_ms - reply.endpoints_age_ms,
                address,
                reply.endpoints_stamp,
            )
