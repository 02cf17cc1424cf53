"""Request limits of endpoints, kept by all instances together.

A limit has two sources: the endpoint names one, or it is cold (see `cold_engines`),
which ends by itself. The lower one counts. Each instance keeps a token bucket for each
endpoint with a limit, and takes from it the requests of all instances as it hears of
them. One instance, the coordinator of the endpoint, grants permits, so that instances
which see the same token don't all use it. When another instance becomes the
coordinator, its bucket is as empty as that of the one before. An instance that hears
only a part of the fleet grants only that part of the limit, so that two sides of a
partition don't use it twice.
"""

import math
from collections import deque

from vanillareach.core.messages import RequestLimit

# A bucket holds one request and those of this time.
BURST_S = 0.5
# The bucket of a cold endpoint holds less, and each part of a fleet that is cut off has
# its share of that: at most 1.2 times the limit and one request for each part in a
# second. 1.5 times and 5 are tolerated, which leaves 4 requests and 0.3 times the limit
# for those sent before the limit was known and those that were delayed on their way.
COLD_BURST_S = 0.2
# The limit of an endpoint whose domain returns rises from this share to the whole.
RISE_START_SHARE = 0.3
RISE_MS = 3_000.0
# Requests that came shortly before the limit was named count against it, as far as they
# exceed those of this time and a few more.
RECENT_WINDOW_MS = 1_000.0
RECENT_ALLOWANCE_S = 3.0
RECENT_ALLOWANCE_REQUESTS = 3.0
# A bucket is overdrawn by requests that were sent before their instance heard of the
# limit. It is in debt by one request and those of this time at most.
MAX_DEBT_S = 2.0
# Rate at which an endpoint that takes nothing is asked whether it takes requests again.
MIN_RATE_PER_S = 0.1
# Time in which the dispatch of a permitted request is heard of.
PERMIT_TTL_MS = 2_000.0
# Endpoints whose limits are remembered, also those that name none any more.
MAX_LIMITS = 1_024
MAX_LIMITS_IN_BEACON = 128


class TokenBucket:
    """Requests that an endpoint still takes.

    Parameters
    ----------
    per_s : float
        Limit that the endpoint named.
    level : float
        Requests left, negative if there were too many.
    now_ms : float
    is_cold : bool
        Whether the bucket is that of a cold endpoint, which holds less.

    Attributes
    ----------
    created_ms : float
    """

    __slots__ = ("_is_cold", "_level", "_per_s", "_updated_ms", "created_ms")

    def __init__(self, per_s, level, now_ms, is_cold=False):
        self._per_s = per_s
        self._is_cold = is_cold
        self._level = level
        self._updated_ms = now_ms
        self.created_ms = now_ms

    def set_rate(self, per_s, is_cold=False):
        """Change the limit; what is left stays."""
        self._per_s = per_s
        self._is_cold = is_cold

    def level(self, share, now_ms):
        """Return the requests left, if a share of the limit may be used."""
        rate = max(self._per_s, MIN_RATE_PER_S) * share
        burst_s = COLD_BURST_S * share if self._is_cold else BURST_S
        capacity = 1.0 + burst_s * self._per_s
        gained = rate * (now_ms - self._updated_ms) / 1000
        self._level = min(capacity, self._level + gained)
        self._updated_ms = now_ms
        return self._level

    def take(self, share, now_ms):
        """Take one request, also if none is left."""
        floor = -(1.0 + MAX_DEBT_S * self._per_s)
        self._level = max(floor, self.level(share, now_ms) - 1.0)

    def wait_ms(self, share, now_ms):
        """Return the time until a request is left; 0 if one is."""
        missing = 1.0 - self.level(share, now_ms)
        rate = max(self._per_s, MIN_RATE_PER_S) * share
        return max(0.0, 1000 * missing / rate)


class ColdLimit:
    """Limit of an endpoint while it is cold.

    Parameters
    ----------
    per_s : float
    until_ms : float
        When the endpoint isn't cold any more.
    rises_from_ms : float or None
        When its domain returned, from when on the limit rises to `per_s`.
    """

    __slots__ = ("_per_s", "_rises_from_ms", "until_ms")

    def __init__(self, per_s, until_ms, rises_from_ms=None):
        self._per_s = per_s
        self._rises_from_ms = rises_from_ms
        self.until_ms = until_ms

    def per_s(self, now_ms):
        """Return the limit in requests a second."""
        if self._rises_from_ms is None:
            return self._per_s
        risen = min(1.0, max(0.0, (now_ms - self._rises_from_ms) / RISE_MS))
        return self._per_s * (RISE_START_SHARE + (1.0 - RISE_START_SHARE) * risen)


