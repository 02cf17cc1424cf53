"""Distribution of messages: directly in the own domain, through a relay to others.

Traffic between failure domains is expensive, and an instance that sent its messages to
all others itself would send most of its bytes to other domains. So each other domain
gets a message once, through one of its instances, which forwards it to the rest of its
domain. The relay stays the same between two full beacons, so that messages keep their
order. It changes with each beacon, so that messages are lost only for a short time if a
relay fails or is cut off.
"""


class DomainTree:
    """Chooses the recipients of one instance's messages.

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
        """Return the recipients of the next message.

        Parameters
        ----------
        peers : iterable of Peer
            All known instances; the domain of one that never sent a beacon is empty.
        is_alive : callable
            Returns whether a peer sent a beacon recently.

        Returns
        -------
        direct : list of Peer
            Peers of the own domain and those whose domain is not known.
        relays : list of Peer
            One peer of each other domain, which forwards the message.
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
        """Use the next relay of each domain from the next message on."""
        self._rotation += 1

    def forward_recipients(self, peers, origin):
        """Return the peers of the own domain to which a relay forwards a message.

        Parameters
        ----------
        peers : iterable of Peer
        origin : str
            Name of the instance that sent the message.
        """
        return [
            peer
            for peer in peers
            if peer.domain == self._domain and peer.name != origin
        ]

    def _relay(self, members, is_alive):
        """Return the relay of a domain; its live members are used in turn."""
        candidates = [peer for peer in members if is_alive(peer)] or members
        return candidates[self._rotation % len(candidates)]
