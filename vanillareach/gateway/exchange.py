"""State of one request from its arrival to its response."""

import math
from enum import Enum, auto

from vanillareach.clock import MS_PER_SECOND
from vanillareach.core.hashing import hash128_hex
from vanillareach.core.routing import RequestKind
from vanillareach.endpoints.base import EndpointError
from vanillareach.gateway.buffer_budget import KeptBody

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
    # No response, or no further event, within the idle timeout; the attempt goes on.
    SILENT = auto()
    # Another attempt had something to deliver first.
    SUPERSEDED = auto()


POSSIBLY_RUN_RESULTS = frozenset(
    (AttemptResult.FAILED, AttemptResult.BROKEN, AttemptResult.SILENT)
)
NEVER_RUN_RESULTS = frozenset(
    (AttemptResult.UNREACHABLE, AttemptResult.NOT_SENT, AttemptResult.NOT_RUN)
)


class EndpointWithdrawnError(EndpointError):
    """An endpoint that was chosen must get no request; nothing was sent to it."""


class FailureResponse:
    """Error response of an endpoint that may have run the request.

    Attributes
    ----------
    status : int
    reason : bytes
    headers : list of (bytes, bytes)
    body : bytes
    says_not_run : bool
        Whether callers take the status for the promise that the request has not run.
    """

    __slots__ = ("body", "headers", "reason", "says_not_run", "status")

    def __init__(self, response, body, says_not_run):
        self.status = response.status
        self.reason = response.reason
        self.headers = response.headers
        self.body = body
        self.says_not_run = says_not_run


def fingerprint_of(request, fields):
    """Return a digest that is the same when a caller sends a request again."""
    parts = (request.method, request.target, (fields.key or "").encode(), request.body)
    return hash128_hex(b"\n".join(part or b"" for part in parts))


