"""Finds the endpoint of an attempt: here, or at a placer of the failure domain.

An instance that is told of all requests in flight decides itself. In a large fleet the
others ask a placer of their domain (see `core.placers`), and decide by what they know
themselves if neither of the two answers.
"""

import math
from functools import partial

import msgspec

from vanillareach.core.dispatching import explains_silence, placed_flight
from vanillareach.core.messages import (
    LoadQuery,
    LoadReply,
    LoadSummary,
    PermitQuery,
    PermitReply,
    PlacementQuery,
    PlacementReply,
    RequestLimit,
)
from vanillareach.core.ordered_placing import PlacementAsk
from vanillareach.core.retry_book import MIN_RETRY_AFTER_MS
from vanillareach.core.start_decision import ASK_INTERVAL_MS
from vanillareach.core.waiting import (
    MAX_ASK_INTERVAL_MS,
    RefusalReason,
)
from vanillareach.log import get_logger

# A placer answers within a few milliseconds unless it is gone or suspended.
QUERY_TIMEOUT_MS = 100.0
# A placer that has not answered is asked again after this time.
UNRESPONSIVE_TTL_MS = 1_000.0
# An endpoint that this instance could not reach is left out for this time.
UNREACHABLE_TTL_MS = 3_000.0
MAX_LOGGED_ENDPOINTS = 20
# An endpoint whose coordinator doesn't answer gets no request for this time.
UNANSWERED_PERMIT_TTL_MS = 250.0
# After so many endpoints without a permit, or a silent coordinator, a request leaves
# out all cold ones, since each of them costs a round trip or that silence.
MAX_COLD_ATTEMPTS = 2
# An endpoint whose coordinator denies a request gets none for this time at least.
MIN_DENIAL_MS = 20.0
# Longest predicted wait that a member is told.
MAX_TOLD_WAIT_MS = 3_000.0
# After this time it is asked again, since more may be taken than was foreseen.
MAX_DENIAL_MS = 1_000.0

# Reasons of a decision without a placement that room elsewhere would change.
ROOM_REASONS = ("", *RefusalReason)

log = get_logger("placing")


class PlacementDecision:
    """Where to send an attempt, or when the caller should try again.

    Attributes
    ----------
    placement : Placement or None
    retry_after_ms : float or None
        Told by the placer that refused; None if the decision was made here.
    reason : str
        Why no endpoint may be asked, see `Unavailability`, or why the request must not
        wait, see `RefusalReason`. Empty if neither is why.
    is_final : bool
        Whether the request must not wait for room.
    ask_interval_ms : float
        When a request that waits should ask again.
    is_by_placer : bool
        Whether a placer has decided.
    """

    __slots__ = (
        "ask_interval_ms",
        "is_by_placer",
        "is_final",
        "placement",
        "reason",
        "retry_after_ms",
    )

    def __init__(
        self,
        placement,
        retry_after_ms=None,
        reason="",
        is_final=False,
        ask_interval_ms=ASK_INTERVAL_MS,
        is_by_placer=False,
    ):
        self.placement = placement
        self.retry_after_ms = retry_after_ms
        self.reason = reason
        self.is_final = is_final
        self.ask_interval_ms = ask_interval_ms
        self.is_by_placer = is_by_placer

    @property
    def lacks_room(self):
        """Whether there is no placement for want of room at endpoints."""
        return self.placement is None and self.reason in ROOM_REASONS


def team_name(exchange):
    """Return the name of a request's team; empty without one."""
    return exchange.team.name if exchange.team is not None else ""


def log_refusal(decision, ask):
    """Log an `OrderedDecision` that refuses a request."""
    if decision.is_final:
        log.info(
            "Refused in order.",
            sender=ask.sender,
            service=ask.service.name,
            priority=ask.priority,
            team=ask.team,
            reason=decision.reason,
            ahead=decision.ahead,
            predicted_wait_ms=round(decision.predicted_wait_ms)
            if math.isfinite(decision.predicted_wait_ms)
            else None,
            retry_after_ms=round(decision.retry_after_ms),
        )


