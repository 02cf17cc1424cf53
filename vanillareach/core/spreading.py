"""The fleet's objects as stored by one instance.

Configuration, endpoints and instances are all versioned objects. Whatever their
source, they pass through `FleetState.merge`, which says what was new and so has to be
spread further.
"""

import msgspec

from vanillareach.core.configuration import ConfigurationObject
from vanillareach.core.objects import EndpointSpec, InstanceSpec
from vanillareach.core.rendezvous import rank_owners

# Members to which an instance pushes each change.
PUSH_FANOUT = 4
# Instances of each failure domain that watch the platform.
WATCHERS_PER_DOMAIN = 2
# Time after the last change from which a differing digest of a peer leads to a sync;
# until then the change may still be on its way.
DIGEST_SETTLE_MS = 1000
ENDPOINT_KIND = "endpoint"
LEAVING_KIND = "leaving"
INSTANCE_KIND = "instance"


class FleetState:
    """Objects of the fleet stored by one instance.

    Parameters
    ----------
    store : VersionedStore
    directory : Directory

    Attributes
    ----------
    changed_ms : float
        Time of the last change.
    has_full_copy : bool
        Whether a full copy was received since the start.
    """

    __slots__ = (
        "_domains",
        "changed_ms",
        "directory",
        "has_full_copy",
        "store",
    )

    def __init__(self, store, directory):
        self.store = store
        self.directory = directory
        self.changed_ms = 0.0
        self.has_full_copy = False
        self._domains = None

    def merge(self, items, now_ms):
        """Merge objects and return those that were newer than the stored ones.

        Parameters
        ----------
        items : iterable of ConfigurationObject
        now_ms : float

        Returns
        -------
        tuple of ConfigurationObject
        """
        changed = tuple(item for item in items if self.store.merge(item))
        for item in changed:
            if item.kind == ENDPOINT_KIND:
                self._apply_endpoint(item, now_ms)
            elif item.kind == LEAVING_KIND:
                self._mark_if_leaving(item.name)
            elif item.kind == INSTANCE_KIND:
                self._domains = None
        if changed:
            self.changed_ms = now_ms
        return changed

    def leaving_marker(self, name, wall_ms):
        """Return an object that marks an endpoint as leaving, or None.

        Parameters
        ----------
        name : str
            Name of the endpoint.
        wall_ms : int
            Wall time, which is the version of the object.

        Returns
        -------
        ConfigurationObject or None
            None if the endpoint is unknown or already known to be leaving.
        """
        state = self.directory.endpoints_by_id.get(name)
        stored = self.store.objects_by_key.get(f"{ENDPOINT_KIND}.{name}")
        if state is None or state.leaving or stored is None:
            return None
        spec = {"endpoint_version": stored.version}
        return ConfigurationObject(LEAVING_KIND, name, wall_ms, "", spec=spec)

    def instances(self):
        """Return the `InstanceSpec` of every listed instance."""
        return [
            msgspec.convert(item.spec, InstanceSpec)
            for item in self.store.objects_by_key.values()
            if item.kind == INSTANCE_KIND and not item.deleted
        ]

    def domains(self):
        """Return the failure domains of all listed instances."""
        if self._domains is None:
            self._domains = frozenset(spec.domain for spec in self.instances())
        return self._domains

    def tombstones_for_missing(self, kind, names, version):
        """Return tombstones for stored objects that a newer full list lacks.

        Parameters
        ----------
        kind : str
        names : set of str
            Names on the list.
        version : int
            Version of the list.
        """
        return [
            ConfigurationObject(kind, stored.name, version, "", deleted=True)
            for stored in list(self.store.objects_by_key.values())
            if stored.kind == kind
            and not stored.deleted
            and stored.name not in names
            and stored.version < version
        ]

    def _apply_endpoint(self, item, now_ms):
        if item.deleted:
            self.directory.remove(item.name)
            return
        self.directory.put(msgspec.convert(item.spec, EndpointSpec), now_ms)
        self._mark_if_leaving(item.name)

    def _mark_if_leaving(self, name):
        """Mark an endpoint as leaving unless it was listed again after the marker."""
        endpoint = self.store.objects_by_key.get(f"{ENDPOINT_KIND}.{name}")
        marker = self.store.objects_by_key.get(f"{LEAVING_KIND}.{name}")
        if endpoint is None or marker is None:
            return
        if endpoint.version <= marker.spec["endpoint_version"]:
            self.directory.mark_leaving(name)


def is_watcher(own_name, domain, alive):
    """Return whether an instance is one of its domain's watchers of the platform.

    Parameters
    ----------
    own_name, domain : str
    alive : list of MemberRecord
        Live members of that domain.
    """
    names = [record.name for record in alive]
    return own_name in rank_owners(f"watch/{domain}", names)[:WATCHERS_PER_DOMAIN]
