"""Unit in which placement compares what it costs others."""

from vanillareach.core.priorities import UNKNOWN_PRIORITY


class LateCallers:
    """Number of callers that are predicted to be late by a placement.

    Parameters
    ----------
    priority : int
        Of the request that is placed; with an unknown one, nobody is more urgent.

    Attributes
    ----------
    count : float
        All of them.
    more_urgent : float
        Those of a more urgent priority.
    """

    __slots__ = ("_priority", "count", "more_urgent")

    def __init__(self, priority=UNKNOWN_PRIORITY, count=0.0, more_urgent=0.0):
        self._priority = priority
        self.count = count
        self.more_urgent = more_urgent

    def add(self, count, priority):
        """Add callers of one priority."""
        self.count += count
        if UNKNOWN_PRIORITY < priority < self._priority:
            self.more_urgent += count

    def __iadd__(self, other):
        self.count += other.count
        self.more_urgent += other.more_urgent
        return self
