"""Whether this instance has lost its links to the endpoints.

An endpoint that can't be reached may be down, or its failure domain cut off. If none of
several endpoints of the own and of other domains can be reached, the instance's own
links are the likely cause.
"""

# Endpoints to which connections are tried at once, of the own domain and of others.
CHECKED_PER_SIDE = 2
# Lost links count as regained if this share of the connections is made.
REGAINED_SHARE = 0.5


class EndpointReach:
    """Result of this instance's latest checks of its links.

    Attributes
    ----------
    is_lost : bool
        Whether the links to the endpoints count as lost.
    """

    __slots__ = ("is_lost",)

    def __init__(self):
        self.is_lost = False

    def record_check(self, connected_count, checked_count):
        """Record how many of the checked endpoints were reached.

        Returns
        -------
        bool
            Whether `is_lost` has changed.
        """
        was_lost = self.is_lost
        if not checked_count:
            self.is_lost = False
        elif was_lost:
            self.is_lost = connected_count < REGAINED_SHARE * checked_count
        else:
            self.is_lost = connected_count == 0
        return self.is_lost != was_lost


def choose_checked(listed, domain, random):
    """Return the endpoints that a check tries to reach.

    Parameters
    ----------
    listed : iterable of ListedEndpoint
    domain : str
        Failure domain of the instance.
    random : random.Random
    """
    near = [endpoint for endpoint in listed if endpoint.domain == domain]
    far = [endpoint for endpoint in listed if endpoint.domain != domain]
    chosen = random.sample(near, min(CHECKED_PER_SIDE, len(near)))
    wanted = 2 * CHECKED_PER_SIDE - len(chosen)
    chosen += random.sample(far, min(wanted, len(far)))
    missing = 2 * CHECKED_PER_SIDE - len(chosen)
    rest = [endpoint for endpoint in near if endpoint not in chosen]
    return chosen + random.sample(rest, min(missing, len(rest)))
