"""ASGI application of an entry instance: routing, authentication and deadlines."""

import trio

from vanillareach.asgi import (
    BodyTooLargeError,
    CallerDisconnectedError,
    HttpRequest,
    answer_lifespan,
    send_bytes,
    send_json,
)
from vanillareach.core.admission import ANSWER_MARGIN_MS
from vanillareach.core.outcomes import Reason, Refusal
from vanillareach.entry.exchange import Exchange, internal_error
from vanillareach.log import get_logger
from vanillareach.utils import new_id, sha256_hex

TIME_LIMIT_HEADER = "x-time-limit-ms"
METRICS_CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
OPERATOR_TIME_LIMIT_MS = 30_000
MAX_TIME_LIMIT_MS = 24 * 3600 * 1000

log = get_logger("entry")


class EntryApp:
    """Authenticates requests of callers and operators and routes them to handlers.

    Parameters
    ----------
    components : EntryComponents
        Shared components of the instance.
    callers : CallerRoutes
        Handles ``/v1``.
    services : ServiceRoutes
        Handles ``/services``.
    operators : OperatorRoutes
        Handles ``/operators/v1``.

    Attributes
    ----------
    open_exchanges : int
        Number of requests in progress or being cleaned up, without those for health
        checks and metrics.
    """

    def __init__(self, components, callers, services, operators):
        self._components = components
        self._handlers_by_prefix = {
            "v1": callers.handle,
            "services": services.handle,
        }
        self._operators = operators
        self.open_exchanges = 0

    async def __call__(self, scope, receive, send):
        """Handle one ASGI connection scope."""
        if scope["type"] == "lifespan":
            return await answer_lifespan(receive, send)
        if scope["type"] != "http":
            return None
        request = HttpRequest(scope, receive)
        if request.path in ("/healthz", "/readyz", "/metrics"):
            return await self._answer_monitoring(request, send)
        return await self._handle_exchange(request, send)

    async def _answer_monitoring(self, request, send):
        if request.path == "/metrics":
            body = self._components.metrics.render()
            return await send_bytes(send, 200, body, METRICS_CONTENT_TYPE)
        if request.path == "/healthz":
            return await send_json(send, 200, {"status": "alive"})
        reason = self._components.unready_reason()
        status = 503 if reason else 200
        return await send_json(send, status, {"status": reason or "ready"})

    async def _handle_exchange(self, request, send):
        components = self._components
        exchange = Exchange(request, send, new_id("r"), components.clock.now_ms())
        received_traceparent = request.header("traceparent")
        exchange.span = components.traces.start_server_span(
            "entry.request", received_traceparent
        )
        self.open_exchanges += 1
        try:
            async with trio.open_nursery() as nursery:
                exchange.cleanup_nursery = nursery
                await self._handle_until_answered(exchange)
        finally:
            self.open_exchanges -= 1

    async def _handle_until_answered(self, exchange):
        try:
            await self._handle_within_deadline(exchange)
        except CallerDisconnectedError:
            exchange.record_disconnect()
        finally:
            self._record_outcome(exchange)

    async def _handle_within_deadline(self, exchange):
        try:
            with trio.CancelScope() as scope:
                await self._dispatch_to_handler(exchange, scope)
        except BodyTooLargeError as error:
            await exchange.refuse(Refusal(Reason.TOO_LARGE, str(error)))
        except CallerDisconnectedError:
            raise
        except Exception:
            log.exception(
                "Unexpected error while handling a request.",
                request=exchange.request_id,
            )
            await exchange.refuse(internal_error(exchange.outcome_if_unanswered))
        if scope.cancelled_caught and not exchange.answered:
            detail = "no answer within the time limit"
            await exchange.refuse_with_current_outcome(Reason.DEADLINE_EXCEEDED, detail)

    async def _dispatch_to_handler(self, exchange, scope):
        prefix = exchange.request.path.lstrip("/").partition("/")[0]
        if prefix == "operators":
            self._set_deadline(exchange, scope, OPERATOR_TIME_LIMIT_MS)
            return await self._operators.handle(exchange)
        handler = self._handlers_by_prefix.get(prefix)
        if handler is None:
            detail = f"no resource at {exchange.request.path}"
            return await exchange.refuse(Refusal(Reason.NOT_FOUND, detail))
        refusal = self._authenticate(exchange)
        if refusal is not None:
            return await exchange.refuse(refusal)
        limit_ms = requested_time_limit_ms(exchange.request)
        if isinstance(limit_ms, Refusal):
            return await exchange.refuse(limit_ms)
        team_limit_ms = exchange.team.limits.time_limit_ms
        self._set_deadline(exchange, scope, min(limit_ms, team_limit_ms))
        return await handler(exchange, DeadlineScope(exchange, scope))

    def _set_deadline(self, exchange, scope, limit_ms):
        DeadlineScope(exchange, scope).tighten(exchange.started_ms + limit_ms)

    def _authenticate(self, exchange):
        reason = self._components.unready_reason()
        # A stopping instance still serves the requests that arrive.
        if reason and not self._components.stopping:
            return Refusal(Reason.NOT_READY, reason, retry_after_ms=1000)
        header = exchange.request.header("authorization", "")
        scheme, _, token = header.partition(" ")
        view = self._components.view()
        team = view.teams_by_token_sha256.get(sha256_hex(token.strip()))
        if scheme.lower() != "bearer" or team is None:
            detail = "a bearer token of a team is needed"
            return Refusal(Reason.UNAUTHENTICATED, detail)
        exchange.team = team
        return None

    def _record_outcome(self, exchange):
        outcome = str(exchange.outcome or exchange.outcome_if_unanswered)
        key = (exchange.kind, outcome, str(exchange.reason))
        self._components.metrics.requests[key] += 1
        span = exchange.span
        span.set_attribute("request.id", exchange.request_id)
        span.set_attribute("outcome", outcome)
        span.set_attribute("reason", str(exchange.reason))
        span.set_attribute("kind", exchange.kind)
        if exchange.team is not None:
            span.set_attribute("team", exchange.team.name)
        span.end()


class DeadlineScope:
    """Applies a deadline to both an exchange and its cancel scope."""

    __slots__ = ("_exchange", "_scope")

    def __init__(self, exchange, scope):
        self._exchange = exchange
        self._scope = scope

    def tighten(self, deadline_ms):
        """Set the deadline to `deadline_ms` unless the current one is earlier.

        The scope is cancelled ``ANSWER_MARGIN_MS`` before the deadline, which leaves
        time to send the response.
        """
        self._exchange.deadline_ms = min(self._exchange.deadline_ms, deadline_ms)
        self._scope.deadline = (self._exchange.deadline_ms - ANSWER_MARGIN_MS) / 1000


def requested_time_limit_ms(request):
    """Return the time limit in ms that the caller set, or a refusal if it is invalid.

    It is at most ``MAX_TIME_LIMIT_MS``, which also applies without the header.
    """
    value = request.header(TIME_LIMIT_HEADER)
    if value is None:
        return MAX_TIME_LIMIT_MS
    if not value.isdigit() or int(value) == 0:
        detail = f"{TIME_LIMIT_HEADER} must be a positive number of milliseconds"
        return Refusal(Reason.BAD_REQUEST, detail)
    if int(value) <= ANSWER_MARGIN_MS:
        detail = f"no request can be answered within {value} ms"
        return Refusal(Reason.DEADLINE_TOO_SHORT, detail)
    return min(int(value), MAX_TIME_LIMIT_MS)
