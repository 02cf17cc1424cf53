"""Until when each incarnation of an endpoint is cold, and takes few requests.

An endpoint is cold for some time after its start, and may become cold again. An
instance learns of it from the endpoint's entry in the store, from a header of its
answers, from an incarnation that wasn't listed before, from the return of its failure
domain, and from peers. The source that gives the longest time counts. A cold endpoint
has a limit of requests, which `endpoint_limits` keeps.
"""

import math
from dataclasses import replace

from vanillareach.core.endpoint_limits import ColdLimit

# An endpoint counts as cold for a little longer than it says: news of peers take some
# time, and the remaining time is that of another clock.
MARGIN_MS = 500.0
# A peer's news that make the time longer by less than this are none. Without it two
# instances that tell each other would extend the time by the way of each message.
TOLERANCE_MS = 300.0
# A longer time is taken for a mistake.
MAX_COLD_MS = 3_600_000.0
MAX_RECORDS_IN_BEACON = 256
# Incarnations that are remembered; beyond it those are forgotten first that were listed
# first and are not listed any more.
MAX_INCARNATIONS = 4_096
# An engine that has just started is slower by this factor for this time, until the
# gaps between its events tell; see `engine_pace`.
STARTED_PACE = 2.0
STARTED_SLOW_MS = 4_000.0


class ColdState:
    """What is known of one incarnation.

    Attributes
    ----------
    until_ms : float
        Until when it is cold as its entry, its answers and peers say.
    is_own_news : bool
        Whether `until_ms` is from an answer that this instance got.
    listed_ms : float or None
        Cold time of the entry that was read last.
    started_ms : float or None
        When it was listed first; None if it had been listed before this instance began.
    returned_ms : float or None
        When its failure domain was last used again.
    is_unknown : bool
        Whether `started_ms` only stands for an entry that doesn't say.
    """

    __slots__ = (
        "is_own_news",
        "is_unknown",
        "listed_ms",
        "returned_ms",
        "started_ms",
        "until_ms",
    )

    def __init__(self):
        self.until_ms = -math.inf
        self.is_own_news = False
        self.listed_ms = None
        self.started_ms = None
        self.returned_ms = None
        self.is_unknown = False

    def extend(self, until_ms, is_own_news):
        """Let the incarnation be cold until a time, unless it is so for longer."""
        if until_ms > self.until_ms:
            self.until_ms, self.is_own_news = until_ms, is_own_news


