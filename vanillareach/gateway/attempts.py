"""One attempt at an endpoint: what is sent, what comes back, what is learnt."""

from vanillareach.core.routing import RequestKind
from vanillareach.core.suspicion import Loss
from vanillareach.endpoints.base import EndpointBrokenError, EndpointUnreachableError
from vanillareach.gateway.exchange import MAY_HAVE_RUN, AttemptResult, HeldAnswer
from vanillareach.gateway.ports import EndpointOrder
from vanillareach.gateway.relay import relay_events, send_whole
from vanillareach.gateway.sockets import connect
from vanillareach.gateway.upstream import UpstreamRequest, open_upstream
from vanillareach.log import get_logger

# Whole answers up to this size are held until they are complete.
HELD_ANSWER_BYTES = 4 * 1024 * 1024
# Time for a connection that shows whether an endpoint still lives.
LOSS_CHECK_MS = 300.0
# A caller that takes longer for an event hides when the next one came.
SLOW_DELIVERY_MS = 15.0

log = get_logger("request")


class Attempt:
    """One attempt.

    Attributes
    ----------
    exchange : GatewayExchange
    target : Placement
    flight : Flight
    silence : Silence
    was_sent : bool
        Whether a byte may have left.
    was_delayed : bool
        Whether the caller took the last event slowly, or there was none.
    """

    __slots__ = (
        "exchange",
        "flight",
        "silence",
        "target",
        "was_delayed",
        "was_sent",
    )

    def __init__(self, exchange, target, flight, silence):
        self.exchange = exchange
        self.target = target
        self.flight = flight
        self.silence = silence
        self.was_sent = False
        self.was_delayed = True

    def note_sending(self):
        """Record that bytes may leave from now on."""
        self.was_sent = True