class PlacementClient:
    """Decides on endpoints, or asks a placer.

    Parameters
    ----------
    state : GatewayState
    dispatcher : Dispatcher
    gossip : Gossip
    clock : Clock
    ordered : OrderedPlacement
    """

    def __init__(self, state, dispatcher, gossip, clock, ordered):
        self._state = state
        self._dispatcher = dispatcher
        self._gossip = gossip
        self._clock = clock
        self._ordered = ordered
        self._last_waiting_id = 0
        self._unresponsive_until_ms_by_name = {}
        self._unreachable_until_ms_by_id = {}

    async def choose(self, exchange):
        """Return the `PlacementDecision` for the next attempt of a request."""
        denied = set()
        refused_count = 0
        while True:
            decision = await self._decide(exchange, denied)
            if decision.placement is None:
                break
            endpoint = decision.placement.endpoint
            if not self._state.limits.is_limited(endpoint.key):
                return decision
            asked_ms = self._clock.now_ms()
            if await self._acquire_permit(endpoint):
                placement = decision.placement
                return PlacementDecision(
                    msgspec.structs.replace(placement, has_permit=True)
                )
            denied.add(endpoint.id)
            refused_count += 1
            was_silent = self._clock.now_ms() - asked_ms >= QUERY_TIMEOUT_MS
            if was_silent or refused_count >= MAX_COLD_ATTEMPTS:
                denied |= self._state.cold_endpoints()
        unavailability = self._dispatcher.unavailability(exchange)
        if unavailability is None:
            return decision
        log.info(
            "No endpoint may be asked.",
            id=exchange.id,
            reason=unavailability.reason,
            endpoints=unavailability.endpoints[:MAX_LOGGED_ENDPOINTS],
        )
        return PlacementDecision(None, reason=unavailability.reason)

    async def _decide(self, exchange, denied):
        if not self.knows_all_loads:
            decision = await self._choose_at_placer(exchange, denied)
            if decision is not None:
                return decision
            log.info("Placed without a placer.", id=exchange.id)
        return self._decide_here(exchange, denied)

    def _decide_here(self, exchange, denied):
        """Return the `PlacementDecision` by the load and the queue of this instance."""
        now_ms = self._clock.now_ms()
        if not exchange.is_generation:
            return PlacementDecision(self._dispatcher.choose(exchange, now_ms, denied))
        excluded = self._dispatcher.excluded_ids(exchange, denied, now_ms)
        ask = PlacementAsk(
            service=exchange.service,
            generation=self._dispatcher.generation_request(exchange, now_ms),
            excluded=frozenset(excluded),
            may_be_refused=exchange.first_event_ms is None,
            sender=self._gossip.name,
            waiting_id=self._waiting_id(exchange),
            priority=exchange.priority,
            team=team_name(exchange),
            objective_ms=exchange.route.objective_ms,
            pause_limit_ms=exchange.route.pause_limit_ms,
        )
        decision = self._ordered.decide(ask, now_ms)
        log_refusal(decision, ask)
        return PlacementDecision(
            decision.placement,
            decision.retry_after_ms,
            decision.reason,
            decision.is_final,
            decision.ask_interval_ms,
        )

    def _waiting_id(self, exchange):
        """Return the number under which a request waits, here or at a placer."""
        if not exchange.waiting_id:
            self._last_waiting_id += 1
            exchange.waiting_id = self._last_waiting_id
        return exchange.waiting_id

    async def _acquire_permit(self, endpoint):
        """Return whether a request may be sent to an endpoint that names a limit."""
        key, gossip, limits = endpoint.key, self._gossip, self._state.limits
        if self.knows_all_loads:
            coordinator = gossip.limit_coordination.coordinator_name(key)
            if coordinator == gossip.name:
                return limits.grant(key, gossip.name, self._clock.now_ms())
            peer = gossip.peers.by_name.get(coordinator)
        else:
            peer = next(self._responsive_placers(), None)
        reply = await self._ask_for_permit(peer, key)
        if reply is None:
            closed_ms = UNANSWERED_PERMIT_TTL_MS
        elif reply.is_granted:
            return True
        else:
            closed_ms = max(MIN_DENIAL_MS, min(MAX_DENIAL_MS, reply.wait_ms))
        limits.close(key, closed_ms, self._clock.now_ms())
        return False

    async def _ask_for_permit(self, peer, key):
        """Return the `PermitReply` of a coordinator, or None without one in time.

        A placer passes the query on, so silence doesn't show that it is gone itself.
        """
        if peer is None:
            return None
        query = partial(self._permit_query, key)
        reply = await self._gossip.ask(peer, query, QUERY_TIMEOUT_MS)
        if not isinstance(reply, PermitReply):
            log.info("Coordinator did not answer.", peer=peer.name, endpoint=key[0])
            return None
        return reply

    def _permit_query(self, key, query_id):
        limits, gossip = self._state.limits, self._gossip
        return PermitQuery(
            query_id,
            gossip.name,
            gossip.address,
            limits.limit(key) or RequestLimit(*key, 0, None),
            cold_ms=limits.cold_remaining_ms(key, self._clock.now_ms()),
        )

    def record_unreachable(self, endpoint):
        """Leave out an endpoint that this instance could not reach, for a while."""
        until_ms = self._clock.now_ms() + UNREACHABLE_TTL_MS
        self._unreachable_until_ms_by_id[endpoint.id] = until_ms

    @property
    def knows_all_loads(self):
        """Whether this instance is told of all requests in flight."""
        return self._gossip.has_full_picture

    async def is_prefill_pending(self, flight):
        """Return whether pending prefill explains why a request's event is overdue."""
        engines = (flight.engine, *flight.helpers)
        summaries = await self.load_summaries(engines)
        if summaries is None:
            return self._dispatcher.is_prefill_pending(flight, self._clock.now_ms())
        return explains_silence(s.pending_prefill_ms for s in summaries)

    async def load_summaries(self, engines):
        """Return a placer's `LoadSummary` of each engine that has load.

        None if this instance is told of all requests itself, or if no placer answers.
        """
        if self.knows_all_loads:
            return None
        gossip = self._gossip
        reply = await self._ask_placers(
            lambda query_id: LoadQuery(
                query_id, gossip.name, gossip.address, tuple(engines)
            ),
            LoadReply,
        )
        return None if reply is None else reply.loads

    async def _choose_at_placer(self, exchange, denied):
        """Return a placer's `PlacementDecision`, or None if no placer has answered.

        Endpoints that this instance could not reach are used if no other is left.
        """
        now_ms = self._clock.now_ms()
        unreachable = {
            *self._unreachable_ids(),
            *self._state.paths.avoided_ids(now_ms),
        }
        decision = await self._ask_for_placement(exchange, {*denied, *unreachable})
        is_refused = decision is not None and decision.placement is None
        if is_refused and unreachable:
            decision = await self._ask_for_placement(exchange, denied)
        return decision

    async def _ask_for_placement(self, exchange, left_out):
        excluded = {*exchange.excluded_endpoints, *left_out}
        # Nobody else knows which endpoints want quiet from this instance.
        excluded |= self._state.withheld_endpoints().keys()
        flight = self._dispatcher.unplaced_flight(exchange, now_ms=self._clock.now_ms())
        for _ in range(2):
            reply = await self._ask_placers(
                partial(self._placement_query, exchange, excluded, flight),
                PlacementReply,
            )
            if reply is None or not reply.is_known:
                return None
            if reply.placement is None:
                # A placer of an older version doesn't tell the interval.
                interval_ms = max(ASK_INTERVAL_MS, reply.ask_interval_ms)
                return PlacementDecision(
                    None,
                    reply.retry_after_ms,
                    reply.reason,
                    reply.is_final,
                    min(MAX_ASK_INTERVAL_MS, interval_ms),
                    is_by_placer=True,
                )
            unusable = self._unusable_ids(reply.placement)
            if not unusable:
                return PlacementDecision(
                    msgspec.structs.replace(reply.placement, flight_id=flight.id)
                )
            excluded |= unusable | self._evacuated_ids(exchange)
        return None

    def _placement_query(self, exchange, excluded, flight, query_id):
        now_ms = self._clock.now_ms()
        return PlacementQuery(
            id=query_id,
            sender=self._gossip.name,
            address=self._gossip.address,
            service=exchange.service.name,
            generation=self._dispatcher.generation_request(exchange, now_ms),
            excluded=tuple(excluded),
            may_be_refused=exchange.first_event_ms is None,
            flight=flight,
            priority=exchange.priority,
            team=team_name(exchange),
            waiting_id=self._waiting_id(exchange),
        )

    def _unusable_ids(self, placement):
        """Return the chosen endpoints that must get no request of this instance."""
        state, endpoints = self._state, (placement.endpoint, *placement.helpers)
        unusable = {e.id for e in endpoints if state.unusable_cause(e)}
        return unusable | {
            helper.id
            for helper in placement.helpers
            if state.limits.is_limited(helper.key)
        }

    def _evacuated_ids(self, exchange):
        """Return the endpoints of a service that a placer may not know as evacuated."""
        evacuated = self._state.endpoints.evacuated(exchange.service.name)
        return {endpoint.id for endpoint in evacuated}

    def _unreachable_ids(self):
        now_ms = self._clock.now_ms()
        self._unreachable_until_ms_by_id = {
            endpoint_id: until_ms
            for endpoint_id, until_ms in self._unreachable_until_ms_by_id.items()
            if until_ms > now_ms
        }
        return self._unreachable_until_ms_by_id

    def _responsive_placers(self):
        """Yield the placers that are not known to be unresponsive."""
        for placer in self._gossip.placers():
            until_ms = self._unresponsive_until_ms_by_name.get(placer.name, 0.0)
            if until_ms <= self._clock.now_ms():
                yield placer

    async def _ask_placers(self, make_query, reply_type):
        """Ask the placers one after another; return the first reply, or None."""
        unresponsive = self._unresponsive_until_ms_by_name
        for placer in self._responsive_placers():
            reply = await self._gossip.ask(placer, make_query, QUERY_TIMEOUT_MS)
            if isinstance(reply, reply_type):
                unresponsive.pop(placer.name, None)
                return reply
            log.info("Placer did not answer.", placer=placer.name)
            unresponsive[placer.name] = self._clock.now_ms() + UNRESPONSIVE_TTL_MS
        return None


