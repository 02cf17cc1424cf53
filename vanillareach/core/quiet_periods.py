"""Endpoints that asked this instance for quiet, and until when."""

# An instance readmits an endpoint later than asked, by up to this share of the time and
# at most by this time, so that not all instances return to it at once.
MAX_EXTENSION_SHARE = 0.1
MAX_EXTENSION_MS = 500.0
# A new incarnation is listed within this time of its first answer.
LISTING_LAG_MS = 3_000.0


class QuietPeriod:
    """Time for which an endpoint wants no request.

    Attributes
    ----------
    asked_ms : float
        When it asked last.
    until_ms : float
    """

    __slots__ = ("asked_ms", "until_ms")

    def __init__(self, asked_ms, until_ms):
        self.asked_ms = asked_ms
        self.until_ms = until_ms


class QuietPeriods:
    """Times for which endpoints want no request from this instance.

    They hold for one incarnation of an endpoint, and for the next one if it is listed
    soon after: an answer may have been that one's. A later answer can extend a period
    but never ends it.

    Parameters
    ----------
    extension : float
        Place of this instance in the order of readmission, from 0 to 1.
    """

    __slots__ = ("_extension", "_periods_by_key")

    def __init__(self, extension=0.0):
        self._extension = extension
        self._periods_by_key = {}

    def record(self, key, quiet_ms, now_ms):
        """Record that an endpoint asked for quiet from now on."""
        self._remove_ended(now_ms)
        extension_ms = min(MAX_EXTENSION_MS, MAX_EXTENSION_SHARE * quiet_ms)
        until_ms = now_ms + quiet_ms + self._extension * extension_ms
        self._extend(key, now_ms, until_ms)

    def apply_list(self, endpoints_by_id, now_ms):
        """Let incarnations that are listed now keep what their ids have just asked for.

        Parameters
        ----------
        endpoints_by_id : dict of str to ListedEndpoint
        now_ms : float
        """
        for (name, incarnation), period in list(self._periods_by_key.items()):
            endpoint = endpoints_by_id.get(name)
            is_newer = endpoint is not None and endpoint.incarnation > incarnation
            if is_newer and now_ms - period.asked_ms <= LISTING_LAG_MS:
                self._extend(endpoint.key, period.asked_ms, period.until_ms)

    def _extend(self, key, asked_ms, until_ms):
        known = self._periods_by_key.get(key)
        if known is not None:
            asked_ms = max(asked_ms, known.asked_ms)
            until_ms = max(until_ms, known.until_ms)
        self._periods_by_key[key] = QuietPeriod(asked_ms, until_ms)

    def remaining_ms(self, key, now_ms):
        """Return the time until an endpoint may be asked again; 0 if it may be now."""
        period = self._periods_by_key.get(key)
        return 0.0 if period is None else max(0.0, period.until_ms - now_ms)

    def keys(self, now_ms):
        """Return the ids and incarnations of the endpoints that want quiet."""
        self._remove_ended(now_ms)
        return list(self._periods_by_key)

    def _remove_ended(self, now_ms):
        ended = [
            key
            for key, period in self._periods_by_key.items()
            if period.until_ms <= now_ms
        ]
        for key in ended:
            del self._periods_by_key[key]
