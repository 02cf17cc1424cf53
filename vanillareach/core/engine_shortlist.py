"""Engines worth comparing, where there are too many to compare them all."""

from heapq import nsmallest

from vanillareach.core.blocking_cost import CLEAR_PREFILL_MS

# Engines among which the costs of a placement are compared.
MAX_CANDIDATES = 32
# Prefill, in ms, that a decoding request and a failure share of 1 count as when engines
# are preselected.
DECODING_WORK_MS = 15.0
FAILURE_WORK_MS = 2_000.0


def shortlist(figures, views):
    """Return the engines among which costs are compared.

    A comparison of all engines takes time in proportion to their number. Of many
    engines, those with the least prefill and work are kept, and those with free slots
    that decode most, at which short prompts are batched.
    """
    if len(views) <= MAX_CANDIDATES:
        return views

    def work(view):
        load = view.load
        return (
            load.pending_prefill_ms + DECODING_WORK_MS * len(load.decoding_requests)
        ) * view.pace + FAILURE_WORK_MS * view.failure_share

    def batching(view):
        load = view.load
        return (
            load.pending_prefill_ms > CLEAR_PREFILL_MS
            or load.running >= figures.slots
            or view.pace > 1.0,
            view.failure_share,
            -len(load.decoding_requests),
        )

    batching_views = nsmallest(MAX_CANDIDATES // 4, views, key=batching)
    chosen = set(map(id, batching_views))
    idle_views = nsmallest(
        MAX_CANDIDATES - len(batching_views),
        (view for view in views if id(view) not in chosen),
        key=work,
    )
    return batching_views + idle_views
