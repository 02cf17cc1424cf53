"""Policies that choose an engine for a request.

They share one interface, so that benchmarks can compare them on the same requests.
The entry uses `PredictedTimePolicy`; the gateway has policies of its own, see
`engine_policies`. `LinearCostPolicy` is a baseline with the cost function of the Infera
documentation of KV-aware routing: cost = weight * missing blocks + active blocks.
"""

import heapq
from abc import ABC, abstractmethod

from vanillareach.core.prefixes import BLOCK_BYTES, PrefixCacheEstimate
from vanillareach.core.work import MEDIUM_LIMIT_TOKENS as URGENT_LIMIT_TOKENS

# Tokens of a prefix block, with four bytes per token.
BLOCK_TOKENS = BLOCK_BYTES // 4
# Times added to the prediction for each outstanding request at an engine, and for an
# engine in another failure domain.
DECODE_SLOWDOWN_PER_REQUEST_MS = 1.0
OTHER_DOMAIN_COST_MS = 2.0
# Number of random candidates, and of further ones that cache most of the prefix.
CANDIDATE_SAMPLE_SIZE = 4
# Homes of a prefix in the local failure domain, and again in the fleet.
HOMES_PER_PREFIX = 2
# Minimum share of an engine's time that is assumed to be left by urgent prefills.
MIN_LEFTOVER_SHARE = 0.1
MEAN_URGENT_PROMPT_TOKENS = 2000
# Maximum number of blocks stored of the prefixes that were placed at their homes.
MAX_PLACED_BLOCKS = 16_384


class PlacementRequest:
    """The request properties that a policy takes into account.

    Parameters
    ----------
    estimate : WorkEstimate
        Estimated tokens of the request.
    block_hashes : list of int
        Chained prefix hashes of the prompt.
    domain : str
        Failure domain of the instance that places the request.
    """

    __slots__ = ("block_hashes", "domain", "estimate")

    def __init__(self, estimate, block_hashes, domain):
        self.estimate = estimate
        self.block_hashes = block_hashes
        self.domain = domain


class PlacementPolicy(ABC):
    """Base of the policies, which choose one of the usable endpoints."""

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
    """Uniformly random choice."""

    def choose(self, request, states, now_ms, random):
        """Return a random state."""
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
    """The engine with the fewest outstanding requests."""

    def choose(self, request, states, now_ms, random):
        """Return the least loaded state; ties are broken at random."""
        return min(states, key=lambda s: (s.outstanding_requests(), random.random()))


class LinearCostPolicy(PlacementPolicy):
    """Lowest sum of weighted missing prefix blocks and active blocks."""

    def __init__(self, overlap_weight=1.0):
        self._weight = overlap_weight

    def choose(self, request, states, now_ms, random):
        """Return the state with the lowest linear cost."""
        blocks = len(request.block_hashes)

        def cost(state):
            cached = state.cached_prefixes.count_cached_blocks(
                request.block_hashes, now_ms
            )
            active = state.report.kv_used_tokens + sum(
                dispatch.kv_tokens
                for dispatch in state.dispatches_by_id.values()
                if dispatch.sent_ms >= state.reported_ms
            )
            return self._weight * (blocks - cached) + active / BLOCK_TOKENS

        return min(states, key=lambda state: (cost(state), random.random()))


