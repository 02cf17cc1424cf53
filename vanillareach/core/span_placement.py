"""Choice of the engine, and of helpers, for a generation.

Designed for bursts of short prompts mixed with very long ones. The prefill of a long
prompt lengthens the passes of all requests that decode on the same engine. So the cost
of an engine is the number of callers there that would probably be late by it, plus the
lateness of the new request itself. Short prompts are batched on engines that decode
already, which delays the requests there little and keeps other engines free for long
prefills. A long prompt is split over a span of several engines, the host that responds
and its helpers, which prefill its parts at once; the width of the span is the one with
the least total cost.

Costs are in late callers: a caller whose limit is missed counts 1, whatever the length
of its prompt, and 1 more for each time that its latency objective passes once more.
"""

from vanillareach.core.answer_times import safe_answer_ms
from vanillareach.core.blocking_cost import BlockingCost
from vanillareach.core.engine_shortlist import shortlist
from vanillareach.core.engine_time import decode_ms, pass_ms, prefill_ms
from vanillareach.core.late_callers import LateCallers
from vanillareach.core.placement_types import Placement
from vanillareach.core.remaining_work import COUNTED_WORK

# Maximum number of helpers that an endpoint accepts for one request.
MAX_HELPERS = 16
# Numbers of engines per span that are tried, the host included.
SPAN_WIDTHS = (1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17)
# A prediction above the first share of a limit risks exceeding the limit; from the
# second share on, that is taken as certain. The risk grows linearly between them.
RISK_START_SHARE = 0.7
RISK_CERTAIN_SHARE = 1.1
# Maximum number of requests that may wait at an engine beyond its slots.
MAX_WAITING_REQUESTS = 2
# Gain for each request that already decodes on the engine, in late callers.
BATCHING_GAIN = 0.03
# Requests counted at an engine for each unreported one that other instances may have
# placed there, and the cost of each request beyond the slots, in late callers.
SLOTS_PER_UNREPORTED_REQUEST = 2.0
CROWDING_COST = 0.1
# Cost of each helper of a span, in late callers.
SPAN_ENGINE_COST = 0.02
# Cost of a cold engine, in late callers, and the time until a permit for it has come:
# the way to a placer and its coordinator, and back. Permits are few, so they go to the
# requests that gain most by an engine with little load: long ones, and short ones that
# would be late elsewhere. The cost is that of one decoding request less to be batched
# with.
COLD_ENGINE_COST = 0.03
PERMIT_WAIT_MS = 10.0
# Cost of an engine that prefills for a second, in late callers. It grows with the
# square of the time, since all that arrive meanwhile wait for the rest of it.
OCCUPANCY_COST_PER_SQUARE_S = 0.3
MS_PER_SECOND = 1000.0
# Pending prefill of a helper, in ms, that counts as a late caller.
HELPER_WAIT_MS_PER_LATE_CALLER = 10_000.0
# Share of each engine's memory that reservations leave to short prompts, and the
# minimum number of tokens for which a reservation is worthwhile.
UNRESERVED_MEMORY_SHARE = 0.15
MIN_RESERVED_TOKENS = 8_192
# Shorter prompts gain too little from a span.
MIN_SPAN_PROMPT_TOKENS = 12_000


def miss_risk(predicted_ms, limit_ms):
    """Return the chance that a predicted duration exceeds its limit, 0 to 1."""
    if limit_ms <= 0:
        return 1.0
    share = predicted_ms / limit_ms
    return min(
        1.0,
        max(0.0, (share - RISK_START_SHARE) / (RISK_CERTAIN_SHARE - RISK_START_SHARE)),
    )


def place(request, figures, views, work=COUNTED_WORK):
    """Return the `Placement` with the least cost, or None if none fits.

    If the prompt fits in no engine's memory, the rest of its KV cache is reserved at
    helpers.

    Parameters
    ----------
    request : GenerationRequest
    figures : EngineFigures
    views : list of EngineView
    work : CountedWork
        What remains of the requests at the engines.
    """
    hosts = views_with_room(request, figures, views)
    spread_memory = not hosts
    if spread_memory:
        hosts = _hosts_by_free_memory(figures, views)
        candidates = views
    else:
        hosts = shortlist(figures, hosts)
        candidates = shortlist(figures, views)
    # Cold engines take too few requests to keep others clear.
    warm_views = [view for view in views if not view.is_cold]
    blocking = BlockingCost(figures, warm_views, request.priority)
    best = None
    for width in _widths(request, len(views)):
        placement = _place_span(
            request, figures, hosts, candidates, width, spread_memory, blocking, work
        )
        if placement is not None and (best is None or placement.cost < best.cost):
            best = placement
    return best


