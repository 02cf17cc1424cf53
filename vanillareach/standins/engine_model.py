"""Timing, memory and generated text of the engine stand-in, without I/O.

The engine uses continuous batching: each step decodes one token of every running
request and prefills pending prompts up to its token budget, most urgent first.
"""

from collections import OrderedDict

import xxhash

from vanillareach.core.prefixes import BLOCK_BYTES, block_hashes

BYTES_PER_TOKEN = 4
# Requests with this priority value or a higher one do not count as urgent.
NON_URGENT_PRIORITY = 20
BLOCK_TOKENS = BLOCK_BYTES // BYTES_PER_TOKEN
# With its trailing space each word has BYTES_PER_TOKEN bytes, so that generated text
# has the same number of tokens when it is sent back as part of a prompt.
WORDS = ("fan", "dry", "wet", "bin", "air", "mix", "lay", "bed", "cap", "ton", "bag")


class EngineProfile:
    """Speed and memory of one engine.

    Parameters
    ----------
    prefill_tokens_per_ms : float
        Prefill rate.
    decode_step_ms : float
        Duration of one decode step for the whole batch.
    kv_capacity_tokens : int
        Tokens of KV cache that running requests may occupy.
    prefix_cache_tokens : int
        Capacity of the prefix cache, which keeps prompts for later requests.
    """

    __slots__ = (
        "decode_step_ms",
        "kv_capacity_tokens",
        "prefill_tokens_per_ms",
        "prefix_cache_tokens",
    )

    def __init__(
        self,
        prefill_tokens_per_ms=20.0,
        decode_step_ms=20.0,
        kv_capacity_tokens=400_000,
        prefix_cache_tokens=400_000,
    ):
        self.prefill_tokens_per_ms = prefill_tokens_per_ms
        self.decode_step_ms = decode_step_ms
        self.kv_capacity_tokens = kv_capacity_tokens
        self.prefix_cache_tokens = prefix_cache_tokens


