"""Choice of the engine, and of helpers, for a generation.

Load patterns answered: floods of short prompts beside whole-season prompts. Reading a
long prompt on an engine stretches the passes of all who write there, so an engine is
charged with the benefit that its writers and readers would lose, beside the benefit
that the new request itself would lose by its predicted first event. Short prompts
gather on engines that write already, which costs the writers little and keeps others
free for long reads. A long prompt is read by several engines at once; how many is what
costs all of them together least.
"""

from vanillareach.core.engine_time import decode_ms, pass_ms, prefill_ms
from vanillareach.core.placement_types import Placement

# Helpers that an endpoint accepts for one request.
MAX_HELPERS = 16
SPAN_WIDTHS = (1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17)
# Part of the worth that is lost by a late answer; a late one earns about a quarter.
LATE_LOSS_SHARE = 0.75
# A prediction of this share of a limit begins to risk it, and of the second breaks it.
RISK_START_SHARE = 0.7
RISK_CERTAIN_SHARE = 1.1
# Part of a reader's worth charged for a delay as long as its whole objective: what
# comes later adds to it.
DELAY_LOSS_SHARE = 0.15
# Wait for a slot at an engine whose slots are all taken.
SLOT_WAIT_MS = 900.0
# Requests that may wait at an engine beyond its slots.
MAX_WAITING_REQUESTS = 2
# Value of gathering with a writer, and cost of each engine of a span, in worth.
BATCHING_GAIN = 0.03
# An engine is crowded by this many requests for each that others may have placed there
# unseen; each one beyond its slots costs a part of the worth.
SLOTS_PER_UNREPORTED_REQUEST = 2.0
CROWDING_LOSS_SHARE = 0.1
SPAN_ENGINE_COST = 0.02
# Cost of an engine that reads for a second, in worth; it grows with the square, since
# all that comes meanwhile waits for what is left of it.
OCCUPANCY_COST_PER_SQUARE_S = 0.3
MS_PER_SECOND = 1000.0
# Reading that is left at a helper counts this little against it, in ms per worth.
HELPER_WAIT_MS_PER_WORTH = 10_000.0
# Engines are kept clear for as many short prompts as write now, filled to this part of
# their slots; an engine is clear with no more reading than this. A short prompt is
# written in about so many seconds.
CLEAR_SLOT_SHARE = 0.6
CLEAR_PREFILL_MS = 60.0
SHORT_DECODE_S = 2.0
# More short prompts may come than write now.
BURST_FACTOR = 2.0
# Cost of a byte between failure domains is small beside a late answer.
OTHER_DOMAIN_COST = 0.008
# Memory of each engine that reservations leave to short prompts, and the least worth
# reserving.
UNRESERVED_MEMORY_SHARE = 0.15
MIN_RESERVED_TOKENS = 8_192
# An answer may take this many times its prediction.
ANSWER_TIME_FACTOR = 1.25
# Prompts shorter than this are not worth a span.
MIN_SPAN_PROMPT_TOKENS = 12_000


def miss_risk(value_ms, limit_ms):
    """Return the chance that a predicted duration breaks its limit, 0 to 1."""
    if limit_ms <= 0:
        return 1.0
    share = value_ms / limit_ms
    return min(
        1.0,
        max(0.0, (share - RISK_START_SHARE) / (RISK_CERTAIN_SHARE - RISK_START_SHARE)),
    )


def place(request, figures, views):
    """Return the `Placement` with the least predicted loss, or None if none fits.

    Parameters
    ----------
    request : GenerationRequest
    figures : EngineFigures
    views : list of EngineView
    """
    hosts = views_with_room(request, figures, views)
    over_memories = not hosts
    if over_memories:
        hosts = _hosts_by_free_memory(figures, views)
    best = None
    for width in _widths(request, len(views)):
        chosen = _place_span(request, figures, hosts, views, width, over_memories)
        if chosen is not None and (best is None or chosen.cost < best.cost):
            best = chosen
    return best


def views_with_room(request, figures, views):
    """Return the engines that can hold a whole prompt and its answer."""
    return [view for view in views if _has_room(request, figures, view)]


def _has_room(request, figures, view):
    load = view.load
    tokens = request.prompt_tokens + request.answer_tokens
    fits = load.memory_tokens + tokens <= figures.memory_tokens
    return fits and load.running < figures.slots + MAX_WAITING_REQUESTS


def _hosts_by_free_memory(figures, views):
    """Return the engine that can hold most of a prompt that fits no engine."""
    ready = [view for view in views if view.load.running < figures.slots]
    return sorted(ready, key=lambda view: view.load.memory_tokens)[:1]


def _widths(request, engines):
    if request.prompt_tokens < MIN_SPAN_PROMPT_TOKENS:
        return (1,)
    most = min(engines, MAX_HELPERS + 1)
    return [width for width in SPAN_WIDTHS if width <= most]


