"""Choice of an engine for a request.

Policies share one interface so that benchmarks compare them on the same requests.
`PredictedTimePolicy` is the one in use. `LinearCostPolicy` follows the cost of the
Infera KV-aware routing page, cost = weight * missing blocks + active blocks, and is
kept as a baseline.
"""

import heapq
from abc import ABC, abstractmethod

from vanillareach.core.prefixes import BLOCK_BYTES, PrefixBelief
from vanillareach.core.work import MEDIUM_LIMIT_TOKENS as URGENT_LIMIT_TOKENS

BLOCK_TOKENS = BLOCK_BYTES // 4
DECODE_SLOWDOWN_MS = 1.0
OTHER_DOMAIN_COST_MS = 2.0
SAMPLE_SIZE = 4
HOMES = 2
MIN_LEFT_SHARE = 0.1
URGENT_MEAN_TOKENS = 2000
SEEN_BLOCKS = 16_384


class PlacementRequest:
    """What a policy needs to know of a request.

    Parameters
    ----------
    estimate : WorkEstimate
        Work of the request.
    block_hashes : list of int
        Chained prefix hashes of the prompt.
    domain : str
        Failure domain of the deciding instance.
    """

    __slots__ = ("block_hashes", "domain", "estimate")

    def __init__(self, estimate, block_hashes, domain):
        self.estimate = estimate
        self.block_hashes = block_hashes
        self.domain = domain


class PlacementPolicy(ABC):
    """Chooses one of the usable endpoints."""

    @abstractmethod
    def choose(self, request, states, now_ms, random):
        """Return one of `states`; there is at least one.

        Parameters
        ----------
        request : PlacementRequest
        states : list of EndpointState
        now_ms : float
        random : random.Random
        """


class RandomPolicy(PlacementPolicy):
    """Uniform choice."""

    def choose(self, request, states, now_ms, random):
        """Return any state."""
        return random.choice(states)


class RoundRobinPolicy(PlacementPolicy):
    """Each engine in turn."""

    def __init__(self):
        self._next = 0

    def choose(self, request, states, now_ms, random):
        """Return the next state."""
        self._next += 1
        return states[self._next % len(states)]


class LeastLoadedPolicy(PlacementPolicy):
    """Engine with the fewest running requests."""

    def choose(self, request, states, now_ms, random):
        """Return the least loaded state, ties at random."""
        return min(states, key=lambda s: (s.outstanding_requests(), random.random()))


class LinearCostPolicy(PlacementPolicy):
    """Missing prefix blocks times a weight, plus active blocks."""

    def __init__(self, overlap_weight=1.0):
        self._weight = overlap_weight

    def choose(self, request, states, now_ms, random):
        """Return the state with the lowest linear cost."""
        blocks = len(request.block_hashes)

        def cost(state):
            hits = state.cached_prefixes.cached_blocks(request.block_hashes, now_ms)
            active = state.report.kv_used_tokens + sum(
                dispatch.kv_tokens
                for dispatch in state.dispatches_by_id.values()
                if dispatch.sent_ms >= state.reported_ms
            )
            return self._weight * (blocks - hits) + active / BLOCK_TOKENS

        return min(states, key=lambda state: (cost(state), random.random()))


class PredictedTimePolicy(PlacementPolicy):
    """Least predicted time to first token.

    Candidates are the homes of the prompt's prefix, the engines known to hold the
    longest prefix, and a few sampled ones, so that instances with the same old
    reports do not all pick one engine. The homes of a prefix come from rendezvous
    hashing, so all instances send it to the same engines without telling each other,
    and a prefix seen before is expected to be cached there.
    """

    def __init__(self, sample_size=SAMPLE_SIZE, homes=HOMES):
        self._sample_size = sample_size
        self._homes = homes
        self._seen = PrefixBelief(limit=SEEN_BLOCKS)

    def choose(self, request, states, now_ms, random):
        """Return the candidate with the least predicted time."""
        hits_by_id = self._hits(request, states, now_ms)
        homes = self._home_states(request, states)
        self._expect_at_homes(request, homes, hits_by_id, now_ms)
        candidates = homes + self._candidates(request, states, hits_by_id, random)
        # On equal predictions the first home wins, so that prefixes gather there.
        return min(
            candidates,
            key=lambda state: predicted_first_token_ms(
                request, state, hits_by_id.get(state.spec.name, 0)
            ),
        )

    def _hits(self, request, states, now_ms):
        hashes = request.block_hashes
        if not hashes:
            return {}
        hits_by_id = {}
        for state in states:
            lifetime_ms = state.cache_lifetime_ms()
            count = state.cached_prefixes.cached_blocks(hashes, now_ms, lifetime_ms)
            if count:
                hits_by_id[state.spec.name] = count
        return hits_by_id

    def _home_states(self, request, states):
        is_urgent = request.estimate.prefill_tokens <= URGENT_LIMIT_TOKENS
        if not request.block_hashes or not is_urgent:
            # Long prompts that instances send to one home at once wait for each other.
            return []
        first = request.block_hashes[0]
        local = [state for state in states if state.spec.domain == request.domain]
        homes = heapq.nlargest(
            self._homes, local, key=lambda state: state.home_rank(first)
        )
        homes += heapq.nlargest(
            self._homes, states, key=lambda state: state.home_rank(first)
        )
        return homes

    def _expect_at_homes(self, request, homes, hits_by_id, now_ms):
        for state in homes:
            name = state.spec.name
            seen = self._seen.cached_blocks(
                request.block_hashes, now_ms, state.cache_lifetime_ms()
            )
            hits_by_id[name] = max(hits_by_id.get(name, 0), seen)
        self._seen.note_dispatch(request.block_hashes, now_ms)

    def _candidates(self, request, states, hits_by_id, random):
        local = [state for state in states if state.spec.domain == request.domain]
        pool = local or states
        sampled = random.sample(pool, min(self._sample_size, len(pool)))
        if len(pool) < len(states):
            sampled.append(random.choice(states))
        holders = sorted(
            (state for state in states if state.spec.name in hits_by_id),
            key=lambda state: -hits_by_id[state.spec.name],
        )
        return sampled + holders[: self._sample_size]


def predicted_first_token_ms(request, state, cached_blocks):
    """Return the predicted time to first token of `request` on one engine.

    Urgent prompts go before long ones, so a long one gets what the urgent ones leave,
    and an urgent one waits behind others the longer the more of them there are.
    """
    cached = cached_blocks * BLOCK_TOKENS
    own = max(1, request.estimate.prefill_tokens - cached)
    is_urgent = request.estimate.prefill_tokens <= URGENT_LIMIT_TOKENS
    rate = max(0.001, state.prefill_tokens_per_ms)
    left_share = max(MIN_LEFT_SHARE, 1.0 - state.urgent_prefill_share)
    work = state.queued_prefill_tokens(is_urgent) + own
    if is_urgent:
        work += URGENT_MEAN_TOKENS * (1.0 / left_share - 1.0)
        cost = work / rate
    else:
        cost = work / (rate * left_share)
    cost += state.outstanding_requests() * DECODE_SLOWDOWN_MS
    if state.spec.domain != request.domain:
        cost += OTHER_DOMAIN_COST_MS
    free = state.report.kv_capacity_tokens - state.report.kv_used_tokens
    if request.estimate.kv_tokens > free:
        cost += request.estimate.kv_tokens / rate
    return cost
