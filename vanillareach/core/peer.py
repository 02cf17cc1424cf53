"""What one instance knows of another."""


class Peer:
    """Another instance.

    Attributes
    ----------
    last_heard_ms : float or None
        When its last beacon came.
    """

    __slots__ = (
        "address",
        "domain",
        "last_heard_ms",
        "name",
        "last_message_order",
        "added_ms",
    )

    def __init__(self, name, address, added_ms):
        self.name = name
        self.address = address
        self.domain = ""
        self.last_heard_ms = None
        self.added_ms = added_ms
        self.last_message_order = (0, 0)

    def was_heard_within(self, duration_ms, now_ms):
        """Return whether a beacon came in the last `duration_ms`."""
        return (
            self.last_heard_ms is not None and now_ms - self.last_heard_ms < duration_ms
        )