class PredictedTimePolicy(PlacementPolicy):
    """Least predicted time to first token.

    Candidates are the home engines of the prompt's prefix, the engines estimated to
    cache its longest part, and a few random ones. The random ones keep instances with
    the same outdated load reports from all choosing one engine. The homes of a prefix
    come from rendezvous hashing: all instances send it to the same engines without
    coordination, and a prefix that was placed before is assumed to be cached there.
    """

    def __init__(self, sample_size=CANDIDATE_SAMPLE_SIZE, homes=HOMES_PER_PREFIX):
        self._sample_size = sample_size
        self._homes = homes
        self._placed_prefixes = PrefixCacheEstimate(limit=MAX_PLACED_BLOCKS)

    def choose(self, request, states, now_ms, random):
        """Return the candidate with the least predicted time."""
        cached_blocks_by_name = self._cached_blocks_by_name(request, states, now_ms)
        homes = self._home_states(request, states)
        self._assume_cached_at_homes(request, homes, cached_blocks_by_name, now_ms)
        candidates = homes + self._sampled_and_caching(
            request, states, cached_blocks_by_name, random
        )
        # On equal predictions the first home wins, so that requests with the same
        # prefix share a cache.
        return min(
            candidates,
            key=lambda state: predicted_first_token_ms(
                request, state, cached_blocks_by_name.get(state.spec.name, 0)
            ),
        )

    def _cached_blocks_by_name(self, request, states, now_ms):
        hashes = request.block_hashes
        if not hashes:
            return {}
        cached_blocks_by_name = {}
        for state in states:
            lifetime_ms = state.cache_lifetime_ms()
            count = state.cached_prefixes.count_cached_blocks(
                hashes, now_ms, lifetime_ms
            )
            if count:
                cached_blocks_by_name[state.spec.name] = count
        return cached_blocks_by_name

    def _home_states(self, request, states):
        is_urgent = request.estimate.prefill_tokens <= URGENT_LIMIT_TOKENS
        if not request.block_hashes or not is_urgent:
            # Long prompts that several instances send to one home would queue there.
            return []
        first_hash = request.block_hashes[0]
        local_states = [
            state for state in states if state.spec.domain == request.domain
        ]
        homes = heapq.nlargest(
            self._homes, local_states, key=lambda state: state.home_rank(first_hash)
        )
        homes += heapq.nlargest(
            self._homes, states, key=lambda state: state.home_rank(first_hash)
        )
        return homes

    def _assume_cached_at_homes(self, request, homes, cached_blocks_by_name, now_ms):
        for state in homes:
            name = state.spec.name
            placed_blocks = self._placed_prefixes.count_cached_blocks(
                request.block_hashes, now_ms, state.cache_lifetime_ms()
            )
            cached_blocks_by_name[name] = max(
                cached_blocks_by_name.get(name, 0), placed_blocks
            )
        self._placed_prefixes.record_blocks(request.block_hashes, now_ms)

    def _sampled_and_caching(self, request, states, cached_blocks_by_name, random):
        local_states = [
            state for state in states if state.spec.domain == request.domain
        ]
        pool = local_states or states
        sampled_states = random.sample(pool, min(self._sample_size, len(pool)))
        if len(pool) < len(states):
            sampled_states.append(random.choice(states))
        caching_states = sorted(
            (state for state in states if state.spec.name in cached_blocks_by_name),
            key=lambda state: -cached_blocks_by_name[state.spec.name],
        )
        return sampled_states + caching_states[: self._sample_size]


def predicted_first_token_ms(request, state, cached_blocks):
    """Return the predicted time to first token of `request` on one engine.

    Engines prefill urgent prompts, those of at most `URGENT_LIMIT_TOKENS`, before long
    ones. A long prompt gets the share of the prefill rate that urgent ones leave. An
    urgent prompt waits longer, the more of its time the engine spends on urgent ones.

    Parameters
    ----------
    request : PlacementRequest
    state : EndpointState
    cached_blocks : int
        Leading blocks of the prompt that the engine is assumed to cache.
    """
    cached_tokens = cached_blocks * BLOCK_TOKENS
    own_tokens = max(1, request.estimate.prefill_tokens - cached_tokens)
    is_urgent = request.estimate.prefill_tokens <= URGENT_LIMIT_TOKENS
    tokens_per_ms = max(0.001, state.prefill_tokens_per_ms)
    leftover_share = max(MIN_LEFTOVER_SHARE, 1.0 - state.urgent_prefill_share)
    work_tokens = state.queued_prefill_tokens(is_urgent) + own_tokens
    if is_urgent:
        work_tokens += MEAN_URGENT_PROMPT_TOKENS * (1.0 / leftover_share - 1.0)
        predicted_ms = work_tokens / tokens_per_ms
    else:
        predicted_ms = work_tokens / (tokens_per_ms * leftover_share)
    predicted_ms += state.outstanding_requests() * DECODE_SLOWDOWN_PER_REQUEST_MS
    if state.spec.domain != request.domain:
        predicted_ms += OTHER_DOMAIN_COST_MS
    free_tokens = state.report.kv_capacity_tokens - state.report.kv_used_tokens
    if request.estimate.kv_tokens > free_tokens:
        predicted_ms += request.estimate.kv_tokens / tokens_per_ms
    return predicted_ms
