"""Room that the engines of a service have now, and when more is predicted."""

import heapq
import math

from vanillareach.core.engine_time import pass_ms
from vanillareach.core.remaining_work import MIN_REMAINING_MS, remaining_work
from vanillareach.core.span_placement import MAX_WAITING_REQUESTS


class EngineRoom:
    """What one engine can still take.

    Parameters
    ----------
    engine : str
    figures : EngineFigures
    load : EngineLoad
    pace : float
        Factor by which it is slower than its published figures.

    Attributes
    ----------
    engine : str
    free_slots : int
        Includes those for requests that wait at the engine.
    free_tokens : int
    pending_prefill_ms : float
        Predicted time until its pending prefill is done.
    """

    __slots__ = (
        "_ends",
        "_figures",
        "_load",
        "_pace",
        "engine",
        "free_slots",
        "free_tokens",
        "pending_prefill_ms",
    )

    def __init__(self, engine, figures, load, pace):
        self.engine = engine
        self.free_slots = figures.slots + MAX_WAITING_REQUESTS - load.running
        self.free_tokens = figures.memory_tokens - load.memory_tokens
        self.pending_prefill_ms = load.pending_prefill_ms * pace
        self._figures, self._load, self._pace = figures, load, pace
        self._ends = None

    @property
    def ends(self):
        """Predicted time until each request ends, with the tokens that it frees.

        They are sorted. Only a request that finds no room needs them.
        """
        if self._ends is None:
            self._ends = request_ends(
                self.engine, self._figures, self._load, self._pace
            )
        return self._ends

    def fits(self, tokens):
        """Return whether a request with these tokens has room."""
        return self.free_slots > 0 and self.free_tokens >= tokens

    def wait_ms(self, tokens):
        """Return the predicted time until a request with these tokens has room."""
        if self.fits(tokens):
            return 0.0
        free_slots, free_tokens = self.free_slots, self.free_tokens
        for end_ms, freed_tokens in self.ends:
            free_slots, free_tokens = free_slots + 1, free_tokens + freed_tokens
            if free_slots > 0 and free_tokens >= tokens:
                return end_ms
        return math.inf


def request_ends(engine, figures, load, pace):
    """Return when the requests of an engine end; see `EngineRoom.ends`.

    An answer is as long as predicted, else as its request allows. Requests beyond the
    slots begin when others have ended.
    """
    decoding = load.decoding_requests
    gap_ms = pass_ms(figures, max(1, len(decoding)), load.context_tokens) * pace
    ends = []
    for flight, decoding_ms in zip(decoding, load.decoding_ms, strict=False):
        left_ms = _passes_left(figures, flight, decoding_ms / gap_ms) * gap_ms
        ends.append((max(MIN_REMAINING_MS, left_ms), flight.memory_tokens))
    begun = [end_ms for end_ms, _ in ends]
    heapq.heapify(begun)
    prefill_ms = load.pending_prefill_ms * pace
    # The oldest one comes first.
    for flight, _ in load.prefilling_requests:
        if flight.engine != engine:
            continue
        begin_ms = prefill_ms
        if len(begun) >= figures.slots:
            begin_ms = max(prefill_ms, heapq.heappop(begun))
        end_ms = begin_ms + _passes_left(figures, flight, 0.0) * gap_ms
        heapq.heappush(begun, end_ms)
        ends.append((max(MIN_REMAINING_MS, end_ms), flight.memory_tokens))
    return sorted(ends)


def _passes_left(figures, flight, done_passes):
    """Return the passes after the first event that a request still takes.

    An overdue answer is predicted to go on, but not beyond its maximum of tokens.
    """
    tokens_per_pass = figures.steps_per_pass
    passes = max(0, math.ceil(flight.answer_tokens / tokens_per_pass) - 1)
    most_left = max(0.0, passes - done_passes)
    if not flight.predicted_work > 0.0:
        return most_left
    # The first event has the tokens of a whole pass.
    done = tokens_per_pass * (1.0 + done_passes) if done_passes else 0.0
    left = remaining_work(flight.predicted_work, flight.high_work, done)
    return min(most_left, left / tokens_per_pass)


