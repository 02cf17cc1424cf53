"""The way of a request: route, team, endpoint, attempts, answer."""

import random

import msgspec

from vanillareach.core.dispatching import Dispatcher
from vanillareach.core.hashing import hash128_hex
from vanillareach.core.routing import RequestKind
from vanillareach.core.suspicion import Loss
from vanillareach.endpoints.base import EndpointBrokenError, EndpointUnreachableError
from vanillareach.gateway.connections import AnswerBrokenError
from vanillareach.gateway.exchange import (
    MAY_HAVE_RUN,
    AttemptResult,
    GatewayExchange,
    HeldAnswer,
)
from vanillareach.gateway.ports import EndpointOrder
from vanillareach.gateway.relay import relay_events, send_whole
from vanillareach.gateway.silence import SilenceWatch
from vanillareach.gateway.sockets import connect
from vanillareach.gateway.upstream import UpstreamRequest, open_upstream
from vanillareach.log import get_logger

# Endpoints that one request may be offered to, those that refuse it included.
MAX_SENDS = 4
# An attempt with less time than this can't be answered.
MIN_ATTEMPT_MS = 30.0
# Whole answers up to this size are held until they are complete.
HELD_ANSWER_BYTES = 4 * 1024 * 1024
# Endpoints lost while running one request after which it is refused.
LOSSES_TO_REFUSE = 3
QUARANTINE_RETRY_MS = 10_000.0
NOT_READY_RETRY_MS = 300.0
LOSS_CHECK_MS = 300.0
# A waiting request looks for room this often.
WAIT_STEP_MS = 60.0

log = get_logger("request")


class RefusalBody(msgspec.Struct):
    """Body of an answer of our own."""

    outcome: str
    reason: str


