"""The four outcomes of a request and the reasons reported with them."""

from enum import StrEnum


class Outcome(StrEnum):
    """Final state of a request as reported to its caller."""

    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """Machine-readable cause of an outcome other than ``done``."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    TOO_LARGE = "too_large"
    CONFLICT = "conflict"
    RATE_LIMITED = "rate_limited"
    TEAM_LIMIT = "team_limit"
    OVERLOADED = "overloaded"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_ENDPOINT = "no_endpoint"
    ENDPOINT_LOST = "endpoint_lost"
    ENDPOINT_REFUSED = "endpoint_refused"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    STILL_RUNNING = "still_running"
    KEY_REUSED = "key_reused"
    QUARANTINED = "quarantined"
    STOPPING = "stopping"
    NOT_READY = "not_ready"
    INTERNAL = "internal"


STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.FORBIDDEN: 403,
    Reason.NOT_FOUND: 404,
    Reason.TOO_LARGE: 413,
    Reason.CONFLICT: 409,
    Reason.RATE_LIMITED: 429,
    Reason.TEAM_LIMIT: 429,
    Reason.OVERLOADED: 503,
    Reason.DEADLINE_TOO_SHORT: 422,
    Reason.DEADLINE_EXCEEDED: 504,
    Reason.NO_ENDPOINT: 503,
    Reason.ENDPOINT_LOST: 502,
    Reason.ENDPOINT_REFUSED: 502,
    Reason.PLATFORM_UNAVAILABLE: 503,
    Reason.STILL_RUNNING: 409,
    Reason.KEY_REUSED: 422,
    Reason.QUARANTINED: 422,
    Reason.STOPPING: 503,
    Reason.NOT_READY: 503,
    Reason.INTERNAL: 500,
}


class Refusal:
    """Returned in place of a result when a request is refused; evaluates to false.

    Parameters
    ----------
    reason : Reason
        Cause of the refusal.
    detail : str
        Explanation for the caller.
    outcome : Outcome, default=Outcome.NOT_RUN
        Whether the request has run, as far as this is known.
    retry_after_ms : int or None, default=None
        Time after which a retry may succeed; None if a retry cannot help.
    """

    __slots__ = ("detail", "outcome", "reason", "retry_after_ms")

    def __init__(self, reason, detail, outcome=Outcome.NOT_RUN, retry_after_ms=None):
        self.reason = reason
        self.detail = detail
        self.outcome = outcome
        self.retry_after_ms = retry_after_ms

    def __bool__(self):
        return False

    def __repr__(self):
        return f"Refusal({self.outcome}, {self.reason}, {self.detail!r})"

    @property
    def status(self):
        """HTTP status code of the response."""
        return STATUS_BY_REASON[self.reason]

    @property
    def resend_safe(self):
        """Whether the request can be sent again without running twice."""
        return self.outcome is Outcome.NOT_RUN
