"""Health of endpoints from the outcomes of requests, never from one probe."""

# An outcome weighs this much against all earlier ones.
OUTCOME_WEIGHT = 0.4
# A failure counts half after this time.
FAILURE_HALF_LIFE_MS = 2_000.0
# From this share on, an endpoint gets work only if no other is left.
OUTLIER_FAILURE_SHARE = 0.75


class EndpointHealth:
    """Recent share of failed attempts, by endpoint incarnation.

    An endpoint that takes no connection is set aside until a connection to it is made,
    so that no request has to find out. When a second one of a failure domain is set
    aside, the way to the whole domain is in doubt, and all of it is.

    Attributes
    ----------
    unreachable_by_key : dict of tuple to ListedEndpoint
        Endpoints set aside.
    """

    __slots__ = ("_share_by_key", "_updated_ms_by_key", "unreachable_by_key")

    def __init__(self):
        self._share_by_key = {}
        self._updated_ms_by_key = {}
        self.unreachable_by_key = {}

    def failure_share(self, key, now_ms):
        """Return the faded share of failures, 0 to 1."""
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
        """Record a sign that an endpoint takes no work."""
        self._put(key, 1.0, now_ms)

    def record_unreachable(self, endpoint, listed):
        """Set aside an endpoint to which no connection could be made.

        Parameters
        ----------
        endpoint : ListedEndpoint
        listed : iterable of ListedEndpoint
            All that are listed.
        """
        is_second = any(
            other.domain == endpoint.domain and other.key != endpoint.key
            for other in self.unreachable_by_key.values()
        )
        self.unreachable_by_key[endpoint.key] = endpoint
        if is_second:
            self.eject_domain(endpoint.domain, listed)

    def eject_domain(self, domain, listed):
        """Set aside all endpoints of a domain, when the way there is in doubt."""
        for endpoint in listed:
            if endpoint.domain == domain:
                self.unreachable_by_key[endpoint.key] = endpoint

    def record_reachable(self, key):
        """Take an endpoint back after a connection was made."""
        self.unreachable_by_key.pop(key, None)

    def is_outlier(self, key, now_ms):
        """Return whether an endpoint fails too often to get work beside others."""
        return self.failure_share(key, now_ms) >= OUTLIER_FAILURE_SHARE

    def prefer_healthy(self, endpoints, now_ms):
        """Return the endpoints that aren't shunned, or all if none is left."""
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
