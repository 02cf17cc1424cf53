"""Request path of the gateway: routing, team key, placement, attempts, response."""

import math
import random

import msgspec

from vanillareach.core.crash_evidence import Suspect
from vanillareach.gateway.attempt_group import AttemptGroup
from vanillareach.gateway.attempts import AttemptRunner
from vanillareach.gateway.connections import ResponseAbortedError
from vanillareach.gateway.exchange import (
    POSSIBLY_RUN_RESULTS,
    AttemptResult,
    GatewayExchange,
    fingerprint_of,
)
from vanillareach.gateway.idle_timeouts import IdleTimeoutMonitor
from vanillareach.gateway.link_monitor import LinkMonitor
from vanillareach.gateway.loss_checks import EndpointLossChecker
from vanillareach.gateway.pacing import EnginePaceEstimator
from vanillareach.gateway.peer_choice import PeerPlacement
from vanillareach.gateway.peer_forwarding import PeerAttemptRunner
from vanillareach.gateway.placing import PlacementDecision
from vanillareach.gateway.quarantine import QUARANTINE_RETRY_AFTER_MS
from vanillareach.gateway.relay import send_failure
from vanillareach.gateway.request_outcome import RequestOutcome
from vanillareach.log import get_logger
from vanillareach.utils import open_background_nursery

# Attempts that one request may make, including those that endpoints refuse to run.
MAX_ATTEMPTS = 4
# No further attempt is made with less time left: it could not complete.
MIN_ATTEMPT_TIME_MS = 30.0
NOT_READY_RETRY_AFTER_MS = 300.0
# Retry-After of what a stopping instance can't finish; others can, at once.
STOPPING_RETRY_AFTER_MS = 50.0
# Requests that arrive during start-up wait for the first responses of the store.
STARTUP_WAIT_MS = 300.0
# Interval at which a request whose attempts are silent checks for room.
ROOM_CHECK_INTERVAL_MS = 250.0
# Reason of a refusal because this instance ends too soon.
STOPPING = "stopping"
# An error of the gateway itself, which its caller gets as a 500.
FAULT = RequestOutcome("unknown", "internal_error")

log = get_logger("request")


class RefusalBody(msgspec.Struct):
    """Body of an error response that the gateway generates."""

    outcome: str
    reason: str


