"""Follows the platform's collections while this instance is one of the watchers."""

import msgspec
import trio

from vanillareach.control.configurations import (
    COLLECTION,
    CollectionFollower,
    decode_stored,
)
from vanillareach.core.configuration import ConfigurationObject
from vanillareach.core.spreading import ENDPOINT_KIND, INSTANCE_KIND, is_watcher

ENDPOINTS = "endpoints"
INSTANCES = "instances"
ROLE_INTERVAL_MS = 1000
ROLE_HOLD_MS = 5000


class FleetFollower:
    """Brings the platform's configuration and lists into the fleet.

    Parameters
    ----------
    platform : Platform
    clock : Clock
    fleet : Fleet
    """

    def __init__(self, platform, clock, fleet):
        self._clock = clock
        self._fleet = fleet
        self._followers = [
            CollectionFollower(
                platform,
                clock,
                COLLECTION,
                self._take_configurations,
                self._take_configuration,
            ),
            self._list_follower(platform, ENDPOINTS, ENDPOINT_KIND),
            self._list_follower(platform, INSTANCES, INSTANCE_KIND),
        ]

    async def run(self):
        """Follow whenever this instance is a watcher, for ever."""
        while True:
            await self._wait_for_role(True)
            async with trio.open_nursery() as nursery:
                for follower in self._followers:
                    nursery.start_soon(follower.run)
                # A role is held a while, so that changing views cause no flapping.
                await self._clock.sleep_ms(ROLE_HOLD_MS)
                await self._wait_for_role(False)
                nursery.cancel_scope.cancel()

    async def _wait_for_role(self, wanted):
        while self._has_role() is not wanted:
            await self._clock.sleep_ms(ROLE_INTERVAL_MS)

    def _has_role(self):
        members = self._fleet.membership
        own = members.own
        return is_watcher(own.name, own.domain, members.alive(own.domain))

    def _list_follower(self, platform, collection, kind):
        return CollectionFollower(
            platform,
            self._clock,
            collection,
            lambda listed: self._take_list(kind, listed),
            lambda event: self._take_listed(kind, event),
        )

    def _take_configurations(self, listed):
        self._fleet.take([decode_stored(item).item for item in listed.items])
        self._fleet.state.has_full_copy = True

    def _take_configuration(self, event):
        self._fleet.take([decode_stored(event.object).item])

    def _take_list(self, kind, listed):
        items = [_as_object(kind, stored) for stored in listed.items]
        names = {item.name for item in items}
        version = int(listed.metadata.resourceVersion)
        self._fleet.take(self._fleet.state.tombstones_for_missing(kind, names, version))
        self._fleet.take(items)

    def _take_listed(self, kind, event):
        deleted = event.type == "DELETED"
        self._fleet.take([_as_object(kind, event.object, deleted)])


def _as_object(kind, stored, deleted=False):
    """Return a listed object with the platform's version as its own."""
    metadata = stored.metadata
    item = ConfigurationObject(
        kind, metadata.name, int(metadata.resourceVersion), "", deleted, stored.spec
    )
    return msgspec.structs.replace(item, spec={}) if deleted else item
