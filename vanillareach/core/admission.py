"""Admission control by the limits of each team."""

from vanillareach.core.buckets import TokenBucket
from vanillareach.core.outcomes import Reason, Refusal

# Part of a caller's deadline that is reserved for sending the response.
ANSWER_MARGIN_MS = 50
# A team may send a burst of this many seconds' worth of its request rate.
RATE_BURST_S = 2.0
# Retry-After of a request refused for the team's requests or tokens in flight.
IN_FLIGHT_RETRY_AFTER_MS = 1000
# Minimum time over which a team's request rate is measured.
MIN_RATE_WINDOW_MS = 250
# Factor by which the demand reported to the team's home exceeds the measured usage.
DEMAND_HEADROOM = 1.5


class TeamUsage:
    """Current usage of one team at this instance.

    Attributes
    ----------
    limits : TeamLimits
        Limits in force at this instance.
    in_flight, tokens_in_flight : int
        Requests in flight and the tokens they reserve.
    request_count : int
        Requests since `count_started_ms`, rejected ones included.
    count_started_ms : float
    bucket : TokenBucket
        Limits the request rate.
    """

    __slots__ = (
        "bucket",
        "count_started_ms",
        "in_flight",
        "limits",
        "request_count",
        "tokens_in_flight",
    )

    def __init__(self, limits, now_ms):
        self.limits = limits
        self.in_flight = 0
        self.request_count = 0
        self.count_started_ms = now_ms
        self.tokens_in_flight = 0
        self.bucket = TokenBucket(limits.requests_per_second, _burst(limits), now_ms)


def _burst(limits):
    return max(1.0, limits.requests_per_second * RATE_BURST_S)


class Permit:
    """An admitted request; must be released exactly once."""

    __slots__ = ("team_name", "tokens")

    def __init__(self, team_name, tokens):
        self.team_name = team_name
        self.tokens = tokens


class AdmissionController:
    """Admits requests within their team's limits.

    Attributes
    ----------
    usage_by_team : dict of str to TeamUsage
    """

    __slots__ = ("usage_by_team",)

    def __init__(self):
        self.usage_by_team = {}

    def admit(self, team_name, limits, estimate, now_ms):
        """Admit one request.

        Parameters
        ----------
        team_name : str
            The caller's team.
        limits : TeamLimits
            Limits in force at this instance.
        estimate : WorkEstimate
            Estimated work of the request.
        now_ms : float
            Current time.

        Returns
        -------
        Permit or Refusal
        """
        usage = self._usage_of(team_name, limits, now_ms)
        usage.request_count += 1
        tokens = estimate.kv_tokens
        if tokens > limits.tokens_in_flight:
            return Refusal(
                Reason.TOO_LARGE,
                f"{tokens} tokens exceed the team's limit of {limits.tokens_in_flight}",
            )
        if usage.in_flight >= limits.requests_in_flight:
            return Refusal(
                Reason.TEAM_LIMIT,
                f"{usage.in_flight} requests of the team are in flight",
                retry_after_ms=IN_FLIGHT_RETRY_AFTER_MS,
            )
        if usage.tokens_in_flight + tokens > limits.tokens_in_flight:
            return Refusal(
                Reason.TEAM_LIMIT,
                f"{usage.tokens_in_flight} tokens of the team are in flight",
                retry_after_ms=IN_FLIGHT_RETRY_AFTER_MS,
            )
        if not usage.bucket.try_acquire(1.0, now_ms):
            return Refusal(
                Reason.RATE_LIMITED,
                "the team sends more requests a second than it may",
                retry_after_ms=usage.bucket.wait_ms(1.0, now_ms),
            )
        usage.in_flight += 1
        usage.tokens_in_flight += tokens
        return Permit(team_name, tokens)

    def release(self, permit):
        """Release the capacity that an admitted request occupied."""
        usage = self.usage_by_team[permit.team_name]
        usage.in_flight -= 1
        usage.tokens_in_flight -= permit.tokens

    def utilization(self, team_name):
        """Return the share of the limits in force that a team currently uses."""
        usage = self.usage_by_team.get(team_name)
        if usage is None:
            return 0.0
        in_flight = usage.in_flight / usage.limits.requests_in_flight
        return max(in_flight, 1.0 - usage.bucket.fill_ratio)

    def demand(self, team_name, domain_limits, now_ms):
        """Return the fraction of the domain's limits that a team could use here.

        The request rate is measured since the previous call.

        Parameters
        ----------
        team_name : str
        domain_limits : TeamLimits
            Limits of the team in this failure domain.
        now_ms : float

        Returns
        -------
        float
            Fraction with headroom, at most 1.
        """
        usage = self.usage_by_team.get(team_name)
        if usage is None:
            return 0.0
        elapsed_s = max(now_ms - usage.count_started_ms, MIN_RATE_WINDOW_MS) / 1000
        rate = usage.request_count / elapsed_s
        usage.request_count = 0
        usage.count_started_ms = now_ms
        fraction = max(
            rate / domain_limits.requests_per_second,
            usage.in_flight / domain_limits.requests_in_flight,
        )
        return min(1.0, fraction * DEMAND_HEADROOM)

    def _usage_of(self, team_name, limits, now_ms):
        usage = self.usage_by_team.get(team_name)
        if usage is None:
            usage = self.usage_by_team[team_name] = TeamUsage(limits, now_ms)
        elif usage.limits != limits:
            usage.limits = limits
            usage.bucket.set_rate(limits.requests_per_second, _burst(limits), now_ms)
        return usage
