"""A team's limits shared by the instances of the fleet.

Each failure domain has an even share of a limit, whether it can be reached or not, so
a partition changes nothing. Within a domain a fifth of the share is split evenly and
always there; the rest is granted by the team's home instance for a short time,
according to demand. Grants that stand never add up to more than the rest.
"""

import math

import msgspec

from vanillareach.core.rendezvous import owner_of

EVEN_SHARE = 0.2
GRANT_MS = 2000
ASK_INTERVAL_MS = 500
ASK_ABOVE_USE = 0.5


def team_home(team_name, names):
    """Return the name of the instance that grants a team's share in a domain."""
    return owner_of(f"team/{team_name}", names)


class Grant(msgspec.Struct, frozen=True):
    """Part of the domain's share given to one instance until a time."""

    part: float
    until_ms: float


class GrantBook:
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
        demands = self._live(self._demands_by_team, team_name, now_ms)
        demands[instance] = Grant(max(0.0, demand), now_ms + GRANT_MS)
        total = sum(entry.part for entry in demands.values())
        wanted = demand * min(1.0, (1 - EVEN_SHARE) / max(total, 1e-9))
        grants = self._live(self._grants_by_team, team_name, now_ms)
        standing = sum(g.part for name, g in grants.items() if name != instance)
        part = max(0.0, min(wanted, 1 - EVEN_SHARE - standing))
        grants[instance] = Grant(part, now_ms + GRANT_MS)
        return part

    def _live(self, book, team_name, now_ms):
        live = {
            name: entry
            for name, entry in book.get(team_name, {}).items()
            if entry.until_ms > now_ms
        }
        book[team_name] = live
        return live


class ShareHolder:
    """Parts granted to this instance.

    Attributes
    ----------
    grants_by_team : dict of str to Grant
    """

    __slots__ = ("_asked_ms_by_team", "grants_by_team")

    def __init__(self):
        self.grants_by_team = {}
        self._asked_ms_by_team = {}

    def fraction(self, team_name, instances, domains, now_ms):
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
        part = EVEN_SHARE / max(1, instances)
        if grant is not None and grant.until_ms > now_ms:
            part += grant.part
        if instances <= 1:
            part = 1.0
        return min(1.0, part) / max(1, domains)

    def take(self, team_name, part, now_ms):
        """Take a grant."""
        self.grants_by_team[team_name] = Grant(part, now_ms + GRANT_MS)

    def should_ask(self, team_name, utilization, now_ms):
        """Return whether the home is to be asked, and note the asking.

        Parameters
        ----------
        utilization : float
            Share of what is in force that is used now.
        """
        if utilization < ASK_ABOVE_USE:
            return False
        if now_ms - self._asked_ms_by_team.get(team_name, -math.inf) < ASK_INTERVAL_MS:
            return False
        self._asked_ms_by_team[team_name] = now_ms
        return True


def scaled_limits(limits, fraction):
    """Return a team's limits at one instance; no limit falls below one request."""
    return msgspec.structs.replace(
        limits,
        requests_per_second=limits.requests_per_second * fraction,
        requests_in_flight=max(1, math.floor(limits.requests_in_flight * fraction)),
        tokens_in_flight=limits.tokens_in_flight,
    )
