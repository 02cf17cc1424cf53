"""Load of the engines: the in-flight requests of all instances known to this one."""

from collections import Counter
from dataclasses import dataclass, field

import msgspec

from vanillareach.core.priorities import UNKNOWN_PRIORITY

# In-flight requests of a peer that sends no update for this long are dropped.
PEER_FLIGHTS_TTL_MS = 5_000.0
# Remaining time assumed of a prefill that already takes longer than predicted.
OVERDUE_PREFILL_MS = 15.0


class InFlightRequest(msgspec.Struct, array_like=True):
    """One request that was dispatched to an endpoint and has not ended.

    Gateways send it to their peers, unlike a `Dispatch`, which stays within an entry.

    Attributes
    ----------
    id : int
        Unique among the requests of one instance until it restarts.
    engine : str
        Id of the endpoint that responds.
    helpers : tuple of str
        Ids of engines that prefill further parts of the prompt.
    reserved_tokens : tuple of int
        KV cache tokens reserved at each helper; empty without reservations.
    prompt_tokens, memory_tokens : int
        Length of the prompt; KV cache tokens at the responding engine.
    part_prefill_ms : float
        Predicted time to prefill one part of the prompt.
    objective_ms, pause_limit_ms : float
        Latency objective and pause limit of the request.
    worth : float
        Read by instances of older versions only.
    is_prefilling : bool
        Whether its first event is still to come.
    age_ms : float
        Time since its dispatch, by the sender's clock when it was sent.
    priority : int
        Priority of the request; unknown from an older version.
    predicted_work, high_work : float
        Median and high quantile of its predicted cost: output tokens of a generation,
        ms of a plain call; 0 if unknown, as from an instance of an older version.
    decoding_ms : float
        Time since its first event, at sending; 0 if unknown.
    """

    id: int
    engine: str
    helpers: tuple[str, ...]
    reserved_tokens: tuple[int, ...]
    prompt_tokens: int
    memory_tokens: int
    part_prefill_ms: float
    objective_ms: float
    pause_limit_ms: float
    worth: float
    is_prefilling: bool
    age_ms: float
    priority: int = UNKNOWN_PRIORITY
    # Whole numbers, which take fewer bytes.
    predicted_work: float = 0
    high_work: float = 0
    decoding_ms: float = 0

    @property
    def answer_tokens(self):
        """Tokens of its answer, at most."""
        reserved_tokens = sum(self.reserved_tokens)
        return max(0, self.memory_tokens + reserved_tokens - self.prompt_tokens)


@dataclass(slots=True)
class EngineLoad:
    """Load of one engine.

    Attributes
    ----------
    running : int
        Requests that occupy a slot.
    decoding_requests : list of InFlightRequest
        Requests it responds to whose first event has come.
    decoding_ms : list of float
        Time since the first event of each of them.
    prefilling_requests : list of (InFlightRequest, float)
        Requests whose prompts, or parts of them, it prefills, with their ages in ms.
    pending_prefill_ms : float
        Predicted time until all its prefills have ended.
    helper_part_count : int
        Prompt parts that it prefills for other engines.
    memory_tokens : int
        KV cache tokens that its requests and reservations need.
    context_tokens : int
        Sum of the prompt lengths of the decoding requests.
    """

    running: int = 0
    decoding_requests: list = field(default_factory=list)
    decoding_ms: list = field(default_factory=list)
    prefilling_requests: list = field(default_factory=list)
    pending_prefill_ms: float = 0.0
    helper_part_count: int = 0
    memory_tokens: int = 0
    context_tokens: int = 0
    _stream_counts: Counter | None = field(default=None, repr=False, compare=False)

    def stream_counts(self):
        """Return the number of decoding requests by pause limit and priority."""
        if self._stream_counts is None:
            self._stream_counts = Counter(
                (flight.pause_limit_ms, flight.priority)
                for flight in self.decoding_requests
            )
        return self._stream_counts


