"""What one instance knows of another."""


class Peer:
    """Another instance.

    Attributes
    ----------
    heard_ms : float or None
        When its last beacon came.
    """

    __slots__ = ("address", "domain", "heard_ms", "name", "order", "since_ms")

    def __init__(self, name, address, since_ms):
        self.name = name
        self.address = address
        self.domain = ""
        self.heard_ms = None
        self.since_ms = since_ms
        self.order = (0, 0)

    def was_heard_within(self, duration_ms, now_ms):
        """Return whether a beacon came in the last `duration_ms`."""
        return self.heard_ms is not None and now_ms - self.heard_ms < duration_ms
