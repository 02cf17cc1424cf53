"""State of one request, which gets exactly one response with its outcome."""

import math

import msgspec

from vanillareach.asgi import send_bytes, send_chunk, start_response
from vanillareach.core.outcomes import Outcome, Reason, Refusal

PROBLEM_CONTENT_TYPE = b"application/problem+json"
PROBLEM_TYPE_PREFIX = "urn:vanillareach:problem:"
OUTCOME_HEADER = b"x-outcome"
REQUEST_ID_HEADER = b"x-request-id"


class ErrorDetail(msgspec.Struct):
    """Error object in the format that clients of the completions interface expect."""

    message: str
    type: str
    code: str
    param: str | None = None


class Problem(msgspec.Struct):
    """Body of every error response (RFC 9457), with the outcome of the request."""

    type: str
    title: str
    status: int
    detail: str
    outcome: str
    reason: str
    resend_safe: bool
    request_id: str
    error: ErrorDetail


def problem_from_refusal(refusal, request_id):
    """Return the `Problem` that describes a refusal."""
    return Problem(
        type=PROBLEM_TYPE_PREFIX + refusal.reason,
        title=refusal.reason.replace("_", " "),
        status=refusal.status,
        detail=refusal.detail,
        outcome=refusal.outcome,
        reason=refusal.reason,
        resend_safe=refusal.resend_safe,
        request_id=request_id,
        error=ErrorDetail(refusal.detail, refusal.reason, refusal.reason),
    )


class Exchange:
    """State of one request from its arrival to the end of its response.

    Parameters
    ----------
    request : HttpRequest
    send : callable
        ASGI send channel.
    request_id : str
    started_ms : float
        Monotonic time at which the request arrived.

    Attributes
    ----------
    kind : str
        Kind of request, a label in metrics and traces.
    deadline_ms : float
        Monotonic time by which the response must have reached the caller.
    streaming : bool
        Whether a streamed response has been started.
    answered : bool
        Whether the outcome is final: the complete response or the end of the stream is
        being sent, or the caller has disconnected.
    outcome : Outcome or None
        Set together with ``answered``.
    reason : str
        Reason of the refusal, ``caller_gone`` after a disconnect, otherwise empty.
    cleanup_nursery : trio.Nursery
        Runs what follows the request and must not delay its response.
    outcome_if_unanswered : Outcome
        Outcome to report if the request ends now without a response: ``not_run`` until
        the first byte may have been sent to an endpoint.
    """

    __slots__ = (
        "answered",
        "cleanup_nursery",
        "deadline_ms",
        "outcome_if_unanswered",
        "kind",
        "outcome",
        "reason",
        "request",
        "request_id",
        "send",
        "span",
        "started_ms",
        "streaming",
        "team",
    )

    def __init__(self, request, send, request_id, started_ms):
        self.request = request
        self.send = send
        self.request_id = request_id
        self.started_ms = started_ms
        self.deadline_ms = math.inf
        self.cleanup_nursery = None
        self.outcome_if_unanswered = Outcome.NOT_RUN
        self.outcome = None
        self.reason = ""
        self.kind = "other"
        self.span = None
        self.team = None
        self.streaming = False
        self.answered = False

    async def answer(self, status, body, content_type, headers=()):
        """Send a complete response; the outcome follows from its status."""
        self._set_outcome(Outcome.DONE if status < 400 else Outcome.FAILED, "")
        await send_bytes(
            self.send,
            status,
            body,
            content_type,
            self._response_headers(headers, self.outcome),
        )

    async def refuse(self, refusal):
        """Send the problem that describes a refusal.

        If the response is already being streamed, the problem is its last event. Has no
        effect once ``answered`` is set.
        """
        if self.answered:
            return
        self._set_outcome(refusal.outcome, refusal.reason)
        problem = problem_from_refusal(refusal, self.request_id)
        if self.streaming:
            event = b"data: " + msgspec.json.encode(problem) + b"\n\n"
            await send_chunk(self.send, event, more=False)
            return
        headers = self._response_headers(_retry_after_headers(refusal), self.outcome)
        body = msgspec.json.encode(problem)
        await send_bytes(self.send, refusal.status, body, PROBLEM_CONTENT_TYPE, headers)

    async def refuse_with_current_outcome(self, reason, detail):
        """Refuse with ``outcome_if_unanswered`` as the outcome."""
        await self.refuse(Refusal(reason, detail, self.outcome_if_unanswered))

    async def start_stream(self, headers):
        """Send the status and headers of a streamed response."""
        self.streaming = True
        await start_response(
            self.send, 200, [*headers, *self._response_headers((), None)]
        )

    async def end_stream(self):
        """End a streamed response that is complete."""
        self._set_outcome(Outcome.DONE, "")
        await send_chunk(self.send, b"", more=False)

    def record_disconnect(self):
        """Record that the caller disconnected before its response was complete."""
        if not self.answered:
            self._set_outcome(self.outcome_if_unanswered, "caller_gone")

    def _set_outcome(self, outcome, reason):
        self.answered = True
        self.outcome = outcome
        self.reason = reason

    def _response_headers(self, headers, outcome):
        response_headers = [(REQUEST_ID_HEADER, self.request_id.encode()), *headers]
        if outcome is not None:
            response_headers.append((OUTCOME_HEADER, outcome.encode()))
        return response_headers


def _retry_after_headers(refusal):
    if refusal.retry_after_ms is None:
        return ()
    seconds = max(1, math.ceil(refusal.retry_after_ms / 1000))
    return ((b"retry-after", str(seconds).encode()),)


def internal_error(outcome):
    """Return the refusal for an internal error of the entry."""
    return Refusal(Reason.INTERNAL, "the request met an internal error", outcome)
