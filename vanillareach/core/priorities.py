"""Priorities of requests: which ones the requests of a service can have."""

# Priority of a request whose sender doesn't tell it, or where priorities don't apply.
UNKNOWN_PRIORITY = -1


class ServicePriorities:
    """Priorities that the requests of one service can have.

    Attributes
    ----------
    values : tuple of int
        In ascending order; the first is the most urgent.
    """

    __slots__ = ("_least_urgent_by_limits", "values")

    def __init__(self):
        self.values = ()
        self._least_urgent_by_limits = {}

    def add(self, route, team_priorities):
        """Add what a route's requests can have.

        Parameters
        ----------
        route : Route
        team_priorities : set of (int or None)
            Priorities of all teams; None for one without.
        """
        found = {
            route.priority if priority is None else priority
            for priority in team_priorities or {None}
        }
        if route.is_public:
            found.add(route.priority)
        self.values = tuple(sorted({*self.values, *found}))
        limits = (route.objective_ms, route.pause_limit_ms)
        known = self._least_urgent_by_limits.get(limits, max(found))
        self._least_urgent_by_limits[limits] = max(known, *found)

    @property
    def are_ordered(self):
        """Whether there is more than one."""
        return len(self.values) > 1

    def guess(self, objective_ms, pause_limit_ms):
        """Return the least urgent priority that a request with these limits can have.

        A query of an older version doesn't tell the priority, but the route's limits.
        """
        limits = (objective_ms, pause_limit_ms)
        return self._least_urgent_by_limits.get(limits, self.values[-1])


class PriorityIndex:
    """The `ServicePriorities` of the services of the configuration in force."""

    __slots__ = ("_by_service", "_table")

    def __init__(self):
        self._table = None
        self._by_service = {}

    def of(self, table, service):
        """Return a service's `ServicePriorities`, or None unless they are ordered.

        Parameters
        ----------
        table : RouteTable or None
        service : str
        """
        if table is not self._table:
            self._table, self._by_service = table, self._build(table)
        priorities = self._by_service.get(service)
        return priorities if priorities is not None and priorities.are_ordered else None

    @staticmethod
    def _build(table):
        by_service = {}
        if table is None:
            return by_service
        teams = (table.teams_by_key or {}).values()
        team_priorities = {team.priority for team in teams}
        for routes in table.routes_by_host.values():
            for route in routes:
                for service, _ in route.weights_by_service:
                    priorities = by_service.setdefault(service, ServicePriorities())
                    priorities.add(route, team_priorities)
        return by_service