class PlacementServer:
    """Answers the queries of other instances.

    Parameters
    ----------
    state : GatewayState
    dispatcher : Dispatcher
    gossip : Gossip
    clock : Clock
    ordered : OrderedPlacement
    """

    def __init__(self, state, dispatcher, gossip, clock, ordered):
        self._state = state
        self._dispatcher = dispatcher
        self._gossip = gossip
        self._clock = clock
        self._ordered = ordered

    def answer(self, query):
        """Return the reply to a query; None if it was forwarded."""
        if isinstance(query, LoadQuery):
            return self._answer_load(query)
        if isinstance(query, PermitQuery):
            return self._answer_permit(query)
        return self._answer_placement(query)

    def _answer_permit(self, query):
        """Grant or deny a request, or let the endpoint's coordinator do so."""
        key = query.limit.key
        # This instance may have started just now and know of no limit.
        if query.limit.version:
            self._state.record_reported_limit(query.limit)
        self._state.record_reported_cold(*key, query.cold_ms)
        gossip, limits, now_ms = self._gossip, self._state.limits, self._clock.now_ms()
        if not query.is_forwarded:
            coordinator = gossip.limit_coordination.coordinator_name(key)
            peer = gossip.peers.by_name.get(coordinator)
            if peer is not None and peer.name != query.sender:
                forwarded = msgspec.structs.replace(query, is_forwarded=True)
                gossip.forward(forwarded, peer)
                return None
        is_granted = limits.grant(key, query.sender, now_ms)
        wait_ms = 0.0 if is_granted else limits.wait_ms(key, now_ms)
        return PermitReply(query.id, is_granted, wait_ms)

    def _answer_placement(self, query):
        state, now_ms = self._state, self._clock.now_ms()
        configuration = state.configuration
        service = configuration and configuration.services_by_name.get(query.service)
        is_known = service is not None and state.endpoints.is_loaded
        if query.generation is not None:
            is_known = is_known and service.engine is not None
        if not is_known:
            return PlacementReply(query.id, False, None, 0.0)
        ask = PlacementAsk(
            service=service,
            generation=query.generation,
            excluded=frozenset((*query.excluded, *state.closed_endpoints())),
            may_be_refused=query.may_be_refused,
            sender=query.sender,
            waiting_id=query.waiting_id,
            priority=query.priority,
            team=query.team,
            objective_ms=query.flight.objective_ms,
            pause_limit_ms=query.flight.pause_limit_ms,
            call_ms=query.flight.predicted_work,
        )
        decision = self._ordered.decide(ask, now_ms)
        placement = decision.placement
        if placement is None:
            log_refusal(decision, ask)
            retry_after_ms = decision.retry_after_ms
            if retry_after_ms is None:
                # Members of older versions tell it to callers that they refuse.
                retry_after_ms = min(
                    MAX_TOLD_WAIT_MS,
                    max(MIN_RETRY_AFTER_MS, decision.predicted_wait_ms),
                )
            return PlacementReply(
                query.id,
                True,
                None,
                retry_after_ms,
                decision.is_final,
                decision.reason,
                decision.ask_interval_ms,
            )
        # Counted from now on; the sender's next beacon corrects it if it isn't sent.
        state.load_state.apply_peer_changes(
            query.sender, (placed_flight(query.flight, placement),), (), (), now_ms
        )
        return PlacementReply(query.id, True, placement, 0.0)

    def _answer_load(self, query):
        loads = self._state.load_state.loads_by_engine(self._clock.now_ms())
        return LoadReply(
            query.id,
            tuple(
                LoadSummary(
                    engine,
                    len(loads[engine].decoding_requests),
                    loads[engine].context_tokens,
                    loads[engine].pending_prefill_ms,
                )
                for engine in query.engines
                if engine in loads
            ),
        )
