"""Division of a team's limits among the instances of the fleet.

Each failure domain has an even share of a limit, whether it can be reached or not, so a
partition changes nothing. Within a domain one fifth of the share is divided evenly and
always available. The team's home instance grants the rest by demand, for a short time.
The valid grants never add up to more than the rest.
"""

import math

import msgspec

from vanillareach.core.rendezvous import owner_of

# Part of the domain's share that is divided evenly among its instances.
GUARANTEED_SHARE = 0.2
GRANT_DURATION_MS = 2000
# An instance requests a grant at or above this utilization, at most once per interval.
SHARE_REQUEST_INTERVAL_MS = 500
REQUEST_UTILIZATION = 0.5


def team_home(team_name, names):
    """Return the instance among a domain's `names` that grants a team's share."""
    return owner_of(f"team/{team_name}", names)


class Grant(msgspec.Struct, frozen=True):
    """Fraction of the domain's share, granted to or requested by an instance."""

    fraction: float
    until_ms: float


class ShareGranter:
    """Grants made by this instance for the teams whose home it is."""

    __slots__ = ("_demands_by_team", "_grants_by_team")

    def __init__(self):
        self._grants_by_team = {}
        self._demands_by_team = {}

    def grant(self, team_name, instance, demand, now_ms):
        """Grant a fraction of the domain's share to an instance and return it.

        Parameters
        ----------
        team_name, instance : str
        demand : float
            Fraction of the domain's share that the instance could use.
        now_ms : float
        """
        demands = self._unexpired(self._demands_by_team, team_name, now_ms)
        demands[instance] = Grant(max(0.0, demand), now_ms + GRANT_DURATION_MS)
        total = sum(entry.fraction for entry in demands.values())
        requested = demand * min(1.0, (1 - GUARANTEED_SHARE) / max(total, 1e-9))
        grants = self._unexpired(self._grants_by_team, team_name, now_ms)
        granted_to_others = sum(
            g.fraction for name, g in grants.items() if name != instance
        )
        fraction = max(0.0, min(requested, 1 - GUARANTEED_SHARE - granted_to_others))
        grants[instance] = Grant(fraction, now_ms + GRANT_DURATION_MS)
        return fraction

    def _unexpired(self, entries_by_team, team_name, now_ms):
        live = {
            name: entry
            for name, entry in entries_by_team.get(team_name, {}).items()
            if entry.until_ms > now_ms
        }
        entries_by_team[team_name] = live
        return live


class GrantedShares:
    """Fractions of the domain's shares granted to this instance.

    Attributes
    ----------
    grants_by_team : dict of str to Grant
    """

    __slots__ = ("_requested_ms_by_team", "grants_by_team")

    def __init__(self):
        self.grants_by_team = {}
        self._requested_ms_by_team = {}

    def limits_fraction(self, team_name, instances, domains, now_ms):
        """Return the fraction of a team's limits that is in force at this instance.

        Parameters
        ----------
        team_name : str
        instances : int
            Number of live instances of this failure domain.
        domains : int
            Number of failure domains of the fleet, including unreachable ones.
        now_ms : float
        """
        grant = self.grants_by_team.get(team_name)
        fraction = GUARANTEED_SHARE / max(1, instances)
        if grant is not None and grant.until_ms > now_ms:
            fraction += grant.fraction
        if instances <= 1:
            fraction = 1.0
        return min(1.0, fraction) / max(1, domains)

    def record_grant(self, team_name, fraction, now_ms):
        """Record a grant received from the team's home instance."""
        self.grants_by_team[team_name] = Grant(fraction, now_ms + GRANT_DURATION_MS)

    def should_request_share(self, team_name, utilization, now_ms):
        """Return whether to request a grant now; if so, record the time.

        Parameters
        ----------
        utilization : float
            Share of the limits in force that is currently used.
        """
        if utilization < REQUEST_UTILIZATION:
            return False
        if (
            now_ms - self._requested_ms_by_team.get(team_name, -math.inf)
            < SHARE_REQUEST_INTERVAL_MS
        ):
            return False
        self._requested_ms_by_team[team_name] = now_ms
        return True


def scaled_limits(limits, fraction):
    """Return a fraction of a team's limits, with at least one request in flight.

    The limit on tokens in flight is not divided.
    """
    return msgspec.structs.replace(
        limits,
        requests_per_second=limits.requests_per_second * fraction,
        requests_in_flight=max(1, math.floor(limits.requests_in_flight * fraction)),
        tokens_in_flight=limits.tokens_in_flight,
    )
