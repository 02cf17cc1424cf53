"""Whether a request starts at the engine chosen for it, or waits for a better one."""

from vanillareach.core.engine_time import sure_answer_ms
from vanillareach.core.span_placement import miss_risk, own_lateness

# Interval at which a waiting request asks for an engine.
ASK_INTERVAL_MS = 60.0
# Callers from which on one is more likely to be late than not.
PROBABLE = 0.5


def ends_in_time(request, figures, placement):
    """Return whether a request can be answered by its deadline at its placement.

    Parameters
    ----------
    request : GenerationRequest
    figures : EngineFigures
    placement : Placement
    """
    return _end_ms(request, figures, placement) <= request.time_to_deadline_ms


def is_put_off(request, figures, placement):
    """Return whether a request waits for an engine where it makes others less late.

    It does while a more urgent one would probably be late by it, or more callers than
    it is late itself, and there is no risk that its answer comes too late.
    """
    lateness = own_lateness(request, placement.first_event_ms)
    if placement.late_others <= lateness and placement.late_more_urgent < PROBABLE:
        return False
    end_ms = _end_ms(request, figures, placement)
    return not miss_risk(end_ms, request.time_to_deadline_ms)


def _end_ms(request, figures, placement):
    """Return the time to the end of an answer that is decoded without others.

    Others make it take longer, but no request is refused that might have time.
    """
    return placement.first_event_ms + sure_answer_ms(figures, request)