class ColdEngines:
    """Cold endpoints as this instance knows them."""

    __slots__ = ("_services_by_name", "_states_by_key")

    def __init__(self):
        self._services_by_name = {}
        self._states_by_key = {}

    def set_services(self, services_by_name):
        """Take over the services of a configuration.

        Parameters
        ----------
        services_by_name : dict of str to RoutedService
        """
        self._services_by_name = {
            name: service
            for name, service in services_by_name.items()
            if service.cold_per_s > 0
        }

    def record_list(self, endpoints, read_ms, now_ms, is_first):
        """Record the entries of a list.

        Parameters
        ----------
        endpoints : list of ListedEndpoint
        read_ms : float
            When the store listed them; their remaining times run from then on.
        now_ms : float
        is_first : bool
            Whether it is the first list that this instance has read.
        """
        for endpoint in endpoints:
            remaining_ms = valid_ms(endpoint.cold_ms)
            state = self._states_by_key.get(endpoint.key)
            if state is None:
                state = self._states_by_key[endpoint.key] = ColdState()
                if not is_first or remaining_ms is None:
                    state.started_ms, state.is_unknown = now_ms, is_first
            elif state.is_unknown and remaining_ms is not None:
                state.started_ms, state.is_unknown = None, False
            # An unchanged value is that of an entry which wasn't written since.
            if remaining_ms and remaining_ms != state.listed_ms:
                state.extend(read_ms + remaining_ms, False)
            state.listed_ms = remaining_ms
        self._limit_states(endpoints)

    def record_answer(self, endpoint, remaining_ms, now_ms):
        """Record what an endpoint says in an answer; return whether it is news."""
        state = self._states_by_key.get(endpoint.key)
        remaining_ms = valid_ms(remaining_ms)
        if state is None or not remaining_ms:
            return False
        is_news = now_ms + remaining_ms > self._until_ms(endpoint, state) + TOLERANCE_MS
        state.extend(now_ms + remaining_ms, True)
        return is_news

    def record_reported(self, endpoint, remaining_ms, now_ms):
        """Record what a peer tells of an endpoint; return whether it is news."""
        state = self._states_by_key.get(endpoint.key)
        remaining_ms = valid_ms(remaining_ms)
        if state is None or not remaining_ms:
            return False
        until_ms = now_ms + remaining_ms
        if until_ms <= self._until_ms(endpoint, state) + TOLERANCE_MS:
            return False
        state.extend(until_ms, False)
        return True

    def record_returned(self, endpoints, now_ms):
        """Record that the failure domain of endpoints is used again."""
        for endpoint in endpoints:
            state = self._states_by_key.get(endpoint.key)
            if state is not None:
                state.returned_ms = now_ms

    def limit(self, endpoint, now_ms):
        """Return the `ColdLimit` of an endpoint, or None if it isn't cold."""
        service = self._services_by_name.get(endpoint.service)
        state = self._states_by_key.get(endpoint.key)
        if service is None or state is None:
            return None
        until_ms = self._until_ms(endpoint, state) + MARGIN_MS
        if until_ms <= now_ms:
            return None
        return ColdLimit(service.cold_per_s, until_ms, state.returned_ms)

    def expected_pace(self, endpoint, now_ms):
        """Return the slowdown factor that is expected of an endpoint's start."""
        state = self._states_by_key.get(endpoint.key)
        if endpoint.service not in self._services_by_name or state is None:
            return 1.0
        if state.started_ms is None or state.is_unknown:
            return 1.0
        is_slow = now_ms - state.started_ms < STARTED_SLOW_MS
        return STARTED_PACE if is_slow else 1.0

    def news(self, endpoints, now_ms, is_own_only):
        """Return what peers are told: id, incarnation and remaining ms of each.

        They see starts by themselves, since all instances have the list.

        Parameters
        ----------
        endpoints : iterable of ListedEndpoint
        now_ms : float
        is_own_only : bool
            Whether only that is told which answers to this instance said.
        """
        records = []
        for endpoint in endpoints:
            state = self._states_by_key.get(endpoint.key)
            if endpoint.service not in self._services_by_name or state is None:
                continue
            if state.until_ms > now_ms and (state.is_own_news or not is_own_only):
                records.append((*endpoint.key, math.ceil(state.until_ms - now_ms)))
        return tuple(records[-MAX_RECORDS_IN_BEACON:])

    def as_listed(self, endpoints, age_ms, now_ms):
        """Return entries for a peer, with the times that are known here.

        Parameters
        ----------
        endpoints : iterable of ListedEndpoint
        age_ms : float
            Age of the list, from which the peer reckons.
        now_ms : float
        """
        return tuple(self._as_listed(e, age_ms, now_ms) for e in endpoints)

    def _as_listed(self, endpoint, age_ms, now_ms):
        state = self._states_by_key.get(endpoint.key)
        if endpoint.service not in self._services_by_name or state is None:
            return endpoint
        remaining_ms = max(0.0, self._until_ms(endpoint, state) - now_ms)
        if remaining_ms:
            remaining_ms += age_ms
        elif endpoint.cold_ms is None:
            return endpoint
        return replace(endpoint, cold_ms=remaining_ms)

    def _until_ms(self, endpoint, state):
        """Return until when an endpoint is cold by all sources."""
        service = self._services_by_name.get(endpoint.service)
        start_ms = 0.0 if service is None else service.cold_start_ms
        since_ms = (s for s in (state.started_ms, state.returned_ms) if s is not None)
        return max(state.until_ms, *(s + start_ms for s in since_ms), -math.inf)

    def _limit_states(self, endpoints):
        """Forget the earliest incarnations that are not listed any more."""
        excess = len(self._states_by_key) - MAX_INCARNATIONS
        if excess <= 0:
            return
        listed = {endpoint.key for endpoint in endpoints}
        unlisted = [key for key in self._states_by_key if key not in listed]
        for key in unlisted[:excess]:
            del self._states_by_key[key]


def valid_ms(remaining_ms):
    """Return a cold time, at most `MAX_COLD_MS`; None if it is absent or invalid."""
    if remaining_ms is None or not remaining_ms >= 0:
        return None
    return min(remaining_ms, MAX_COLD_MS)
