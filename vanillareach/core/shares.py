"""A team's limits shared by the instances of the fleet.

Each failure domain has an even share of a limit, whether it can be reached or not, so
a partition changes nothing. Within a domain a fifth of the share is split evenly and
always there; the rest is granted by the team's home instance for a short time,
according to demand. Grants that stand never add up to more than the rest.
"""

import math

import msgspec

from vanillareach.core.rendezvous import owner_of

GUARANTEED_SHARE = 0.2
GRANT_DURATION_MS = 2000
SHARE_REQUEST_INTERVAL_MS = 500
REQUEST_UTILIZATION = 0.5


def team_home(team_name, names):
    """Return the name of the instance that grants a team's share in a domain."""
    return owner_of(f"team/{team_name}", names)


class Grant(msgspec.Struct, frozen=True):
    """Part of the domain's share given to one instance until a time."""

    fraction: float
    until_ms: float


class ShareGranter:
    """Grants given by this instance for the teams whose home it is."""

    __slots__ = ("_demands_by_team", "_grants_by_team")

    def __init__(self):
        self._grants_by_team = {}
        self._demands_by_team = {}

    def grant(self, team_name, instance, demand, now_ms):
        """Return the part of the domain's share an instance may use.

        Parameters
        ----------
        team_name, instance : str
        demand : float
            Part of the domain's share that the instance could use.
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
    """Parts granted to this instance.

    Attributes
    ----------
    grants_by_team : dict of str to Grant
    """

    __slots__ = ("_requested_ms_by_team", "grants_by_team")

    def __init__(self):
        self.grants_by_team = {}
        self._requested_ms_by_team = {}

    def limits_fraction(self, team_name, instances, domains, now_ms):
        """Return the part of a team's limits in force at this instance.

        Parameters
        ----------
        team_name : str
        instances : int
            Living instances of this failure domain.
        domains : int
            Failure domains of the fleet, those cut off included.
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
        """Take a grant."""
        self.grants_by_team[team_name] = Grant(fraction, now_ms + GRANT_DURATION_MS)

    def should_request_share(self, team_name, utilization, now_ms):
        """Return whether the home is to be asked, and note the asking.

        Parameters
        ----------
        utilization : float
            Share of what is in force that is used now.
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
    """Return a team's limits at one instance; no limit falls below one request."""
    return msgspec.structs.replace(
        limits,
        requests_per_second=limits.requests_per_second * fraction,
        requests_in_flight=max(1, math.floor(limits.requests_in_flight * fraction)),
        tokens_in_flight=limits.tokens_in_flight,
    )
