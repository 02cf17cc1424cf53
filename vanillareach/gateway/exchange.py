"""State of one request from its arrival to its response."""

import math
from enum import Enum, auto

from vanillareach.core.event_stream import EventSplitter
from vanillareach.endpoints.base import EndpointError

# Reserved before a deadline so that the response reaches the caller in time.
ANSWER_MARGIN_MS = 20.0
# The caller's time limit starts when it opens its connection, before `received_ms`.
HANDSHAKE_MARGIN_MS = 10.0


class AttemptResult(Enum):
    """How an attempt at an endpoint ended."""

    ANSWERED = auto()
    # No connection was established.
    UNREACHABLE = auto()
    # The endpoint reported that it did not run the request, or memory for the request
    # was not reserved, so that it was not sent.
    NOT_RUN = auto()
    # No longer allowed at an endpoint of the placement; no byte was sent to it.
    NOT_SENT = auto()
    # The endpoint sent an error response, which is kept.
    FAILED = auto()
    # The response was aborted, or is not the endpoint's response to this attempt.
    BROKEN = auto()
    # No response, or no further event, within the idle timeout.
    SILENT = auto()


POSSIBLY_RUN_RESULTS = frozenset(
    (AttemptResult.FAILED, AttemptResult.BROKEN, AttemptResult.SILENT)
)


class EndpointWithdrawnError(EndpointError):
    """An endpoint that was chosen must get no request; nothing was sent to it."""


class FailureResponse:
    """Error response of an endpoint, kept while another endpoint is tried."""

    __slots__ = ("body", "headers", "reason", "status")

    def __init__(self, response, body):
        self.status = response.status
        self.reason = response.reason
        self.headers = response.headers
        self.body = body


class GatewayExchange:
    """One request of a caller and the state of its attempts.

    Parameters
    ----------
    request : CallerRequest
    fields : CallerFields
    route : Route
    service : RoutedService
    team : RoutedTeam or None
    version : int
        Version of the configuration under which the request was admitted.

    Attributes
    ----------
    deadline_ms : float
        Monotonic time by which the response must have been sent.
    attempt_count, possible_runs : int
        Number of attempts made, and of those that may have run the request.
    excluded_endpoints : set of str
        Ids of endpoints that further attempts leave out.
    failed_helper : str or None
        Id of the helper engine that made the last attempt fail.
    first_event_ms : int or None
        Time from the arrival of the request to its first event.
    longest_pause_ms : float
        Longest time between two events.
    """

    __slots__ = (
        "attempt_count",
        "deadline_ms",
        "events",
        "excluded_endpoints",
        "failed_helper",
        "failure_response",
        "fields",
        "fingerprint",
        "first_event_ms",
        "last_event_ms",
        "longest_pause_ms",
        "possible_runs",
        "request",
        "route",
        "service",
        "team",
        "version",
        "weights_version",
    )

    def __init__(self, request, fields, route, service, team, version):
        self.request = request
        self.fields = fields
        self.route = route
        self.service = service
        self.team = team
        self.version = version
        caller_timeout_ms = math.inf if fields.timeout_ms is None else fields.timeout_ms
        timeout_ms = min(route.timeout_ms, caller_timeout_ms - HANDSHAKE_MARGIN_MS)
        self.deadline_ms = request.received_ms + timeout_ms - ANSWER_MARGIN_MS
        self.attempt_count = 0
        self.possible_runs = 0
        self.excluded_endpoints = set()
        self.failure_response = None
        self.weights_version = None
        self.failed_helper = None
        self.fingerprint = ""
        self.first_event_ms = None
        self.last_event_ms = None
        self.longest_pause_ms = 0.0
        self.events = EventSplitter(fields.last_event_id)

    @property
    def id(self):
        """Id that the caller gave this attempt."""
        return self.fields.attempt_id

    def cap_deadline(self, latest_ms):
        """Bring the deadline forward to `latest_ms`, if it is later."""
        self.deadline_ms = min(self.deadline_ms, latest_ms)

    def record_event(self, now_ms):
        """Record an event; return the pause before it, None for the first one."""
        previous_ms, self.last_event_ms = self.last_event_ms, now_ms
        if previous_ms is None:
            self.first_event_ms = round(now_ms - self.request.received_ms)
            return None
        pause_ms = now_ms - previous_ms
        self.longest_pause_ms = max(self.longest_pause_ms, pause_ms)
        return pause_ms

    @property
    def priority(self):
        """Priority of the request: the team's if it has one, else the route's."""
        if self.team is not None and self.team.priority is not None:
            return self.team.priority
        return self.route.priority