class Forwarder:
    """Serves callers' requests.

    Parameters
    ----------
    state : GatewayState
    protocol : RequestProtocol
    orders : MemoryOrders
    reservations : ReservationKeeper
    clock : Clock
    metrics : Metrics
    domain : str
        Failure domain of this instance.
    """

    def __init__(self, state, protocol, orders, reservations, clock, metrics, domain):
        self._state = state
        self._protocol = protocol
        self._orders = orders
        self._reservations = reservations
        self._clock = clock
        self._metrics = metrics
        self._random = random.Random()
        self._dispatcher = Dispatcher(state, domain, self._random)
        self.silences = SilenceWatch(self._dispatcher, clock)

    async def handle(self, request, responder):
        """Answer one request."""
        fields = self._protocol.read_request(request.headers)
        exchange = await self._admit(request, fields, responder)
        if exchange is None:
            return
        self._state.retries(exchange.service.name).note_request(request.received_ms)
        with self._clock.scope_until(exchange.deadline_ms) as scope:
            await self._serve(exchange, responder)
        if scope.cancelled_caught:
            await self._end_late(exchange, responder)

    async def _admit(self, request, fields, responder):
        """Return the `GatewayExchange` of a request that may run, or None."""
        state = self._state
        table = state.table
        if table is None or not state.endpoints.is_known:
            await self._refuse(fields, responder, 503, "not_ready", NOT_READY_RETRY_MS)
            return None
        route = table.match(request.host.decode("latin-1"), request.path)
        if route is None:
            await self._refuse(fields, responder, 404, "no_route")
            return None
        team = None
        if table.teams_by_key is not None:
            team = table.teams_by_key.get(fields.key) if fields.key else None
            if team is None and not route.is_public:
                await self._refuse(fields, responder, 401, "unknown_key")
                return None
        service = table.services_by_name.get(route.pick_service(self._random.random()))
        if service is None:
            await self._refuse(fields, responder, 503, "no_service", 1_000.0)
            return None
        exchange = GatewayExchange(request, fields, route, service, team)
        exchange.fingerprint = fingerprint_of(request, fields)
        losses = state.crashes.losses(exchange.fingerprint, request.received_ms)
        if losses >= LOSSES_TO_REFUSE:
            await self._refuse(
                fields, responder, 503, "quarantined", QUARANTINE_RETRY_MS
            )
            return None
        return exchange

    async def _serve(self, exchange, responder):
        """Try endpoints until one answers or no further one may be tried."""
        while True:
            target = await self._choose(exchange)
            if target is None:
                return await self._give_up(exchange, responder, "no_room")
            result = await self._attempt(exchange, target, responder)
            exchange.last_result = result
            if result is AttemptResult.ANSWERED:
                return None
            self._exclude(exchange, target)
            if not self._may_try_again(exchange, result):
                return await self._give_up(exchange, responder, result.name.lower())

    async def _choose(self, exchange):
        """Return the next target, waiting a little for reading to be done."""
        while True:
            now_ms = self._clock.now_ms()
            target = self._dispatcher.choose(exchange, now_ms)
            if target is not None or not self._dispatcher.may_wait(exchange, now_ms):
                return target
            await self._clock.sleep_ms(WAIT_STEP_MS)

    def _exclude(self, exchange, target):
        """Keep the endpoint that failed an attempt out of the next one."""
        if exchange.fault_at is None:
            exchange.tried.add(target.endpoint.id)
        else:
            exchange.tried.add(exchange.fault_at)
            exchange.fault_at = None

    def _may_try_again(self, exchange, result):
        now_ms = self._clock.now_ms()
        left_ms = exchange.deadline_ms - now_ms
        if left_ms < MIN_ATTEMPT_MS or exchange.sends >= MAX_SENDS:
            return False
        if result is AttemptResult.UNREACHABLE:
            return True
        if result in MAY_HAVE_RUN:
            if not exchange.route.is_repeatable:
                return False
            if exchange.runs >= exchange.route.max_attempts:
                return False
        share = self._state.retries(exchange.service.name)
        return share.take(self._state.instances, now_ms)

    async def _attempt(self, exchange, target, responder):
        """Make one attempt and record its outcome."""
        now_ms = self._clock.now_ms()
        table = self._state.table
        log.info(
            "Dispatched.",
            id=exchange.id,
            route=exchange.route.name,
            endpoint=target.endpoint.id,
            helpers=[helper.id for helper in target.helpers],
            predicted_ms=round(target.first_event_ms),
            cost=round(target.cost, 2),
            gain=round(target.gain, 2),
            prompt=exchange.fields.prompt_tokens,
            load_age_ms=round(self._state.picture.age_ms(now_ms)),
            list_age_ms=round(self._state.age_ms(self._state.endpoints.confirmed_ms)),
            version=table.version,
            attempt=exchange.sends + 1,
        )
        exchange.sends += 1
        detail = ""
        sent = False

        def note_sending():
            nonlocal sent
            sent = True

        flight = self._dispatcher.begin(exchange, target, now_ms)
        limit_ms = self._dispatcher.silence_limit_ms(exchange, target, now_ms)
        silence = self.silences.watch(flight, now_ms + limit_ms)
        result = None
        try:
            with silence.scope:
                result = await self._exchange(
                    exchange, target, responder, flight, silence, note_sending
                )
        except EndpointUnreachableError as error:
            result, detail = AttemptResult.UNREACHABLE, str(error)
        except EndpointBrokenError as error:
            result, detail = AttemptResult.BROKEN, str(error)
        finally:
            self._dispatcher.end(flight)
            self.silences.forget(silence)
            if result is None and not silence.is_over:
                self._log_end(exchange, target, "abandoned", "caller or time gone")
        if result is None:
            result = AttemptResult.SILENT if sent else AttemptResult.UNREACHABLE
        await self._note_result(exchange, target, result, detail)
        return result

    async def _exchange(
        self, exchange, target, responder, flight, silence, note_sending
    ):
        tokens = target.tokens_by_holder
        attempt = f"{exchange.id}-{flight.id}"
        async with self._reservations.reserved(attempt, tokens) as reservation:
            if not reservation.is_held:
                return AttemptResult.NOT_RUN
            request = self._upstream_request(exchange, target, reservation)
            return await self._forward(
                exchange, target, responder, flight, silence, note_sending, request
            )

    async def _forward(
        self, exchange, target, responder, flight, silence, note_sending, request
    ):
        async with open_upstream(request, note_sending) as answer:
            fields = self._protocol.read_answer(answer.status, answer.headers)
            self._check_answer(exchange, fields)
            if fields.has_not_run:
                self._note_refusing(exchange, target, fields)
                return AttemptResult.NOT_RUN
            if not fields.is_signed:
                raise EndpointBrokenError(f"unsigned answer {answer.status}")
            if answer.status >= 300:
                body = await answer.read(HELD_ANSWER_BYTES)
                exchange.held = HeldAnswer(answer, body)
                return AttemptResult.FAILED
            if exchange.route.kind is RequestKind.STREAM:
                if exchange.weights is None:
                    exchange.weights = fields.weights
                await relay_events(
                    exchange,
                    answer,
                    responder,
                    lambda: self._note_arrival(exchange, flight, silence),
                    lambda: self._note_delivery(exchange, silence),
                )
            else:
                body = await answer.read(HELD_ANSWER_BYTES)
                silence.lift()
                await send_whole(answer, body, responder)
            return AttemptResult.ANSWERED

    def _upstream_request(self, exchange, target, reservation):
        request = exchange.request
        left_ms = exchange.deadline_ms - self._clock.now_ms()
        resumes = exchange.route.kind is RequestKind.STREAM
        order = EndpointOrder(
            endpoint=target.endpoint,
            left_ms=left_ms,
            team=exchange.team.name if exchange.team else None,
            priority=self._dispatcher.endpoint_priority(exchange),
            helpers=tuple(
                self._orders.helper(
                    helper.address, reservation.tickets_by_engine.get(helper.id)
                )
                for helper in target.helpers
            ),
            last_event_id=exchange.events.last_id if resumes else None,
            weights=exchange.weights,
        )
        hides_key = self._state.table.teams_by_key is not None
        return UpstreamRequest(
            address=target.endpoint.address,
            method=request.method,
            target=request.target,
            headers=self._protocol.endpoint_headers(request.headers, order, hides_key),
            host=request.host,
            body=request.body,
        )

    def _check_answer(self, exchange, fields):
        if fields.attempt_id != exchange.id and not fields.has_not_run:
            raise EndpointBrokenError("answer to another request")

    def _note_refusing(self, exchange, target, fields):
        state = self._state
        now_ms = self._clock.now_ms()
        if fields.fault_at:
            for helper in target.helpers:
                if helper.address == fields.fault_at:
                    exchange.fault_at = helper.id
                    state.health.note_refusing(helper.key, now_ms)
        elif fields.is_other_instance:
            state.endpoints.note_leaving(target.endpoint, now_ms)
        elif fields.is_closing:
            state.health.note_refusing(target.endpoint.key, now_ms)

    def _note_arrival(self, exchange, flight, silence):
        """Record that events arrived; the caller may take them slowly."""
        now_ms = self._clock.now_ms()
        exchange.note_event(now_ms)
        # An attempt that ended during a write would leave half an event.
        silence.lift()
        if flight.is_reading:
            self._dispatcher.note_first_event(flight)
            self._metrics.record_first_token(
                exchange.route.name, exchange.first_event_ms
            )

    def _note_delivery(self, exchange, silence):
        limit_ms = self._dispatcher.gap_limit_ms(exchange)
        silence.extend(self._clock.now_ms() + limit_ms)

    async def _note_result(self, exchange, target, result, detail):
        now_ms = self._clock.now_ms()
        state = self._state
        key = target.endpoint.key
        self._metrics.attempts[(exchange.service.name, result.name.lower())] += 1
        if result is AttemptResult.ANSWERED:
            state.health.note(key, False, now_ms)
        elif result is AttemptResult.UNREACHABLE:
            self._note_unreachable(target.endpoint, detail)
        elif result in MAY_HAVE_RUN:
            exchange.runs += 1
            state.health.note(key, True, now_ms)
        elif not target.helpers:
            state.health.note(key, True, now_ms)
        self._log_end(exchange, target, result.name.lower(), detail)
        if result is AttemptResult.BROKEN:
            await self._check_loss(exchange, target)

    def _note_unreachable(self, endpoint, cause):
        state = self._state
        state.health.note_unreachable(endpoint, state.endpoints.by_id.values())
        log.warning(
            "Endpoint unreachable.",
            endpoint=endpoint.id,
            cause=cause,
            set_aside=len(state.health.unreachable_by_key),
        )

    def _log_end(self, exchange, target, result, detail):
        log.info(
            "Attempt ended.",
            id=exchange.id,
            endpoint=target.endpoint.id,
            result=result,
            detail=detail,
            last_event=exchange.events.last_id,
            first_event_ms=exchange.first_event_ms,
            longest_pause_ms=round(exchange.longest_pause_ms),
            after_ms=round(self._clock.now_ms() - exchange.request.received_ms),
        )

    async def _check_loss(self, exchange, target):
        """Record a crash if the endpoint of a broken attempt is gone."""
        endpoint = target.endpoint
        try:
            stream = await connect(endpoint.address, LOSS_CHECK_MS)
        except OSError as error:
            now_ms = self._clock.now_ms()
            state = self._state
            self._note_unreachable(endpoint, str(error))
            loss = Loss(exchange.fingerprint, endpoint.id, endpoint.domain, now_ms)
            if state.crashes.note_loss(loss):
                log.info(
                    "Endpoint lost while running.",
                    id=exchange.id,
                    endpoint=endpoint.id,
                    fingerprint=exchange.fingerprint,
                    cause=str(error),
                )
                state.publish()
        else:
            stream.socket.close()

    async def _give_up(self, exchange, responder, reason):
        """Give the final answer after the last attempt."""
        if responder.is_started:
            raise AnswerBrokenError(reason)
        held = exchange.held
        if held is not None:
            log.info("Failure passed on.", id=exchange.id, status=held.status)
            await send_whole(held, held.body, responder)
            self._count(exchange.fields, "failed", reason)
        elif exchange.runs:
            await self._refuse(exchange.fields, responder, 502, reason)
        else:
            retry_ms = self._dispatcher.retry_after_ms(exchange, self._clock.now_ms())
            await self._refuse(exchange.fields, responder, 503, reason, retry_ms)

    async def _end_late(self, exchange, responder):
        """Answer a request whose time is over."""
        if responder.is_started:
            raise AnswerBrokenError("deadline")
        if exchange.sends:
            await self._refuse(exchange.fields, responder, 504, "deadline")
        else:
            await self._refuse(
                exchange.fields, responder, 503, "deadline", NOT_READY_RETRY_MS
            )

    async def _refuse(self, fields, responder, status, reason, retry_after_ms=None):
        """Send an answer of our own."""
        headers = [(b"Content-Type", b"application/json")]
        if retry_after_ms is not None:
            seconds = f"{retry_after_ms / 1000:.3f}".encode()
            headers.append((b"Retry-After", seconds))
        outcome = "unknown" if status in (502, 504) else "not_run"
        log.info(
            "Refused.",
            id=fields.attempt_id,
            status=status,
            reason=reason,
            retry_after_ms=retry_after_ms and round(retry_after_ms),
        )
        self._count(fields, outcome, reason)
        body = msgspec.json.encode(RefusalBody(outcome, reason))
        await responder.answer(status, headers, body)

    def _count(self, fields, outcome, reason):
        self._metrics.requests[("forward", outcome, reason)] += 1


def fingerprint_of(request, fields):
    """Return a digest of what a caller sends again when it sends the same request."""
    parts = (request.method, request.target, (fields.key or "").encode(), request.body)
    return hash128_hex(b"\n".join(part or b"" for part in parts))
