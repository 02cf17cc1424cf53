"""Endpoints known to an instance, with their load and health."""

import msgspec

from vanillareach.core.breakers import Breaker
from vanillareach.core.hashing import hash64
from vanillareach.core.prefixes import PrefixCacheEstimate
from vanillareach.core.work import MEDIUM_LIMIT_TOKENS as URGENT_LIMIT_TOKENS

# Prefill rate assumed of an engine until one is measured.
DEFAULT_PREFILL_TOKENS_PER_MS = 20.0
# Weight of a new sample in the moving average of the prefill rate.
PREFILL_RATE_WEIGHT = 0.1
# The prefill rate is estimated only from prompts of at least this many tokens.
MIN_RATE_SAMPLE_TOKENS = 4096
# Weight of a new sample in the moving averages of the time shares of prefill.
BUSY_SHARE_WEIGHT = 0.3
# Minimum share of its time that an engine is assumed to prefill. It bounds the
# estimated lifetime of a cached block.
MIN_PREFILL_BUSY_SHARE = 0.02
# The prefill rate is estimated only from prompts with at most this many queued tokens
# ahead of them per token of their own.
MAX_RATE_SAMPLE_QUEUE_RATIO = 0.05
# Multiplicative hash (64-bit golden ratio) that ranks engines for a prefix.
RANK_MULTIPLIER = 0x9E3779B97F4A7C15
RANK_MASK = (1 << 64) - 1


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Load of one engine as reported by the engine.

    Attributes
    ----------
    prefill_waiting_tokens : int
        Prompt tokens whose prefill is pending.
    running, waiting : int
        Requests with KV-cache memory allocated, and requests waiting for it.
    kv_used_tokens, kv_capacity_tokens : int
    leaving : bool
        Whether the engine is draining and accepts no new work.
    prefill_urgent_tokens : int
        Part of the pending tokens that is computed before long prompts.
    urgent_prefill_ms, prefill_ms : float
        Counters of the prefill time of such prompts, and of all, since the start.
    """

    prefill_waiting_tokens: int = 0
    running: int = 0
    waiting: int = 0
    kv_used_tokens: int = 0
    kv_capacity_tokens: int = 0
    leaving: bool = False
    prefill_urgent_tokens: int = 0
    urgent_prefill_ms: float = 0.0
    prefill_ms: float = 0.0


class Dispatch:
    """A request of this instance that is in flight at an engine.

    It stays within the entry, unlike an `InFlightRequest`, which gateways exchange.

    Attributes
    ----------
    prefill_tokens, kv_tokens : int
        Prompt tokens to compute, and KV-cache tokens that the request occupies.
    queued_tokens : int
        Prompt tokens queued ahead of it when it was sent.
    sent_ms : float
    first_token_ms : float or None
    """

    __slots__ = (
        "first_token_ms",
        "kv_tokens",
        "prefill_tokens",
        "queued_tokens",
        "sent_ms",
    )

    def __init__(self, prefill_tokens, kv_tokens, sent_ms, queued_tokens=0):
        self.queued_tokens = queued_tokens
        self.prefill_tokens = prefill_tokens
        self.kv_tokens = kv_tokens
        self.sent_ms = sent_ms
        self.first_token_ms = None


class EndpointState:
    """State of one endpoint as known to one instance.

    Attributes
    ----------
    spec : EndpointSpec
    leaving : bool
        Whether the endpoint is listed or marked as leaving and gets no new work.
    isolated_by : str
        Attempt for which the endpoint is reserved; empty if it never was.
    isolated_until_ms : float
        When the reservation ends.
    report : LoadReport
    reported_ms : float
        When the engine's load was read.
    prefill_tokens_per_ms : float
        Estimated prefill rate.
    dispatches_by_id : dict of str to Dispatch
        Requests of this instance in flight there, by attempt.
    cached_prefixes : PrefixCacheEstimate
    breaker : Breaker
    home_hash : int
        Hash of the endpoint's name, for `home_rank`.
    urgent_prefill_share, prefill_busy_share : float
        Shares of the engine's time spent on the prefill of urgent prompts, and of all,
        as moving averages from 0 to 1.
    """

    __slots__ = (
        "breaker",
        "cached_prefixes",
        "dispatches_by_id",
        "home_hash",
        "isolated_by",
        "isolated_until_ms",
        "leaving",
        "prefill_busy_share",
        "prefill_tokens_per_ms",
        "report",
        "reported_ms",
        "spec",
        "urgent_prefill_share",
    )

    def __init__(self, spec, now_ms):
        self.spec = spec
        self.leaving = spec.leaving
        self.isolated_by = ""
        self.isolated_until_ms = 0.0
        self.report = LoadReport(kv_capacity_tokens=spec.kv_capacity_tokens)
        self.reported_ms = now_ms
        self.prefill_tokens_per_ms = DEFAULT_PREFILL_TOKENS_PER_MS
        self.dispatches_by_id = {}
        self.cached_prefixes = PrefixCacheEstimate()
        self.breaker = Breaker()
        self.home_hash = hash64(spec.name)
        self.urgent_prefill_share = 0.0
        self.prefill_busy_share = 0.0

    def cache_lifetime_ms(self):
        """Return how long the engine caches a block that is not used again.

        The block is evicted once the engine has computed as many tokens as fit in its
        cache.
        """
        share = max(MIN_PREFILL_BUSY_SHARE, self.prefill_busy_share)
        return self.report.kv_capacity_tokens / (self.prefill_tokens_per_ms * share)

    def is_isolated(self, now_ms):
        """Return whether the endpoint is reserved for one suspect request."""
        return now_ms < self.isolated_until_ms

    def isolate(self, attempt, until_ms, now_ms):
        """Reserve the endpoint for `attempt` until a time.

        Of two attempts that claim the endpoint at once, the one with the lower name
        gets it, in whatever order an instance learns of the claims. Returns whether
        anything changed.
        """
        if self.isolated_by == attempt:
            has_changed = until_ms < self.isolated_until_ms
        else:
            is_free = not self.is_isolated(now_ms)
            has_changed = until_ms > now_ms and (is_free or attempt < self.isolated_by)
        if not has_changed:
            return False
        self.isolated_by = attempt
        self.isolated_until_ms = until_ms
        return True

    def home_rank(self, prefix):
        """Return this endpoint's rank as home of a prefix hash; the highest wins."""
        return ((self.home_hash ^ prefix) * RANK_MULTIPLIER) & RANK_MASK

    def apply_report(self, report, read_ms):
        """Store a load report unless a newer one is stored; return whether it was."""
        if read_ms <= self.reported_ms:
            return False
        elapsed_ms = read_ms - self.reported_ms
        before = self.report
        self.urgent_prefill_share = _smoothed_share(
            self.urgent_prefill_share,
            report.urgent_prefill_ms - before.urgent_prefill_ms,
            elapsed_ms,
        )
        self.prefill_busy_share = _smoothed_share(
            self.prefill_busy_share, report.prefill_ms - before.prefill_ms, elapsed_ms
        )
        self.report = report
        self.reported_ms = read_ms
        return True

    def queued_prefill_tokens(self, is_urgent=False):
        """Return the prompt tokens computed before those of a new request.

        The report covers the requests sent before it was read; this instance's own
        requests sent since then are added.

        Parameters
        ----------
        is_urgent : bool
            Whether the new request is computed before long prompts, so that only other
            urgent requests are ahead of it.
        """
        unreported = sum(
            dispatch.prefill_tokens
            for dispatch in self.dispatches_by_id.values()
            if dispatch.first_token_ms is None
            and dispatch.sent_ms >= self.reported_ms
            and (not is_urgent or dispatch.prefill_tokens <= URGENT_LIMIT_TOKENS)
        )
        reported = self.report
        if is_urgent:
            return reported.prefill_urgent_tokens + unreported
        return reported.prefill_waiting_tokens + unreported

    def outstanding_requests(self):
        """Return the estimated number of running and waiting requests."""
        unreported = sum(
            1
            for dispatch in self.dispatches_by_id.values()
            if dispatch.sent_ms >= self.reported_ms
        )
        return self.report.running + self.report.waiting + unreported

    def update_prefill_rate(self, dispatch, duration_ms):
        """Update the estimated prefill rate with one measured prefill.

        Small prefills, and those queued behind other work, consist mostly of waiting
        and would make the engine look slow; they are ignored.
        """
        if duration_ms <= 0 or dispatch.prefill_tokens < MIN_RATE_SAMPLE_TOKENS:
            return
        if (
            dispatch.queued_tokens
            > dispatch.prefill_tokens * MAX_RATE_SAMPLE_QUEUE_RATIO
        ):
            return
        measured = dispatch.prefill_tokens / duration_ms
        change = (measured - self.prefill_tokens_per_ms) * PREFILL_RATE_WEIGHT
        self.prefill_tokens_per_ms += change