class RecentDispatches:
    """Times of the requests sent to each endpoint within `RECENT_WINDOW_MS`."""

    __slots__ = ("_times_by_id",)

    def __init__(self):
        self._times_by_id = {}

    def add(self, endpoint_id, sent_ms):
        """Record that a request was sent."""
        times = self._times_by_id.setdefault(endpoint_id, deque())
        times.append(sent_ms)
        self._remove_old(times, sent_ms)

    def count(self, endpoint_id, now_ms):
        """Return the number of requests sent to an endpoint."""
        times = self._times_by_id.get(endpoint_id, ())
        self._remove_old(times, now_ms)
        return len(times)

    def keep_only(self, endpoint_ids):
        """Forget the endpoints that are not among `endpoint_ids`."""
        for endpoint_id in self._times_by_id.keys() - endpoint_ids:
            del self._times_by_id[endpoint_id]

    def _remove_old(self, times, now_ms):
        while times and now_ms - times[0] > RECENT_WINDOW_MS:
            times.popleft()


class EndpointLimits:
    """Limits in force as this instance knows them, and what is left of them.

    Attributes
    ----------
    share : float
        Part of the limits that may be used here: the part of the fleet that this
        instance hears, itself included.
    """

    __slots__ = (
        "_buckets_by_key",
        "_closed_until_ms_by_key",
        "_cold_by_key",
        "_learned_ms_by_key",
        "_limits_by_key",
        "_permits_by_key",
        "_recent",
        "share",
    )

    def __init__(self):
        self.share = 1.0
        self._limits_by_key = {}
        self._cold_by_key = {}
        self._learned_ms_by_key = {}
        self._buckets_by_key = {}
        self._closed_until_ms_by_key = {}
        # Times of the permits by instance, whose dispatch wasn't heard of yet.
        self._permits_by_key = {}
        self._recent = RecentDispatches()

    def record_answer(self, key, per_s, sent_ms, now_ms):
        """Record the limit that an answer names, or that it names none.

        A higher limit, or none, counts only if the request was sent after the limit in
        force was known: answers may overtake each other.

        Parameters
        ----------
        key : tuple of (str, int)
            Id and incarnation of the endpoint.
        per_s : float or None
        sent_ms : float
            When the request was sent.
        now_ms : float

        Returns
        -------
        RequestLimit or None
            None unless the limit has changed.
        """
        known = self._limits_by_key.get(key)
        before = math.inf if known is None else known.effective_per_s
        named = math.inf if per_s is None else per_s
        if named == before:
            return None
        if named > before and sent_ms <= self._learned_ms_by_key[key]:
            return None
        version = 1 if known is None else known.version + 1
        limit = RequestLimit(*key, version, per_s)
        self._put(limit, now_ms)
        return limit

    def merge(self, limit, now_ms):
        """Take over a limit that a peer tells, if it is newer; return whether it is."""
        known = self._limits_by_key.get(limit.key)
        if known is not None and known.order >= limit.order:
            return False
        self._put(limit, now_ms)
        return True

    def set_cold(self, key, limit, now_ms):
        """Set the `ColdLimit` of an endpoint, or None; return whether it is news."""
        was_cold = key in self._cold_by_key
        if limit is not None:
            self._cold_by_key[key] = limit
        elif self._cold_by_key.pop(key, None) is None:
            return False
        self._update_bucket(key, now_ms)
        return not was_cold and key in self._cold_by_key

    def cold_remaining_ms(self, key, now_ms):
        """Return for how long an endpoint is cold; 0 if it isn't."""
        limit = self._cold_by_key.get(key)
        return 0.0 if limit is None else max(0.0, limit.until_ms - now_ms)

    def cold_keys(self, now_ms):
        """Return the keys of the cold endpoints."""
        limits = self._cold_by_key.items()
        return [key for key, limit in limits if limit.until_ms > now_ms]

    def limit(self, key):
        """Return the `RequestLimit` of an endpoint, or None if none is known."""
        return self._limits_by_key.get(key)

    def limit_per_s(self, key):
        """Return the limit that an endpoint names, in requests a second, or None."""
        limit = self._limits_by_key.get(key)
        return None if limit is None else limit.per_s

    def is_limited(self, key):
        """Return whether an endpoint has a limit: it names one or is cold."""
        return key in self._buckets_by_key

    def wait_ms(self, key, now_ms):
        """Return the time until an endpoint takes a request; 0 if it does now."""
        bucket = self._bucket(key, now_ms)
        if bucket is None:
            return 0.0
        closed_ms = self._closed_until_ms_by_key.get(key, now_ms) - now_ms
        return max(0.0, closed_ms, bucket.wait_ms(self.share, now_ms))

    def closed_keys(self, now_ms):
        """Return the keys of the endpoints that take no request now."""
        keys = list(self._buckets_by_key)
        return [key for key in keys if self.wait_ms(key, now_ms) > 0]

    def limited_keys(self):
        """Return the keys of the endpoints that have a limit."""
        return list(self._buckets_by_key)

    def close(self, key, duration_ms, now_ms):
        """Send nothing to an endpoint for a time, since the coordinator denies it."""
        if key in self._buckets_by_key:
            self._closed_until_ms_by_key[key] = now_ms + duration_ms

    def grant(self, key, instance, now_ms):
        """Return whether an instance may send one request, which counts from now on."""
        bucket = self._bucket(key, now_ms)
        if bucket is None:
            return True
        if bucket.level(self.share, now_ms) < 1.0:
            return False
        bucket.take(self.share, now_ms)
        permits = self._permits_by_key.setdefault(key, {})
        permits.setdefault(instance, deque()).append(now_ms)
        return True

    def count_dispatch(self, key, instance, sent_ms, now_ms):
        """Count a request that an instance has sent, unless it was granted here.

        One that was sent before the limit was known counts as a recent one only.
        """
        self._recent.add(key[0], sent_ms)
        bucket = self._bucket(key, now_ms)
        if bucket is None or sent_ms < bucket.created_ms:
            return
        if not self._use_permit(key, instance, now_ms):
            bucket.take(self.share, now_ms)

    def count_order(self, key, now_ms):
        """Count a request about memory, which needs no permit."""
        bucket = self._bucket(key, now_ms)
        if bucket is not None:
            bucket.take(self.share, now_ms)

    def news(self, listed_by_id):
        """Return the `RequestLimit` records of listed endpoints, for peers."""
        self._recent.keep_only(listed_by_id.keys())
        records = [
            limit
            for limit in self._limits_by_key.values()
            if limit.endpoint in listed_by_id
            and listed_by_id[limit.endpoint].incarnation == limit.incarnation
        ]
        return tuple(records[-MAX_LIMITS_IN_BEACON:])

    def _use_permit(self, key, instance, now_ms):
        permits = self._permits_by_key.get(key, {}).get(instance, ())
        while permits and now_ms - permits[0] > PERMIT_TTL_MS:
            permits.popleft()
        if not permits:
            return False
        permits.popleft()
        return True

    def _put(self, limit, now_ms):
        key = limit.key
        # The latest ones come last.
        self._limits_by_key.pop(key, None)
        self._limits_by_key[key] = limit
        self._learned_ms_by_key[key] = now_ms
        self._update_bucket(key, now_ms)
        while len(self._limits_by_key) > MAX_LIMITS:
            oldest = next(iter(self._limits_by_key))
            del self._limits_by_key[oldest], self._learned_ms_by_key[oldest]
            self._update_bucket(oldest, now_ms)

    def _bucket(self, key, now_ms):
        """Return the bucket of an endpoint at its present limit, or None."""
        if key in self._cold_by_key:
            self._update_bucket(key, now_ms)
        return self._buckets_by_key.get(key)

    def _update_bucket(self, key, now_ms):
        """Let the bucket of an endpoint have the lower one of its limits."""
        cold, named_per_s = self._cold_by_key.get(key), self.limit_per_s(key)
        if cold is not None and cold.until_ms <= now_ms:
            del self._cold_by_key[key]
            cold = None
        if cold is None and named_per_s is None:
            self._remove_bucket(key)
            return
        is_cold = cold is not None
        per_s = min(
            math.inf if named_per_s is None else named_per_s,
            cold.per_s(now_ms) if is_cold else math.inf,
        )
        bucket = self._buckets_by_key.get(key)
        if bucket is None:
            level = self._first_level(key, per_s, is_cold, now_ms)
            self._buckets_by_key[key] = TokenBucket(per_s, level, now_ms, is_cold)
        else:
            bucket.level(self.share, now_ms)
            bucket.set_rate(per_s, is_cold)

    def _first_level(self, key, per_s, is_cold, now_ms):
        allowance = RECENT_ALLOWANCE_S * per_s + RECENT_ALLOWANCE_REQUESTS
        if is_cold:
            # What an endpoint gets in a second counts from the moment it is cold.
            allowance = per_s
        surplus = self._recent.count(key[0], now_ms) - allowance
        return -min(max(0.0, surplus), 1.0 + MAX_DEBT_S * per_s)

    def _remove_bucket(self, key):
        self._buckets_by_key.pop(key, None)
        self._closed_until_ms_by_key.pop(key, None)
        self._permits_by_key.pop(key, None)
