"""An instance's share of a service's retry budget.

All instances together may send a bounded number of retries in any window. Each holds a
part of the fixed slack and of its own requests' ratio, so that the sum holds whatever
the others do, also while they are cut off.
"""

from collections import deque

# Part of the budget that is given out; the rest covers instances not yet known.
ALLOCATED_SHARE = 0.75


class RetryBudgetShare:
    """Sliding window of one service at one instance.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.
    slack : float
        Retries allowed besides, over all instances.
    window_ms : float
    """

    __slots__ = ("_ratio", "_requests_ms", "_retries_ms", "_slack", "_window_ms")

    def __init__(self, ratio, slack, window_ms):
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._requests_ms = deque()
        self._retries_ms = deque()

    def record_request(self, now_ms):
        """Record a request of a caller."""
        self._requests_ms.append(now_ms)
        self._remove_expired(now_ms)

    def try_acquire(self, instances, now_ms):
        """Take one retry and return whether there was one.

        Parameters
        ----------
        instances : int
            Instances that share the slack.
        """
        if not self.remaining(instances, now_ms):
            return False
        self._retries_ms.append(now_ms)
        return True

    def remaining(self, instances, now_ms):
        """Return how many retries this instance may take now."""
        self._remove_expired(now_ms)
        allowed = ALLOCATED_SHARE * (
            self._slack / max(1, instances) + self._ratio * len(self._requests_ms)
        )
        return max(0, int(allowed) - len(self._retries_ms))

    def _remove_expired(self, now_ms):
        for times in (self._requests_ms, self._retries_ms):
            while times and now_ms - times[0] > self._window_ms:
                times.popleft()
