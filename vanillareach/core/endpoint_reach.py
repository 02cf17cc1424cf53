"""Whether this instance has lost its links to the endpoints.

An endpoint that can't be reached may be down. If no connection can be made to several
endpoints in a row, the instance's own links are the likely cause.
"""

# Endpoints in a row to which no connection was made, after which links count as lost.
MIN_UNREACHED_ENDPOINTS = 3
# A failed connection counts for this time.
FAILURE_TTL_MS = 2_000.0


class EndpointReach:
    """Outcomes of this instance's connections to endpoints.

    Attributes
    ----------
    is_lost : bool
        Whether the links to the endpoints count as lost.
    """

    __slots__ = ("_failed_ms_by_id", "is_lost")

    def __init__(self):
        self._failed_ms_by_id = {}
        self.is_lost = False

    def record_connected(self):
        """Record a connection to any endpoint; return whether links were lost."""
        was_lost, self.is_lost = self.is_lost, False
        self._failed_ms_by_id.clear()
        return was_lost

    def record_failed(self, endpoint_id, listed_count, now_ms):
        """Record that no connection was made to an endpoint.

        Parameters
        ----------
        endpoint_id : str
        listed_count : int
            Number of listed endpoints, which may be fewer than are needed.
        now_ms : float

        Returns
        -------
        bool
            Whether the links count as lost from now on.
        """
        self._failed_ms_by_id[endpoint_id] = now_ms
        self._failed_ms_by_id = {
            name: failed_ms
            for name, failed_ms in self._failed_ms_by_id.items()
            if now_ms - failed_ms <= FAILURE_TTL_MS
        }
        needed = max(1, min(MIN_UNREACHED_ENDPOINTS, listed_count))
        if self.is_lost or len(self._failed_ms_by_id) < needed:
            return False
        self.is_lost = True
        return True
