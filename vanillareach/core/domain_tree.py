"""Who tells whom: peers of the own domain directly, other domains through a relay.

Bytes between failure domains are dear, and an instance that tells all others itself
sends most of its bytes there. So each other domain gets a message once, through one of
its instances, which passes it on to the rest of its domain. The relay stays the same
between two whole beacons, so that messages keep their order; with each beacon it
changes, so that one that is lost or cut off costs little.
"""


class DomainTree:
    """Recipients of the messages of one instance.

    Parameters
    ----------
    domain : str
        Failure domain of the instance.
    """

    __slots__ = ("_domain", "_rotation")

    def __init__(self, domain):
        self._domain = domain
        self._rotation = 0

    def recipients(self, peers, is_alive):
        """Return whom the next message goes to.

        Parameters
        ----------
        peers : iterable of Peer
            All known instances; the domain of one never heard is empty.
        is_alive : callable
            Whether a peer was heard lately.

        Returns
        -------
        direct : list of Peer
            Own domain, and those whose domain isn't known.
        relays : list of Peer
            One of each other domain, to pass the message on.
        """
        direct, by_domain = [], {}
        for peer in peers:
            if peer.domain in ("", self._domain):
                direct.append(peer)
            else:
                by_domain.setdefault(peer.domain, []).append(peer)
        relays = [self._relay(members, is_alive) for members in by_domain.values()]
        return direct, relays

    def rotate_relays(self):
        """Take other relays from the next message on."""
        self._rotation += 1

    def forward_recipients(self, peers, origin):
        """Return the peers of the own domain to which a relay passes a message on.

        Parameters
        ----------
        peers : iterable of Peer
        origin : str
            Name of the instance that the message is from.
        """
        return [
            peer
            for peer in peers
            if peer.domain == self._domain and peer.name != origin
        ]

    def _relay(self, members, is_alive):
        """Return the relay of a domain: each of its living members in turn."""
        candidates = [peer for peer in members if is_alive(peer)] or members
        return candidates[self._rotation % len(candidates)]
