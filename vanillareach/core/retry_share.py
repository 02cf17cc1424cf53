"""An instance's share of a service's retry budget.

All instances together may send a limited number of retries in any window. Each may use
an even part of the fixed slack and a ratio of its own requests, so that the total stays
within the limit whatever the other instances do, also during a partition.
"""

from collections import deque

# Share of the budget that is divided among the known instances; the rest covers retries
# of instances not known here.
ALLOCATED_SHARE = 0.75


class RetryBudgetShare:
    """Sliding window of one service at one instance.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.
    slack : float
        Further retries allowed per window, over all instances.
    window_ms : float
        Length of the sliding window.
    """

    __slots__ = ("_ratio", "_requests_ms", "_retries_ms", "_slack", "_window_ms")

    def __init__(self, ratio, slack, window_ms):
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._requests_ms = deque()
        self._retries_ms = deque()

    def record_request(self, now_ms):
        """Record a caller's request."""
        self._requests_ms.append(now_ms)
        self._remove_expired(now_ms)

    def try_acquire(self, instances, now_ms):
        """Take one retry from the budget; return whether one was available.

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
        """Return how many retries this instance may send now."""
        self._remove_expired(now_ms)
        allowed = ALLOCATED_SHARE * (
            self._slack / max(1, instances) + self._ratio * len(self._requests_ms)
        )
        return max(0, int(allowed) - len(self._retries_ms))

    def _remove_expired(self, now_ms):
        for times in (self._requests_ms, self._retries_ms):
            while times and now_ms - times[0] > self._window_ms:
                times.popleft()
