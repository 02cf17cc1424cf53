"""Who grants the requests to an endpoint that names a limit, and which part of it."""

from vanillareach.core.placers import PLACER_SILENCE_MS
from vanillareach.core.rendezvous import owner_of


class LimitCoordination:
    """Coordinators of limits, in the view of one instance.

    Parameters
    ----------
    name, domain : str
        The instance itself.
    state : GatewayState
    audience : Audience
    peers : PeerTable
    clock : Clock
    """

    def __init__(self, name, domain, state, audience, peers, clock):
        self._name = name
        self._domain = domain
        self._state = state
        self._audience = audience
        self._peers = peers
        self._clock = clock

    def coordinator_name(self, key):
        """Return the name of the instance that coordinates an endpoint's limit.

        It is one of those that are told of all requests.

        Parameters
        ----------
        key : tuple of (str, int)
            Id and incarnation of the endpoint.
        """
        if self._audience.is_direct:
            names = {peer.name for peer in self._peers.available()}
            if not self._state.is_stopping or not names:
                names.add(self._name)
        else:
            election, now_ms = self._audience.election, self._clock.now_ms()
            names = {
                *election.placers(self._domain, now_ms),
                *election.other_domain_placers(now_ms),
            }
        return owner_of(f"limit {key[0]} {key[1]}", names)

    def heard_share(self):
        """Return the share of the fleet that this instance hears, itself included.

        In a large fleet a domain is heard if one of its placers is.
        """
        peers, audience = self._peers, self._audience
        if audience.is_direct:
            return (1 + len(peers.alive_names())) / (1 + peers.possible_count())
        heard = {self._domain, *peers.domains_of_heard_placers(PLACER_SILENCE_MS)}
        election = audience.election
        counts_by_domain = {d: len(election.members(d)) for d in election.domains()}
        heard_count = sum(counts_by_domain.get(domain, 0) for domain in heard)
        return heard_count / max(1, sum(counts_by_domain.values()))
