"""Recipients of an instance's messages to its peers.

A small fleet tells all of everything, through a relay for each other domain. In a large
one each message goes to those that need it: in-flight requests to the placers, news
of the store from the placers to all.
"""

from vanillareach.core.domain_tree import DomainTree
from vanillareach.core.placers import (
    IDLE_BEACON_INTERVAL_MS,
    MAX_DIRECT_INSTANCES,
    PLACER_BEACON_INTERVAL_MS,
    PLACER_EXCHANGE_INTERVAL_MS,
    PlacerElection,
)
from vanillareach.core.state_change import ChangeKind

DIRECT_BEACON_INTERVAL_MS = 250.0
# Beacons that no change causes become rarer with more peers in a fleet where all tell
# all: their interval is that of one peer times the number of peers divided by this,
# rounded up.
PEERS_PER_INTERVAL_FACTOR = 12


class Audience:
    """Chooses the recipients and the interval of one instance's messages.

    Parameters
    ----------
    name, domain : str
    capacity : float

    Attributes
    ----------
    election : PlacerElection
    is_placer : bool
        Whether the instance places requests for its domain.
    is_direct : bool
        Whether the fleet is so small that all instances tell each other everything.
    """

    def __init__(self, name, domain, capacity):
        self._domain = domain
        self._tree = DomainTree(domain)
        self._last_sent_ms_by_kind = {}
        self._is_active = False
        self.election = PlacerElection(name, domain, capacity)
        self.is_placer = False
        self.is_direct = True

    def update(self, peer_count, now_ms):
        """Update the own role; return whether it has changed."""
        before = (self.is_direct, self.is_placer)
        self.is_direct = peer_count < MAX_DIRECT_INSTANCES
        is_elected = self.election.update_own_role(now_ms)
        self.is_placer = is_elected and not self.is_direct
        return before != (self.is_direct, self.is_placer)

    def beacon_interval_ms(self, peer_count):
        """Return the longest time between two beacons of the instance."""
        if not self.is_direct:
            if self.is_placer:
                return PLACER_EXCHANGE_INTERVAL_MS
            return PLACER_BEACON_INTERVAL_MS
        factor = max(1, -(-peer_count // PEERS_PER_INTERVAL_FACTOR))
        return factor * DIRECT_BEACON_INTERVAL_MS

    def next_message(self, change, peer_count, now_ms):
        """Return the `ChangeKind` that the next message is about, or None for none.

        Only a placer of a large fleet sends confirmations by themselves; elsewhere they
        are part of a message about the whole state.

        Parameters
        ----------
        change : ChangeKind or None
            The highest kind since the last message.
        peer_count : int
        now_ms : float
        """
        if self._is_due(ChangeKind.STATE, self._state_interval_ms(peer_count), now_ms):
            return ChangeKind.STATE
        if change is ChangeKind.CONFIRMATION and (self.is_direct or not self.is_placer):
            return ChangeKind.STATE
        if self.is_placer and self._is_due(
            ChangeKind.CONFIRMATION, PLACER_EXCHANGE_INTERVAL_MS, now_ms
        ):
            return max(change or ChangeKind.CONFIRMATION, ChangeKind.CONFIRMATION)
        return change

    def record_sent(self, kind, has_flights, now_ms):
        """Record that a message about a kind of change was sent.

        Parameters
        ----------
        kind : ChangeKind
        has_flights : bool
            Whether the instance has requests in flight.
        now_ms : float
        """
        self._is_active = has_flights or kind is ChangeKind.FLIGHTS
        for covered in ChangeKind:
            if covered <= kind:
                self._last_sent_ms_by_kind[covered] = now_ms
        if kind is not ChangeKind.FLIGHTS:
            self._tree.rotate_relays()

    def note_activity(self):
        """Record that the instance has asked a placer, so its next beacon is due."""
        self._is_active = True

    def next_due_ms(self, peer_count):
        """Return when the next message is due without a change."""
        last = self._last_sent_ms_by_kind
        due_ms = last.get(ChangeKind.STATE, 0.0) + self._state_interval_ms(peer_count)
        if self.is_placer:
            exchange_ms = last.get(ChangeKind.CONFIRMATION, 0.0)
            due_ms = min(due_ms, exchange_ms + PLACER_EXCHANGE_INTERVAL_MS)
        return due_ms

    def recipients(self, kind, peers, now_ms):
        """Return the recipients of a message: those told directly, and relays.

        Parameters
        ----------
        kind : ChangeKind
        peers : PeerTable
        now_ms : float
        """
        if self.is_direct:
            return self._tree.recipients(peers.by_name.values(), peers.is_alive)
        election = self.election
        names = set(election.placers(self._domain, now_ms))
        if self.is_placer:
            if kind is ChangeKind.FLIGHTS:
                names.update(election.counterparts(now_ms))
            else:
                names.update(election.other_domain_placers(now_ms))
            if kind is ChangeKind.STATE:
                names.update(election.members(self._domain))
        return peers.select(names), []

    def relay_recipients(self, peers, origin):
        """Return to whom a relayed message of another domain is forwarded."""
        return self._tree.forward_recipients(peers, origin)

    def _state_interval_ms(self, peer_count):
        if self.is_direct:
            return self.beacon_interval_ms(peer_count)
        if self.is_placer or self._is_active:
            return PLACER_BEACON_INTERVAL_MS
        return IDLE_BEACON_INTERVAL_MS

    def _is_due(self, kind, interval_ms, now_ms):
        last_ms = self._last_sent_ms_by_kind.get(kind)
        return last_ms is None or now_ms >= last_ms + interval_ms
