"""Keeps configuration and endpoints up to date, normally by one instance for all.

Calls to the store are priced and counted, so an instance calls it only when the last
confirmation, its own or one received from a peer, is older than a threshold. The
threshold grows with the instance's rank, see `core.rendezvous`, so that normally the
instance of rank 0 calls for all. When it is cut off, stopped or rejected by the store,
the confirmations age at its peers, and the next ones by rank call the store.
"""

import math

import trio

from vanillareach.control.object_api import (
    PlatformConflictError,
    PlatformGoneError,
    PlatformUnavailableError,
)
from vanillareach.core.placers import PLACER_SILENCE_MS
from vanillareach.core.rendezvous import MAX_PREFERENCE, preference, rank_of
from vanillareach.core.state_change import ChangeKind
from vanillareach.core.store_schedule import (
    ranked_wait_ms,
    retry_delay_ms,
    unranked_wait_ms,
)
from vanillareach.log import get_logger

MIN_RECHECK_INTERVAL_MS = 50.0
# Age and rank are checked at least this often, since the rank may change; less often by
# instances without a rank.
MAX_RECHECK_INTERVAL_MS = 400.0
MAX_UNRANKED_RECHECK_INTERVAL_MS = 2_500.0
# An endpoint must get no more requests two seconds after its entry changed to draining.
# This age is one part of that time; gossip and one failed call to the store take the
# rest.
ENDPOINTS_REFRESH_AGE_MS = 600.0
# A configuration must be in force on all instances within two seconds, which is enough
# for one watch that times out and the takeover by the instance of the next rank.
WATCH_TIMEOUT_MS = 1_000.0
CONFIGURATION_REFRESH_AGE_MS = 1_250.0
# The fleet may make one watch of the evacuations in 1.5 s.
EVACUATION_WATCH_TIMEOUT_MS = 1_500.0
# Without a confirmation the next instance by rank lists the evacuations after this age
# and 120 ms. A watch that started then, with one failed call, leaves 1.9 s of the five
# within which an evacuation takes effect, see `docs/design/evacuation.md`.
EVACUATIONS_REFRESH_AGE_MS = 1_900.0
# The age for members whose placers, of an older version, tell no evacuations. Each of
# them has to read the list for itself, and calls are priced.
UNTOLD_EVACUATIONS_REFRESH_AGE_MS = 30_000.0
EMPTY_STORE_DELAY_MS = 200.0
REGISTRATION_INTERVAL_MS = 5_000.0
# Instances that list the others once in `REGISTRATION_INTERVAL_MS`; with more of them
# the interval grows.
INSTANCES_PER_REGISTRATION_INTERVAL = 8
# A configuration that an older instance passed on lacks fields. It is read from the
# store after this time and a random part of the second one, unless a peer that has it
# complete is heard before.
INCOMPLETE_READ_DELAY_MS = 300.0
INCOMPLETE_READ_SPREAD_MS = 1_000.0
# After the store has lost their entries, instances write them again within this time.
REGISTRATION_SPREAD_MS = 1_500.0

log = get_logger("store")


