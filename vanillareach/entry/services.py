"""Calls to plain services, under ``/services/NAME/PATH``."""

import math

from vanillareach.core.ledger import RecordedAnswer
from vanillareach.core.objects import ServiceKind
from vanillareach.core.outcomes import Outcome, Reason, Refusal
from vanillareach.core.work import WorkEstimate
from vanillareach.endpoints.base import (
    EndpointBrokenError,
    EndpointCall,
    EndpointUnreachableError,
)
from vanillareach.endpoints.http import HOP_BY_HOP_HEADERS
from vanillareach.endpoints.limits import ANSWER_TIME_LIMIT_MS
from vanillareach.entry.attempts import Attempt, OverlappingAttempts
from vanillareach.entry.callers import run_while_connected
from vanillareach.entry.keyed import MAX_KEY_LENGTH, KeyedCall, send_recorded_answer
from vanillareach.log import get_logger

NO_ENDPOINT_RETRY_AFTER_MS = 2000
REFUSAL_STATUS = 503
NOT_FORWARDED_HEADERS = frozenset(
    (b"authorization", b"x-time-limit-ms", b"traceparent")
)
SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))

log = get_logger("entry")


class ServiceRoutes:
    """Handles calls to plain services.

    Parameters
    ----------
    components : EntryComponents
    """

    def __init__(self, components):
        self._components = components

    async def handle(self, exchange, deadline):
        """Handle one authenticated request below ``/services``."""
        exchange.kind = "service"
        name, _, path = exchange.request.path.removeprefix("/services/").partition("/")
        service = self._components.view().services_by_name.get(name)
        if (
            service is None
            or service.kind is not ServiceKind.PLAIN
            or name not in exchange.team.services
        ):
            return await exchange.refuse(
                Refusal(Reason.NOT_FOUND, f"no service {name!r}")
            )
        deadline.tighten(exchange.started_ms + service.time_limit_ms)
        body = await exchange.request.body(self._components.settings.max_body_bytes)
        call = ServiceCall(self._components, exchange, service, "/" + path, body)
        return await self._run_if_admitted(exchange, call)

    async def _run_if_admitted(self, exchange, call):
        components = self._components
        # A call to a plain service counts as one token in flight.
        estimate = WorkEstimate(1, 0)
        permit = await components.admission.admit(exchange.team, estimate)
        if not permit:
            return await exchange.refuse(permit)
        try:
            return await call.run()
        finally:
            components.admission.release(permit)