def _place_span(request, figures, hosts, views, width, over_memories):
    """Return the best `Placement` on `width` engines, or None."""
    if not hosts:
        return None
    part_prefill_ms = prefill_ms(figures, request.prompt_tokens, width)
    host = min(
        hosts,
        key=lambda view: _host_cost_alone(request, figures, view, part_prefill_ms),
    )
    helpers = _helpers(figures, host, views, width, part_prefill_ms)
    if helpers is None:
        return None
    held = _reserved_tokens(request, figures, host, helpers) if over_memories else ()
    if held is None:
        return None
    first_ms = first_event_ms(figures, host, part_prefill_ms)
    pause_ms = _pause_ms(figures, host)
    cost = _host_cost(request, figures, host, part_prefill_ms)
    first_pass_ms = pass_ms(figures, 1, request.prompt_tokens / width)
    for view in helpers:
        read_by_ms = _pass_wait_ms(figures, view) + part_prefill_ms * view.pace
        first_ms = max(first_ms, read_by_ms + first_pass_ms)
        cost += _interference_cost(figures, view, part_prefill_ms)
        cost += request.worth * view.failure_share + SPAN_ENGINE_COST
    if _answer_ms(request, figures, host, first_ms) > request.time_to_shutdown_ms:
        return None
    cost += _request_loss(request, first_ms, pause_ms)
    if request.prompt_tokens >= MIN_SPAN_PROMPT_TOKENS:
        cost += _blocking_cost(figures, views, (host, *helpers), part_prefill_ms)
    gain = request.worth - cost
    if request.prompt_tokens >= MIN_SPAN_PROMPT_TOKENS:
        cost += sum(_occupancy_cost(view, part_prefill_ms) for view in (host, *helpers))
    endpoints = tuple(view.endpoint for view in helpers)
    return Placement(
        host.endpoint, endpoints, part_prefill_ms, first_ms, cost, gain, held
    )


def _helpers(figures, host, views, width, part_prefill_ms):
    """Return the `width` - 1 engines that lose least by reading a part, or None."""
    others = [
        view
        for view in views
        if view is not host and view.load.helper_part_count < figures.slots
    ]
    if len(others) < width - 1:
        return None
    others.sort(key=lambda view: _helper_cost(figures, view, part_prefill_ms))
    return others[: width - 1]


def _reserved_tokens(request, figures, host, helpers):
    """Return the memory to reserve at each helper, or None if it is too little."""
    kept = int(UNRESERVED_MEMORY_SHARE * figures.memory_tokens)
    at_host = max(0, _free_tokens(figures, host) - kept - request.answer_tokens)
    rest = request.prompt_tokens - at_host
    held_by_engine = {}
    for view in sorted(helpers, key=lambda view: view.load.memory_tokens):
        tokens = max(0, min(rest, _free_tokens(figures, view) - kept))
        if tokens >= min(rest, MIN_RESERVED_TOKENS) and tokens > 0:
            held_by_engine[view.endpoint.id] = tokens
            rest -= tokens
    if rest > 0:
        return None
    return tuple(held_by_engine.get(view.endpoint.id, 0) for view in helpers)


def _free_tokens(figures, view):
    return figures.memory_tokens - view.load.memory_tokens


def _blocking_cost(figures, views, span, part_prefill_ms):
    """Return the benefit that short prompts lose while too few engines are clear.

    Those who come while the span is read take the engines with the least reading left.
    """
    decoding_requests = [
        flight for view in views for flight in view.load.decoding_requests
    ]
    wanted = 1 + int(len(decoding_requests) / (CLEAR_SLOT_SHARE * figures.slots))
    open_views = [view for view in views if view.load.running < figures.slots]
    if not open_views:
        return 0.0
    position = min(wanted, len(open_views)) - 1
    chosen = {view.endpoint.id for view in span}
    before = sorted(view.load.pending_prefill_ms for view in open_views)
    after = sorted(
        view.load.pending_prefill_ms + part_prefill_ms * (view.endpoint.id in chosen)
        for view in open_views
    )
    blocked_ms = after[position] - max(before[position], CLEAR_PREFILL_MS)
    worth_per_second = (
        sum(flight.worth for flight in decoding_requests) / SHORT_DECODE_S
    )
    blocked_s = max(0.0, blocked_ms) / MS_PER_SECOND
    return BURST_FACTOR * LATE_LOSS_SHARE * worth_per_second * blocked_s


def _host_cost_alone(request, figures, view, part_prefill_ms):
    """Return the cost by which hosts compare, before the helpers are known."""
    first_ms = first_event_ms(figures, view, part_prefill_ms)
    cost = _host_cost(request, figures, view, part_prefill_ms)
    cost += _request_loss(request, first_ms, _pause_ms(figures, view))
    return cost + _occupancy_cost(view, part_prefill_ms)


