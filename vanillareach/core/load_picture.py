"""What all instances have at the engines, as one instance knows it."""

from dataclasses import dataclass, field

import msgspec

# Flights of a peer that fell silent are believed no longer than this.
PEER_MEMORY_MS = 5_000.0
# A read that takes longer than predicted is taken to need this much more.
OVERDUE_READ_MS = 15.0


class Flight(msgspec.Struct, array_like=True):
    """One request at an engine.

    Attributes
    ----------
    id : str
        Unique over all instances.
    engine : str
        Id of the engine that answers.
    helpers : tuple of str
        Ids of engines that read parts of the prompt.
    held_tokens : tuple of int
        Memory reserved at each helper; empty without reservations.
    prompt_tokens, memory_tokens : int
        Length of the prompt; memory at the answering engine.
    part_ms : float
        Predicted time of reading one part.
    objective_ms, pause_limit_ms, worth : float
        What the caller is owed.
    is_reading : bool
        Whether its first event is still to come.
    age_ms : float
        Time since its dispatch, as of the sender's clock.
    """

    id: str
    engine: str
    helpers: tuple[str, ...]
    held_tokens: tuple[int, ...]
    prompt_tokens: int
    memory_tokens: int
    part_ms: float
    objective_ms: float
    pause_limit_ms: float
    worth: float
    is_reading: bool
    age_ms: float


@dataclass(slots=True)
class EngineLoad:
    """Work at one engine.

    Attributes
    ----------
    running : int
        Requests that hold a slot.
    writers : list of Flight
    readers : list of (Flight, float)
        Requests that it reads for, whose first event is still to come, with their age.
    reading_ms : float
        Reading that is left.
    helping : int
        Other engines' requests that it reads for.
    memory_tokens : int
        Memory that the running requests need.
    context_tokens : int
        Sum of the writers' contexts.
    """

    running: int = 0
    writers: list = field(default_factory=list)
    readers: list = field(default_factory=list)
    reading_ms: float = 0.0
    helping: int = 0
    memory_tokens: int = 0
    context_tokens: int = 0


class LoadPicture:
    """Flights of this instance and of its peers."""

    __slots__ = ("_flights_by_peer", "_received_ms_by_peer", "_sent_ms_by_id", "own")

    def __init__(self):
        self.own = {}
        self._sent_ms_by_id = {}
        self._flights_by_peer = {}
        self._received_ms_by_peer = {}

    def add(self, flight, now_ms):
        """Record an own dispatch."""
        self.own[flight.id] = flight
        self._sent_ms_by_id[flight.id] = now_ms

    def remove(self, flight_id):
        """Record the end of an own dispatch."""
        self.own.pop(flight_id, None)
        self._sent_ms_by_id.pop(flight_id, None)

    def own_flights(self, now_ms):
        """Return the own flights with their present ages."""
        for flight in self.own.values():
            flight.age_ms = now_ms - self._sent_ms_by_id[flight.id]
        return tuple(self.own.values())

    def take(self, peer, flights, now_ms):
        """Replace the flights of a peer."""
        self._flights_by_peer[peer] = flights
        self._received_ms_by_peer[peer] = now_ms

    def age_ms(self, now_ms):
        """Return the age of the oldest peer picture in use."""
        received = self._received_ms_by_peer.values()
        ages = [now_ms - at for at in received if now_ms - at < PEER_MEMORY_MS]
        return max(ages, default=0.0)

    def loads_by_engine(self, now_ms):
        """Return the `EngineLoad` by engine id, of engines that have any."""
        loads = {}
        reads = []
        for flight, age_ms in self._all(now_ms):
            load = loads.setdefault(flight.engine, EngineLoad())
            load.running += 1
            load.memory_tokens += flight.memory_tokens
            for helper, tokens in zip(flight.helpers, flight.held_tokens, strict=False):
                loads.setdefault(helper, EngineLoad()).memory_tokens += tokens
            if not flight.is_reading:
                load.writers.append(flight)
                load.context_tokens += flight.prompt_tokens
                continue
            reads.append((age_ms, flight))
        # Whatever the order of reads is, an engine's whole work is left the same.
        reads.sort(key=lambda item: -item[0])
        busy_until = {}
        for age_ms, flight in reads:
            for engine in (flight.engine, *flight.helpers):
                begin_ms = max(busy_until.get(engine, -age_ms), -age_ms)
                busy_until[engine] = begin_ms + flight.part_ms
                load = loads.setdefault(engine, EngineLoad())
                load.readers.append((flight, age_ms))
                load.helping += engine != flight.engine
        for engine, until_ms in busy_until.items():
            loads[engine].reading_ms = max(OVERDUE_READ_MS, until_ms)
        return loads

    def _all(self, now_ms):
        for flight in self.own.values():
            yield flight, now_ms - self._sent_ms_by_id[flight.id]
        for peer, flights in list(self._flights_by_peer.items()):
            silent_ms = now_ms - self._received_ms_by_peer[peer]
            if silent_ms > PEER_MEMORY_MS:
                del self._flights_by_peer[peer]
                del self._received_ms_by_peer[peer]
                continue
            for flight in flights:
                yield flight, flight.age_ms + silent_ms
