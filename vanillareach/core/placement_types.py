"""Input and result of placement."""

import math
from dataclasses import dataclass

import msgspec

from vanillareach.core.endpoint_list import ListedEndpoint
from vanillareach.core.load_state import EngineLoad
from vanillareach.core.priorities import UNKNOWN_PRIORITY

# Sent as `worth`, by which instances of older versions weigh requests: all alike.
OLDER_VERSIONS_WORTH = 1.0
# Cost of an engine in another failure domain, in late callers, unless set otherwise.
# It counts little against a late response.
OTHER_DOMAIN_COST = 0.008


class GenerationRequest(msgspec.Struct, array_like=True, frozen=True):
    """A generation to place: its size and time limits.

    Attributes
    ----------
    prompt_tokens, answer_tokens : int
    time_to_objective_ms : float
        Time left until the first event misses its latency objective; may be negative.
    time_to_deadline_ms : float
        Time left until a response is useless to the caller.
    pause_limit_ms : float
        Longest pause between events that counts as in time; 0 without a limit.
    worth : float
        Read by placers of older versions only.
    domain : str
        Failure domain of the instance that places the request.
    unreported_requests : float
        Expected requests that other instances have placed but not reported yet.
    time_to_shutdown_ms : float
        Time left until the placing instance shuts down, which ends all its responses.
    other_domain_cost : float
        Cost of an engine in another failure domain, in late callers.
    priority : int
        Unknown where the service has one priority only.
    predicted_tokens, high_tokens : float
        Median and high quantile of the predicted length of the answer; 0 if unknown.
    objective_ms : float
        Latency objective of the route; 0 from an instance of an older version.
    least_answer_ms : float
        Time of the answer at the slowdown that others of the route had; 0 unless the
        placing instance shuts down. See `answer_times`.
    """

    prompt_tokens: int
    answer_tokens: int
    time_to_objective_ms: float
    time_to_deadline_ms: float
    pause_limit_ms: float
    worth: float
    domain: str
    unreported_requests: float = 0.0
    time_to_shutdown_ms: float = math.inf
    other_domain_cost: float = OTHER_DOMAIN_COST
    priority: int = UNKNOWN_PRIORITY
    predicted_tokens: float = 0
    high_tokens: float = 0
    least_answer_ms: float = 0.0
    objective_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class EngineView:
    """Load and health of one engine, as placement takes them into account.

    Attributes
    ----------
    endpoint : ListedEndpoint
    load : EngineLoad
    failure_share : float
        Recent share of attempts that failed there, 0 to 1.
    pace : float
        Factor by which the engine is slower than its published figures.
    jitter : float
        Random cost, in late callers, by which instances with the same load state choose
        different engines.
    is_limited : bool
        Whether it has a limit of requests, so that it doesn't help others.
    is_cold : bool
        Whether that is because it is cold; see `cold_engines`.
    """

    endpoint: object
    load: EngineLoad
    failure_share: float = 0.0
    pace: float = 1.0
    jitter: float = 0.0
    is_limited: bool = False
    is_cold: bool = False


class Placement(msgspec.Struct, array_like=True, frozen=True):
    """Endpoint of an attempt, with the predictions it was chosen by.

    Attributes
    ----------
    endpoint : ListedEndpoint
    helpers : tuple of ListedEndpoint
        Engines that prefill further parts of the prompt.
    part_prefill_ms : float
        Predicted time to prefill one part of the prompt.
    first_event_ms : float
        Predicted time to the first event.
    cost : float
        Predicted lateness of this request and of others; see `span_placement`.
    gain : float
        Sent by placers of older versions, which refuse by it; otherwise 0.
    reserved_tokens : tuple of int
        KV cache tokens to reserve at each helper, 0 for none; empty if the engine has
        room for the whole prompt.
    flight_id : int
        Id under which a placer counts the request already; 0 for none.
    has_permit : bool
        Whether the request may be sent to an endpoint that names a limit.
    why : str
        Why the endpoint was chosen, for the decision log; empty if not told.
    wait_ms : float
        Predicted wait of a plain call for a slot.
    late_others : float
        How many other callers are predicted to be late by it.
    late_more_urgent : float
        Those of them whose requests are more urgent.
    """

    endpoint: ListedEndpoint
    helpers: tuple[ListedEndpoint, ...] = ()
    part_prefill_ms: float = 0.0
    first_event_ms: float = 0.0
    cost: float = 0.0
    gain: float = 0.0
    reserved_tokens: tuple[int, ...] = ()
    flight_id: int = 0
    has_permit: bool = False
    why: str = ""
    wait_ms: float = 0
    late_others: float = 0.0
    late_more_urgent: float = 0.0

    @property
    def reserved_tokens_by_helper(self):
        """KV cache tokens to reserve, by helper."""
        reservations = zip(self.helpers, self.reserved_tokens, strict=False)
        return {helper: tokens for helper, tokens in reservations if tokens}
