"""The other instances as this one knows them: heard, registered, expired."""

from vanillareach.core.peer import Peer

# A peer counts as alive if it was heard within this many beacon intervals and a margin.
ALIVE_BEACON_INTERVALS = 4
ALIVE_TIMEOUT_MARGIN_MS = 300.0
# In a large fleet, where an idle instance sends a beacon each three seconds.
LARGE_FLEET_ALIVE_TIMEOUT_MS = 4_500.0
# A peer that isn't heard is removed after this time. Until then, beacons are still sent
# to it and it is still counted in shared budgets.
PEER_EXPIRY_MS = 30_000.0
# One that was removed without having said that it leaves may be cut off. Its part of
# what all share isn't used for this time.
REMOVED_PEER_TTL_MS = 600_000.0


class PeerTable:
    """Peers of one instance.

    Parameters
    ----------
    state : GatewayState
        Gets the number of instances.
    audience : Audience
    domain : str
        Failure domain of the instance.
    clock : Clock

    Attributes
    ----------
    by_name : dict of str to Peer
    """

    def __init__(self, state, audience, domain, clock):
        self.by_name = {}
        self._removed_ms_by_name = {}
        self._state = state
        self._audience = audience
        self._domain = domain
        self._clock = clock
        self._registered_names = frozenset()

    def add(self, name, address):
        """Add and return a new peer."""
        peer = Peer(name, address, self._clock.now_ms())
        self._removed_ms_by_name.pop(name, None)
        self.by_name[name] = peer
        self._count()
        return peer

    def add_registered(self, instances, is_complete):
        """Add the instances registered in the store, without the own one.

        A peer that was never heard gets its registered address.

        Parameters
        ----------
        instances : list of RegisteredInstance
        is_complete : bool
            Whether no other instance is registered.

        Returns
        -------
        bool
            Whether any of them was new.
        """
        names = frozenset(instance.name for instance in instances)
        self._registered_names = (
            names if is_complete else self._registered_names | names
        )
        has_new = False
        for instance in instances:
            peer = self.by_name.get(instance.name)
            if peer is None:
                self.add(instance.name, instance.address)
                has_new = True
            elif peer.last_heard_ms is None:
                peer.address = instance.address
            peer = self.by_name[instance.name]
            if peer.last_heard_ms is None:
                peer.forward_address = instance.forward_address
            if instance.domain:
                self._audience.election.add(
                    instance.name, instance.domain, instance.capacity
                )
        return has_new

    def select(self, names):
        """Return the peers of those names that are known."""
        return [self.by_name[name] for name in names if name in self.by_name]

    def is_alive(self, peer):
        """Return whether a peer was heard recently."""
        return peer.was_heard_within(self._alive_timeout_ms(), self._clock.now_ms())

    def alive_names(self):
        """Return the names of the peers that count as alive."""
        return [peer.name for peer in self.by_name.values() if self.is_alive(peer)]

    def available(self):
        """Return the peers that count as alive and aren't stopping."""
        return [
            peer
            for peer in self.by_name.values()
            if self.is_alive(peer) and not peer.is_leaving
        ]

    def forwarding_candidates(self):
        """Return the peers that may serve requests for this instance.

        In a large fleet most are known by their entry in the store only.
        """
        return [
            peer
            for peer in self.by_name.values()
            if peer.forward_address
            and not peer.is_leaving
            and not peer.has_lost_links
            and (self.is_alive(peer) or not self._audience.is_direct)
        ]

    def domains_of_heard_placers(self, duration_ms):
        """Return the domains of the placers heard in the last `duration_ms`."""
        now_ms = self._clock.now_ms()
        return {
            peer.domain
            for peer in self.by_name.values()
            if peer.is_placer and peer.was_heard_within(duration_ms, now_ms)
        }

    def time_since_heard(self):
        """Return (name, domain, ms since last heard) of each peer; -1 for never."""
        now_ms = self._clock.now_ms()
        return [
            (
                peer.name,
                peer.domain,
                -1.0 if peer.last_heard_ms is None else now_ms - peer.last_heard_ms,
            )
            for peer in self.by_name.values()
        ]

    def last_heard_ms_by_domain(self):
        """Return the times, by domain, when peers of other domains were last heard.

        Only of peers that send beacons to this instance.
        """
        last_heard_ms_by_domain = {}
        for peer in self.by_name.values():
            if not self._audience.is_direct and not peer.is_placer:
                continue
            if peer.last_heard_ms is not None and peer.domain != self._domain:
                last_heard_ms_by_domain.setdefault(peer.domain, []).append(
                    peer.last_heard_ms
                )
        return last_heard_ms_by_domain

    def beacon_interval_ms(self):
        """Return the longest time between two beacons of an instance."""
        return self._audience.beacon_interval_ms(len(self.by_name))

    def expired_names(self, instances):
        """Return the registered instances that this one would hear but has not.

        They were silent for `PEER_EXPIRY_MS`.
        """
        return [
            instance.name
            for instance in instances
            if instance.name in self.by_name
            and self._is_expired(self.by_name[instance.name])
        ]

    def remove_expired(self):
        """Remove the peers that were silent for `PEER_EXPIRY_MS`.

        In a large fleet those that are registered are kept.
        """
        for peer in list(self.by_name.values()):
            is_registered = peer.name in self._registered_names
            if self._is_expired(peer) and (
                self._audience.is_direct or not is_registered
            ):
                del self.by_name[peer.name]
                if peer.last_heard_ms is not None and not peer.is_leaving:
                    self._removed_ms_by_name[peer.name] = self._clock.now_ms()
                self._audience.election.remove(peer.name)
                self._count()

    def possible_count(self):
        """Return the number of peers, with those that may be cut off for long."""
        now_ms = self._clock.now_ms()
        self._removed_ms_by_name = {
            name: removed_ms
            for name, removed_ms in self._removed_ms_by_name.items()
            if now_ms - removed_ms <= REMOVED_PEER_TTL_MS
        }
        return len(self.by_name) + len(self._removed_ms_by_name)

    def _count(self):
        self._state.instance_count = 1 + len(self.by_name)

    def _alive_timeout_ms(self):
        if not self._audience.is_direct:
            return LARGE_FLEET_ALIVE_TIMEOUT_MS
        return (
            ALIVE_BEACON_INTERVALS * self.beacon_interval_ms() + ALIVE_TIMEOUT_MARGIN_MS
        )

    def _is_expired(self, peer):
        """Return whether a peer that should be heard here was silent for too long."""
        last_contact_ms = (
            peer.added_ms if peer.last_heard_ms is None else peer.last_heard_ms
        )
        audience = self._audience
        if not audience.is_direct:
            # Only a placer hears the other instances, and only those of its domain.
            if not audience.is_placer or peer.domain != self._domain:
                return False
            last_contact_ms = max(last_contact_ms, audience.election.placer_since_ms)
        return self._clock.now_ms() - last_contact_ms > PEER_EXPIRY_MS
