"""Detection of failure domains from which no beacon arrives.

A partition between domains shows in missing beacons before a request fails: an instance
that receives none from a domain cannot expect to reach that domain's endpoints either.
"""

# A domain counts as silent once this many beacons are overdue, summed over its
# instances.
MISSED_BEACONS_LIMIT = 8.0


class SilentDomainDetector:
    """Reports each domain that becomes silent, once per period of silence."""

    __slots__ = ("_silent",)

    def __init__(self):
        self._silent = set()

    def newly_silent(self, last_heard_ms_by_domain, interval_ms, now_ms):
        """Return the domains that have become silent since the last call.

        Parameters
        ----------
        last_heard_ms_by_domain : dict of str to list of float
            Time of the last message of each instance of a domain.
        interval_ms : float
            Time between two beacons of an instance.
        now_ms : float

        Returns
        -------
        set of str
        """
        silent = {
            domain
            for domain, last_heard_ms in last_heard_ms_by_domain.items()
            if now_ms - max(last_heard_ms)
            > MISSED_BEACONS_LIMIT * interval_ms / len(last_heard_ms)
        }
        newly = silent - self._silent
        self._silent = silent
        return newly
