"""Circuit breakers for endpoints and retry budgets for services."""

# Consecutive failures that open a breaker.
FAILURES_TO_OPEN = 3
# First and longest period for which a breaker stays open before it allows a probe.
INITIAL_OPEN_MS = 2_000.0
MAX_OPEN_MS = 30_000.0
# Retries that each first attempt adds to its service's budget.
RETRIES_PER_REQUEST = 0.1
# Capacity of the budget, which is full at the start.
MAX_STORED_RETRIES = 10.0


class Breaker:
    """Circuit breaker: stops new work to an endpoint after consecutive failures.

    After the open period one request is allowed as a probe. A failed probe doubles the
    period up to a limit; a successful one closes the breaker.
    """

    __slots__ = ("_failures", "_open_ms", "_open_until_ms", "_probing")

    def __init__(self):
        self._failures = 0
        self._open_ms = INITIAL_OPEN_MS
        self._open_until_ms = None
        self._probing = False

    def allows(self, now_ms):
        """Return whether the endpoint may receive a request now."""
        if self._open_until_ms is None:
            return True
        return now_ms >= self._open_until_ms and not self._probing

    def record_dispatch(self, now_ms):
        """Record that a request was sent; in a half-open breaker it is the probe."""
        if self._open_until_ms is not None and now_ms >= self._open_until_ms:
            self._probing = True

    def record_success(self):
        """Record a successful attempt and close the breaker."""
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
            Whether one such failure opens the breaker, as when no connection can be
            made.
        """
        self._failures += FAILURES_TO_OPEN if opens_immediately else 1
        if self._probing:
            self._probing = False
            self._open_ms = min(2 * self._open_ms, MAX_OPEN_MS)
            self._open_until_ms = now_ms + self._open_ms
        elif self._failures >= FAILURES_TO_OPEN:
            self._open_until_ms = now_ms + self._open_ms

    def record_abandoned(self):
        """Record an attempt whose end says nothing about the endpoint's health."""
        self._probing = False


class RetryBudget:
    """Limits the retries of one service to a fraction of its requests."""

    __slots__ = ("_level",)

    def __init__(self):
        self._level = MAX_STORED_RETRIES

    def record_request(self):
        """Record a first attempt, which adds a fraction of a retry to the budget."""
        self._level = min(MAX_STORED_RETRIES, self._level + RETRIES_PER_REQUEST)

    def try_acquire(self):
        """Take one retry from the budget; return whether one was available."""
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True
