"""Order in which requests wait for engines, and who is refused instead.

A request for which no engine has room asks again after half of its predicted wait. The
requests that wait for a service are kept in a queue, and one that asks is placed only
if those ahead of it would still find room.

The order is by priority. Within a priority, the teams take turns: the first request of
each team goes before the second one of any. Between those, the one that has to start
first goes first: its deadline less the time that its answer takes. A request that waits
gets no later start, so those that arrive after it don't overtake it for ever.

State is soft: an entry lives only as long as its member asks, and nothing is lost with
the instance that holds the queue.
"""

import math
from bisect import insort
from collections import Counter
from enum import StrEnum

import msgspec

from vanillareach.core.engine_time import decode_ms, prefill_ms, sure_answer_ms
from vanillareach.core.placement_types import GenerationRequest
from vanillareach.core.span_placement import MAX_HELPERS
from vanillareach.core.start_decision import ASK_INTERVAL_MS

# Longest interval at which a waiting request asks again, so that room that comes sooner
# than predicted is used soon.
MAX_ASK_INTERVAL_MS = 480.0
# Number of requests at the head of a queue that ask at the shortest interval.
FREQUENT_ASKERS = 8
# An entry that is not renewed for as many of its intervals has expired. After 100 ms
# without an answer a member asks the other placer, which is less even for the shortest.
ENTRY_TTL_INTERVALS = 3.0
# Waiting requests of one service. Each costs about 1 KB, and an order of 256 is sorted
# in 0.4 ms.
MAX_ENTRIES = 256
# The order is sorted again after this time; new entries are inserted at once.
ORDER_TTL_MS = 20.0


class RefusalReason(StrEnum):
    """Why a request is refused without waiting any longer."""

    # Room is predicted so late that it couldn't be answered by its deadline.
    TOO_LATE = "too_late"
    # All places of the queue are taken by requests ahead of it.
    QUEUE_FULL = "queue_full"


class WaitingRequest(msgspec.Struct, frozen=True):
    """A request that waits for an engine.

    Attributes
    ----------
    key : tuple
        The same each time that the request asks.
    priority : int
        The least urgent one of its limits if an instance of an older version has asked.
    team : str
    engine_ms : float
        Predicted time of one engine that it takes; see `engine_time_ms`.
    answer_ms : float
        Least time from its placement to the end of its answer; see `least_answer_ms`.
    generation : GenerationRequest
    excluded : frozenset of str
        Ids of engines that it may not use.
    is_older_version : bool
        Whether its member doesn't name its requests, and takes no refusal as final.
    """

    key: tuple
    priority: int
    team: str
    engine_ms: float
    answer_ms: float
    generation: GenerationRequest
    excluded: frozenset = frozenset()
    is_older_version: bool = False

    @property
    def memory_tokens(self):
        """KV cache tokens that it needs."""
        return self.generation.prompt_tokens + self.generation.answer_tokens


def engine_time_ms(figures, generation):
    """Return the time of one engine that a generation takes.

    Its prefill takes the whole engine, its decoding one of the slots.
    """
    decoding_ms = decode_ms(
        figures, generation.answer_tokens, 1, generation.prompt_tokens
    )
    own_prefill_ms = prefill_ms(figures, generation.prompt_tokens)
    return max(1.0, own_prefill_ms + decoding_ms / max(1, figures.slots))


def ask_interval_ms(wait_ms, ahead):
    """Return the interval at which a request asks again.

    The first ones ask often, since streams may end sooner than predicted. For the
    others it is half of the predicted wait, within bounds.

    Parameters
    ----------
    wait_ms : float
    ahead : int
        Number of requests that go before it.
    """
    if ahead < FREQUENT_ASKERS:
        return ASK_INTERVAL_MS
    return min(MAX_ASK_INTERVAL_MS, max(ASK_INTERVAL_MS, wait_ms / 2))


def least_answer_ms(figures, generation, engine_count):
    """Return the least time to the end of an answer, on engines without other load."""
    parts = max(1, min(engine_count, MAX_HELPERS + 1))
    return prefill_ms(figures, generation.prompt_tokens, parts) + sure_answer_ms(
        figures, generation
    )


