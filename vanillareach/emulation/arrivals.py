"""Random arrival times and sizes of the requests of a scenario."""

import math
from dataclasses import dataclass

MIN_PROMPT_TOKENS = 100
MIN_ANSWER_TOKENS = 1


@dataclass(slots=True, frozen=True)
class Arrival:
    """One request of a caller.

    Attributes
    ----------
    number : int
        Position in the order of arrival.
    at_s : float
        Time since the start of the run.
    kind : KindTable
    prompt_tokens, answer_tokens : int
        Sizes drawn at random; 0 for a plain service.
    """

    number: int
    at_s: float
    kind: object
    prompt_tokens: int
    answer_tokens: int


def rate_factor(arrivals, at_s):
    """Return the factor by which the rates are multiplied at a time.

    Parameters
    ----------
    arrivals : ArrivalsTable
    at_s : float
    """
    if arrivals.process == "bursts":
        return arrivals.factor if at_s % arrivals.period_s < arrivals.burst_s else 1.0
    if arrivals.process == "shift":
        return arrivals.factor if at_s >= arrivals.at_s else 1.0
    return 1.0


def plan_arrivals(scenario, random):
    """Return every `Arrival` of a scenario, ordered by time.

    The arrivals of a kind are a Poisson process with a time-varying rate, sampled by
    thinning: drawn at the peak rate, then each accepted with a probability of the
    current rate over the peak rate.
    """
    unnumbered = []
    for kind in scenario.kinds:
        for at_s in _draw_arrival_times(scenario, kind, random):
            unnumbered.append((at_s, kind, *_draw_sizes(scenario, kind, random)))
    unnumbered.sort(key=lambda item: item[0])
    return [Arrival(number, *item) for number, item in enumerate(unnumbered)]


def _draw_arrival_times(scenario, kind, random):
    peak_factor = max(1.0, scenario.arrivals.factor)
    at_s = random.expovariate(kind.per_s * peak_factor)
    while at_s < scenario.duration_s:
        if random.random() * peak_factor < rate_factor(scenario.arrivals, at_s):
            yield at_s
        at_s += random.expovariate(kind.per_s * peak_factor)


def _draw_sizes(scenario, kind, random):
    if not scenario.is_generation(kind):
        return 0, 0
    # The mean of a log-normal distribution is exp(log_median + spread**2 / 2).
    log_median = math.log(kind.prompt_tokens) - kind.spread**2 / 2
    prompt_tokens = max(
        MIN_PROMPT_TOKENS, int(random.lognormvariate(log_median, kind.spread))
    )
    if kind.most_prompt_tokens:
        prompt_tokens = min(prompt_tokens, kind.most_prompt_tokens)
    answer_tokens = (
        random.expovariate(1.0 / kind.answer_tokens) if kind.answer_tokens else 0
    )
    return prompt_tokens, max(MIN_ANSWER_TOKENS, int(answer_tokens))
