"""Choice of the peer to which an instance without links hands a request."""

import random

from vanillareach.core.path_evidence import MIN_PEER_FAULTS
from vanillareach.gateway.exchange import AttemptResult

# A request that has met this many unreachable endpoints is handed on.
MAX_UNREACHABLE_ATTEMPTS = 2
# A request without room is handed on if this share of the paths to its service is dead.
MIN_DEAD_SHARE = 0.5
# A peer that could not help is left out for this time.
UNABLE_TTL_MS = 1_000.0
# The own domain is left out while this many of its peers could not help.
MAX_UNABLE_NEAR_PEERS = 2


class PeerTarget:
    """A peer in the place of an endpoint.

    Attributes
    ----------
    id : str
        Marks it as a peer among the ids of endpoints.
    peer : Peer
    """

    __slots__ = ("id", "peer")

    def __init__(self, peer):
        self.id = f"peer {peer.name}"
        self.peer = peer


class PeerPlacement:
    """Placement of an attempt at a peer.

    Attributes
    ----------
    endpoint : PeerTarget
    helpers : tuple
        Always empty.
    """

    __slots__ = ("endpoint", "helpers")

    def __init__(self, peer):
        self.endpoint = PeerTarget(peer)
        self.helpers = ()


class PeerChooser:
    """Chooses the peer to which a request is handed.

    Parameters
    ----------
    state : GatewayState
    gossip : Gossip
    clock : Clock
    """

    def __init__(self, state, gossip, clock):
        self._state = state
        self._gossip = gossip
        self._clock = clock
        self._random = random.Random()
        self._unable_until_ms_by_name = {}

    def choose(self, exchange):
        """Return the `PeerPlacement` of a request's next attempt.

        None if the request isn't to be handed on, or no peer can take it.
        """
        if not self._may_hand_on(exchange):
            return None
        unreachable_count = sum(
            attempt.result is AttemptResult.UNREACHABLE for attempt in exchange.attempts
        )
        is_cut_off = self._state.reach.is_lost or self._is_in_doubt(exchange)
        if not is_cut_off and unreachable_count < MAX_UNREACHABLE_ATTEMPTS:
            return None
        return self._choose(exchange)

    def choose_for_room(self, exchange, placement):
        """Return the `PeerPlacement` of a request for which whole paths have no room.

        None if most paths to its service are whole, peers report the same faults, or no
        peer can take it.

        Parameters
        ----------
        exchange : GatewayExchange
        placement : Placement or None
            What has room here, which may be an endpoint beyond a dead path.
        """
        dead_keys = self._state.paths.dead_keys
        if not dead_keys or not self._may_hand_on(exchange):
            return None
        if placement is not None and placement.endpoint.key not in dead_keys:
            return None
        usable = self._state.endpoints.usable(exchange.service.name)
        dead_count = sum(endpoint.key in dead_keys for endpoint in usable)
        if not dead_count or dead_count < MIN_DEAD_SHARE * len(usable):
            return None
        if self.has_shared_faults():
            return None
        return self._choose(exchange)

    def _may_hand_on(self, exchange):
        # The response to HEAD has no body, whose end would show that it is complete.
        return not exchange.is_forwarded and exchange.request.method != b"HEAD"

    def _choose(self, exchange):
        peer = self._least_loaded(exchange)
        return None if peer is None else PeerPlacement(peer)

    def is_service_cut_off(self, exchange):
        """Return whether the paths to all endpoints of a request's service are dead."""
        paths, endpoints = self._state.paths, self._state.endpoints
        if not paths.dead_keys:
            return False
        return paths.is_cut_off(endpoints.usable(exchange.service.name))

    def _is_in_doubt(self, exchange):
        """Return whether all paths to a service are dead or have just failed here.

        False if peers report the same faults.
        """
        avoided = self._state.paths.avoided_ids(self._clock.now_ms())
        if not avoided:
            return False
        usable = {e.id for e in self._state.endpoints.usable(exchange.service.name)}
        return bool(usable) and usable <= avoided and not self.has_shared_faults()

    def has_shared_faults(self, count=MIN_PEER_FAULTS):
        """Return whether all peers that say that they have links report faults.

        `count` is the least number of endpoints at which each has seen one.
        """
        state = self._state
        return state.paths.is_shared(
            [peer.name for peer in self._gossip.peers.forwarding_candidates()],
            min(count, len(state.endpoints.by_id)),
            self._clock.now_ms(),
        )

    def record_unable(self, peer):
        """Leave out a peer for a while."""
        self._unable_until_ms_by_name[peer.name] = self._clock.now_ms() + UNABLE_TTL_MS

    def _least_loaded(self, exchange):
        """Return the better of two random peers, of the own domain if there are any."""
        now_ms = self._clock.now_ms()
        unable = {
            name
            for name, until_ms in self._unable_until_ms_by_name.items()
            if until_ms > now_ms
        }
        peers = [
            peer
            for peer in self._gossip.peers.forwarding_candidates()
            if peer.name not in unable
            and PeerTarget(peer).id not in exchange.excluded_endpoints
        ]
        near_names = self._gossip.names_in_own_domain()
        near = [peer for peer in peers if peer.name in near_names]
        if len(unable & near_names) >= MAX_UNABLE_NEAR_PEERS:
            # The whole domain may be cut off.
            near = [peer for peer in peers if peer.name not in near_names]
        candidates = near or peers
        sample = self._random.sample(candidates, min(2, len(candidates)))
        load_state = self._state.load_state
        return min(
            sample,
            key=lambda peer: load_state.peer_flight_count(peer.name),
            default=None,
        )
