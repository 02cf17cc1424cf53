"""Time of the store's last confirmation, as exchanged between instances.

A message carries the age of a confirmation at the time of sending. The age does not
include the transit time, so each hop makes the confirmation appear a little younger,
and one that is forwarded again and again would never age. Therefore each confirmation
has a stamp, and the earliest of the times received for one stamp is used.
"""

# Confirmations remembered; about one a second arrives, from a few instances.
MAX_CONFIRMATIONS = 64


class Freshness:
    """Confirmations of one document of the store.

    Attributes
    ----------
    stamp : int
        Identity of the latest confirmation; 0 without one.
    confirmed_ms : float or None
        Time of that confirmation on this instance's clock.
    """

    __slots__ = ("_confirmed_ms_by_stamp", "confirmed_ms", "stamp")

    def __init__(self):
        self.reset()

    def reset(self):
        """Remove all confirmations."""
        self._confirmed_ms_by_stamp = {}
        self.stamp = 0
        self.confirmed_ms = None

    def is_newer(self, stamp, confirmed_ms):
        """Return whether a confirmation is unknown and later than all known ones."""
        if stamp in self._confirmed_ms_by_stamp:
            return False
        return self.confirmed_ms is None or confirmed_ms > self.confirmed_ms

    def confirm(self, stamp, confirmed_ms):
        """Record a confirmation, or an earlier time for a known one."""
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