class EngineRequest:
    """One request on the engine.

    Parameters
    ----------
    request_id : str
        Id that the caller gave.
    prompt : bytes
        Complete prompt.
    max_tokens : int
        Tokens to generate.
    priority : int
        Lower values run first.
    owner : str
        Value of the request's ``X-Owner`` header; empty for none.
    deadline_wall_ms : int
        Wall-clock deadline, only listed and not enforced; 0 for none.
    """

    __slots__ = (
        "block_hashes",
        "deadline_wall_ms",
        "max_tokens",
        "owner",
        "priority",
        "prompt_tokens",
        "remaining_prefill_tokens",
        "request_id",
        "text_hash",
        "words",
    )

    def __init__(
        self, request_id, prompt, max_tokens, priority=0, owner="", deadline_wall_ms=0
    ):
        self.request_id = request_id
        self.prompt_tokens = -(-len(prompt) // BYTES_PER_TOKEN)
        self.block_hashes = block_hashes(prompt)
        self.max_tokens = max_tokens
        self.priority = priority
        self.owner = owner
        self.deadline_wall_ms = deadline_wall_ms
        self.remaining_prefill_tokens = self.prompt_tokens
        self.text_hash = xxhash.xxh64(prompt)
        self.words = []

    @property
    def kv_tokens(self):
        """Tokens of KV cache reserved for the request: prompt and all output."""
        return self.prompt_tokens + self.max_tokens

    @property
    def is_finished(self):
        """Whether all tokens have been generated."""
        return len(self.words) >= self.max_tokens

    def generate(self):
        """Append the next word, chosen by a hash of the prompt and all words before."""
        index = self.text_hash.intdigest() % len(WORDS)
        word = WORDS[index] + " "
        self.text_hash.update(word.encode())
        self.words.append(word)


class EngineModel:
    """Continuous batching of one engine; `step` advances it.

    Attributes
    ----------
    waiting : list of EngineRequest
        Requests that wait for memory, most urgent first.
    running_by_id : dict of str to EngineRequest
    cached_blocks : OrderedDict
        Hashes of the cached prefix blocks, least recently used first.
    cache_events : list of (bool, int)
        All changes of the prefix cache: whether a block was stored or removed, and its
        hash.
    urgent_prefill_ms, prefill_ms : float
        Total time spent on the prefill of urgent requests and of all requests.
    """

    def __init__(self, profile):
        self.profile = profile
        self.waiting = []
        self.running_by_id = {}
        self.cached_blocks = OrderedDict()
        self.cache_events = []
        self.urgent_prefill_ms = 0.0
        self.prefill_ms = 0.0

    @property
    def kv_used_tokens(self):
        """Tokens of KV cache reserved by running requests."""
        return sum(request.kv_tokens for request in self.running_by_id.values())

    @property
    def prefill_waiting_tokens(self):
        """Prompt tokens that are not prefilled yet."""
        running = sum(
            request.remaining_prefill_tokens for request in self.running_by_id.values()
        )
        return running + sum(request.prompt_tokens for request in self.waiting)

    @property
    def urgent_prefill_tokens(self):
        """Prompt tokens of urgent requests that are not prefilled yet."""
        running = sum(
            request.remaining_prefill_tokens
            for request in self.running_by_id.values()
            if request.priority < NON_URGENT_PRIORITY
        )
        return running + sum(
            request.prompt_tokens
            for request in self.waiting
            if request.priority < NON_URGENT_PRIORITY
        )

    @property
    def is_idle(self):
        """Whether no request is waiting or running."""
        return not self.waiting and not self.running_by_id

    def submit(self, request):
        """Queue a request; return False if it exceeds the KV cache."""
        if request.kv_tokens > self.profile.kv_capacity_tokens:
            return False
        self.waiting.append(request)
        self.waiting.sort(key=lambda item: item.priority)
        return True

    def cancel(self, request_id):
        """Remove a request and free its memory; return whether it was present."""
        waiting_count = len(self.waiting)
        self.waiting = [item for item in self.waiting if item.request_id != request_id]
        running = self.running_by_id.pop(request_id, None)
        return running is not None or len(self.waiting) < waiting_count

    def step(self):
        """Advance by one step.

        Returns
        -------
        duration_ms : float
            Duration of the step.
        decoded_requests : list of EngineRequest
            Requests that received a token.
        """
        self._start_waiting()
        decoding = [
            r for r in self.running_by_id.values() if not r.remaining_prefill_tokens
        ]
        prefill_ms = self._prefill()
        for request in decoding:
            request.generate()
            if request.is_finished:
                del self.running_by_id[request.request_id]
        decode_ms = self.profile.decode_step_ms if decoding else 0.0
        return max(decode_ms, prefill_ms, 0.05), decoding

    def _start_waiting(self):
        while self.waiting:
            request = self.waiting[0]
            free_tokens = self.profile.kv_capacity_tokens - self.kv_used_tokens
            if request.kv_tokens > free_tokens:
                return
            self.waiting.pop(0)
            self.running_by_id[request.request_id] = request
            cached_tokens = self._use_cached_blocks(request)
            request.remaining_prefill_tokens = max(
                1, request.prompt_tokens - cached_tokens
            )

    def _prefill(self):
        token_budget = self.profile.prefill_tokens_per_ms * self.profile.decode_step_ms
        remaining_tokens = token_budget
        queue = [r for r in self.running_by_id.values() if r.remaining_prefill_tokens]
        for request in sorted(queue, key=lambda item: item.priority):
            computed_tokens = min(remaining_tokens, request.remaining_prefill_tokens)
            if request.priority < NON_URGENT_PRIORITY:
                self.urgent_prefill_ms += (
                    computed_tokens / self.profile.prefill_tokens_per_ms
                )
            request.remaining_prefill_tokens -= computed_tokens
            remaining_tokens -= computed_tokens
            if not request.remaining_prefill_tokens:
                self._cache_blocks(request)
            if remaining_tokens <= 0:
                break
        spent_ms = (
            token_budget - remaining_tokens
        ) / self.profile.prefill_tokens_per_ms
        self.prefill_ms += spent_ms
        return spent_ms

    def count_cached_tokens(self, hashes):
        """Return the number of leading prompt tokens that are cached.

        Parameters
        ----------
        hashes : list of int
            Block hashes of the prompt.
        """
        count = 0
        for block_hash in hashes:
            if block_hash not in self.cached_blocks:
                break
            count += 1
        return count * BLOCK_TOKENS

    def _use_cached_blocks(self, request):
        cached_tokens = self.count_cached_tokens(request.block_hashes)
        for block_hash in request.block_hashes[: cached_tokens // BLOCK_TOKENS]:
            self.cached_blocks.move_to_end(block_hash)
        return cached_tokens

    def _cache_blocks(self, request):
        for block_hash in request.block_hashes:
            if block_hash not in self.cached_blocks:
                self.cached_blocks[block_hash] = None
                self.cache_events.append((True, block_hash))
        while len(self.cached_blocks) * BLOCK_TOKENS > self.profile.prefix_cache_tokens:
            removed, _ = self.cached_blocks.popitem(last=False)
            self.cache_events.append((False, removed))
