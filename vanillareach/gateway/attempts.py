"""Attempts to run a request at an endpoint, and what is recorded about them."""

from functools import partial

from vanillareach.core.messages import EndpointFault
from vanillareach.core.routing import RequestKind
from vanillareach.endpoints.base import (
    EndpointBrokenError,
    EndpointConnectionLostError,
    EndpointUnreachableError,
)
from vanillareach.gateway.answers import AnswerProgress, read_answer
from vanillareach.gateway.attempt_group import AttemptSupersededError
from vanillareach.gateway.exchange import (
    POSSIBLY_RUN_RESULTS,
    AttemptResult,
    EndpointWithdrawnError,
    FailureResponse,
)
from vanillareach.gateway.ports import EndpointRequestFields
from vanillareach.gateway.relay import RelayObserver, relay_events, send_buffered
from vanillareach.gateway.upstream import UpstreamRequest, open_upstream
from vanillareach.log import get_logger

# If sending an event to the caller takes longer, the next event may have arrived
# meanwhile, so the gap between the two can't be measured.
SLOW_DELIVERY_THRESHOLD_MS = 15.0

log = get_logger("request")


class AttemptObserver(RelayObserver):
    """Records the progress of the stream of one attempt.

    Parameters
    ----------
    runner : AttemptRunner
    attempt : Attempt
    """

    __slots__ = ("_attempt", "_runner")

    def __init__(self, runner, attempt):
        self._runner = runner
        self._attempt = attempt

    def on_events(self):
        """Take over the response and record the events; see `RelayObserver`.

        The idle timeout is suspended: a slow caller isn't a silent endpoint.
        """
        self._attempt.idle_timeout.pause()
        self._attempt.take_over()
        self._runner.record_events(self._attempt)

    def on_delivered(self):
        """Restart the idle timeout; see `RelayObserver`."""
        self._runner.record_delivery(self._attempt)

    def on_end(self):
        """Take over the response; see `RelayObserver`."""
        self._attempt.take_over()