class WaitingEntry:
    """A place in a queue.

    Attributes
    ----------
    request : WaitingRequest
        As it asked last.
    renewed_ms : float
        When it asked last.
    ask_interval_ms : float
        Interval at which it asks.
    latest_start_ms : float
        Latest time of its placement at which it can be answered by its deadline.
    rank : tuple
        Place in the order when it was sorted last; the lowest goes first.
    """

    __slots__ = (
        "ask_interval_ms",
        "latest_start_ms",
        "number",
        "rank",
        "renewed_ms",
        "request",
    )

    def __init__(self, request, number, now_ms):
        self.number = number
        self.ask_interval_ms = ASK_INTERVAL_MS
        self.rank = ()
        self.renew(request, now_ms)

    def renew(self, request, now_ms):
        """Record that the request has asked, with the time that it has left."""
        self.request = request
        self.renewed_ms = now_ms
        self.latest_start_ms = (
            now_ms + request.generation.time_to_deadline_ms - request.answer_ms
        )

    def generation_at(self, now_ms):
        """Return the generation with the times that are left now."""
        generation, passed_ms = self.request.generation, now_ms - self.renewed_ms
        return msgspec.structs.replace(
            generation,
            time_to_objective_ms=generation.time_to_objective_ms - passed_ms,
            time_to_deadline_ms=generation.time_to_deadline_ms - passed_ms,
        )


class WaitingQueue:
    """Requests that wait for one service, in their order."""

    __slots__ = ("_entries_by_key", "_last_number", "_order", "_sorted_ms")

    def __init__(self):
        self._entries_by_key = {}
        self._order = []
        self._sorted_ms = -math.inf
        self._last_number = 0

    def __len__(self):
        return len(self._entries_by_key)

    def __iter__(self):
        return iter(self._order)

    def counts_by_priority(self):
        """Return the number of entries by priority."""
        return Counter(e.request.priority for e in self._entries_by_key.values())

    def expire(self, now_ms):
        """Remove and return the entries that were not renewed in time."""
        expired = [
            entry
            for entry in self._entries_by_key.values()
            if now_ms - entry.renewed_ms > ENTRY_TTL_INTERVALS * entry.ask_interval_ms
        ]
        for entry in expired:
            self.discard(entry.request.key)
        return expired

    def renew(self, request, now_ms):
        """Add a request, or record that it has asked again; return its entry.

        None if the queue is full of requests that go before it. A request that goes
        before the last of a full queue takes its place.
        """
        entry = self._entries_by_key.get(request.key)
        if entry is not None:
            entry.renew(request, now_ms)
            self._sort_if_due(now_ms)
            return entry
        self._last_number += 1
        entry = WaitingEntry(request, self._last_number, now_ms)
        self._sort_if_due(now_ms)
        earlier, later = self._of_same_team(entry)
        entry.rank = self._rank(entry, earlier)
        if len(self._entries_by_key) >= MAX_ENTRIES:
            last = self._order[-1]
            if last.rank < entry.rank:
                return None
            self.discard(last.request.key)
        if later:
            # Their turns come one later.
            self._sorted_ms = -math.inf
        self._entries_by_key[request.key] = entry
        insort(self._order, entry, key=lambda other: other.rank)
        return entry

    def discard(self, key):
        """Remove a request, if present."""
        entry = self._entries_by_key.pop(key, None)
        if entry is not None:
            self._order.remove(entry)

    def ahead_of(self, entry):
        """Return the entries that go before an entry, the first one first."""
        return self._order[: self._order.index(entry)]

    def _sort_if_due(self, now_ms):
        if now_ms - self._sorted_ms < ORDER_TTL_MS:
            return
        self._sorted_ms = now_ms
        # The first entries of each team come first, so counting gives their turns.
        turns = Counter()
        for entry in sorted(self._order, key=lambda e: (e.latest_start_ms, e.number)):
            group = (entry.request.priority, entry.request.team)
            entry.rank = self._rank(entry, turns[group])
            turns[group] += 1
        self._order.sort(key=lambda other: other.rank)

    def _of_same_team(self, entry):
        """Return how many of a request's team and priority go before and behind it."""
        group = (entry.request.priority, entry.request.team)
        starts_ms = [
            other.latest_start_ms
            for other in self._order
            if (other.request.priority, other.request.team) == group
        ]
        earlier = sum(start_ms <= entry.latest_start_ms for start_ms in starts_ms)
        return earlier, len(starts_ms) - earlier

    @staticmethod
    def _rank(entry, turn):
        return (entry.request.priority, turn, entry.latest_start_ms, entry.number)
