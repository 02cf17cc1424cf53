"""Invariants that must hold under every failure, checked on observations of a run.

All failure tests and benchmarks record the same observations and look for violations.
"""

import msgspec

MAX_DISPATCH_AFTER_LEAVING_MS = 2000
MEMORY_RELEASE_GRACE_MS = 5000


class Violation(msgspec.Struct, frozen=True):
    """One violated invariant."""

    check: str
    detail: str


class AnswerObservation(msgspec.Struct, frozen=True):
    """One request as observed by its caller; all times in milliseconds.

    Attributes
    ----------
    request : str
        Name of the request in reports.
    sent_ms : float
    limit_ms : float
        Time limit of the request.
    answer_count : int
        Number of complete responses received.
    answered_ms : float or None
        Time at which the response was complete.
    caller_disconnected : bool
        Whether the connection was lost before the response, so that none is expected.
    """

    request: str
    sent_ms: float
    limit_ms: float
    answer_count: int
    answered_ms: float | None
    caller_disconnected: bool = False


class DispatchObservation(msgspec.Struct, frozen=True):
    """A request sent to an endpoint."""

    endpoint: str
    at_ms: float


class VersionObservation(msgspec.Struct, frozen=True):
    """Version of an object in force at an instance."""

    instance: str
    key: str
    version: int
    at_ms: float


class MemoryObservation(msgspec.Struct, frozen=True):
    """Memory in use at an engine."""

    engine: str
    tokens: int
    at_ms: float


class Observations:
    """Everything that was observed in one run.

    Attributes
    ----------
    answers : list of AnswerObservation
    runs_by_key : dict of str to int
        Runs over all endpoints; calls without a key are not counted.
    dispatches : list of DispatchObservation
    leaving_since_by_endpoint : dict of str to float
        Time at which an endpoint was first marked as leaving.
    versions : list of VersionObservation
        In chronological order.
    memory : list of MemoryObservation
        At the end of the run.
    last_deadline_ms : float
        Latest deadline of any request.
    """

    def __init__(self):
        self.answers = []
        self.runs_by_key = {}
        self.dispatches = []
        self.leaving_since_by_endpoint = {}
        self.versions = []
        self.memory = []
        self.last_deadline_ms = 0.0


def check_answers(observations):
    """Check that every request gets exactly one response within its time limit."""
    for answer in observations.answers:
        if answer.caller_disconnected:
            continue
        if answer.answer_count != 1 or answer.answered_ms is None:
            yield Violation(
                "answers", f"{answer.request}: {answer.answer_count} answers"
            )
        elif answer.answered_ms - answer.sent_ms > answer.limit_ms:
            late_ms = answer.answered_ms - answer.sent_ms - answer.limit_ms
            yield Violation("in time", f"{answer.request}: {late_ms:.0f} ms late")


def check_runs(observations):
    """Check that no idempotency key runs more than once."""
    for key, runs in observations.runs_by_key.items():
        if runs > 1:
            yield Violation("at most once", f"{key} ran {runs} times")


def check_leaving(observations):
    """Check that dispatches to a leaving endpoint end in time.

    The limit, ``MAX_DISPATCH_AFTER_LEAVING_MS``, counts from the time at which the
    endpoint was first marked as leaving.
    """
    for dispatch in observations.dispatches:
        leaving_since_ms = observations.leaving_since_by_endpoint.get(dispatch.endpoint)
        if leaving_since_ms is None:
            continue
        elapsed_ms = dispatch.at_ms - leaving_since_ms
        if elapsed_ms > MAX_DISPATCH_AFTER_LEAVING_MS:
            detail = f"{dispatch.endpoint} got a request after {elapsed_ms:.0f} ms"
            yield Violation("leaving", detail)


def check_versions(observations):
    """Check that the version in force at an instance never decreases."""
    highest = {}
    for version in observations.versions:
        instance_key = (version.instance, version.key)
        if version.version < highest.get(instance_key, 0):
            detail = f"{version.key} fell to {version.version} at {version.instance}"
            yield Violation("versions", detail)
        highest[instance_key] = max(version.version, highest.get(instance_key, 0))


def check_memory(observations):
    """Check that no engine memory is in use once all requests must have ended.

    That is ``MEMORY_RELEASE_GRACE_MS`` after the last deadline.
    """
    for memory in observations.memory:
        if memory.at_ms < observations.last_deadline_ms + MEMORY_RELEASE_GRACE_MS:
            continue
        if memory.tokens:
            detail = f"{memory.engine} has {memory.tokens} tokens in use"
            yield Violation("memory", detail)


CHECKS = (check_answers, check_runs, check_leaving, check_versions, check_memory)


def find_violations(observations):
    """Return the violations of all invariants in the observations."""
    return [violation for check in CHECKS for violation in check(observations)]