class Forwarder:
    """Handles callers' requests.

    Parameters
    ----------
    state : GatewayState
    protocol : RequestProtocol
    reservation_protocol : MemoryReservationProtocol
    reservations : ReservationManager
    clock : Clock
    metrics : Metrics
    dispatcher : Dispatcher
    placement_client : PlacementClient
    stall_detector : StallDetector
    peer_chooser : PeerChooser
    buffer_budget : BufferBudget
        What all attempts hold of answers counts in it.
    settings : GatewaySettings
    """

    def __init__(
        self,
        state,
        protocol,
        reservation_protocol,
        reservations,
        clock,
        metrics,
        dispatcher,
        placement_client,
        stall_detector,
        peer_chooser,
        buffer_budget,
        settings,
    ):
        self._state = state
        self._protocol = protocol
        self._clock = clock
        self._metrics = metrics
        self._random = random.Random()
        self._final_deadline_ms = math.inf
        self._exchanges = set()
        self._dispatcher = dispatcher
        self._placement_client = placement_client
        self._stall_detector = stall_detector
        self.idle_timeouts = IdleTimeoutMonitor(placement_client, clock)
        self.pace_estimator = EnginePaceEstimator(
            state, dispatcher, placement_client, clock
        )
        self.link_monitor = LinkMonitor(
            state,
            settings.domain,
            clock,
            placement_client,
            peer_chooser,
            self.idle_timeouts,
        )
        self.loss_checker = EndpointLossChecker(
            state, placement_client, self.link_monitor, clock
        )
        self._attempt_runner = AttemptRunner(
            state,
            dispatcher,
            self.loss_checker,
            self.link_monitor,
            self.idle_timeouts,
            protocol,
            reservation_protocol,
            reservations,
            clock,
            metrics,
            buffer_budget,
        )
        self._peer_chooser = peer_chooser
        self._peer_runner = PeerAttemptRunner(
            peer_chooser,
            dispatcher,
            self.idle_timeouts,
            protocol,
            buffer_budget,
            settings.peer_key,
            clock,
            metrics,
        )

    async def handle(self, request, responder):
        """Handle one request."""
        self._stall_detector.check_suspension()
        fields = self._protocol.read_request(request.headers)
        exchange = None
        try:
            exchange = await self._admit(request, fields, responder)
            if exchange is not None:
                await self._serve_until_deadline(exchange, responder)
            # A deadline that has passed may have left a part of it unsent.
            await responder.flush()
        except BaseException as error:
            self._record_error(request, fields, exchange, responder, error)
            raise
        self._count_outcome(responder.outcome)

    async def handle_forwarded(self, request, message, responder, is_busy):
        """Handle one request that a peer hands on.

        Parameters
        ----------
        request : CallerRequest
        message : ForwardedRequest
        responder : Responder
        is_busy : bool
            Whether too many such requests are served already.
        """
        fields = self._protocol.read_request(request.headers)
        version = self._state.configuration and self._state.configuration.version
        exchange = None
        if is_busy:
            await self._refuse(fields, responder, 503, "busy", NOT_READY_RETRY_AFTER_MS)
        elif version is None or version < message.configuration_version:
            reason = "outdated"
            await self._refuse(fields, responder, 503, reason, NOT_READY_RETRY_AFTER_MS)
        else:
            exchange = await self._admit(request, fields, responder)
        if exchange is not None:
            exchange.take_from_peer(message)
            await self._serve_until_deadline(exchange, responder)
        await responder.flush()
        outcome = responder.outcome
        self._metrics.requests[("for_peer", outcome.name, outcome.reason)] += 1

    async def _serve_until_deadline(self, exchange, responder):
        # The instance that hands a request on counts it.
        if not exchange.is_forwarded:
            self._state.retry_share(exchange.service.name).record_request(
                exchange.request.received_ms
            )
        exchange.cap_deadline(self._final_deadline_ms)
        exchange.scope = self._clock.scope_until(exchange.deadline_ms)
        self._exchanges.add(exchange)
        self._dispatcher.shutdown.record_start(exchange)
        try:
            with exchange.scope:
                await self._serve(exchange, responder)
            if exchange.scope.cancelled_caught and not responder.is_complete:
                await self._send_deadline_exceeded(exchange, responder)
        finally:
            self._exchanges.discard(exchange)
            now_ms = self._clock.now_ms()
            self._dispatcher.record_cost(exchange, now_ms)
            self._dispatcher.shutdown.record_end(exchange, now_ms)
            # Ends the reference cycle that would keep the request's body in memory
            # until a garbage collection.
            exchange.attempts.clear()
            exchange.drop_failure()

    def set_final_deadline(self, deadline_ms):
        """Cap the deadlines of current and future requests at `deadline_ms`."""
        self._final_deadline_ms = deadline_ms
        for exchange in self._exchanges:
            exchange.cap_deadline(deadline_ms)

    async def _admit(self, request, fields, responder):
        """Return the `GatewayExchange` of a request, or refuse it and return None."""
        state = self._state
        await state.wait_for_initial_state(STARTUP_WAIT_MS)
        configuration = state.configuration
        if not state.has_initial_state:
            await self._refuse(
                fields, responder, 503, "not_ready", NOT_READY_RETRY_AFTER_MS
            )
            return None
        route = configuration.match(request.host.decode("latin-1"), request.path)
        if route is None:
            await self._refuse(fields, responder, 404, "no_route")
            return None
        team = None
        if configuration.teams_by_key is not None:
            team = configuration.teams_by_key.get(fields.key) if fields.key else None
            if team is None and not route.is_public:
                await self._refuse(fields, responder, 401, "unknown_key")
                return None
        service = configuration.services_by_name.get(
            route.pick_service(self._random.random())
        )
        if service is None:
            await self._refuse(fields, responder, 503, "no_service", 1_000.0)
            return None
        if request.received_ms > state.last_request_ms:
            # All connections should have been closed: this instance was paused.
            await self._refuse(
                fields, responder, 503, STOPPING, self._stopping_retry_after_ms()
            )
            return None
        exchange = GatewayExchange(request, fields, route, service, team, configuration)
        exchange.suspect = Suspect(fingerprint_of(request, fields), fields.prompt_parts)
        if state.quarantine.refuses(exchange):
            await self._refuse(
                fields, responder, 503, "quarantined", QUARANTINE_RETRY_AFTER_MS
            )
            return None
        return exchange

    async def _serve(self, exchange, responder):
        async with open_background_nursery() as nursery:
            group = AttemptGroup(exchange, responder, nursery)
            await self._try_endpoints(exchange, responder, group)

    async def _try_endpoints(self, exchange, responder, group):
        """Try endpoints until one answers, or none runs and no other may be tried."""
        may_try = True
        while True:
            wait_ms = math.inf
            if may_try:
                decision = await self._choose_placement(exchange, group)
                may_start = decision.placement is not None and group.is_silent
                if may_start and self._acquire_retry(exchange):
                    group.start(decision.placement, self._runner_of(decision.placement))
                elif group.is_running:
                    wait_ms = ROOM_CHECK_INTERVAL_MS
                else:
                    return await self._refuse_unplaced(exchange, responder, decision)
            report = await group.next_report(wait_ms)
            if report is None:
                may_try = group.is_silent
                continue
            if report.result is AttemptResult.ANSWERED:
                return None
            if report.result is AttemptResult.NOT_SENT:
                may_try = group.is_silent
                continue
            exchange.excluded_endpoints.add(report.attempt.failed_endpoint.id)
            may_try = group.is_silent and self._may_try_again(exchange, report.result)
            if not may_try and not group.is_running:
                return await self._send_final_failure(
                    exchange, responder, report.result.name.lower()
                )

    async def _refuse_unplaced(self, exchange, responder, decision):
        """Send the error response of a request for which there is no endpoint."""
        reason, retry_after_ms = decision.reason, decision.retry_after_ms
        if not reason:
            # What a placer has told with it is the wait, not when to come back.
            reason, retry_after_ms = self._refusal_reason(responder), None
        if reason == STOPPING:
            retry_after_ms = self._stopping_retry_after_ms()
        await self._send_final_failure(exchange, responder, reason, retry_after_ms)

    def _stopping_retry_after_ms(self):
        return STOPPING_RETRY_AFTER_MS * (1 + self._random.random())

    def _runner_of(self, placement):
        is_peer = isinstance(placement, PeerPlacement)
        return self._peer_runner if is_peer else self._attempt_runner

    def _refusal_reason(self, responder):
        """Return why a request has no endpoint though some may be asked."""
        # A stop prevents no further attempt once a stream has begun.
        is_due_to_stop = self._state.is_stopping and not responder.is_started
        return STOPPING if is_due_to_stop else "no_room"

    async def _choose_placement(self, exchange, group):
        """Return the next `PlacementDecision`; wait for room.

        Beside a running attempt there is no wait here, since its reports have to be
        received meanwhile.
        """
        while True:
            if self._state.quarantine.refuses(exchange):
                return PlacementDecision(None, QUARANTINE_RETRY_AFTER_MS, "quarantined")
            peer_placement = self._peer_chooser.choose(exchange)
            # The placement of a generation here counts the load of the engine as well.
            is_unchecked = peer_placement is not None or not exchange.is_generation
            now_ms, shutdown = self._clock.now_ms(), self._dispatcher.shutdown
            if shutdown.is_unbounded(exchange, now_ms) or (
                is_unchecked and shutdown.ends_too_late(exchange, now_ms)
            ):
                return PlacementDecision(None, reason=STOPPING)
            if peer_placement is not None:
                return PlacementDecision(peer_placement)
            if exchange.is_forwarded and (
                self._state.reach.is_lost
                or self._peer_chooser.is_service_cut_off(exchange)
            ):
                return PlacementDecision(None, NOT_READY_RETRY_AFTER_MS, "links_lost")
            decision = await self._placement_client.choose(exchange)
            peer_placement = self._choose_peer_for_room(exchange, decision)
            if peer_placement is not None:
                return PlacementDecision(peer_placement)
            if decision.placement is not None or group.is_running:
                return decision
            if decision.is_final:
                return decision
            if not self._dispatcher.may_wait(exchange, self._clock.now_ms()):
                return decision
            await self._clock.sleep_ms(decision.ask_interval_ms)

    def _choose_peer_for_room(self, exchange, decision):
        """Return the `PeerPlacement` of a request that has no room over whole paths.

        A refusal by a placer, which knows more paths than this instance, stands.
        """
        now_ms = self._clock.now_ms()
        may_hand_on = decision.placement is not None or decision.lacks_room
        if (
            decision.is_by_placer
            or not may_hand_on
            or self._dispatcher.shutdown.ends_too_late(exchange, now_ms)
        ):
            return None
        return self._peer_chooser.choose_for_room(exchange, decision.placement)

    def _may_try_again(self, exchange, result):
        now_ms = self._clock.now_ms()
        remaining_ms = exchange.deadline_ms - now_ms
        if remaining_ms < MIN_ATTEMPT_TIME_MS or len(exchange.attempts) >= MAX_ATTEMPTS:
            return False
        if result in POSSIBLY_RUN_RESULTS:
            if not exchange.route.is_repeatable:
                return False
            if exchange.possible_runs >= exchange.route.max_attempts:
                return False
        share = self._state.retry_share(exchange.service.name)
        return not exchange.needs_retry or bool(
            share.remaining(self._state.instance_count, now_ms)
        )

    def _acquire_retry(self, exchange):
        """Take a retry for the next attempt from the budget, if it needs one."""
        if exchange.needs_retry:
            share = self._state.retry_share(exchange.service.name)
            now_ms = self._clock.now_ms()
            if not share.try_acquire(self._state.instance_count, now_ms):
                return False
            exchange.retry_count += 1
        return True

    async def _send_final_failure(
        self, exchange, responder, reason, retry_after_ms=None
    ):
        """Send the error response after the last attempt.

        `retry_after_ms` is worked out here unless a placer has told it.
        """
        if responder.is_started:
            raise ResponseAbortedError(reason)
        if exchange.failure_response is not None:
            await self._pass_on_failure(exchange, responder, reason)
        elif exchange.possible_runs:
            await self._refuse(exchange.fields, responder, 502, reason)
        else:
            if retry_after_ms is None:
                retry_after_ms = self._dispatcher.refusal_retry_after_ms(
                    exchange, self._clock.now_ms()
                )
            labels = (exchange.service.name, str(exchange.priority), reason)
            self._metrics.refusals[labels] += 1
            await self._refuse(exchange.fields, responder, 503, reason, retry_after_ms)

    async def _pass_on_failure(self, exchange, responder, reason):
        """Send the error response that an endpoint gave."""
        responder.outcome = RequestOutcome("failed", reason)
        await send_failure(
            exchange, exchange.failure_response, self._protocol, responder
        )

    async def _send_deadline_exceeded(self, exchange, responder):
        """Send the error response of a request whose deadline has passed."""
        reason = exchange.deadline_reason
        if responder.is_started:
            raise ResponseAbortedError(reason)
        if exchange.failure_response is not None:
            await self._pass_on_failure(exchange, responder, reason)
        elif exchange.possible_runs:
            await self._refuse(exchange.fields, responder, 504, reason)
        else:
            await self._refuse(
                exchange.fields, responder, 503, reason, NOT_READY_RETRY_AFTER_MS
            )

    async def _refuse(self, fields, responder, status, reason, retry_after_ms=None):
        """Send an error response that the gateway generates."""
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
        responder.outcome = RequestOutcome(outcome, reason)
        body = msgspec.json.encode(RefusalBody(outcome, reason))
        await responder.answer(status, headers, body)

    def _record_error(self, request, fields, exchange, responder, error):
        """Count a request whose handling ends by `error`.

        A caller that was given everything may leave before the handling has ended.
        """
        if responder.is_delivered:
            self._count_outcome(responder.outcome)
        elif isinstance(error, Exception) and not responder.is_started:
            # The connection sends the error response of a fault of the gateway.
            log.info("Refused.", id=fields.attempt_id, status=500, reason=FAULT.reason)
            self._count_outcome(FAULT)
        else:
            self._record_incomplete(request, fields, exchange, responder, error)

    def _record_incomplete(self, request, fields, exchange, responder, error):
        """Record that a request ends without a complete response.

        `error` says why: a `trio.Cancelled` if the caller disconnected, or if its
        connection was closed by this instance. `exchange` is None if the request wasn't
        admitted.
        """
        state, now_ms = self._state, self._clock.now_ms()
        # Nested nurseries raise a cancellation as a group.
        name = type(error).__name__ if isinstance(error, Exception) else "Cancelled"
        reason = str(error) if isinstance(error, ResponseAbortedError) else ""
        last_data_ms = (exchange and exchange.last_event_ms) or request.received_ms
        log.info(
            "Ended without a complete response.",
            id=fields.attempt_id,
            error=name,
            reason=reason,
            has_begun=responder.is_started,
            silent_ms=round(now_ms - last_data_ms),
            remaining_ms=exchange and round(exchange.deadline_ms - now_ms),
            version=exchange and exchange.configuration.version,
            version_in_force=state.configuration and state.configuration.version,
            is_stopping=state.is_stopping,
        )
        self._count_outcome(RequestOutcome("aborted", reason or name))

    def _count_outcome(self, outcome):
        self._metrics.requests[("forward", outcome.name, outcome.reason)] += 1