class InFlightTable:
    """In-flight requests of one instance.

    Attributes
    ----------
    by_id : dict of int to InFlightRequest
    dispatched_ms_by_id : dict of int to float
        When each was dispatched, by the local clock.
    decoding_since_ms_by_id : dict of int to float
        When the first event of each came, by the local clock.
    updated_ms : float
        When the instance last sent its requests or changes to them.
    """

    __slots__ = (
        "by_id",
        "updated_ms",
        "dispatched_ms_by_id",
        "decoding_since_ms_by_id",
    )

    def __init__(self):
        self.by_id = {}
        self.dispatched_ms_by_id = {}
        self.decoding_since_ms_by_id = {}
        self.updated_ms = 0.0

    def put(self, flight, now_ms):
        """Add a request, with the dispatch time that its age gives."""
        self.by_id[flight.id] = flight
        self.dispatched_ms_by_id[flight.id] = now_ms - flight.age_ms
        if not flight.is_prefilling:
            self.decoding_since_ms_by_id[flight.id] = now_ms - _decoding_ms(flight)

    def mark_decoding(self, flight, now_ms):
        """Record that the first event of a request has come."""
        flight.is_prefilling = False
        self.decoding_since_ms_by_id.setdefault(flight.id, now_ms)

    def remove(self, flight_id):
        """Remove a request, if present."""
        self.by_id.pop(flight_id, None)
        self.dispatched_ms_by_id.pop(flight_id, None)
        self.decoding_since_ms_by_id.pop(flight_id, None)

    def update_ages(self, now_ms):
        """Update the ages that the requests carry to peers."""
        for flight in self.by_id.values():
            flight.age_ms = now_ms - self.dispatched_ms_by_id[flight.id]
            since_ms = self.decoding_since_ms_by_id.get(flight.id, now_ms)
            flight.decoding_ms = round(now_ms - since_ms)


class InFlightChanges:
    """Changes of this instance's in-flight requests since the last message to peers.

    Attributes
    ----------
    started_by_id : dict of int to InFlightRequest
    decoding_ids, ended_ids : set of int
    """

    __slots__ = ("started_by_id", "ended_ids", "decoding_ids")

    def __init__(self):
        self.started_by_id = {}
        self.decoding_ids = set()
        self.ended_ids = set()


