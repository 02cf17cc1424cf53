"""Placement in the order of `core.waiting`."""

import msgspec

from vanillareach.core.placement_types import GenerationRequest, Placement
from vanillareach.core.priorities import UNKNOWN_PRIORITY, LeastUrgentIndex
from vanillareach.core.routing import RoutedService
from vanillareach.core.start_decision import ASK_INTERVAL_MS
from vanillareach.core.waiting import (
    RefusalReason,
    WaitingQueue,
    WaitingRequest,
    ask_interval_ms,
    engine_time_ms,
    least_answer_ms,
)

# Engine time by which two requests count as equally heavy.
SAME_WEIGHT_FACTOR = 1.05


class PlacementAsk(msgspec.Struct, frozen=True):
    """One question where to send an attempt.

    Attributes
    ----------
    service : RoutedService
    generation : GenerationRequest or None
    excluded : frozenset of str
        Ids of endpoints that are not to be used.
    may_be_refused : bool
        Whether the request may be refused or has to wait; see `Dispatcher.place`.
    sender : str
        Name of the instance that asks.
    waiting_id, priority, team
        See `PlacementQuery`.
    objective_ms, pause_limit_ms : float
        Limits of the request's route.
    call_ms : float
        Predicted time of a plain call; 0 if unknown.
    """

    service: RoutedService
    generation: GenerationRequest | None
    excluded: frozenset
    may_be_refused: bool
    sender: str
    waiting_id: int
    priority: int
    team: str
    objective_ms: float
    pause_limit_ms: float
    call_ms: float = 0.0


class OrderedDecision(msgspec.Struct, frozen=True):
    """Answer to a `PlacementAsk`.

    Attributes
    ----------
    placement : Placement or None
    is_final : bool
        Whether the request is refused and must not wait.
    reason : str
        Why it is refused; empty if it isn't, or has to wait.
    retry_after_ms : float or None
        When a refused caller should try again; None if it isn't known.
    predicted_wait_ms : float
    ahead : int
        Number of requests that go before it.
    ask_interval_ms : float
        When a request that waits should ask again.
    """

    placement: Placement | None = None
    is_final: bool = False
    reason: str = ""
    retry_after_ms: float | None = None
    predicted_wait_ms: float = 0.0
    ahead: int = 0
    ask_interval_ms: float = ASK_INTERVAL_MS