def views_with_room(request, figures, views):
    """Return the engines with memory for the whole prompt and answer, and a slot."""
    return [view for view in views if _has_room(request, figures, view)]


def _has_room(request, figures, view):
    load = view.load
    tokens = request.prompt_tokens + request.answer_tokens
    fits = load.memory_tokens + tokens <= figures.memory_tokens
    return fits and load.running < figures.slots + MAX_WAITING_REQUESTS


def _hosts_by_free_memory(figures, views):
    """Return the engine with the most free memory among those with a free slot.

    It hosts a prompt that fits in no engine's memory. The list is empty if all slots
    are taken.
    """
    with_free_slot = [view for view in views if view.load.running < figures.slots]
    return sorted(with_free_slot, key=lambda view: view.load.memory_tokens)[:1]


def _widths(request, engine_count):
    """Return the span widths to try."""
    if request.prompt_tokens < MIN_SPAN_PROMPT_TOKENS:
        return (1,)
    max_width = min(engine_count, MAX_HELPERS + 1)
    return [width for width in SPAN_WIDTHS if width <= max_width]


def _place_span(request, figures, hosts, views, width, spread_memory, blocking, work):
    """Return the best `Placement` on `width` engines, or None."""
    if not hosts:
        return None
    part_prefill_ms = prefill_ms(figures, request.prompt_tokens, width)
    host = min(
        hosts,
        key=lambda view: _standalone_host_cost(
            request, figures, view, part_prefill_ms, work
        ),
    )
    helpers = _helpers(request, figures, host, views, width, part_prefill_ms, work)
    if helpers is None:
        return None
    reserved_tokens = (
        _reserved_tokens(request, figures, host, helpers) if spread_memory else ()
    )
    if reserved_tokens is None:
        return None
    time_to_first_event_ms = first_event_ms(figures, host, part_prefill_ms, work)
    pause_ms = _pause_ms(figures, host)
    cost = _preference_cost(request, figures, host, work)
    late = _late_by(request, figures, host, part_prefill_ms, work)
    first_pass_ms = pass_ms(figures, 1, request.prompt_tokens / width)
    for view in helpers:
        part_end_ms = _pass_wait_ms(figures, view) + part_prefill_ms * view.pace
        time_to_first_event_ms = max(
            time_to_first_event_ms, part_end_ms + first_pass_ms
        )
        late += _late_by(request, figures, view, part_prefill_ms, work)
        cost += view.failure_share + SPAN_ENGINE_COST
    if (
        _answer_ms(request, figures, host, time_to_first_event_ms)
        > request.time_to_shutdown_ms
    ):
        return None
    cost += own_lateness(request, time_to_first_event_ms, pause_ms)
    if request.prompt_tokens >= MIN_SPAN_PROMPT_TOKENS:
        late += blocking.late_callers((host, *helpers), part_prefill_ms)
    cost += late.count
    if request.prompt_tokens >= MIN_SPAN_PROMPT_TOKENS:
        cost += sum(_occupancy_cost(view, part_prefill_ms) for view in (host, *helpers))
    endpoints = tuple(view.endpoint for view in helpers)
    return Placement(
        host.endpoint,
        endpoints,
        part_prefill_ms,
        time_to_first_event_ms,
        cost,
        reserved_tokens=reserved_tokens,
        late_others=late.count,
        late_more_urgent=late.more_urgent,
    )


def _helpers(request, figures, host, views, width, part_prefill_ms, work):
    """Return the `width` - 1 engines with the least helper cost, or None.

    Orders about the memory of a part would use up what a limited engine takes.
    """
    others = [
        view
        for view in views
        if view is not host
        and not view.is_limited
        and view.load.helper_part_count < figures.slots
    ]
    if len(others) < width - 1:
        return None
    others.sort(
        key=lambda view: _helper_cost(request, figures, view, part_prefill_ms, work)
    )
    return others[: width - 1]


