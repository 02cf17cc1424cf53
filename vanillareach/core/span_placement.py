"""Choice of the engine, and of helpers, for a generation.

Load patterns answered: floods of short prompts beside whole-season prompts. Reading a
long prompt on an engine stretches the passes of all who write there, so an engine is
charged with the benefit that its writers and readers would lose, beside the benefit
that the new request itself would lose by its predicted first event. Short prompts
gather on engines that write already, which costs the writers little and keeps others
free for long reads. A long prompt is read by several engines at once, as few as its
objective allows.
"""

from dataclasses import dataclass

from vanillareach.core.engine_time import pass_ms, read_ms
from vanillareach.core.load_picture import EngineLoad

# Helpers that an endpoint accepts for one request.
MAX_HELPERS = 16
SPAN_WIDTHS = (1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17)
# Part of the worth that is lost by a late answer; a late one earns about a quarter.
LATE_LOSS = 0.75
# A prediction of this share of a limit begins to risk it, and of the second breaks it.
RISK_BEGINS = 0.7
RISK_ENDS = 1.1
# Part of a reader's worth charged for a delay as long as its whole objective: what
# comes later adds to it.
DELAY_LOSS = 0.15
# Wait for a slot at an engine whose slots are all taken.
FULL_WAIT_MS = 900.0
# Requests that may wait at an engine beyond its slots.
MAX_WAITING = 2
# Value of gathering with a writer, and cost of each engine of a span, in worth.
GATHERING = 0.03
GATHERING_WRITERS = 6
SPAN_COST = 0.02
# Cost of an engine that reads for a second, in worth; it grows with the square, since
# all that comes meanwhile waits for what is left of it.
OCCUPANCY_COST = 0.3
MS_PER_SECOND = 1000.0
# Cost of a byte between failure domains is small beside a late answer.
DOMAIN_COST = 0.008
# Prompts shorter than this are not worth a span.
SPAN_TOKENS = 12_000
EMPTY = EngineLoad()


@dataclass(slots=True, frozen=True)
class GenerationNeed:
    """What a generation needs and is owed.

    Attributes
    ----------
    prompt_tokens, answer_tokens : int
    objective_left_ms : float
        Time left for the first event to be in time; may be negative.
    pause_limit_ms, worth : float
    domain : str
        Failure domain of the instance that asks.
    """

    prompt_tokens: int
    answer_tokens: int
    objective_left_ms: float
    pause_limit_ms: float
    worth: float
    domain: str


@dataclass(slots=True, frozen=True)
class EngineView:
    """One engine as placement sees it.

    Attributes
    ----------
    endpoint : ListedEndpoint
    load : EngineLoad
    failure_share : float
        Recent share of attempts that failed there, 0 to 1.
    pace : float
        Factor by which it is slower than published.
    """

    endpoint: object
    load: EngineLoad
    failure_share: float = 0.0
    pace: float = 1.0


@dataclass(slots=True, frozen=True)
class Placement:
    """A choice.

    Attributes
    ----------
    engine : ListedEndpoint
    helpers : tuple of ListedEndpoint
    part_ms : float
        Predicted time of reading one part.
    first_event_ms : float
        Predicted time to the first event.
    cost : float
        Predicted loss of benefit, in worth.
    """

    engine: object
    helpers: tuple
    part_ms: float
    first_event_ms: float
    cost: float


def risk(value_ms, limit_ms):
    """Return the chance that a predicted duration breaks its limit, 0 to 1."""
    if limit_ms <= 0:
        return 1.0
    share = value_ms / limit_ms
    return min(1.0, max(0.0, (share - RISK_BEGINS) / (RISK_ENDS - RISK_BEGINS)))


def place(need, figures, views):
    """Return the `Placement` with the least predicted loss, or None if none fits.

    Parameters
    ----------
    need : GenerationNeed
    figures : EngineFigures
    views : list of EngineView
    """
    hosts = [view for view in views if _has_room(need, figures, view)]
    if not hosts:
        return None
    best = None
    for width in _widths(need, figures, len(views)):
        chosen = _place_span(need, figures, hosts, views, width)
        if chosen is not None and (best is None or chosen.cost < best.cost):
            best = chosen
    return best


def _has_room(need, figures, view):
    load = view.load
    tokens = need.prompt_tokens + need.answer_tokens
    fits = load.memory_tokens + tokens <= figures.memory_tokens
    return fits and load.running < figures.slots + MAX_WAITING