class GatewayExchange:
    """One request of a caller and the state of its attempts.

    Parameters
    ----------
    request : CallerRequest
    fields : CallerFields
    route : Route
    service : RoutedService
    team : RoutedTeam or None
    configuration : RouteTable
        The configuration under which the request was admitted.

    Attributes
    ----------
    deadline_ms : float
        Monotonic time by which the response must have been sent.
    time_limit_ms : float
        Monotonic time at which the time limit of the caller or the route is reached.
    scope : trio.CancelScope or None
        Cancelled at the deadline.
    attempts : list of Attempt
    last_event_id : int or None
        Id of the last event of a stream that was sent to the caller.
    retry_count : int
        Retries taken from the retry budget.
    excluded_endpoints : set of str
        Ids of endpoints that further attempts leave out.
    weights_version : int or None
        Version of the weights that made the first event.
    suspect : Suspect or None
        What of the request may crash endpoints; None before it is admitted.
    is_forwarded : bool
        Whether a peer has handed it to this instance.
    is_trial : bool
        Whether it may be sent though its like are refused; see `core.crash_trials`.
    waiting_id : int
        Names the request where it waits for an engine; 0 before it asks.
    first_event_ms : int or None
        Time from the arrival of the request to its first event.
    longest_pause_ms : float
        Longest time between two events.
    cost_traits : CostTraits or None
    cost_prediction : CostPrediction or None
        What the request was predicted to cost when it was first placed.
    is_answered : bool
        Whether an endpoint's response was complete.
    service_ms : float or None
        Time that an endpoint took for a response in one piece; None if it included a
        predicted wait for a slot.
    """

    __slots__ = (
        "_latest_ms",
        "_own_deadline_ms",
        "attempts",
        "configuration",
        "cost_prediction",
        "cost_traits",
        "deadline_ms",
        "excluded_endpoints",
        "failure_response",
        "fields",
        "first_event_ms",
        "is_answered",
        "is_forwarded",
        "is_trial",
        "_kept_body",
        "_runs_before",
        "last_event_id",
        "last_event_ms",
        "longest_pause_ms",
        "request",
        "retry_count",
        "route",
        "scope",
        "service",
        "service_ms",
        "suspect",
        "team",
        "time_limit_ms",
        "waiting_id",
        "weights_version",
    )

    def __init__(self, request, fields, route, service, team, configuration):
        self.request = request
        self.fields = fields
        self.route = route
        self.service = service
        self.team = team
        self.configuration = configuration
        caller_timeout_ms = math.inf if fields.timeout_ms is None else fields.timeout_ms
        timeout_ms = min(route.timeout_ms, caller_timeout_ms - HANDSHAKE_MARGIN_MS)
        self._own_deadline_ms = request.received_ms + timeout_ms - ANSWER_MARGIN_MS
        self.deadline_ms = self._own_deadline_ms
        self.time_limit_ms = request.received_ms + min(
            route.timeout_ms, caller_timeout_ms
        )
        self._latest_ms = math.inf
        self.scope = None
        self.attempts = []
        self.retry_count = 0
        self.excluded_endpoints = set()
        self.failure_response = None
        self._kept_body = None
        self.weights_version = None
        self.suspect = None
        self.is_forwarded = False
        self.is_trial = False
        self.waiting_id = 0
        self._runs_before = 0
        self.first_event_ms = None
        self.last_event_ms = None
        self.longest_pause_ms = 0.0
        self.cost_traits = None
        self.cost_prediction = None
        self.is_answered = False
        self.service_ms = None
        self.last_event_id = fields.last_event_id

    @property
    def id(self):
        """Id that the caller gave this attempt."""
        return self.fields.attempt_id

    @property
    def needs_retry(self):
        """Whether the next attempt needs a retry that wasn't taken yet."""
        sent_count = sum(attempt.may_have_been_sent for attempt in self.attempts)
        return self.retry_count < sent_count

    @property
    def possible_runs(self):
        """Number of attempts that may have run the request."""
        own_runs = sum(attempt.may_have_run for attempt in self.attempts)
        return self._runs_before + own_runs

    def may_have_run_before(self, attempt):
        """Return whether another attempt than this one may have run the request."""
        return self.possible_runs > attempt.may_have_run

    @property
    def is_generation(self):
        """Whether the lengths of prompt and answer are known, and so their time."""
        return self.service.engine is not None and self.fields.prompt_tokens > 0

    @property
    def has_events(self):
        """Whether events were passed on, here or by the peer that handed it on."""
        return self.last_event_id != self.fields.last_event_id

    def take_from_peer(self, message):
        """Take over what a peer tells of a request that it hands on.

        Parameters
        ----------
        message : ForwardedRequest
        """
        self.is_forwarded = True
        self._runs_before = message.possible_runs
        self.last_event_id = message.last_event_id
        self.weights_version = message.weights_version

    def keep_failure(self, response, budget):
        """Keep an endpoint's error response while another endpoint is tried.

        Parameters
        ----------
        response : FailureResponse
        budget : BufferBudget
            May let it be dropped to make room for others.
        """
        self.drop_failure()
        self.failure_response = response
        self._kept_body = KeptBody(budget, len(response.body), self.drop_failure)

    def must_replace(self, failure):
        """Return whether an endpoint's failure would promise more than is known.

        Callers of requests that may run more than once repeat them after any failure.

        Parameters
        ----------
        failure : FailureResponse
        """
        is_idempotent = self.route.kind is RequestKind.IDEMPOTENT
        return failure.says_not_run and not is_idempotent

    def drop_failure(self):
        """Forget the error response that is kept."""
        self.failure_response = None
        if self._kept_body is not None:
            self._kept_body.release()
            self._kept_body = None

    def cap_deadline(self, latest_ms):
        """Bring the deadline forward to `latest_ms`, if it is later."""
        self._latest_ms = min(self._latest_ms, latest_ms)
        self._set_deadline()

    def drop_answer_margin(self):
        """Let the deadline be the whole time limit: a stream has begun.

        No other response can be sent any more, so no time is reserved for one.
        """
        self._own_deadline_ms = self.time_limit_ms
        self._set_deadline()

    def _set_deadline(self):
        self.deadline_ms = min(self._own_deadline_ms, self._latest_ms)
        if self.scope is not None:
            self.scope.deadline = self.deadline_ms / MS_PER_SECOND

    @property
    def deadline_reason(self):
        """Why the response ends at the deadline: "stopping" or "deadline".

        It is "stopping" if this instance ends before the time limit of the caller or
        the route is reached.
        """
        return "stopping" if self._latest_ms < self._own_deadline_ms else "deadline"

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