def _reserved_tokens(request, figures, host, helpers):
    """Return the tokens to reserve at each helper, or None if they don't suffice."""
    unreserved_tokens = int(UNRESERVED_MEMORY_SHARE * figures.memory_tokens)
    host_tokens = max(
        0, _free_tokens(figures, host) - unreserved_tokens - request.answer_tokens
    )
    unplaced_tokens = request.prompt_tokens - host_tokens
    reserved_by_engine = {}
    for view in sorted(helpers, key=lambda view: view.load.memory_tokens):
        tokens = max(
            0, min(unplaced_tokens, _free_tokens(figures, view) - unreserved_tokens)
        )
        if tokens >= min(unplaced_tokens, MIN_RESERVED_TOKENS) and tokens > 0:
            reserved_by_engine[view.endpoint.id] = tokens
            unplaced_tokens -= tokens
    if unplaced_tokens > 0:
        return None
    return tuple(reserved_by_engine.get(view.endpoint.id, 0) for view in helpers)


def _free_tokens(figures, view):
    return figures.memory_tokens - view.load.memory_tokens


def _standalone_host_cost(request, figures, view, part_prefill_ms, work):
    """Return the cost by which hosts are compared before helpers are chosen."""
    time_to_first_event_ms = first_event_ms(figures, view, part_prefill_ms, work)
    cost = _preference_cost(request, figures, view, work)
    cost += _late_by(request, figures, view, part_prefill_ms, work).count
    cost += own_lateness(request, time_to_first_event_ms, _pause_ms(figures, view))
    return cost + _occupancy_cost(view, part_prefill_ms)


def _preference_cost(request, figures, view, work):
    """Return the cost of a host without the lateness of the request and of others.

    An attempt that fails makes its caller late.
    """
    cost = view.failure_share + view.jitter
    cost += _batching_cost(request, figures, view, work)
    if view.endpoint.domain != request.domain:
        cost += request.other_domain_cost
    if view.is_cold:
        cost += COLD_ENGINE_COST
    return cost


def _batching_cost(request, figures, view, work):
    """Return the cost, mostly negative, of joining an engine's decoding requests."""
    expected_running = (
        work.lasting_requests(figures, view)
        + SLOTS_PER_UNREPORTED_REQUEST * request.unreported_requests
    )
    excess_requests = max(0.0, expected_running + 1 - figures.slots)
    batched = min(work.lasting_decoding(figures, view), figures.slots - 2)
    return CROWDING_COST * excess_requests - BATCHING_GAIN * batched


def _helper_cost(request, figures, view, part_prefill_ms, work):
    """Return the cost by which helpers are compared."""
    return (
        _late_by(request, figures, view, part_prefill_ms, work).count
        + view.failure_share
        + view.load.pending_prefill_ms / HELPER_WAIT_MS_PER_LATE_CALLER
        + _occupancy_cost(view, part_prefill_ms)
    )


def _occupancy_cost(view, part_prefill_ms):
    return (
        OCCUPANCY_COST_PER_SQUARE_S * (part_prefill_ms * view.pace / MS_PER_SECOND) ** 2
    )


def own_lateness(request, time_to_first_event_ms, pause_ms=0.0):
    """Return by how much a request is predicted to be late, in late callers.

    It is the risk that it misses its latency objective or its pause limit, and the time
    beyond the objective in multiples of it. An answer that comes too late for the
    deadline counts as one that takes until then.
    """
    left_ms, deadline_ms = request.time_to_objective_ms, request.time_to_deadline_ms
    risk = 0.0
    if request.pause_limit_ms:
        risk = miss_risk(pause_ms, request.pause_limit_ms)
    if time_to_first_event_ms <= RISK_START_SHARE * min(left_ms, deadline_ms):
        return risk
    risk = max(risk, miss_risk(time_to_first_event_ms, left_ms))
    objective_ms = max(1.0, request.objective_ms or left_ms)
    beyond_ms = max(0.0, min(time_to_first_event_ms, deadline_ms) - left_ms)
    lost_risk = miss_risk(time_to_first_event_ms, deadline_ms)
    lateness = risk + beyond_ms / objective_ms
    return lateness + lost_risk * max(
        0.0, 1.0 + (deadline_ms - left_ms) / objective_ms - lateness
    )