def _widths(need, figures, engines):
    if need.prompt_tokens < SPAN_TOKENS:
        return (1,)
    most = min(engines, MAX_HELPERS + 1)
    return [width for width in SPAN_WIDTHS if width <= most]


def _place_span(need, figures, hosts, views, width):
    part_ms = read_ms(figures, need.prompt_tokens, width)
    ranked = sorted(
        hosts,
        key=lambda view: _host_cost(need, figures, view, part_ms),
    )
    host = ranked[0]
    cost = _host_cost(need, figures, host, part_ms)
    slowest_ms = _first_event_ms(figures, host, part_ms)
    helpers = ()
    if width > 1:
        others = [
            view
            for view in views
            if view is not host and view.load.helping < figures.slots
        ]
        if len(others) < width - 1:
            return None
        others.sort(key=lambda view: _helper_cost(figures, view, part_ms))
        chosen = others[: width - 1]
        helpers = tuple(view.endpoint for view in chosen)
        cost += sum(_inflicted(figures, view, part_ms) for view in chosen)
        cost += sum(need.worth * view.failure_share for view in chosen)
        cost += SPAN_COST * (width - 1)
        writing = pass_ms(figures, 1, need.prompt_tokens / width)
        for view in chosen:
            wait_ms = _part_wait_ms(figures, view) + part_ms * view.pace + writing
            slowest_ms = max(slowest_ms, wait_ms)
    cost += OCCUPANCY_COST * width * (part_ms / MS_PER_SECOND) ** 2
    # The host's own lateness is counted at its own wait; the span's at its slowest.
    cost += _own_loss(need, slowest_ms) - _own_loss(
        need, _first_event_ms(figures, host, part_ms)
    )
    return Placement(host.endpoint, helpers, part_ms, slowest_ms, cost)


def _host_cost(need, figures, view, part_ms):
    load = view.load
    cost = _own_loss(need, _first_event_ms(figures, view, part_ms))
    cost += _inflicted(figures, view, part_ms)
    cost += need.worth * view.failure_share
    cost -= GATHERING * min(len(load.writers), GATHERING_WRITERS)
    if view.endpoint.domain != need.domain:
        cost += DOMAIN_COST
    return cost


def _helper_cost(figures, view, part_ms):
    return (
        _inflicted(figures, view, part_ms)
        + view.failure_share
        + (_part_wait_ms(figures, view) + part_ms * view.pace) / 10_000
    )


def _own_loss(need, first_event_ms):
    return need.worth * LATE_LOSS * risk(first_event_ms, need.objective_left_ms)


def _wait_ms(figures, view):
    """Return the time until an engine begins to read a request of its own."""
    return _delay_ms(figures, view, view.load.reading_ms)


def _part_wait_ms(figures, view):
    """Return the time until an engine begins to read a part for another one."""
    return _delay_ms(figures, view, view.load.part_reading_ms)


def _delay_ms(figures, view, reading_ms):
    load = view.load
    wait_ms = reading_ms
    if load.writers:
        wait_ms += 0.5 * pass_ms(figures, len(load.writers), load.context_tokens)
    return wait_ms * view.pace


def _first_event_ms(figures, view, part_ms):
    load = view.load
    wait_ms = _wait_ms(figures, view) + part_ms * view.pace
    writing = pass_ms(figures, len(load.writers) + 1, load.context_tokens)
    wait_ms += writing * view.pace
    if load.running >= figures.slots:
        wait_ms += FULL_WAIT_MS * (1 + load.running - figures.slots)
    return wait_ms


def _inflicted(figures, view, part_ms):
    """Return the benefit that the requests at an engine lose by further reading."""
    load = view.load
    if not load.writers and not load.readers:
        return 0.0
    count, context = len(load.writers), load.context_tokens
    before = pass_ms(figures, count, context, load.reading_ms) * view.pace
    after_reading = load.reading_ms + part_ms
    after = pass_ms(figures, count, context, after_reading) * view.pace
    lost = 0.0
    for flight in load.writers:
        limit = flight.pause_limit_ms
        lost += flight.worth * (risk(after, limit) - risk(before, limit))
    for flight, age_ms in load.readers:
        first_ms = age_ms + before
        limit = max(1.0, flight.objective_ms)
        delay_ms = part_ms * view.pace
        lost += flight.worth * (
            risk(first_ms + delay_ms, limit) - risk(first_ms, limit)
        )
        lost += flight.worth * DELAY_LOSS * min(1.0, delay_ms / limit)
    return LATE_LOSS * lost