class ServiceCall(OverlappingAttempts):
    """One call to a plain service.

    Parameters
    ----------
    components : EntryComponents
    exchange : Exchange
    service : ServiceSpec
    path : str
        Path of the request to the service.
    body : bytes
    """

    def __init__(self, components, exchange, service, path, body):
        self._repeatable = is_repeatable(service, exchange.request.method, path)
        outcome_if_run = Outcome.FAILED if self._repeatable else Outcome.UNKNOWN
        super().__init__(components, exchange, outcome_if_run)
        self._service = service
        self._path = path
        self._body = body
        self._keyed_call = None
        self._excluded_endpoints = set()

    async def run(self):
        """Make the call, under a claim if it carries an idempotency key."""
        key = self._exchange.request.header("idempotency-key")
        if key is not None and not 0 < len(key) <= MAX_KEY_LENGTH:
            detail = f"Idempotency-Key must have 1 to {MAX_KEY_LENGTH} characters"
            return await self._exchange.refuse(Refusal(Reason.BAD_REQUEST, detail))
        if key is None:
            return await run_while_connected(self._exchange, self.run_attempts)
        self._keyed_call = KeyedCall(
            self._components, self._exchange, self._service.name, key, self._body
        )
        claim_result = await self._keyed_call.claim()
        if isinstance(claim_result, Refusal):
            return await self._exchange.refuse(claim_result)
        if isinstance(claim_result, RecordedAnswer):
            return await send_recorded_answer(self._exchange, claim_result.record)
        try:
            return await self.run_attempts()
        finally:
            self._exchange.cleanup_nursery.start_soon(self._keyed_call.settle)

    async def _next_attempt(self):
        state = self._choose_endpoint()
        if state is None:
            return Refusal(
                Reason.NO_ENDPOINT,
                f"no endpoint of {self._service.name} can be reached",
                self._exchange.outcome_if_unanswered,
                NO_ENDPOINT_RETRY_AFTER_MS,
            )
        self._excluded_endpoints.add(state.spec.name)
        # A call that may run only once waits for its endpoint until the deadline.
        idle_timeout_ms = self._service.gap_limit_ms if self._repeatable else math.inf
        now_ms = self._components.clock.now_ms()
        return Attempt(state, self._exchange.request_id, idle_timeout_ms, now_ms)

    async def _refuse(self, refusal):
        await self._exchange.refuse(refusal)

    def _choose_endpoint(self):
        now_ms = self._components.clock.now_ms()
        states = self._components.directory.usable(
            self._service.name, now_ms, self._excluded_endpoints
        )
        local = [
            state
            for state in states
            if state.spec.domain == self._components.settings.domain
        ]
        candidates = local or states
        return self._components.random.choice(candidates) if candidates else None

    async def _run_attempt(self, attempt):
        components = self._components
        state = attempt.state
        span = components.traces.start_child_span(
            "endpoint.attempt", self._exchange.span
        )
        span.set_attribute("endpoint", state.spec.name)
        state.breaker.record_dispatch(components.clock.now_ms())
        result = "abandoned"
        # From here on a byte may be sent, so a cancelled attempt may have run.
        self._record_start()
        try:
            result = await self._dispatch(attempt, span)
        except EndpointUnreachableError:
            self._record_unreachable()
            result = "unreachable"
        except EndpointBrokenError as error:
            result = "broken"
            log.warning(
                "Attempt failed, endpoint excluded for this call.",
                endpoint=state.spec.name,
                error=str(error),
            )
            if not self._repeatable:
                await self._exchange.refuse_with_current_outcome(
                    Reason.ENDPOINT_LOST, str(error)
                )
        finally:
            if result == "abandoned" and attempt.is_silent:
                result = "silent"
            self._record_result(state, result)
            span.set_attribute("result", result)
            span.end()

    async def _dispatch(self, attempt, span):
        call = EndpointCall(
            self._exchange.request.method,
            attempt.state.spec.address,
            self._path_with_query(),
            self._request_headers(span),
            self._body,
            self._remaining_ms(),
        )
        async with self._components.endpoints.open(call) as response:
            # A call that may run only once is not given up before its deadline.
            time_limit_ms = ANSWER_TIME_LIMIT_MS if self._repeatable else math.inf
            body = await self._read(attempt, response, time_limit_ms)
        if response.status == REFUSAL_STATUS and self._repeatable:
            return "refused"
        if not self._take_over(attempt):
            return "abandoned"
        content_type = _content_type(response.headers)
        if self._keyed_call is not None:
            self._keyed_call.record_answer(response.status, body, content_type)
        attempt.record_delivery()
        await self._exchange.answer(response.status, body, content_type)
        return "answered"

    def _path_with_query(self):
        query = self._exchange.request.query
        return f"{self._path}?{query}" if query else self._path

    def _request_headers(self, span):
        request = self._exchange.request
        headers = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in request.headers_by_name.items()
            if name.encode("latin-1") not in HOP_BY_HOP_HEADERS | NOT_FORWARDED_HEADERS
        ]
        traceparent = self._components.traces.header(
            span, request.header("traceparent")
        )
        if traceparent:
            headers.append((b"traceparent", traceparent.encode()))
        headers.append((b"x-request-id", self._exchange.request_id.encode()))
        return headers

    def _record_result(self, state, result):
        self._components.metrics.attempts[(self._service.name, result)] += 1
        if result == "answered":
            state.breaker.record_success()
        elif result in ("abandoned", "silent"):
            state.breaker.record_abandoned()
        else:
            state.breaker.record_failure(self._components.clock.now_ms())


def is_repeatable(service, method, path):
    """Return whether a call may be repeated after a byte of it may have been sent."""
    for operation in service.operations:
        if operation.method == method and path.startswith(operation.path):
            return operation.repeatable
    return method in SAFE_METHODS


def _content_type(headers):
    for name, value in headers:
        if name.lower() == b"content-type":
            return value
    return b"application/octet-stream"