class FreeRoom:
    """What the engines of a service can still take.

    Parameters
    ----------
    rooms : list of EngineRoom
    engine_tokens : int
        Size of an engine's KV cache. A prompt that exceeds it is spread, so it counts
        as one that needs all of an engine.
    """

    __slots__ = ("_engine_tokens", "_rooms", "_sorted_slots_ms")

    def __init__(self, rooms, engine_tokens):
        self._rooms = rooms
        self._sorted_slots_ms = None
        self._engine_tokens = engine_tokens

    def served_ahead(self, needs, taken=None):
        """Return how many of the requests ahead find room, each on its own.

        Parameters
        ----------
        needs : list of int
            Tokens of each, in their order.
        taken : tuple of (str, int) or None
            Engine and tokens that another request would take before them.
        """
        left = {
            r.engine: [r.free_slots, r.free_tokens]
            for r in self._rooms
            if r.free_slots > 0
        }
        if taken is not None and taken[0] in left:
            self._take(left, *taken)
        served, hopeless_tokens = 0, math.inf
        for tokens in needs:
            tokens = min(tokens, self._engine_tokens)
            if not left:
                break
            if tokens >= hopeless_tokens:
                continue
            # The fullest engine that suffices leaves the others to larger prompts.
            fitting = [
                (free[1], name) for name, free in left.items() if free[1] >= tokens
            ]
            if not fitting:
                hopeless_tokens = tokens
                continue
            self._take(left, min(fitting)[1], tokens)
            served += 1
        return served

    @staticmethod
    def _take(left, engine, tokens):
        free = left[engine]
        free[0] -= 1
        free[1] -= tokens
        if free[0] <= 0:
            del left[engine]

    def leaves_room(self, needs, engine, tokens):
        """Return whether all requests ahead that find room now still would.

        Parameters
        ----------
        needs : list of int
            Tokens of the requests ahead, in their order.
        engine : str
            Engine that another request would take.
        tokens : int
            Tokens that it needs there.
        """
        if not needs or self._is_ample(needs, tokens):
            return True
        return self.served_ahead(needs, (engine, tokens)) >= self.served_ahead(needs)

    def _is_ample(self, needs, tokens):
        """Return whether there is an engine for each request by itself."""
        largest = min(max(*needs, tokens), self._engine_tokens)
        return sum(room.fits(largest) for room in self._rooms) > len(needs)

    def held_engine(self, needs):
        """Return the engine kept for the first request that none has memory for.

        It is the one with the most free memory, which no request behind may use, so
        that small prompts don't take up for ever what a large one waits for. None if
        all requests ahead find memory.
        """
        if not self._rooms:
            return None
        free_tokens = max(room.free_tokens for room in self._rooms)
        for tokens in needs:
            if free_tokens < min(tokens, self._engine_tokens):
                fullest = max(self._rooms, key=lambda room: room.free_tokens)
                return fullest.engine
        return None

    @property
    def has_slot(self):
        """Whether any engine has a free slot."""
        return any(room.free_slots > 0 for room in self._rooms)

    @property
    def engine_count(self):
        """Number of engines that may be used."""
        return len(self._rooms)

    def predicted_wait_ms(self, tokens, ahead_engine_ms):
        """Return the predicted time until a request has room behind others.

        Parameters
        ----------
        tokens : int
            Tokens that it needs.
        ahead_engine_ms : list of float
            Engine time of each request ahead of it.

        Returns
        -------
        float
            The time until an engine has taken those ahead and has memory for it, and
            some engine is done with its pending prefill; infinite without engines.
        """
        if not self._rooms:
            return math.inf
        turn = len(ahead_engine_ms)
        slots_ms = self._slots_ms()
        wait_ms = slots_ms[min(turn, len(slots_ms) - 1)]
        if turn >= len(slots_ms):
            # Those that take these slots have to end as well.
            wait_ms += sum(ahead_engine_ms[len(slots_ms) - 1 :]) / len(self._rooms)
        tokens = min(tokens, self._engine_tokens)
        return max(
            wait_ms,
            min(room.wait_ms(tokens) for room in self._rooms),
            min(room.pending_prefill_ms for room in self._rooms),
        )

    def _slots_ms(self):
        """Return the times at which the slots of all engines are free, in order."""
        if self._sorted_slots_ms is None:
            times_ms = []
            for room in self._rooms:
                times_ms += [0.0] * room.free_slots
                # Requests beyond what the engine should have free no slot.
                times_ms += [
                    end_ms for end_ms, _ in room.ends[-min(0, room.free_slots) :]
                ]
            self._sorted_slots_ms = sorted(times_ms)
        return self._sorted_slots_ms