def _smoothed_share(share, spent_ms, elapsed_ms):
    measured = min(1.0, max(0.0, spent_ms) / elapsed_ms)
    return share + (measured - share) * BUSY_SHARE_WEIGHT


class Directory:
    """All endpoints by identity and by service.

    Attributes
    ----------
    endpoints_by_id : dict of str to EndpointState
    """

    __slots__ = ("_ids_by_service", "endpoints_by_id")

    def __init__(self):
        self.endpoints_by_id = {}
        self._ids_by_service = {}

    def replace_all(self, specs, now_ms):
        """Replace all endpoints by the platform's full list."""
        names = {spec.name for spec in specs}
        for name in self.endpoints_by_id.keys() - names:
            del self.endpoints_by_id[name]
        for spec in specs:
            self.put(spec, now_ms, rebuilds_index=False)
        self._rebuild_service_index()

    def put(self, spec, now_ms, rebuilds_index=True):
        """Add or update one endpoint; a new address resets its state."""
        state = self.endpoints_by_id.get(spec.name)
        if state is None or state.spec.address != spec.address:
            self.endpoints_by_id[spec.name] = EndpointState(spec, now_ms)
        else:
            state.spec = spec
            state.leaving = spec.leaving
        if rebuilds_index:
            self._rebuild_service_index()

    def remove(self, name):
        """Remove one endpoint."""
        self.endpoints_by_id.pop(name, None)
        self._rebuild_service_index()

    def mark_leaving(self, name):
        """Stop new work to an endpoint."""
        state = self.endpoints_by_id.get(name)
        if state is not None:
            state.leaving = True

    def of_service(self, service):
        """Return the states of a service's endpoints, including leaving ones."""
        ids = self._ids_by_service.get(service, ())
        return [self.endpoints_by_id[name] for name in ids]

    def usable(self, service, now_ms, excluded=()):
        """Return the states of the endpoints that may receive new requests."""
        return [
            state
            for state in self.of_service(service)
            if not state.leaving
            and not state.is_isolated(now_ms)
            and state.spec.name not in excluded
            and state.breaker.allows(now_ms)
        ]

    def _rebuild_service_index(self):
        self._ids_by_service = {}
        for name, state in sorted(self.endpoints_by_id.items()):
            self._ids_by_service.setdefault(state.spec.service, []).append(name)
