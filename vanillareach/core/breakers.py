"""Circuit breakers for endpoints and retry budgets for services."""

FAILURES_TO_OPEN = 3
INITIAL_OPEN_MS = 2_000.0
MAX_OPEN_MS = 30_000.0
RETRIES_PER_REQUEST = 0.1
MAX_STORED_RETRIES = 10.0


class Breaker:
    """Closes an endpoint to new work after consecutive failures.

    After the open period one probe is let through; a failed probe doubles the period
    up to a limit.
    """

    __slots__ = ("_failures", "_open_ms", "_open_until_ms", "_probing")

    def __init__(self):
        self._failures = 0
        self._open_ms = INITIAL_OPEN_MS
        self._open_until_ms = None
        self._probing = False

    def allows(self, now_ms):
        """Return whether the endpoint may be given work now."""
        if self._open_until_ms is None:
            return True
        return now_ms >= self._open_until_ms and not self._probing

    def record_dispatch(self, now_ms):
        """Record a dispatch, which is the probe of a half-open breaker."""
        if self._open_until_ms is not None and now_ms >= self._open_until_ms:
            self._probing = True

    def record_success(self):
        """Record an answer; closes the breaker."""
        self._failures = 0
        self._open_ms = INITIAL_OPEN_MS
        self._open_until_ms = None
        self._probing = False

    def record_failure(self, now_ms, opens_immediately=False):
        """Record a lost or refused attempt.

        Parameters
        ----------
        now_ms : float
        opens_immediately : bool
            Whether one such failure is enough, as when no connection can be made.
        """
        self._failures += FAILURES_TO_OPEN if opens_immediately else 1
        if self._probing:
            self._probing = False
            self._open_ms = min(2 * self._open_ms, MAX_OPEN_MS)
            self._open_until_ms = now_ms + self._open_ms
        elif self._failures >= FAILURES_TO_OPEN:
            self._open_until_ms = now_ms + self._open_ms

    def record_abandoned(self):
        """Record that a dispatch ended without a verdict on the endpoint."""
        self._probing = False


class RetryBudget:
    """Limits the retries of one service to a share of its requests."""

    __slots__ = ("_level",)

    def __init__(self):
        self._level = MAX_STORED_RETRIES

    def record_request(self):
        """Record a first attempt, which earns a share of a retry."""
        self._level = min(MAX_STORED_RETRIES, self._level + RETRIES_PER_REQUEST)

    def try_acquire(self):
        """Take one retry and return whether there was one."""
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True
