"""Whether this instance has lost its links to the endpoints.

An endpoint that can't be reached may be down, or its failure domain cut off. If none of
several endpoints of the own and of other domains can be reached, the instance's own
links are the likely cause.
"""

# Endpoints to which connections are tried at once, of the own domain and of others.
CHECKED_PER_SIDE = 2
# Lost links count as regained if this share of the connections is made.
REGAINED_SHARE = 0.5
# Links that are lost again within this time of being regained count as unsteady.
UNSTEADY_MS = 10_000.0
# Unsteady links must pass all checks for this time, doubled each time up to the
# maximum, before they count as regained.
FIRST_HOLD_MS = 2_000.0
MAX_HOLD_MS = 8_000.0


class EndpointReach:
    """Result of this instance's latest checks of its links.

    Attributes
    ----------
    is_lost : bool
        Whether the links to the endpoints count as lost.
    is_checked_by_health : bool
        Whether a service names a health path, so that bytes must come back.
    """

    __slots__ = (
        "_hold_ms",
        "_passing_since_ms",
        "_regained_ms",
        "is_checked_by_health",
        "is_lost",
    )

    def __init__(self):
        self.is_lost = False
        self.is_checked_by_health = False
        self._hold_ms = 0.0
        self._passing_since_ms = None
        self._regained_ms = None

    def record_check(self, connected_count, checked_count, now_ms=0.0, is_shared=False):
        """Record how many of the checked endpoints were reached.

        Parameters
        ----------
        connected_count, checked_count : int
        now_ms : float
            Needed only with health checks.
        is_shared : bool
            Whether peers report the same faults, so that the endpoints are the cause.

        Returns
        -------
        bool
            Whether `is_lost` has changed.
        """
        was_lost = self.is_lost
        if not checked_count or is_shared:
            self.is_lost = False
        elif was_lost:
            is_passing = connected_count >= REGAINED_SHARE * checked_count
            self.is_lost = not (is_passing and self._is_held(now_ms))
            if not is_passing:
                self._passing_since_ms = None
        else:
            self.is_lost = connected_count == 0
        if self.is_checked_by_health and self.is_lost != was_lost:
            self._record_change(now_ms)
        return self.is_lost != was_lost

    def _is_held(self, now_ms):
        if self._passing_since_ms is None:
            self._passing_since_ms = now_ms
        return now_ms - self._passing_since_ms >= self._hold_ms

    def _record_change(self, now_ms):
        self._passing_since_ms = None
        if not self.is_lost:
            self._regained_ms = now_ms
        elif self._regained_ms is None or now_ms - self._regained_ms > UNSTEADY_MS:
            self._hold_ms = 0.0
        else:
            self._hold_ms = min(MAX_HOLD_MS, max(FIRST_HOLD_MS, 2 * self._hold_ms))


def choose_checked(listed, domain, random, is_spread=False):
    """Return the endpoints that a check tries to reach.

    Parameters
    ----------
    listed : iterable of ListedEndpoint
    domain : str
        Failure domain of the instance.
    random : random.Random
    is_spread : bool
        Whether endpoints of different services are preferred, since those of one
        service may all be down.
    """
    near = [endpoint for endpoint in listed if endpoint.domain == domain]
    far = [endpoint for endpoint in listed if endpoint.domain != domain]
    sample = _sample_services if is_spread else _sample
    chosen = sample(near, CHECKED_PER_SIDE, random)
    chosen += sample(far, 2 * CHECKED_PER_SIDE - len(chosen), random)
    rest = [endpoint for endpoint in near if endpoint not in chosen]
    return chosen + sample(rest, 2 * CHECKED_PER_SIDE - len(chosen), random)


def _sample(endpoints, count, random):
    return random.sample(endpoints, min(count, len(endpoints)))


def _sample_services(endpoints, count, random):
    """Return random endpoints, of as many services as possible."""
    shuffled = _sample(endpoints, len(endpoints), random)
    turns_by_service = {}
    turns = []
    for endpoint in shuffled:
        turn = turns_by_service.get(endpoint.service, 0)
        turns_by_service[endpoint.service] = turn + 1
        turns.append(turn)
    ranked = sorted(range(len(shuffled)), key=turns.__getitem__)
    return [shuffled[index] for index in ranked[:count]]