class LoadState:
    """In-flight requests of this instance and of its peers, and the load they make."""

    __slots__ = ("_flights_by_peer", "_changes", "_loads", "_loads_ms", "_own_flights")

    def __init__(self):
        self._own_flights = InFlightTable()
        self._flights_by_peer = {}
        # As they were worked out last, and when; None after a change.
        self._loads, self._loads_ms = None, None
        self._changes = InFlightChanges()

    @property
    def own_flight_count(self):
        """Number of this instance's in-flight requests."""
        return len(self._own_flights.by_id)

    def add(self, flight, now_ms):
        """Record the dispatch of an own request."""
        self._loads = None
        self._own_flights.put(flight, now_ms)
        self._changes.started_by_id[flight.id] = flight

    def mark_decoding(self, flight, now_ms):
        """Record that the prefill of an own request has ended."""
        self._loads = None
        self._own_flights.mark_decoding(flight, now_ms)
        self._changes.decoding_ids.add(flight.id)

    def remove(self, flight_id):
        """Record the end of an own request; return whether it was in flight."""
        if flight_id not in self._own_flights.by_id:
            return False
        self._loads = None
        self._own_flights.remove(flight_id)
        if self._changes.started_by_id.pop(flight_id, None) is None:
            self._changes.ended_ids.add(flight_id)
        return True

    def peer_flight_count(self, peer):
        """Return the number of a peer's in-flight requests."""
        flights = self._flights_by_peer.get(peer)
        return len(flights.by_id) if flights is not None else 0

    def peer_flight(self, peer, flight_id):
        """Return a peer's in-flight request, or None."""
        flights = self._flights_by_peer.get(peer)
        return flights.by_id.get(flight_id) if flights is not None else None

    def own_flights(self, now_ms):
        """Return a tuple of the own in-flight requests, with their ages updated."""
        self._own_flights.update_ages(now_ms)
        return tuple(self._own_flights.by_id.values())

    def drain_changes(self, now_ms):
        """Return and forget the `InFlightChanges` since the last call."""
        changes, self._changes = self._changes, InFlightChanges()
        for flight in changes.started_by_id.values():
            flight.age_ms = now_ms - self._own_flights.dispatched_ms_by_id[flight.id]
        return changes

    def replace_peer(self, peer, flights, now_ms):
        """Replace the in-flight requests of a peer."""
        self._loads = None
        peer_flights = InFlightTable()
        for flight in flights:
            peer_flights.put(flight, now_ms)
        peer_flights.updated_ms = now_ms
        self._flights_by_peer[peer] = peer_flights

    def apply_peer_changes(self, peer, started, decoding_ids, ended_ids, now_ms):
        """Apply changes of a peer's in-flight requests."""
        self._loads = None
        peer_flights = self._flights_by_peer.setdefault(peer, InFlightTable())
        peer_flights.updated_ms = now_ms
        for flight in started:
            peer_flights.put(flight, now_ms)
        for flight_id in decoding_ids:
            flight = peer_flights.by_id.get(flight_id)
            if flight is not None:
                peer_flights.mark_decoding(flight, now_ms)
        for flight_id in ended_ids:
            peer_flights.remove(flight_id)

    def oldest_peer_age_ms(self, now_ms):
        """Return the time since the last update of the peer that is most out of date.

        Peers whose requests have expired don't count; 0 without any peer.
        """
        ages = [now_ms - peer.updated_ms for peer in self._flights_by_peer.values()]
        return max((age for age in ages if age < PEER_FLIGHTS_TTL_MS), default=0.0)

    def loads_by_engine(self, now_ms):
        """Return the `EngineLoad` by engine id; engines without load are left out.

        One decision asks several times at the same moment, so the loads are kept until
        the next one or a change.
        """
        if self._loads is None or self._loads_ms != now_ms:
            self._loads, self._loads_ms = self._work_out_loads(now_ms), now_ms
        return self._loads

    def _work_out_loads(self, now_ms):
        loads = {}
        prefills = []
        for flight, age_ms, since_ms_by_id in self._all_flights(now_ms):
            load = loads.setdefault(flight.engine, EngineLoad())
            load.running += 1
            load.memory_tokens += flight.memory_tokens
            for helper, tokens in zip(
                flight.helpers, flight.reserved_tokens, strict=False
            ):
                loads.setdefault(helper, EngineLoad()).memory_tokens += tokens
            if not flight.is_prefilling:
                load.decoding_requests.append(flight)
                since_ms = since_ms_by_id.get(flight.id, now_ms)
                load.decoding_ms.append(now_ms - since_ms)
                load.context_tokens += flight.prompt_tokens
                continue
            prefills.append((age_ms, flight))
        # The order in which engines prefill may differ from this one; the time that
        # they need for all prefills is the same.
        prefills.sort(key=lambda item: -item[0])
        busy_until_ms = {}
        for age_ms, flight in prefills:
            for engine in (flight.engine, *flight.helpers):
                begin_ms = max(busy_until_ms.get(engine, -age_ms), -age_ms)
                busy_until_ms[engine] = begin_ms + flight.part_prefill_ms
                load = loads.setdefault(engine, EngineLoad())
                load.prefilling_requests.append((flight, age_ms))
                load.helper_part_count += engine != flight.engine
        for engine, until_ms in busy_until_ms.items():
            loads[engine].pending_prefill_ms = max(OVERDUE_PREFILL_MS, until_ms)
        return loads

    def _all_flights(self, now_ms):
        for peer, flights in list(self._flights_by_peer.items()):
            if now_ms - flights.updated_ms > PEER_FLIGHTS_TTL_MS:
                del self._flights_by_peer[peer]
        for flights in (self._own_flights, *self._flights_by_peer.values()):
            since_ms_by_id = flights.decoding_since_ms_by_id
            for flight in flights.by_id.values():
                age_ms = now_ms - flights.dispatched_ms_by_id[flight.id]
                yield flight, age_ms, since_ms_by_id


def _decoding_ms(flight):
    """Return the time since the first event of a request, at its sending.

    An instance of an older version doesn't tell it; the predicted prefill stands for
    the time before the first event then.
    """
    if flight.decoding_ms > 0.0:
        return min(flight.decoding_ms, max(0.0, flight.age_ms))
    return max(0.0, flight.age_ms - flight.part_prefill_ms)
