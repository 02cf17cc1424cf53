"""Finds the endpoint of an attempt: here, or at a placer of the failure domain.

An instance that is told of all requests in flight decides itself. In a large fleet the
others ask a placer of their domain (see `core.placers`), and decide by what they know
themselves if neither of the two answers.
"""

from functools import partial

import msgspec

from vanillareach.core.dispatching import explains_silence, placed_flight
from vanillareach.core.messages import (
    LoadQuery,
    LoadReply,
    LoadSummary,
    PlacementQuery,
    PlacementReply,
)
from vanillareach.log import get_logger

# A placer answers within a few milliseconds unless it is gone or suspended.
QUERY_TIMEOUT_MS = 100.0
# A placer that has not answered is asked again after this time.
UNRESPONSIVE_TTL_MS = 1_000.0
# An endpoint that this instance could not reach is left out for this time.
UNREACHABLE_TTL_MS = 3_000.0
MAX_LOGGED_ENDPOINTS = 20

log = get_logger("placing")


class PlacementDecision:
    """Where to send an attempt, or when the caller should try again.

    Attributes
    ----------
    placement : Placement or None
    retry_after_ms : float or None
        Told by the placer that refused; None if the decision was made here.
    reason : str
        Why no endpoint may be asked; see `Unavailability`. Empty if that isn't why.
    """

    __slots__ = ("placement", "reason", "retry_after_ms")

    def __init__(self, placement, retry_after_ms=None, reason=""):
        self.placement = placement
        self.retry_after_ms = retry_after_ms
        self.reason = reason


class PlacementClient:
    """Decides on endpoints, or asks a placer.

    Parameters
    ----------
    state : GatewayState
    dispatcher : Dispatcher
    gossip : Gossip
    clock : Clock
    """

    def __init__(self, state, dispatcher, gossip, clock):
        self._state = state
        self._dispatcher = dispatcher
        self._gossip = gossip
        self._clock = clock
        self._unresponsive_until_ms_by_name = {}
        self._unreachable_until_ms_by_id = {}

    async def choose(self, exchange):
        """Return the `PlacementDecision` for the next attempt of a request."""
        decision = await self._decide(exchange)
        if decision.placement is not None:
            return decision
        unavailability = self._dispatcher.unavailability(exchange, self._clock.now_ms())
        if unavailability is None:
            return decision
        log.info(
            "No endpoint may be asked.",
            id=exchange.id,
            reason=unavailability.reason,
            endpoints=unavailability.endpoints[:MAX_LOGGED_ENDPOINTS],
        )
        return PlacementDecision(None, reason=unavailability.reason)

    async def _decide(self, exchange):
        if not self.knows_all_loads:
            decision = await self._choose_at_placer(exchange)
            if decision is not None:
                return decision
            log.info("Placed without a placer.", id=exchange.id)
        return PlacementDecision(
            self._dispatcher.choose(exchange, self._clock.now_ms())
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

    async def _choose_at_placer(self, exchange):
        """Return a placer's `PlacementDecision`, or None if no placer has answered.

        Endpoints that this instance could not reach are used if no other is left.
        """
        unreachable = self._unreachable_ids()
        decision = await self._ask_for_placement(exchange, unreachable)
        is_refused = decision is not None and decision.placement is None
        if is_refused and unreachable:
            decision = await self._ask_for_placement(exchange, ())
        return decision

    async def _ask_for_placement(self, exchange, unreachable):
        excluded = {*exchange.excluded_endpoints, *unreachable}
        # Nobody else knows which endpoints want quiet from this instance.
        excluded |= self._state.quiet_endpoints()
        flight = self._dispatcher.unplaced_flight(exchange)
        for _ in range(2):
            reply = await self._ask_placers(
                partial(self._placement_query, exchange, excluded, flight),
                PlacementReply,
            )
            if reply is None or not reply.is_known:
                return None
            if reply.placement is None:
                return PlacementDecision(None, reply.retry_after_ms)
            unusable = self._unusable_ids(reply.placement)
            if not unusable:
                return PlacementDecision(
                    msgspec.structs.replace(reply.placement, flight_id=flight.id)
                )
            excluded |= unusable
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
        )

    def _unusable_ids(self, placement):
        """Return the chosen endpoints that must get no request of this instance."""
        unusable_cause = self._state.unusable_cause
        return {
            endpoint.id
            for endpoint in (placement.endpoint, *placement.helpers)
            if unusable_cause(endpoint)
        }

    def _unreachable_ids(self):
        now_ms = self._clock.now_ms()
        self._unreachable_until_ms_by_id = {
            endpoint_id: until_ms
            for endpoint_id, until_ms in self._unreachable_until_ms_by_id.items()
            if until_ms > now_ms
        }
        return self._unreachable_until_ms_by_id

    async def _ask_placers(self, make_query, reply_type):
        """Ask the placers one after another; return the first reply, or None."""
        unresponsive = self._unresponsive_until_ms_by_name
        for placer in self._gossip.placers():
            if unresponsive.get(placer.name, 0.0) > self._clock.now_ms():
                continue
            reply = await self._gossip.ask(placer, make_query, QUERY_TIMEOUT_MS)
            if isinstance(reply, reply_type):
                unresponsive.pop(placer.name, None)
                return reply
            log.info("Placer did not answer.", placer=placer.name)
            unresponsive[placer.name] = self._clock.now_ms() + UNRESPONSIVE_TTL_MS
        return None


class PlacementServer:
    """Answers the queries of other instances of the failure domain.

    Parameters
    ----------
    state : GatewayState
    dispatcher : Dispatcher
    clock : Clock
    """

    def __init__(self, state, dispatcher, clock):
        self._state = state
        self._dispatcher = dispatcher
        self._clock = clock

    def answer(self, query):
        """Return the reply to a `PlacementQuery` or `LoadQuery`."""
        if isinstance(query, LoadQuery):
            return self._answer_load(query)
        return self._answer_placement(query)

    def _answer_placement(self, query):
        state, now_ms = self._state, self._clock.now_ms()
        configuration = state.configuration
        service = configuration and configuration.services_by_name.get(query.service)
        is_known = service is not None and state.endpoints.is_loaded
        if query.generation is not None:
            is_known = is_known and service.engine is not None
        if not is_known:
            return PlacementReply(query.id, False, None, 0.0)
        placement = self._dispatcher.place(
            service,
            query.generation,
            query.excluded,
            query.may_be_refused,
            now_ms,
        )
        if placement is None:
            retry_after_ms = self._dispatcher.retry_after_ms(query.service, now_ms)
            return PlacementReply(query.id, True, None, retry_after_ms)
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
