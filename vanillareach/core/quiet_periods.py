"""Endpoints that asked this instance for quiet, and until when."""

import math

# An instance readmits an endpoint later than asked, by up to this share of the time and
# at most by this time, so that not all instances return to it at once.
MAX_EXTENSION_SHARE = 0.1
MAX_EXTENSION_MS = 500.0


class QuietPeriods:
    """Times for which endpoints want no request from this instance.

    They hold for one incarnation of an endpoint. A later answer can extend a period but
    never ends it.

    Parameters
    ----------
    extension : float
        Place of this instance in the order of readmission, from 0 to 1.
    """

    __slots__ = ("_extension", "_until_ms_by_key")

    def __init__(self, extension=0.0):
        self._extension = extension
        self._until_ms_by_key = {}

    def record(self, key, quiet_ms, now_ms):
        """Record that an endpoint asked for quiet from now on."""
        self._remove_ended(now_ms)
        extension_ms = min(MAX_EXTENSION_MS, MAX_EXTENSION_SHARE * quiet_ms)
        until_ms = now_ms + quiet_ms + self._extension * extension_ms
        if until_ms > self._until_ms_by_key.get(key, now_ms):
            self._until_ms_by_key[key] = until_ms

    def remaining_ms(self, key, now_ms):
        """Return the time until an endpoint may be asked again; 0 if it may be now."""
        return max(0.0, self._until_ms_by_key.get(key, -math.inf) - now_ms)

    def keys(self, now_ms):
        """Return the ids and incarnations of the endpoints that want quiet."""
        self._remove_ended(now_ms)
        return list(self._until_ms_by_key)

    def _remove_ended(self, now_ms):
        ended = [key for key, until in self._until_ms_by_key.items() if until <= now_ms]
        for key in ended:
            del self._until_ms_by_key[key]
