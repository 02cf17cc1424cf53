"""Attempts whose callers have left, whose endpoints may yet crash because of them."""

# One counts if its endpoint crashes this soon after its caller has left.
ABANDONED_TTL_MS = 500.0
MAX_ABANDONED = 64


class AbandonedAttempt:
    """What is to be recorded of an attempt if its endpoint crashes.

    Attributes
    ----------
    run : CrashedRun
    report : CrashReport or None
        None if the endpoint had written output.
    abandoned_ms : float
    """

    __slots__ = ("abandoned_ms", "report", "run")

    def __init__(self, run, report, abandoned_ms):
        self.run = run
        self.report = report
        self.abandoned_ms = abandoned_ms


class AbandonedAttempts:
    """The newest abandoned attempts of one instance."""

    __slots__ = ("_attempts",)

    def __init__(self):
        self._attempts = []

    def record(self, run, report, now_ms):
        """Record an attempt; see `AbandonedAttempt`."""
        self._attempts.append(AbandonedAttempt(run, report, now_ms))
        del self._attempts[:-MAX_ABANDONED]

    def just_before(self, endpoint_key, crashed_ms):
        """Return the attempts at an endpoint that were abandoned before its crash."""
        return [
            attempt
            for attempt in self._attempts
            if attempt.run.endpoint_key == endpoint_key
            and crashed_ms - attempt.abandoned_ms <= ABANDONED_TTL_MS
        ]
