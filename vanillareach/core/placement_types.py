"""What placement needs to know, and what it decides."""

import math
from dataclasses import dataclass

from vanillareach.core.load_state import EngineLoad


@dataclass(slots=True, frozen=True)
class GenerationRequest:
    """What a generation needs and is owed.

    Attributes
    ----------
    prompt_tokens, answer_tokens : int
    time_to_objective_ms : float
        Time left for the first event to be in time; may be negative.
    time_to_deadline_ms : float
        Time after which an answer is worth nothing.
    pause_limit_ms, worth : float
    domain : str
        Failure domain of the instance that asks.
    unreported_requests : float
        Requests that other instances place while they can't be seen here yet.
    time_to_shutdown_ms : float
        Time after which the instance that asks is gone, and all answers with it.
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
    jitter : float
        Random cost, in worth, that keeps instances with the same picture apart.
    """

    endpoint: object
    load: EngineLoad
    failure_share: float = 0.0
    pace: float = 1.0
    jitter: float = 0.0


@dataclass(slots=True, frozen=True)
class Placement:
    """Endpoint of an attempt, with the prediction that chose it.

    Attributes
    ----------
    endpoint : ListedEndpoint
    helpers : tuple of ListedEndpoint
    part_prefill_ms : float
        Predicted time of reading one part.
    first_event_ms : float
        Predicted time to the first event.
    cost : float
        Predicted loss of benefit, in worth.
    gain : float
        Predicted benefit less what others lose; below 0 it is better refused.
    reserved_tokens : tuple of int
        Memory to reserve at each helper, 0 for none; empty if the engine has room.
    """

    endpoint: object
    helpers: tuple = ()
    part_prefill_ms: float = 0.0
    first_event_ms: float = 0.0
    cost: float = 0.0
    gain: float = 0.0
    reserved_tokens: tuple = ()

    @property
    def reserved_tokens_by_helper(self):
        """Memory to reserve, by helper."""
        held = zip(self.helpers, self.reserved_tokens, strict=False)
        return {helper: tokens for helper, tokens in held if tokens}
