"""State of another instance, as known from its messages."""


class Peer:
    """Another instance.

    Attributes
    ----------
    name, address : str
    domain : str
        Failure domain; empty until the first beacon.
    added_ms : float
        When the instance became known.
    last_heard_ms : float or None
        When its last message arrived; None before the first.
    last_message_order : tuple of int
        Incarnation and sequence number of that message.
    is_placer : bool
        Whether its last beacon said that it places requests for its domain.
    forward_address : str
        Address for requests that this instance hands on; empty if it isn't known.
    has_lost_links : bool
        Whether its last beacon said that it reaches no endpoints.
    is_leaving : bool
        Whether its last beacon said that it is stopping.
    tells_evacuations : bool
        Whether its last beacon had a set of evacuated domains.
    """

    __slots__ = (
        "added_ms",
        "address",
        "domain",
        "forward_address",
        "has_lost_links",
        "is_leaving",
        "is_placer",
        "last_heard_ms",
        "last_message_order",
        "name",
        "tells_evacuations",
    )

    def __init__(self, name, address, added_ms):
        self.name = name
        self.address = address
        self.domain = ""
        self.is_placer = False
        self.is_leaving = False
        self.forward_address = ""
        self.has_lost_links = False
        self.tells_evacuations = False
        self.last_heard_ms = None
        self.added_ms = added_ms
        self.last_message_order = (0, 0)

    def was_heard_within(self, duration_ms, now_ms):
        """Return whether a message arrived in the last `duration_ms`."""
        return (
            self.last_heard_ms is not None and now_ms - self.last_heard_ms < duration_ms
        )
