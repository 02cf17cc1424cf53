"""Failure domains whose instances all fell silent at once.

A cut between domains shows in the beacons before a request finds it out: whoever hears
none of a domain's instances can't expect to reach its endpoints either.
"""

# Beacons that a domain's instances must have sent in vain.
MISSED_BEACONS_LIMIT = 8.0


class SilentDomainDetector:
    """Tells of each domain that falls silent, once for each silence."""

    __slots__ = ("_silent",)

    def __init__(self):
        self._silent = set()

    def newly_silent(self, last_heard_ms_by_domain, interval_ms, now_ms):
        """Return the domains that have just fallen silent.

        Parameters
        ----------
        last_heard_ms_by_domain : dict of str to list of float
            When each instance of a domain was last heard.
        interval_ms : float
            Time between two beacons of one instance.
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
