"""Token bucket; the caller passes the current time to each method."""


class TokenBucket:
    """Limits a rate and allows bursts.

    Parameters
    ----------
    rate_per_second : float
        Sustained refill rate.
    burst : float
        Capacity of the bucket, which starts full.
    now_ms : float
        Current time.
    """

    __slots__ = ("_burst", "_level", "_rate_per_ms", "_updated_ms")

    def __init__(self, rate_per_second, burst, now_ms):
        self._rate_per_ms = rate_per_second / 1000
        self._burst = burst
        self._level = burst
        self._updated_ms = now_ms

    @property
    def fill_ratio(self):
        """Tokens in the bucket at its last use, divided by its capacity."""
        return self._level / self._burst

    def try_acquire(self, amount, now_ms):
        """Take `amount` tokens if the bucket has them; return whether it did."""
        self._refill(now_ms)
        if self._level < amount:
            return False
        self._level -= amount
        return True

    def wait_ms(self, amount, now_ms):
        """Return the time until the bucket has `amount` tokens."""
        self._refill(now_ms)
        missing = amount - self._level
        return max(0.0, missing / self._rate_per_ms) if self._rate_per_ms else 1e9

    def set_rate(self, rate_per_second, burst, now_ms):
        """Change the rate and the capacity from `now_ms` on."""
        self._refill(now_ms)
        self._rate_per_ms = rate_per_second / 1000
        self._burst = burst
        self._level = min(self._level, burst)

    def _refill(self, now_ms):
        elapsed_ms = max(0.0, now_ms - self._updated_ms)
        self._level = min(self._burst, self._level + elapsed_ms * self._rate_per_ms)
        self._updated_ms = now_ms
