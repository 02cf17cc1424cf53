"""Estimated prompt and answer tokens of a request, and its length class."""

from enum import StrEnum

# Bytes per token assumed of a service until it reports the usage of a response.
INITIAL_BYTES_PER_TOKEN = 4.0
# Answer tokens assumed of a request that sets no maximum.
DEFAULT_DECODE_TOKENS = 256
# Weight of a new sample in the moving average of bytes per token.
RATIO_LEARNING_WEIGHT = 0.05
# Maximum prompt lengths of the classes; longer prompts are very long.
SHORT_LIMIT_TOKENS = 4_000
MEDIUM_LIMIT_TOKENS = 32_000
LONG_LIMIT_TOKENS = 100_000


class LengthClass(StrEnum):
    """Class of prompt lengths, for limits and metrics."""

    SHORT = "short"
    MEDIUM = "medium"
    LONG = "long"
    VERY_LONG = "very_long"


def length_class(prefill_tokens):
    """Return the class of a prompt of `prefill_tokens` tokens."""
    if prefill_tokens <= SHORT_LIMIT_TOKENS:
        return LengthClass.SHORT
    if prefill_tokens <= MEDIUM_LIMIT_TOKENS:
        return LengthClass.MEDIUM
    if prefill_tokens <= LONG_LIMIT_TOKENS:
        return LengthClass.LONG
    return LengthClass.VERY_LONG


class WorkEstimate:
    """Estimated tokens of one request.

    Parameters
    ----------
    prefill_tokens : int
        Tokens of the prompt.
    decode_tokens : int
        Tokens to generate at most.
    """

    __slots__ = ("decode_tokens", "prefill_tokens")

    def __init__(self, prefill_tokens, decode_tokens):
        self.prefill_tokens = prefill_tokens
        self.decode_tokens = decode_tokens

    @property
    def kv_tokens(self):
        """Tokens of KV cache that the request occupies when it ends."""
        return self.prefill_tokens + self.decode_tokens

    @property
    def length_class(self):
        """Length class of the prompt."""
        return length_class(self.prefill_tokens)


class TokenEstimator:
    """Estimates prompt tokens from bytes, by the usage in earlier responses."""

    __slots__ = ("_bytes_per_token_by_service",)

    def __init__(self):
        self._bytes_per_token_by_service = {}

    def estimate(self, service, prompt_bytes, max_tokens):
        """Return the `WorkEstimate` of a prompt of `prompt_bytes` bytes."""
        ratio = self._bytes_per_token_by_service.get(service, INITIAL_BYTES_PER_TOKEN)
        return WorkEstimate(
            max(1, round(prompt_bytes / ratio)), max_tokens or DEFAULT_DECODE_TOKENS
        )

    def learn(self, service, prompt_bytes, prompt_tokens):
        """Update the ratio of a service by the token count of one response."""
        if prompt_tokens <= 0:
            return
        learned = self._bytes_per_token_by_service.get(service, INITIAL_BYTES_PER_TOKEN)
        observed = prompt_bytes / prompt_tokens
        self._bytes_per_token_by_service[service] = (
            learned + (observed - learned) * RATIO_LEARNING_WEIGHT
        )
