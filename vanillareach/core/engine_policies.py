"""Policies that choose an engine for a generation: the default, and baselines.

The setting ``placement`` of a gateway selects one, so that any deployment can compare
them under its own load. All of them refuse a request for which no engine has room.
`LinearCost` has the cost function of the Infera documentation of KV-aware routing:
blocks to prefill plus blocks in use.
"""

from abc import ABC, abstractmethod

import msgspec

from vanillareach.core.engine_time import prefill_ms
from vanillareach.core.placement_types import Placement
from vanillareach.core.remaining_work import PredictedWork
from vanillareach.core.span_placement import (
    first_event_ms,
    place,
    views_with_room,
)

BLOCK_TOKENS = 16
# Weight of a block to prefill relative to a block in use.
PREFILL_WEIGHT = 1.0


class EnginePolicy(ABC):
    """Base of the policies, which choose the engine of a generation.

    Attributes
    ----------
    uses_costs : bool
        Whether requests are placed, and costs learned, by predicted costs; see
        `request_costs`.
    """

    uses_costs = False

    @abstractmethod
    def place(self, request, figures, views):
        """Return the `Placement`, or None if no engine has room.

        Parameters
        ----------
        request : GenerationRequest
        figures : EngineFigures
        views : list of EngineView
            In random order.
        """


class PredictedLateness(EnginePolicy):
    """Least predicted lateness of callers, with helpers; see `span_placement`."""

    def place(self, request, figures, views):
        """Place; see `EnginePolicy`."""
        return place(request, figures, views)


class RemainingWork(EnginePolicy):
    """Least predicted lateness, with what is predicted to remain of other requests."""

    uses_costs = True

    def place(self, request, figures, views):
        """Place; see `EnginePolicy`."""
        work = PredictedWork()
        placement = place(request, figures, views, work)
        if placement is None:
            return None
        return msgspec.structs.replace(
            placement, why=explain_choice(request, figures, views, work, placement)
        )


def explain_choice(request, figures, views, work, placement):
    """Return in words why an engine was chosen, for the decision log."""
    view = next(v for v in views if v.endpoint.id == placement.endpoint.id)
    left_ms = work.remaining_ms(figures, view)
    answer = "answer unknown"
    if request.predicted_tokens:
        answer = (
            f"answer {request.predicted_tokens:.0f} to {request.high_tokens:.0f} tokens"
        )
    if view.load.running < figures.slots:
        slot = f"{figures.slots - view.load.running} slots free"
    else:
        slot = f"slot in {work.slot_wait_ms(figures, view):.0f} ms"
    with_free_slot = sum(v.load.running < figures.slots for v in views)
    ends = f", first ends in {min(left_ms):.0f} ms" if left_ms else ""
    return (
        f"{answer}; {len(left_ms)} requests there have {sum(left_ms):.0f} ms left"
        f"{ends}; {slot}; {with_free_slot} of {len(views)} engines have slots"
    )


class SingleEngine(EnginePolicy):
    """Base of the baselines, which prefill each prompt on one engine."""

    def place(self, request, figures, views):
        """Place; see `EnginePolicy`."""
        candidates = views_with_room(request, figures, views)
        if not candidates:
            return None
        view = self.choose(request, figures, candidates)
        part_prefill_ms = prefill_ms(figures, request.prompt_tokens)
        time_to_first_event_ms = first_event_ms(figures, view, part_prefill_ms)
        return Placement(
            view.endpoint,
            part_prefill_ms=part_prefill_ms,
            first_event_ms=time_to_first_event_ms,
        )

    @abstractmethod
    def choose(self, request, figures, views):
        """Return one of `views`; there is at least one."""


class RandomEngine(SingleEngine):
    """A random engine."""

    def choose(self, request, figures, views):
        """Choose the first view; they are in random order."""
        return views[0]


class RoundRobin(SingleEngine):
    """Engines in turn, in the order of their ids."""

    def __init__(self):
        self._turn = 0

    def choose(self, request, figures, views):
        """Choose; see `SingleEngine`."""
        self._turn += 1
        ordered = sorted(views, key=lambda view: view.endpoint.id)
        return ordered[self._turn % len(ordered)]


class LeastLoaded(SingleEngine):
    """The engine with the fewest requests."""

    def choose(self, request, figures, views):
        """Choose; see `SingleEngine`."""
        return min(views, key=lambda view: view.load.running)


class LinearCost(SingleEngine):
    """Lowest sum of weighted blocks to prefill and blocks in use."""

    def choose(self, request, figures, views):
        """Choose; see `SingleEngine`."""

        def cost(view):
            pending_prefill_tokens = (
                view.load.pending_prefill_ms * figures.read_tokens_per_ms
            )
            used_tokens = view.load.memory_tokens
            return (
                PREFILL_WEIGHT * pending_prefill_tokens + used_tokens
            ) / BLOCK_TOKENS

        return min(views, key=cost)


POLICIES_BY_NAME = {
    "predicted-loss": PredictedLateness,
    "remaining-work": RemainingWork,
    "random": RandomEngine,
    "round-robin": RoundRobin,
    "least-loaded": LeastLoaded,
    "linear-cost": LinearCost,
}
DEFAULT_POLICY = "predicted-loss"
