"""Durations at an engine, from the figures that its service publishes."""

import math

PAIRS_PER_MILLION = 1e6
TOKENS_PER_1K = 1000.0


def prefill_ms(figures, prompt_tokens, parts=1):
    """Return the time to read one of `parts` even parts of a prompt.

    Each part has an even share of the pairs of a token and an earlier one.
    """
    tokens = prompt_tokens / parts
    pairs = prompt_tokens * prompt_tokens / 2 / parts
    attention_ms = figures.attention_ms_per_1m_pairs * pairs / PAIRS_PER_MILLION
    return tokens / figures.read_tokens_per_ms + attention_ms


def decode_step_ms(figures, decoding_count, context_tokens):
    """Return the duration of one token step.

    Parameters
    ----------
    figures : EngineFigures
    decoding_count : int
        Requests that write.
    context_tokens : float
        Sum of their contexts.
    """
    context_ms = figures.step_ms_per_1k_context * context_tokens / TOKENS_PER_1K
    return figures.step_ms + figures.step_ms_per_writer * decoding_count + context_ms


def pass_ms(figures, decoding_count, context_tokens, pending_prefill_ms=0.0):
    """Return the duration of a pass that has writers, the pause between their events.

    Parameters
    ----------
    pending_prefill_ms : float
        Prompt reading that waits. A pass takes a chunk of it at each of its steps,
        which holds nearly all that ever waits.
    """
    decoding_ms = figures.steps_per_pass * decode_step_ms(
        figures, decoding_count, context_tokens
    )
    return decoding_ms + pending_prefill_ms


def decode_ms(figures, answer_tokens, decoding_count, context_tokens):
    """Return the time from the first event of an answer to its last one."""
    passes = max(0, math.ceil(answer_tokens / figures.steps_per_pass) - 1)
    return passes * pass_ms(figures, decoding_count, context_tokens)