class OrderedPlacement:
    """Places the requests of this instance, or of its domain, in their order.

    Parameters
    ----------
    state : GatewayState
    dispatcher : Dispatcher
    """

    def __init__(self, state, dispatcher):
        self._state = state
        self._dispatcher = dispatcher
        self._least_urgent = LeastUrgentIndex()
        self._queues_by_service = {}

    def waiting_counts(self, now_ms):
        """Return the number of waiting requests by priority, by service."""
        counts_by_service = {}
        for service, queue in list(self._queues_by_service.items()):
            queue.expire(now_ms)
            if len(queue):
                counts_by_service[service] = dict(queue.counts_by_priority())
            elif not self._is_configured(service):
                del self._queues_by_service[service]
        return counts_by_service

    def _is_configured(self, service):
        configuration = self._state.configuration
        return configuration is not None and service in configuration.services_by_name

    def decide(self, ask, now_ms):
        """Return the `OrderedDecision` of one question.

        For a plain call, and for a stream that has begun, it is that of the dispatcher
        alone.
        """
        service, generation = ask.service, ask.generation
        if generation is None or service.engine is None:
            placement = self._dispatcher.place(
                service,
                generation,
                ask.excluded,
                ask.may_be_refused,
                now_ms,
                ask.call_ms,
            )
            return OrderedDecision(placement)
        request = self._waiting_request(ask)
        if not ask.may_be_refused:
            return OrderedDecision(
                self._place(
                    ask.service, request.generation, ask.excluded, now_ms, False
                )
            )
        queue = self._queues_by_service.setdefault(service.name, WaitingQueue())
        queue.expire(now_ms)
        return self._decide_in_order(queue, service, request, now_ms)

    def _waiting_request(self, ask):
        generation = ask.generation
        priority = ask.priority
        if priority == UNKNOWN_PRIORITY:
            priority = self._least_urgent.of(
                self._state.configuration,
                ask.service.name,
                (ask.objective_ms, ask.pause_limit_ms),
            )
        key = (ask.sender, ask.waiting_id)
        if not ask.waiting_id:
            # An older version doesn't name its requests; like ones share an entry.
            size = (generation.prompt_tokens, generation.answer_tokens)
            key = (*key, *size, ask.objective_ms)
        return WaitingRequest(
            key=key,
            priority=priority,
            team=ask.team,
            engine_ms=engine_time_ms(ask.service.engine, generation),
            answer_ms=least_answer_ms(
                ask.service.engine,
                generation,
                len(self._state.endpoints.usable(ask.service.name)),
            ),
            generation=msgspec.structs.replace(generation, priority=priority),
            excluded=frozenset(ask.excluded),
            is_older_version=not ask.waiting_id,
        )

    def _decide_in_order(self, queue, service, request, now_ms):
        entry = queue.renew(request, now_ms)
        if entry is None and request.is_older_version:
            return OrderedDecision()
        if entry is None:
            room = self._free_room(service, request, now_ms)
            wait_ms = self._predicted_wait_ms(room, request, queue)
            reason = RefusalReason.QUEUE_FULL
            return self._refuse(service, request, reason, wait_ms, now_ms)
        ahead = queue.ahead_of(entry)
        room = self._free_room(service, request, now_ms)
        placement = self._place_behind(service, request, ahead, room, now_ms)
        if placement is not None:
            queue.discard(request.key)
            return OrderedDecision(placement, ahead=len(ahead))
        wait_ms = self._predicted_wait_ms(room, request, ahead)
        # An older version goes on asking after a refusal.
        if request.is_older_version or not self._comes_too_late(room, request, wait_ms):
            entry.ask_interval_ms = ask_interval_ms(wait_ms, len(ahead))
            return OrderedDecision(
                predicted_wait_ms=wait_ms,
                ahead=len(ahead),
                ask_interval_ms=entry.ask_interval_ms,
            )
        queue.discard(request.key)
        reason = RefusalReason.TOO_LATE
        return self._refuse(service, request, reason, wait_ms, now_ms, len(ahead))

    def _place_behind(self, service, request, ahead, room, now_ms):
        """Return the `Placement` of a request unless those ahead would lose by it."""
        excluded = request.excluded
        if not room.has_slot:
            return None
        if not ahead:
            return self._place(service, request.generation, excluded, now_ms)
        needs = [entry.request.memory_tokens for entry in ahead]
        held = room.held_engine(needs)
        if held is not None:
            excluded = excluded | {held}
        placement = self._place(service, request.generation, excluded, now_ms)
        if placement is None:
            return None
        if self._state.limits.is_limited(placement.endpoint.key):
            # Permits are short there, not slots; without one it is tried elsewhere.
            return placement
        tokens = request.memory_tokens - sum(placement.reserved_tokens)
        if not room.leaves_room(needs, placement.endpoint.id, tokens):
            return None
        if self._takes_place_of_rival(service, request, ahead, placement, now_ms):
            return None
        return placement

    def _takes_place_of_rival(self, service, request, ahead, placement, now_ms):
        """Return whether the next one ahead could be placed now, but not afterwards.

        What it waits for may be other than slots and memory: an engine without prefill.
        Only requests ahead that take no more engine time count, since a heavier one may
        wait for much longer.
        """
        limit_ms = SAME_WEIGHT_FACTOR * request.engine_ms
        rival = next((e for e in ahead if e.request.engine_ms <= limit_ms), None)
        if rival is None:
            return False
        generation, excluded = rival.generation_at(now_ms), rival.request.excluded
        other = self._place(service, generation, excluded, now_ms)
        taken = _engines(placement)
        if other is None or not _engines(other) & taken:
            return False
        # Requests of like size choose the same engine even while others have room.
        return self._place(service, generation, excluded | taken, now_ms) is None

    def _place(self, service, generation, excluded, now_ms, may_be_refused=True):
        return self._dispatcher.place(
            service, generation, excluded, may_be_refused, now_ms
        )

    def _free_room(self, service, request, now_ms):
        return self._dispatcher.free_room(service, request.excluded, now_ms)

    @staticmethod
    def _predicted_wait_ms(room, request, ahead):
        return room.predicted_wait_ms(
            request.memory_tokens, [entry.request.engine_ms for entry in ahead]
        )

    @staticmethod
    def _comes_too_late(room, request, wait_ms):
        """Return whether the room predicted for a request comes too late for it.

        Without any endpoint nothing is predicted; the sender knows why there is none.
        """
        if not room.engine_count:
            return False
        return wait_ms + request.answer_ms > request.generation.time_to_deadline_ms

    def _refuse(self, service, request, reason, wait_ms, now_ms, ahead=0):
        generation = request.generation
        engine_count = max(1, len(self._state.endpoints.usable(service.name)))
        retry_after_ms = self._dispatcher.booked_retry_ms(
            service.name,
            request.priority,
            wait_ms,
            request.engine_ms / engine_count,
            generation.time_to_deadline_ms,
            now_ms,
        )
        return OrderedDecision(
            is_final=True,
            reason=reason.value,
            retry_after_ms=retry_after_ms,
            predicted_wait_ms=wait_ms,
            ahead=ahead,
        )


def _engines(placement):
    return {placement.endpoint.id, *(helper.id for helper in placement.helpers)}
