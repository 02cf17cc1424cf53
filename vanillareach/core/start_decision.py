"""Whether a request starts at the engine chosen for it, or waits for a better one."""

from vanillareach.core.engine_time import decode_ms

# Interval at which a waiting request asks for an engine.
ASK_INTERVAL_MS = 60.0


def ends_in_time(request, figures, placement):
    """Return whether a request can be answered by its deadline at its placement.

    The answer is as long as predicted, else as the request allows, and is taken to be
    decoded without others, so that no request is refused that might have time.

    Parameters
    ----------
    request : GenerationRequest
    figures : EngineFigures
    placement : Placement
    """
    answer_tokens = request.predicted_tokens or request.answer_tokens
    answer_ms = decode_ms(figures, answer_tokens, 1, request.prompt_tokens)
    return placement.first_event_ms + answer_ms <= request.time_to_deadline_ms


def is_put_off(request, placement):
    """Return whether a request waits for an engine where it makes others less late.

    It does if it would make others late by more than the time until it asks again, and
    can still meet its own latency objective after that.
    """
    can_wait = (
        placement.first_event_ms + ASK_INTERVAL_MS <= request.time_to_objective_ms
    )
    return can_wait and placement.delay_to_others_ms > ASK_INTERVAL_MS