class Attempts:
    """Makes attempts.

    Parameters
    ----------
    state : GatewayState
    dispatcher : Dispatcher
    silences : SilenceWatch
    protocol : RequestProtocol
    orders : MemoryOrders
    reservations : ReservationKeeper
    clock : Clock
    metrics : Metrics
    """

    def __init__(
        self,
        state,
        dispatcher,
        silences,
        protocol,
        orders,
        reservations,
        clock,
        metrics,
    ):
        self._state = state
        self._dispatcher = dispatcher
        self._silences = silences
        self._protocol = protocol
        self._orders = orders
        self._reservations = reservations
        self._clock = clock
        self._metrics = metrics

    async def make(self, exchange, target, responder):
        """Make one attempt, record its outcome and return the `AttemptResult`."""
        now_ms = self._clock.now_ms()
        self._log_dispatch(exchange, target, now_ms)
        exchange.sends += 1
        flight = self._dispatcher.begin(exchange, target, now_ms)
        limit_ms = self._dispatcher.silence_limit_ms(exchange, target, now_ms)
        silence = self._silences.watch(flight, now_ms + limit_ms)
        attempt = Attempt(exchange, target, flight, silence)
        result, detail = None, ""
        try:
            with silence.scope:
                result = await self._reserve_and_forward(attempt, responder)
        except EndpointUnreachableError as error:
            result, detail = AttemptResult.UNREACHABLE, str(error)
        except EndpointBrokenError as error:
            result, detail = AttemptResult.BROKEN, str(error)
        finally:
            self._dispatcher.end(flight)
            self._silences.forget(silence)
            if result is None and not silence.is_over:
                exchange.runs += attempt.was_sent
                self._log_end(attempt, "abandoned", "caller or time gone")
        if result is None:
            result = self._silent_result(attempt)
        await self._note_result(attempt, result, detail)
        return result

    def _silent_result(self, attempt):
        if attempt.was_sent:
            return AttemptResult.SILENT
        return AttemptResult.UNREACHABLE

    async def _reserve_and_forward(self, attempt, responder):
        tokens = attempt.target.tokens_by_holder
        name = f"{attempt.exchange.id}-{attempt.flight.id}"
        async with self._reservations.reserved(name, tokens) as reservation:
            if not reservation.is_held:
                return AttemptResult.NOT_RUN
            request = self._upstream_request(attempt, reservation)
            async with open_upstream(request, attempt.note_sending) as answer:
                return await self._take_answer(attempt, answer, responder)

    async def _take_answer(self, attempt, answer, responder):
        exchange = attempt.exchange
        fields = self._protocol.read_answer(answer.status, answer.headers)
        if fields.has_not_run:
            self._note_refusing(attempt, fields)
            return AttemptResult.NOT_RUN
        if fields.attempt_id != exchange.id:
            raise EndpointBrokenError("answer to another request")
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
                attempt.silence.note_arrival,
                lambda: self._note_events(attempt),
                lambda: self._note_delivery(attempt),
            )
        else:
            body = await answer.read(HELD_ANSWER_BYTES)
            attempt.silence.note_arrival()
            await send_whole(answer, body, responder)
        return AttemptResult.ANSWERED

    def _upstream_request(self, attempt, reservation):
        exchange, target = attempt.exchange, attempt.target
        request = exchange.request
        is_stream = exchange.route.kind is RequestKind.STREAM
        helpers = tuple(
            self._orders.helper(
                helper.address, reservation.tickets_by_engine.get(helper.id)
            )
            for helper in target.helpers
        )
        order = EndpointOrder(
            endpoint=target.endpoint,
            left_ms=exchange.deadline_ms - self._clock.now_ms(),
            team=exchange.team.name if exchange.team else None,
            priority=self._dispatcher.endpoint_priority(exchange),
            helpers=helpers,
            last_event_id=exchange.events.last_id if is_stream else None,
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

    def _note_refusing(self, attempt, fields):
        """Learn from an endpoint's word that it did not begin the request."""
        state, target = self._state, attempt.target
        now_ms = self._clock.now_ms()
        if fields.fault_at:
            for helper in target.helpers:
                if helper.address == fields.fault_at:
                    attempt.exchange.fault_at = helper.id
                    state.health.record_refusal(helper.key, now_ms)
        elif fields.is_other_instance:
            state.endpoints.record_leaving(target.endpoint, now_ms)
        elif fields.is_closing:
            state.health.record_refusal(target.endpoint.key, now_ms)

    def _note_events(self, attempt):
        """Record that whole events arrived."""
        exchange, flight = attempt.exchange, attempt.flight
        now_ms = self._clock.now_ms()
        pause_ms = exchange.note_event(now_ms)
        if pause_ms is not None and not attempt.was_delayed:
            self._state.paces.note_gap(flight.engine, pause_ms, now_ms)
        if flight.is_reading:
            self._dispatcher.note_first_event(flight)
            self._metrics.record_first_token(
                exchange.route.name, exchange.first_event_ms
            )

    def _note_delivery(self, attempt):
        """Wait for the endpoint again, after the caller has taken what came."""
        exchange, now_ms = attempt.exchange, self._clock.now_ms()
        arrived_ms = exchange.last_event_ms
        attempt.was_delayed = (
            arrived_ms is None or now_ms - arrived_ms > SLOW_DELIVERY_MS
        )
        limit_ms = self._dispatcher.gap_limit_ms(exchange)
        attempt.silence.extend(now_ms + limit_ms)

    async def _note_result(self, attempt, result, detail):
        exchange, target = attempt.exchange, attempt.target
        health, now_ms = self._state.health, self._clock.now_ms()
        name = result.name.lower()
        self._metrics.attempts[(exchange.service.name, name)] += 1
        if result is AttemptResult.ANSWERED:
            health.record_outcome(target.endpoint.key, False, now_ms)
        elif result is AttemptResult.UNREACHABLE:
            self._note_unreachable(target.endpoint, detail)
        elif result in MAY_HAVE_RUN:
            exchange.runs += 1
            health.record_outcome(target.endpoint.key, True, now_ms)
        elif not target.helpers:
            health.record_outcome(target.endpoint.key, True, now_ms)
        self._log_end(attempt, name, detail)
        if result is AttemptResult.BROKEN:
            await self._check_loss(exchange, target.endpoint)

    def _note_unreachable(self, endpoint, cause):
        state = self._state
        state.health.record_unreachable(endpoint, state.endpoints.by_id.values())
        log.warning(
            "Endpoint unreachable.",
            endpoint=endpoint.id,
            cause=cause,
            set_aside=len(state.health.unreachable_by_key),
        )

    async def _check_loss(self, exchange, endpoint):
        """Record a crash if the endpoint of a broken attempt is gone."""
        try:
            stream = await connect(endpoint.address, LOSS_CHECK_MS)
        except OSError as error:
            self._note_unreachable(endpoint, str(error))
            self._note_loss(exchange, endpoint)
        else:
            stream.socket.close()

    def _note_loss(self, exchange, endpoint):
        state, now_ms = self._state, self._clock.now_ms()
        loss = Loss(exchange.fingerprint, endpoint.id, endpoint.domain, now_ms)
        if not state.crashes.record_loss(loss):
            return
        log.info(
            "Endpoint lost while running.",
            id=exchange.id,
            endpoint=endpoint.id,
            fingerprint=exchange.fingerprint,
        )
        state.publish()

    def _log_dispatch(self, exchange, target, now_ms):
        state = self._state
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
            load_age_ms=round(state.picture.age_ms(now_ms)),
            list_age_ms=round(state.list_age_ms()),
            version=state.table.version,
            attempt=exchange.sends + 1,
        )

    def _log_end(self, attempt, result, detail):
        exchange = attempt.exchange
        log.info(
            "Attempt ended.",
            id=exchange.id,
            endpoint=attempt.target.endpoint.id,
            result=result,
            detail=detail,
            last_event=exchange.events.last_id,
            first_event_ms=exchange.first_event_ms,
            longest_pause_ms=round(exchange.longest_pause_ms),
            after_ms=round(self._clock.now_ms() - exchange.request.received_ms),
        )