class StoreFollower:
    """Keeps the shared state up to date with the store.

    Parameters
    ----------
    store : DeploymentStore
    state : GatewayState
    gossip : Gossip
    clock : Clock
    """

    def __init__(self, store, state, gossip, clock):
        self._store = store
        self._state = state
        self._gossip = gossip
        self._clock = clock
        self._is_store_reachable = True
        self._configuration_position = None
        self._has_new_era = False
        # Evacuations as this instance read them from the store; None if it has to read
        # the list.
        self._listed_evacuations = None
        self._evacuation_watch_scope = None
        self._next_evacuation_watch_ms = 0.0

    async def run(self):
        """Follow all kinds of objects until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_configuration)
            nursery.start_soon(self._follow_endpoints)
            nursery.start_soon(self._follow_instances)
            if self._state.follows_evacuations:
                nursery.start_soon(self._follow_evacuations)
                nursery.start_soon(self._end_watches_of_earlier_eras)

    def _own_rank(self, key):
        """Return the own place among the instances that call the store; None for none.

        An instance has no place if placers are to call the store for it.
        """
        followers = self._gossip.store_followers()
        if followers is None:
            followers = self._gossip.peers.alive_names()
        elif self._gossip.name not in followers:
            return None
        return rank_of(self._gossip.name, key, followers)

    async def _wait_for_turn(self, key, rank, age_ms, refresh_age_ms):
        """Return whether it is this instance's turn to call, after a wait if not."""
        if rank is not None:
            wait_ms = ranked_wait_ms(rank, age_ms, refresh_age_ms)
            longest_ms = MAX_RECHECK_INTERVAL_MS
        elif age_ms < 0:
            wait_ms = 0.0
        else:
            wait_ms = unranked_wait_ms(
                preference(key, self._gossip.name) / MAX_PREFERENCE,
                self._state.instance_count,
                self._gossip.placer_heard_ms_ago(),
                PLACER_SILENCE_MS,
                age_ms - refresh_age_ms,
            )
            longest_ms = MAX_UNRANKED_RECHECK_INTERVAL_MS
        if wait_ms <= 0:
            return True
        wait_ms = min(longest_ms, max(MIN_RECHECK_INTERVAL_MS, wait_ms))
        await self._clock.sleep_ms(wait_ms)
        return False

    async def _follow_configuration(self):
        key = "configuration"
        while True:
            rank = self._own_rank(key)
            is_incomplete = self._must_complete_configuration()
            if is_incomplete:
                # A watch reports changes only.
                self._configuration_position = None
            is_due = rank == 0 or is_incomplete
            if not is_due and not await self._wait_for_turn(
                key,
                rank,
                self._state.configuration_age_ms(),
                CONFIGURATION_REFRESH_AGE_MS,
            ):
                continue
            if await self._call_store(self._refresh_configuration):
                self._state.publish(ChangeKind.CONFIRMATION)

    def _must_complete_configuration(self):
        """Return whether this instance must read the fields that its copy lacks."""
        place = preference("completion", self._gossip.name) / MAX_PREFERENCE
        delay_ms = INCOMPLETE_READ_DELAY_MS + INCOMPLETE_READ_SPREAD_MS * place
        return self._state.configuration_incomplete_ms() > delay_ms

    async def _refresh_configuration(self):
        state = self._state
        if self._configuration_position is None:
            request_ms = self._clock.now_ms()
            result = await self._store.read_configuration()
            if result is None:
                await self._clock.sleep_ms(EMPTY_STORE_DELAY_MS)
                return
            self._configuration_position, configuration = result
            state.observe_era(self._configuration_position.era)
            state.apply_configuration(configuration, request_ms, "store")
            return
        try:
            (
                self._configuration_position,
                configuration,
            ) = await self._store.wait_for_configuration(
                self._configuration_position, WATCH_TIMEOUT_MS
            )
        except PlatformGoneError:
            log.info(
                "Watch history lost; configuration will be read again.",
                position=self._configuration_position,
            )
            self._configuration_position = None
            return
        # A watch reports all changes up to its response, so that confirms the state.
        response_ms = self._clock.now_ms()
        if configuration is not None:
            state.apply_configuration(configuration, response_ms, "store")
        else:
            state.confirm_configuration(response_ms)

    async def _follow_endpoints(self):
        key = "endpoints"
        while True:
            if not await self._wait_for_turn(
                key,
                self._own_rank(key),
                self._state.endpoints_age_ms(),
                ENDPOINTS_REFRESH_AGE_MS,
            ):
                continue
            if await self._call_store(self._refresh_endpoints):
                # Peers call the store themselves unless this beacon reaches them soon.
                self._state.publish(ChangeKind.CONFIRMATION)

    async def _refresh_endpoints(self):
        request_ms = self._clock.now_ms()
        listing = await self._store.list_endpoints()
        if listing.unreadable:
            log.info(
                "Unreadable endpoint entries skipped.", entries=listing.unreadable[:5]
            )
        if listing.gap:
            self._state.add_endpoints(
                listing.items, listing.position.era, request_ms, "store"
            )
            raise PlatformUnavailableError(f"list incomplete: {listing.gap}")
        self._state.apply_endpoints(
            listing.items, listing.position, request_ms, "store"
        )

    async def _follow_evacuations(self):
        key = "evacuations"
        while True:
            rank = self._own_rank(key)
            if rank != 0:
                # A list is answered at once, a watch only after a change.
                self._listed_evacuations = None
                age_ms = self._evacuations_age_ms()
                refresh_age_ms = self._evacuations_refresh_age_ms(rank)
                if not await self._wait_for_turn(key, rank, age_ms, refresh_age_ms):
                    continue
            if await self._call_store(self._refresh_evacuations):
                self._state.publish(ChangeKind.CONFIRMATION)
            else:
                self._listed_evacuations = None

    def _evacuations_refresh_age_ms(self, rank):
        placers = self._gossip.placers()
        if rank is None and placers and not any(p.tells_evacuations for p in placers):
            return UNTOLD_EVACUATIONS_REFRESH_AGE_MS
        return EVACUATIONS_REFRESH_AGE_MS

    def _evacuations_age_ms(self):
        """Return the age of the evacuations; a set of an earlier era is due."""
        age_ms, state = self._state.evacuations_age_ms(), self._state
        if state.evacuations.is_outdated(state.store_era) and age_ms >= 0:
            return max(age_ms, EVACUATIONS_REFRESH_AGE_MS)
        return age_ms

    async def _refresh_evacuations(self):
        listed = self._listed_evacuations
        if listed is not None and listed[0].era < self._state.store_era:
            listed = self._listed_evacuations = None
        if listed is None:
            await self._list_evacuations()
            return
        with trio.CancelScope() as self._evacuation_watch_scope:
            # The store may answer early, without a change of this kind.
            pause_ms = self._next_evacuation_watch_ms - self._clock.now_ms()
            await self._clock.sleep_ms(max(0.0, pause_ms))
            started_ms = self._clock.now_ms()
            if not await self._watch_evacuations(*listed):
                self._next_evacuation_watch_ms = (
                    started_ms + EVACUATION_WATCH_TIMEOUT_MS
                )

    async def _list_evacuations(self):
        request_ms = self._clock.now_ms()
        listing = await self._store.list_evacuations()
        position, domains = listing.position, listing.items
        if listing.unreadable:
            log.warning(
                "Unreadable evacuations skipped.", entries=listing.unreadable[:5]
            )
        if listing.gap:
            self._state.add_evacuations(domains, position.era, "store")
            raise PlatformUnavailableError(f"list incomplete: {listing.gap}")
        self._listed_evacuations = (position, frozenset(domains))
        self._state.apply_evacuations(domains, position, request_ms, "store")

    async def _watch_evacuations(self, position, domains):
        """Wait for changes of a set of domains; return whether there were any."""
        try:
            position, changes = await self._store.wait_for_evacuations(
                position, EVACUATION_WATCH_TIMEOUT_MS
            )
        except PlatformGoneError:
            log.info("Evacuations will be listed again.", position=position)
            self._listed_evacuations = None
            return False
        evacuated = {name for name, is_evacuated in changes.items() if is_evacuated}
        domains = frozenset((domains - changes.keys()) | evacuated)
        self._listed_evacuations = (position, domains)
        response_ms = self._clock.now_ms()
        self._state.apply_evacuations(domains, position, response_ms, "store")
        return bool(changes)

    async def _end_watches_of_earlier_eras(self):
        """List the evacuations as soon as the store is known to be restored."""
        while True:
            await self._state.wait_for_era_change(math.inf)
            if self._evacuation_watch_scope is not None:
                self._evacuation_watch_scope.cancel()

    async def _follow_instances(self):
        while True:
            await self._call_store(self._refresh_instances)
            interval_ms = self._registration_interval_ms()
            if await self._state.wait_for_era_change(interval_ms):
                # The store has lost entries; not all instances write theirs at once.
                self._has_new_era = True
                spread = preference("registration", self._gossip.name) / MAX_PREFERENCE
                await self._clock.sleep_ms(REGISTRATION_SPREAD_MS * spread)

    def _registration_interval_ms(self):
        """Return the time between two lists of the instances.

        It keeps the rate of all instances' calls the same, whatever their number.
        """
        count = self._state.instance_count
        intervals = max(1.0, count / INSTANCES_PER_REGISTRATION_INTERVAL)
        return REGISTRATION_INTERVAL_MS * intervals

    async def _refresh_instances(self):
        """Read which instances are registered; register this one if it isn't.

        It is registered before a list that counts, so that of two instances that start
        together at least one sees the other.
        """
        own = self._gossip.registration
        # A list from before a restore may show an entry that is lost.
        listing = await self._store.list_instances(not self._has_new_era)
        if own not in listing.items:
            await self._store.register_instance(own)
            listing = await self._store.list_instances()
        if listing.unreadable:
            log.warning(
                "Unreadable instance entries skipped.", entries=listing.unreadable[:5]
            )
        self._has_new_era = False
        self._gossip.add_registered_peers(listing)
        for name in self._gossip.peers.expired_names(listing.items):
            if self._own_rank("instances") == 0 or not self._gossip.audience.is_direct:
                await self._store.remove_instance(name)
                log.info("Registration of expired instance removed.", instance=name)

    async def _call_store(self, call, *arguments):
        """Call the store; return whether it succeeded, after a delay if not."""
        try:
            await call(*arguments)
        except (PlatformUnavailableError, PlatformConflictError) as error:
            self._record_reachability(False, str(error))
            await self._clock.sleep_ms(self._retry_delay_ms())
            return False
        self._record_reachability(True, "")
        return True

    def _retry_delay_ms(self):
        """Return the time until the store is called again after a failed call."""
        return retry_delay_ms(
            self._own_rank("retry"),
            len(self._gossip.store_followers() or ()),
            self._state.instance_count,
            self._gossip.placer_heard_ms_ago() < PLACER_SILENCE_MS,
        )

    def _record_reachability(self, is_reachable, cause):
        if is_reachable is self._is_store_reachable:
            return
        self._is_store_reachable = is_reachable
        if is_reachable:
            log.info("Store regained.")
        else:
            log.warning("Store lost.", cause=cause)
