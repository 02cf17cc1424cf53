"""Predicted durations at an engine, from its service's published figures."""

import math

PAIRS_PER_MILLION = 1e6
TOKENS_PER_1K = 1000.0


def prefill_ms(figures, prompt_tokens, parts=1):
    """Return the time to prefill one of `parts` equal parts of a prompt.

    Each part has an equal share of the attention pairs, each of a token and an earlier
    one.
    """
    tokens = prompt_tokens / parts
    pairs = prompt_tokens * prompt_tokens / 2 / parts
    attention_ms = figures.attention_ms_per_1m_pairs * pairs / PAIRS_PER_MILLION
    return tokens / figures.read_tokens_per_ms + attention_ms


def decode_step_ms(figures, decoding_count, context_tokens):
    """Return the duration of one decode step.

    Parameters
    ----------
    figures : EngineFigures
    decoding_count : int
        Number of requests that decode.
    context_tokens : float
        Sum of their context lengths.
    """
    context_ms = figures.step_ms_per_1k_context * context_tokens / TOKENS_PER_1K
    return figures.step_ms + figures.step_ms_per_writer * decoding_count + context_ms


def pass_ms(figures, decoding_count, context_tokens, pending_prefill_ms=0.0):
    """Return the duration of a pass, which is the pause between stream events.

    Parameters
    ----------
    pending_prefill_ms : float
        Prefill that waits. A pass prefills a chunk at each of its steps, so nearly all
        that ever waits fits in one pass and adds to its duration.
    """
    decoding_ms = figures.steps_per_pass * decode_step_ms(
        figures, decoding_count, context_tokens
    )
    return decoding_ms + pending_prefill_ms


def decode_ms(figures, answer_tokens, decoding_count, context_tokens):
    """Return the time from the first event of a response to its last one."""
    passes = max(0, math.ceil(answer_tokens / figures.steps_per_pass) - 1)
    return passes * pass_ms(figures, decoding_count, context_tokens)


def sure_answer_ms(figures, request):
    """Return the time that an answer takes almost surely after its first event.

    It is decoded alone and is as short as one of ten is; without a prediction only the
    first event is sure to come.

    Parameters
    ----------
    figures : EngineFigures
    request : GenerationRequest
    """
    tokens = request.predicted_tokens
    if tokens < request.high_tokens:
        # The length is taken as lognormal, so its quantiles are symmetric as a ratio.
        tokens *= tokens / request.high_tokens
    return decode_ms(figures, tokens, 1, request.prompt_tokens)
