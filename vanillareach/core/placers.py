"""Choice of the instances that place requests for their failure domain.

In a large fleet, telling every instance of every request costs requests times
instances. So two instances of each domain, its placers, know all requests in flight;
the others tell these two of their requests and ask one of them where to send the next.
Both know the same, so either can answer at any time, and the loss of one costs only the
timeout of a query.

Nothing is agreed on: each instance ranks the instances of a domain by capacity and by
rendezvous hashing, and leaves out those that are leaving or silent. Instances that
disagree for a moment tell and ask different placers, which costs placements of less
quality but breaks no rule.
"""

from vanillareach.core.rendezvous import preference

PLACERS_PER_DOMAIN = 2
# Up to this many instances tell each other of all their requests instead.
MAX_DIRECT_INSTANCES = 24
# A placer sends a beacon to the instances of its domain at this interval, and to the
# placers of other domains more often.
PLACER_BEACON_INTERVAL_MS = 1_000.0
PLACER_EXCHANGE_INTERVAL_MS = 250.0
# An instance without requests of its own sends its placers a beacon at this interval.
IDLE_BEACON_INTERVAL_MS = 3_000.0
# A placer that was not heard for this time is silent.
PLACER_SILENCE_MS = 2_500.0
# A new placer knows the requests in flight after this time: the others of its domain
# send them when they receive its first beacon.
PLACER_WARM_UP_MS = 400.0


class PlacerCandidate:
    """An instance as a possible placer of its domain.

    Attributes
    ----------
    name, domain : str
    capacity : float
        Relative processing capacity of its machine.
    is_unavailable : bool
        Whether it says that it is leaving, or is this instance and hears nobody.
    expected_since_ms, heard_ms : float or None
        Since when it is expected to send beacons as a placer, and when it was last
        heard.
    """

    __slots__ = (
        "capacity",
        "domain",
        "expected_since_ms",
        "heard_ms",
        "is_unavailable",
        "name",
    )

    def __init__(self, name, domain, capacity):
        self.name = name
        self.domain = domain
        self.capacity = capacity
        self.is_unavailable = False
        self.expected_since_ms = None
        self.heard_ms = None

    def is_silent(self, now_ms):
        """Return whether it was expected to send beacons but was not heard."""
        if self.expected_since_ms is None:
            return False
        last_ms = max(self.expected_since_ms, self.heard_ms or 0.0)
        return now_ms - last_ms > PLACER_SILENCE_MS


class PlacerElection:
    """Placers of each domain in the view of one instance.

    Parameters
    ----------
    name, domain : str
        The instance itself.
    capacity : float

    Attributes
    ----------
    placer_since_ms : float or None
        Since when the instance itself is a placer; None if it is not.
    """

    def __init__(self, name, domain, capacity):
        self.name = name
        self.domain = domain
        self.placer_since_ms = None
        self._candidates_by_name = {name: PlacerCandidate(name, domain, capacity)}
        self._ranked_by_domain = {}
        self._placers_by_domain = {}
        self._domains = None

    def add(self, name, domain, capacity):
        """Add an instance, or update its domain and capacity."""
        candidate = self._candidates_by_name.get(name)
        if candidate is None:
            candidate = PlacerCandidate(name, domain, capacity)
            self._candidates_by_name[name] = candidate
        elif (candidate.domain, candidate.capacity) == (domain, capacity):
            return
        candidate.domain, candidate.capacity = domain, capacity
        self._forget_ranks()

    def remove(self, name):
        """Remove an instance that no longer exists."""
        if self._candidates_by_name.pop(name, None) is not None:
            self._forget_ranks()

    def record_heard(self, name, now_ms):
        """Record that a beacon of an instance arrived, by which it is a placer."""
        candidate = self._candidates_by_name.get(name)
        if candidate is not None:
            candidate.heard_ms = now_ms

    def record_unavailable(self, name, is_unavailable):
        """Record whether an instance can't be a placer now."""
        candidate = self._candidates_by_name.get(name)
        if candidate is not None:
            candidate.is_unavailable = is_unavailable

    def placers(self, domain, now_ms):
        """Return the names of a domain's placers, the preferred one first.

        If all instances of the domain are silent, the first of them are returned.
        """
        ranked = self._ranked(domain)
        placers = []
        for candidate in ranked:
            if candidate.is_unavailable:
                continue
            if candidate.name != self.name:
                if candidate.is_silent(now_ms):
                    continue
                if candidate.expected_since_ms is None:
                    candidate.expected_since_ms = now_ms
            placers.append(candidate.name)
            if len(placers) == PLACERS_PER_DOMAIN:
                break
        if placers != self._placers_by_domain.get(domain):
            self._placers_by_domain[domain] = placers
            self._forget_expectations(ranked, placers)
        return placers or [c.name for c in ranked[:PLACERS_PER_DOMAIN]]

    def update_own_role(self, now_ms):
        """Update and return whether the instance itself is a placer of its domain."""
        if self.name not in self.placers(self.domain, now_ms):
            self.placer_since_ms = None
        elif self.placer_since_ms is None:
            self.placer_since_ms = now_ms
        return self.placer_since_ms is not None

    def is_warm(self, now_ms):
        """Return whether the instance is a placer that knows all requests."""
        return (
            self.placer_since_ms is not None
            and now_ms - self.placer_since_ms >= PLACER_WARM_UP_MS
        )

    def members(self, domain):
        """Return the names of a domain's instances."""
        return [candidate.name for candidate in self._ranked(domain)]

    def domains(self):
        """Return the known domains."""
        if self._domains is None:
            candidates = self._candidates_by_name.values()
            self._domains = frozenset(candidate.domain for candidate in candidates)
        return self._domains

    def other_domain_placers(self, now_ms):
        """Return the names of the placers of all other domains."""
        return [
            name
            for domain in self.domains()
            if domain != self.domain
            for name in self.placers(domain, now_ms)
        ]

    def counterparts(self, now_ms):
        """Return the placer of each other domain that has this one's rank."""
        own_placers = self.placers(self.domain, now_ms)
        rank = own_placers.index(self.name) if self.name in own_placers else 0
        counterparts = []
        for domain in self.domains() - {self.domain}:
            placers = self.placers(domain, now_ms)
            if placers:
                counterparts.append(placers[min(rank, len(placers) - 1)])
        return counterparts

    def _forget_expectations(self, ranked, placers):
        """Expect no beacons of instances that rank behind the placers."""
        if not placers:
            return
        last = [candidate.name for candidate in ranked].index(placers[-1])
        for candidate in ranked[last + 1 :]:
            candidate.expected_since_ms = None

    def _forget_ranks(self):
        self._ranked_by_domain.clear()
        self._placers_by_domain.clear()
        self._domains = None

    def _ranked(self, domain):
        ranked = self._ranked_by_domain.get(domain)
        if ranked is None:
            ranked = sorted(
                (c for c in self._candidates_by_name.values() if c.domain == domain),
                key=lambda c: (-c.capacity, -preference(f"placer {domain}", c.name)),
            )
            self._ranked_by_domain[domain] = ranked
        return ranked