def _host_cost(request, figures, view, part_prefill_ms):
    """Return the cost of a host besides what the request itself loses."""
    load = view.load
    cost = _interference_cost(figures, view, part_prefill_ms)
    cost += request.worth * view.failure_share + view.jitter
    cost += _batching_cost(request, figures, load)
    if view.endpoint.domain != request.domain:
        cost += OTHER_DOMAIN_COST
    return cost


def _batching_cost(request, figures, load):
    """Return the cost, mostly negative, of joining the writers of an engine."""
    taken = load.running + SLOTS_PER_UNREPORTED_REQUEST * request.unreported_requests
    crowding = max(0.0, taken + 1 - figures.slots)
    gathered = min(len(load.decoding_requests), figures.slots - 2)
    return CROWDING_LOSS_SHARE * request.worth * crowding - BATCHING_GAIN * gathered


def _helper_cost(figures, view, part_prefill_ms):
    return (
        _interference_cost(figures, view, part_prefill_ms)
        + view.failure_share
        + view.load.pending_prefill_ms / HELPER_WAIT_MS_PER_WORTH
        + _occupancy_cost(view, part_prefill_ms)
    )


def _occupancy_cost(view, part_prefill_ms):
    return (
        OCCUPANCY_COST_PER_SQUARE_S * (part_prefill_ms * view.pace / MS_PER_SECOND) ** 2
    )


def _request_loss(request, first_ms, pause_ms):
    late = miss_risk(first_ms, request.time_to_objective_ms)
    if request.pause_limit_ms:
        late = max(late, miss_risk(pause_ms, request.pause_limit_ms))
    late *= LATE_LOSS_SHARE
    lost = miss_risk(first_ms, request.time_to_deadline_ms)
    return request.worth * (lost + (1.0 - lost) * late)


def _pause_ms(figures, view):
    """Return the pause between the events of a request that joins the writers."""
    load = view.load
    return (
        pass_ms(figures, len(load.decoding_requests) + 1, load.context_tokens)
        * view.pace
    )


def _prefill_wait_ms(figures, view):
    """Return the time until an engine begins to read a request of its own."""
    return view.load.pending_prefill_ms * view.pace + _pass_wait_ms(figures, view)


def _pass_wait_ms(figures, view):
    """Return the time until an engine's next pass, which a part for another joins."""
    load = view.load
    if not load.decoding_requests:
        return 0.0
    return (
        0.5
        * pass_ms(figures, len(load.decoding_requests), load.context_tokens)
        * view.pace
    )


def first_event_ms(figures, view, part_prefill_ms):
    """Return the predicted time to the first event of a prompt on one engine.

    Parameters
    ----------
    figures : EngineFigures
    view : EngineView
    part_prefill_ms : float
        Time of reading the prompt, or the engine's part of it.
    """
    load = view.load
    wait_ms = _prefill_wait_ms(figures, view) + part_prefill_ms * view.pace
    writing = pass_ms(figures, len(load.decoding_requests) + 1, load.context_tokens)
    wait_ms += writing * view.pace
    if load.running >= figures.slots:
        wait_ms += SLOT_WAIT_MS * (1 + load.running - figures.slots)
    return wait_ms


def _answer_ms(request, figures, view, first_ms):
    """Return the time in which an answer is complete, unless much comes between."""
    load = view.load
    context_tokens = load.context_tokens + request.prompt_tokens
    decoding_count = len(load.decoding_requests) + 1
    rest_ms = decode_ms(figures, request.answer_tokens, decoding_count, context_tokens)
    return ANSWER_TIME_FACTOR * (first_ms + rest_ms * view.pace)


def _interference_cost(figures, view, part_prefill_ms):
    """Return the benefit that the requests at an engine lose by further reading."""
    load = view.load
    if not load.decoding_requests and not load.prefilling_requests:
        return 0.0
    count, context = len(load.decoding_requests), load.context_tokens
    before = pass_ms(figures, count, context, load.pending_prefill_ms) * view.pace
    after_reading = load.pending_prefill_ms + part_prefill_ms
    after = pass_ms(figures, count, context, after_reading) * view.pace
    lost = 0.0
    for flight in load.decoding_requests:
        limit = flight.pause_limit_ms
        lost += flight.worth * (miss_risk(after, limit) - miss_risk(before, limit))
    for flight, age_ms in load.prefilling_requests:
        first_ms = age_ms + before
        limit = max(1.0, flight.objective_ms)
        delay_ms = part_prefill_ms * view.pace
        lost += flight.worth * (
            miss_risk(first_ms + delay_ms, limit) - miss_risk(first_ms, limit)
        )
        lost += flight.worth * DELAY_LOSS_SHARE * min(1.0, delay_ms / limit)
    return LATE_LOSS_SHARE * lost