def _pause_ms(figures, view):
    """Return the pause between events of a request that decodes on the engine."""
    load = view.load
    return (
        pass_ms(figures, len(load.decoding_requests) + 1, load.context_tokens)
        * view.pace
    )


def _prefill_wait_ms(figures, view):
    """Return the time until an engine begins the prefill of a request it hosts."""
    return view.load.pending_prefill_ms * view.pace + _pass_wait_ms(figures, view)


def _pass_wait_ms(figures, view):
    """Return the expected time until an engine's next pass, half a pass.

    The prefill of a part for another engine joins that pass.
    """
    load = view.load
    if not load.decoding_requests:
        return 0.0
    return (
        0.5
        * pass_ms(figures, len(load.decoding_requests), load.context_tokens)
        * view.pace
    )


def first_event_ms(figures, view, part_prefill_ms, work=COUNTED_WORK):
    """Return the predicted time to the first event of a prompt on one engine.

    Parameters
    ----------
    figures : EngineFigures
    view : EngineView
    part_prefill_ms : float
        Time to prefill the prompt, or the engine's part of it.
    work : CountedWork
    """
    load = view.load
    time_to_first_event_ms = (
        _prefill_wait_ms(figures, view) + part_prefill_ms * view.pace
    )
    own_pass_ms = pass_ms(figures, len(load.decoding_requests) + 1, load.context_tokens)
    time_to_first_event_ms += own_pass_ms * view.pace
    if load.running >= figures.slots:
        time_to_first_event_ms += work.slot_wait_ms(figures, view)
    if view.is_cold:
        time_to_first_event_ms += PERMIT_WAIT_MS
    return time_to_first_event_ms


def _answer_ms(request, figures, view, time_to_first_event_ms):
    """Return the time to reckon with until the response is complete."""
    load = view.load
    context_tokens = load.context_tokens + request.prompt_tokens
    decoding_count = len(load.decoding_requests) + 1
    remaining_decode_ms = decode_ms(
        figures, request.answer_tokens, decoding_count, context_tokens
    )
    return safe_answer_ms(
        time_to_first_event_ms / view.pace + remaining_decode_ms,
        view.pace,
        request.least_answer_ms,
    )


def _late_by(request, figures, view, part_prefill_ms, work):
    """Return the `LateCallers` at an engine by a further prefill."""
    load, late = view.load, LateCallers(request.priority)
    if not load.decoding_requests and not load.prefilling_requests:
        return late
    decoding_count, context_tokens = len(load.decoding_requests), load.context_tokens
    before_ms, after_ms = (
        view.pace * pass_ms(figures, decoding_count, context_tokens, prefill_ms)
        for prefill_ms in (
            load.pending_prefill_ms,
            load.pending_prefill_ms + part_prefill_ms,
        )
    )
    for (limit_ms, priority), count in work.protected_streams(figures, view):
        # Without a risk afterwards, or without a limit, the risk doesn't grow.
        if limit_ms > 0 and after_ms / limit_ms > RISK_START_SHARE:
            added_risk = miss_risk(after_ms, limit_ms) - miss_risk(before_ms, limit_ms)
            late.add(count * added_risk, priority)
    delay_ms = part_prefill_ms * view.pace
    for flight, age_ms in load.prefilling_requests:
        limit_ms = max(1.0, flight.objective_ms)
        first_event_ms = age_ms + before_ms
        added = _lateness(first_event_ms + delay_ms, limit_ms) - _lateness(
            first_event_ms, limit_ms
        )
        late.add(added, flight.priority)
    return late


def _lateness(predicted_ms, limit_ms):
    """Return the risk that a limit is missed, and the time beyond it, in limits."""
    return miss_risk(predicted_ms, limit_ms) + max(0.0, predicted_ms / limit_ms - 1.0)
