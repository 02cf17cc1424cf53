"""Follows the platform's collections while this instance has the watcher role."""

import msgspec
import trio

from vanillareach.control.configurations import (
    CONFIGURATION_COLLECTION,
    CollectionFollower,
    decode_stored_configuration,
)
from vanillareach.core.configuration import ConfigurationObject
from vanillareach.core.spreading import ENDPOINT_KIND, INSTANCE_KIND, is_watcher

ENDPOINT_COLLECTION = "endpoints"
INSTANCE_COLLECTION = "instances"
ROLE_CHECK_INTERVAL_MS = 1000
MIN_ROLE_DURATION_MS = 5000


class PlatformFollower:
    """Merges the platform's configurations, endpoints and instances into the fleet.

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
                CONFIGURATION_COLLECTION,
                self._apply_configuration_list,
                self._apply_configuration_event,
            ),
            self._list_follower(platform, ENDPOINT_COLLECTION, ENDPOINT_KIND),
            self._list_follower(platform, INSTANCE_COLLECTION, INSTANCE_KIND),
        ]

    async def run(self):
        """Follow the collections whenever this instance is a watcher."""
        while True:
            await self._wait_until_watcher(True)
            async with trio.open_nursery() as nursery:
                for follower in self._followers:
                    nursery.start_soon(follower.run)
                # A minimum duration prevents restarts of the watches while instances
                # briefly disagree on the members.
                await self._clock.sleep_ms(MIN_ROLE_DURATION_MS)
                await self._wait_until_watcher(False)
                nursery.cancel_scope.cancel()

    async def _wait_until_watcher(self, is_wanted):
        while self._is_watcher() is not is_wanted:
            await self._clock.sleep_ms(ROLE_CHECK_INTERVAL_MS)

    def _is_watcher(self):
        members = self._fleet.membership
        own = members.own
        return is_watcher(own.name, own.domain, members.alive(own.domain))

    def _list_follower(self, platform, collection, kind):
        return CollectionFollower(
            platform,
            self._clock,
            collection,
            lambda listed: self._apply_object_list(kind, listed),
            lambda event: self._apply_object_event(kind, event),
        )

    def _apply_configuration_list(self, listed):
        self._fleet.merge_objects(
            [decode_stored_configuration(item).item for item in listed.items]
        )
        self._fleet.state.has_full_copy = True

    def _apply_configuration_event(self, event):
        self._fleet.merge_objects([decode_stored_configuration(event.object).item])

    def _apply_object_list(self, kind, listed):
        items = [_object_from_platform(kind, stored) for stored in listed.items]
        names = {item.name for item in items}
        version = int(listed.metadata.resourceVersion)
        self._fleet.merge_objects(
            self._fleet.state.tombstones_for_missing(kind, names, version)
        )
        self._fleet.merge_objects(items)

    def _apply_object_event(self, kind, event):
        deleted = event.type == "DELETED"
        self._fleet.merge_objects([_object_from_platform(kind, event.object, deleted)])


def _object_from_platform(kind, stored, deleted=False):
    """Convert a platform object, with its resource version as the object's version."""
    metadata = stored.metadata
    item = ConfigurationObject(
        kind, metadata.name, int(metadata.resourceVersion), "", deleted, stored.spec
    )
    return msgspec.structs.replace(item, spec={}) if deleted else item
