"""Ejection of endpoints by the outcomes of requests, never by a single probe."""

# Weight of a new outcome in the moving average.
OUTCOME_WEIGHT = 0.4
# Without new outcomes the failure share halves in this time.
FAILURE_HALF_LIFE_MS = 2_000.0
# After an endpoint was found reachable, a peer's report that it isn't is ignored for
# this time: that peer may be cut off.
VERIFIED_REACHABLE_TTL_MS = 3_000.0
# An endpoint with at least this failure share gets work only if no healthy one is left.
OUTLIER_FAILURE_SHARE = 0.75


class EndpointHealth:
    """Recent share of failed attempts, by endpoint incarnation.

    An endpoint that accepts no connection is ejected until a probe connects to it, so
    that no request has to fail on it. When a second endpoint of a failure domain is
    ejected, the network path to the domain is in doubt and the whole domain is ejected.

    Attributes
    ----------
    unreachable_by_key : dict of tuple to ListedEndpoint
        Endpoints ejected because they were unreachable.
    """

    __slots__ = (
        "_reachable_ms_by_key",
        "_share_by_key",
        "_updated_ms_by_key",
        "unreachable_by_key",
    )

    def __init__(self):
        self._reachable_ms_by_key = {}
        self._share_by_key = {}
        self._updated_ms_by_key = {}
        self.unreachable_by_key = {}

    def failure_share(self, key, now_ms):
        """Return the decayed share of failures, 0 to 1."""
        share = self._share_by_key.get(key)
        if share is None:
            return 0.0
        elapsed_ms = now_ms - self._updated_ms_by_key[key]
        decayed = share * 0.5 ** (elapsed_ms / FAILURE_HALF_LIFE_MS)
        if decayed < 0.01:
            del self._share_by_key[key]
            del self._updated_ms_by_key[key]
            return 0.0
        return decayed

    def record_outcome(self, key, has_failed, now_ms):
        """Record the outcome of an attempt."""
        share = self.failure_share(key, now_ms)
        if not has_failed and share == 0.0:
            return
        outcome = 1.0 if has_failed else 0.0
        self._put(key, share + OUTCOME_WEIGHT * (outcome - share), now_ms)

    def record_refusal(self, key, now_ms):
        """Record that an endpoint refuses work; its failure share becomes 1."""
        self._put(key, 1.0, now_ms)

    def record_unreachable(self, endpoint, listed):
        """Eject an endpoint to which no connection could be made.

        Parameters
        ----------
        endpoint : ListedEndpoint
        listed : iterable of ListedEndpoint
            All listed endpoints.
        """
        is_second = any(
            other.domain == endpoint.domain and other.key != endpoint.key
            for other in self.unreachable_by_key.values()
        )
        self.unreachable_by_key[endpoint.key] = endpoint
        if is_second:
            self.eject_domain(endpoint.domain, listed)

    def record_reported_unreachable(self, endpoint, now_ms):
        """Eject an endpoint that a peer could not reach, until a probe reaches it."""
        reachable_ms = self._reachable_ms_by_key.get(endpoint.key)
        if reachable_ms is None or now_ms - reachable_ms > VERIFIED_REACHABLE_TTL_MS:
            self.unreachable_by_key[endpoint.key] = endpoint

    def eject_domain(self, domain, listed):
        """Eject all endpoints of a domain because its network path is in doubt."""
        for endpoint in listed:
            if endpoint.domain == domain:
                self.unreachable_by_key[endpoint.key] = endpoint

    def record_reachable(self, key, now_ms=None):
        """Readmit an endpoint.

        Parameters
        ----------
        key : tuple
        now_ms : float or None
            When a connection to it was made; None if it is no longer listed.
        """
        self.unreachable_by_key.pop(key, None)
        if now_ms is None:
            self._reachable_ms_by_key.pop(key, None)
        else:
            self._reachable_ms_by_key[key] = now_ms

    def is_outlier(self, key, now_ms):
        """Return whether an endpoint fails too often to be used beside healthy ones."""
        return self.failure_share(key, now_ms) >= OUTLIER_FAILURE_SHARE

    def prefer_healthy(self, endpoints, now_ms):
        """Return the healthy endpoints; without any the reachable ones, or else all."""
        reachable = [
            endpoint
            for endpoint in endpoints
            if endpoint.key not in self.unreachable_by_key
        ]
        healthy = [
            endpoint
            for endpoint in reachable
            if not self.is_outlier(endpoint.key, now_ms)
        ]
        return healthy or reachable or endpoints

    def _put(self, key, share, now_ms):
        self._share_by_key[key] = share
        self._updated_ms_by_key[key] = now_ms
