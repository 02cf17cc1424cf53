"""When the store last confirmed something, as told among instances.

What is told of a confirmation is its age when the message was sent. The way of the
message isn't in it, so each hop makes the confirmation a little younger. Told around
again and again, an old confirmation would never age; so each one has a stamp, and what
was learnt of it first, or older, stands.
"""

# Confirmations remembered; one comes each second or so, from a few instances.
MAX_CONFIRMATIONS = 64


class Freshness:
    """Confirmations of one thing.

    Attributes
    ----------
    stamp : int
        Identity of the latest confirmation; 0 without one.
    confirmed_ms : float or None
        When it was made, on the own clock.
    """

    __slots__ = ("_confirmed_ms_by_stamp", "confirmed_ms", "stamp")

    def __init__(self):
        self.reset()

    def reset(self):
        """Drop all confirmations."""
        self._confirmed_ms_by_stamp = {}
        self.stamp = 0
        self.confirmed_ms = None

    def is_newer(self, stamp, confirmed_ms):
        """Return whether a confirmation is not known yet and the latest."""
        if stamp in self._confirmed_ms_by_stamp:
            return False
        return self.confirmed_ms is None or confirmed_ms > self.confirmed_ms

    def confirm(self, stamp, confirmed_ms):
        """Record a confirmation, or a better estimate of when it was made."""
        known_ms = self._confirmed_ms_by_stamp.get(stamp)
        if known_ms is not None and known_ms <= confirmed_ms:
            return
        self._confirmed_ms_by_stamp[stamp] = confirmed_ms
        self.stamp = max(
            self._confirmed_ms_by_stamp, key=self._confirmed_ms_by_stamp.get
        )
        self.confirmed_ms = self._confirmed_ms_by_stamp[self.stamp]
        if len(self._confirmed_ms_by_stamp) > MAX_CONFIRMATIONS:
            del self._confirmed_ms_by_stamp[
                min(self._confirmed_ms_by_stamp, key=self._confirmed_ms_by_stamp.get)
            ]