class AttemptRunner:
    """Runs attempts at endpoints and records their results.

    Parameters
    ----------
    state : GatewayState
    dispatcher : Dispatcher
    loss_checker : EndpointLossChecker
    link_monitor : LinkMonitor
    idle_timeouts : IdleTimeoutMonitor
    protocol : RequestProtocol
    reservation_protocol : MemoryReservationProtocol
    reservations : ReservationManager
    clock : Clock
    metrics : Metrics
    buffer_budget : BufferBudget
    """

    def __init__(
        self,
        state,
        dispatcher,
        loss_checker,
        link_monitor,
        idle_timeouts,
        protocol,
        reservation_protocol,
        reservations,
        clock,
        metrics,
        buffer_budget,
    ):
        self._state = state
        self._dispatcher = dispatcher
        self._loss_checker = loss_checker
        self._link_monitor = link_monitor
        self._idle_timeouts = idle_timeouts
        self._protocol = protocol
        self._reservation_protocol = reservation_protocol
        self._reservations = reservations
        self._clock = clock
        self._metrics = metrics
        self._buffer_budget = buffer_budget

    async def run(self, attempt, responder):
        """Run one attempt; set and record its result."""
        self._begin(attempt)
        detail, is_reset = "", False
        try:
            with attempt.scope:
                attempt.result = await self._reserve_and_forward(attempt, responder)
        except EndpointUnreachableError as error:
            attempt.result, detail = AttemptResult.UNREACHABLE, str(error)
        except EndpointBrokenError as error:
            attempt.result, detail = AttemptResult.BROKEN, str(error)
            is_reset = isinstance(error, EndpointConnectionLostError)
        except AttemptSupersededError:
            attempt.result = AttemptResult.SUPERSEDED
        except EndpointWithdrawnError as error:
            attempt.result, detail = AttemptResult.NOT_SENT, str(error)
            attempt.exchange.attempts.remove(attempt)
        finally:
            self._link_monitor.record_end(attempt, is_reset)
            self._dispatcher.record_end(attempt.flight)
            self._idle_timeouts.unwatch(attempt.idle_timeout)
            attempt.idle_timeout = None
            if attempt.result is None and not attempt.scope.cancelled_caught:
                attempt.set_interrupted_result(responder.is_delivered)
                if attempt.result is not None:
                    self._record_result(attempt, "")
                    self._state.quarantine.record_survival(attempt)
                else:
                    self._state.quarantine.record_abandoned(attempt)
                    self._log_end(
                        attempt, "abandoned", "caller disconnected or deadline passed"
                    )
        if attempt.result is None:
            self._state.quarantine.record_abandoned(attempt)
            attempt.result = (
                AttemptResult.SUPERSEDED
                if attempt.is_superseded
                else AttemptResult.UNREACHABLE
            )
        self._record_result(attempt, detail)
        if attempt.result is AttemptResult.BROKEN:
            await self._loss_checker.check(attempt)
        else:
            self._state.quarantine.record_survival(attempt)

    def _begin(self, attempt):
        """Count the attempt as in flight and watch its idle timeout."""
        exchange, placement = attempt.exchange, attempt.placement
        now_ms = self._clock.now_ms()
        self._log_dispatch(exchange, placement, now_ms)
        attempt.flight = self._dispatcher.record_dispatch(exchange, placement, now_ms)
        timeout_ms = self._dispatcher.first_byte_timeout_ms(exchange, placement, now_ms)
        attempt.idle_timeout = self._idle_timeouts.watch(
            attempt.flight, now_ms + timeout_ms, lambda: self._record_silence(attempt)
        )

    def _record_silence(self, attempt):
        """Let another endpoint be tried; an attempt that wasn't sent yet ends."""
        if not attempt.may_have_been_sent:
            attempt.scope.cancel()
            return
        exchange, endpoint = attempt.exchange, attempt.placement.endpoint
        now_ms = self._clock.now_ms()
        self._metrics.attempts[(exchange.service.name, "silent")] += 1
        self._state.record_fault(endpoint, EndpointFault.FAILED, now_ms)
        log.info(
            "Attempt silent.",
            id=exchange.id,
            endpoint=endpoint.id,
            last_event=exchange.last_event_id,
            after_ms=round(now_ms - exchange.request.received_ms),
        )
        self._link_monitor.record_silence(attempt)
        attempt.mark_silent()

    async def _reserve_and_forward(self, attempt, responder):
        tokens = attempt.placement.reserved_tokens_by_helper
        id_prefix = f"{attempt.exchange.id}-{attempt.flight.id}"
        async with self._reservations.reserve(id_prefix, tokens) as reservation:
            if not reservation.is_granted:
                self._check_placement(attempt)
                return AttemptResult.NOT_RUN
            request = self._upstream_request(attempt, reservation)
            mark_sent = partial(self._mark_sent, attempt)
            is_foreign = partial(self._is_earlier_refusal, attempt)
            async with open_upstream(request, mark_sent, is_foreign) as response:
                result, body = await self._relay_response(attempt, response, responder)
        if body is not None:
            # The endpoint is done, however slowly the caller reads.
            self._dispatcher.record_end(attempt.flight)
            await send_buffered(response, body, responder)
        return result

    def _is_earlier_refusal(self, attempt, response):
        """Return whether a response refuses another request than that of an attempt.

        It tells nothing of this one, whose own response may follow.
        """
        fields = self._protocol.read_response(response.status, response.headers)
        exchange = attempt.exchange
        if not fields.has_not_run or fields.attempt_id in ("", exchange.id):
            return False
        self._metrics.attempts[(exchange.service.name, "earlier_refusal")] += 1
        log.warning(
            "Earlier refusal skipped.",
            id=exchange.id,
            endpoint=attempt.placement.endpoint.id,
            status=response.status,
            refused=fields.attempt_id,
        )
        return True

    def _mark_sent(self, attempt):
        """Prepare for the first byte of the request, if it may still be sent."""
        self._check_placement(attempt)
        attempt.mark_sent(self._clock.now_ms())
        self._link_monitor.record_sent(attempt)
        self._state.quarantine.record_sent(attempt)

    def _check_placement(self, attempt):
        placement = attempt.placement
        for endpoint in (placement.endpoint, *placement.helpers):
            cause = self._state.unusable_cause(endpoint)
            if cause:
                raise EndpointWithdrawnError(f"{endpoint.id}: {cause}")
        self._check_limits(placement)
        if self._state.quarantine.refuses(attempt.exchange):
            raise EndpointWithdrawnError("quarantined")

    def _check_limits(self, placement):
        """Check that no endpoint has named a limit since the placement was chosen."""
        limits = self._state.limits
        limited = [h for h in placement.helpers if limits.is_limited(h.key)]
        if not placement.has_permit and limits.is_limited(placement.endpoint.key):
            limited.append(placement.endpoint)
        if limited:
            raise EndpointWithdrawnError(f"{limited[0].id}: limited")

    async def _relay_response(self, attempt, response, responder):
        """Return the result, and the body of an answer in one piece to be sent."""
        exchange = attempt.exchange
        self._link_monitor.record_bytes(attempt)
        fields = self._protocol.read_response(response.status, response.headers)
        self._record_signals(attempt, fields)
        if fields.has_not_run:
            self._record_refusal(attempt, fields)
            return AttemptResult.NOT_RUN, None
        if fields.attempt_id != exchange.id:
            raise EndpointBrokenError("answer to another request")
        if not fields.is_signed:
            raise EndpointBrokenError(f"unsigned answer {response.status}")
        if response.status >= 300:
            body = await self._read_answer(attempt, response)
            failure = FailureResponse(response, body, fields.says_not_run)
            exchange.keep_failure(failure, self._buffer_budget)
            attempt.failure_status = response.status
            return AttemptResult.FAILED, None
        if exchange.route.kind is RequestKind.STREAM:
            attempt.weights_version = fields.weights_version
            observer = AttemptObserver(self, attempt)
            share = self._buffer_budget.share()
            await relay_events(exchange, response, responder, observer, share)
            return AttemptResult.ANSWERED, None
        body = await self._read_answer(attempt, response)
        attempt.idle_timeout.pause()
        attempt.take_over()
        self._record_output(attempt)
        if not attempt.placement.wait_ms:
            exchange.service_ms = self._clock.now_ms() - attempt.sent_ms
        return AttemptResult.ANSWERED, body

    async def _read_answer(self, attempt, response):
        idle_timeout_ms = self._dispatcher.event_gap_timeout_ms(attempt.exchange)
        progress = AnswerProgress(attempt, idle_timeout_ms, self._clock)
        return await read_answer(response, self._buffer_budget.share(), progress)

    def _upstream_request(self, attempt, reservation):
        exchange, placement = attempt.exchange, attempt.placement
        request = exchange.request
        is_stream = exchange.route.kind is RequestKind.STREAM
        helpers = tuple(
            self._reservation_protocol.helper_reference(
                helper.address, reservation.ids_by_engine.get(helper.id)
            )
            for helper in placement.helpers
        )
        endpoint_fields = EndpointRequestFields(
            endpoint=placement.endpoint,
            remaining_ms=exchange.deadline_ms - self._clock.now_ms(),
            team=exchange.team.name if exchange.team else None,
            priority=self._dispatcher.endpoint_priority(exchange),
            helpers=helpers,
            last_event_id=exchange.last_event_id if is_stream else None,
            weights_version=exchange.weights_version,
        )
        strips_key = exchange.configuration.teams_by_key is not None
        return UpstreamRequest(
            address=placement.endpoint.address,
            method=request.method,
            target=request.target,
            headers=self._protocol.endpoint_headers(
                request.headers, endpoint_fields, strips_key
            ),
            host=request.host,
            body=request.body,
        )

    def _record_signals(self, attempt, fields):
        """Record what the endpoint says, unless it answers another request."""
        endpoint, limit_per_s = attempt.placement.endpoint, fields.signals.limit_per_s
        if fields.attempt_id not in ("", attempt.exchange.id):
            return
        self._state.record_signals(endpoint, fields.signals)
        # Only the endpoint's own answer shows that it names no limit any more.
        if limit_per_s is not None or (fields.is_signed and not fields.is_misdirected):
            self._state.record_limit(endpoint, limit_per_s, attempt.sent_ms)

    def _record_refusal(self, attempt, fields):
        """Record which endpoint or helper refused a request that was not run."""
        state, placement = self._state, attempt.placement
        now_ms = self._clock.now_ms()
        if fields.failed_helper_address:
            for helper in placement.helpers:
                if helper.address == fields.failed_helper_address:
                    attempt.failed_helper = helper
                    state.record_fault(helper, EndpointFault.REFUSED, now_ms)
        elif fields.is_misdirected:
            state.record_fault(placement.endpoint, EndpointFault.LEAVING, now_ms)
        elif fields.closes_connection:
            state.record_fault(placement.endpoint, EndpointFault.REFUSED, now_ms)

    def record_events(self, attempt):
        """Record that complete events arrived."""
        exchange, flight = attempt.exchange, attempt.flight
        if not attempt.has_written:
            self._record_output(attempt)
        now_ms = self._clock.now_ms()
        pause_ms = exchange.record_event(now_ms)
        if pause_ms is not None and not attempt.was_delivery_slow:
            self._state.paces.record_gap(flight.engine, pause_ms, now_ms)
        if pause_ms is None:
            exchange.weights_version = attempt.weights_version
            exchange.drop_answer_margin()
        if flight.is_prefilling:
            self._dispatcher.record_first_event(flight, now_ms)
            self._metrics.record_first_token(
                exchange.route.name, exchange.first_event_ms
            )

    def record_delivery(self, attempt):
        """Restart the idle timeout after events were delivered to the caller."""
        exchange, now_ms = attempt.exchange, self._clock.now_ms()
        arrived_ms = exchange.last_event_ms
        attempt.was_delivery_slow = (
            arrived_ms is None or now_ms - arrived_ms > SLOW_DELIVERY_THRESHOLD_MS
        )
        idle_timeout_ms = self._dispatcher.event_gap_timeout_ms(exchange)
        attempt.idle_timeout.extend(now_ms + idle_timeout_ms)

    def _record_result(self, attempt, detail):
        exchange, placement, result = (
            attempt.exchange,
            attempt.placement,
            attempt.result,
        )
        state, now_ms = self._state, self._clock.now_ms()
        result_name = result.name.lower()
        self._metrics.attempts[(exchange.service.name, result_name)] += 1
        if attempt.failure_status:
            labels = (exchange.service.name, str(attempt.failure_status))
            self._metrics.failures[labels] += 1
        if result is AttemptResult.ANSWERED:
            exchange.is_answered = True
            state.health.record_outcome(placement.endpoint.key, False, now_ms)
        elif result is AttemptResult.UNREACHABLE:
            self._loss_checker.record_unreachable(placement.endpoint, detail)
        elif result in POSSIBLY_RUN_RESULTS or (
            # Not run; with helpers, one of them may be the cause instead.
            result is AttemptResult.NOT_RUN and not placement.helpers
        ):
            state.record_fault(placement.endpoint, EndpointFault.FAILED, now_ms)
        self._log_end(attempt, result_name, detail)

    def _record_output(self, attempt):
        attempt.has_written = True
        self._state.quarantine.record_output(attempt.exchange)

    def _log_dispatch(self, exchange, placement, now_ms):
        state = self._state
        more = {"why": placement.why} if placement.why else {}
        if state.is_stopping:
            more["stops_in_ms"] = round(state.stop_deadline_ms - now_ms)
        log.info(
            "Dispatched.",
            id=exchange.id,
            route=exchange.route.name,
            endpoint=placement.endpoint.id,
            helpers=[helper.id for helper in placement.helpers],
            predicted_ms=round(placement.first_event_ms),
            cost=round(placement.cost, 2),
            prompt=exchange.fields.prompt_tokens,
            load_age_ms=round(state.load_state.oldest_peer_age_ms(now_ms)),
            list_age_ms=round(state.endpoints_age_ms()),
            version=exchange.configuration.version,
            attempt=len(exchange.attempts),
            **more,
        )

    def _log_end(self, attempt, result, detail):
        exchange, more = attempt.exchange, {}
        if attempt.failure_status:
            more["status"] = attempt.failure_status
        log.info(
            "Attempt ended.",
            id=exchange.id,
            endpoint=attempt.placement.endpoint.id,
            result=result,
            detail=detail,
            last_event=exchange.last_event_id,
            first_event_ms=exchange.first_event_ms,
            longest_pause_ms=round(exchange.longest_pause_ms),
            after_ms=round(self._clock.now_ms() - exchange.request.received_ms),
            **more,
        )
