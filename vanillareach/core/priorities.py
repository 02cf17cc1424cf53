"""Priorities of requests whose sender doesn't tell them."""

# Priority of a request whose sender doesn't tell it, or where priorities don't apply.
UNKNOWN_PRIORITY = -1


class LeastUrgentIndex:
    """Least urgent priority of the routes of each service with the same limits.

    A query of an older version doesn't tell the priority of its request, but the limits
    of its route.
    """

    __slots__ = ("_by_service", "_table")

    def __init__(self):
        self._table = None
        self._by_service = {}

    def of(self, table, service, limits):
        """Return the least urgent priority that a request with these limits can have.

        Parameters
        ----------
        table : RouteTable or None
        service : str
        limits : tuple of (float, float)
            Latency objective and pause limit, in ms. Without a route that has them, all
            routes of the service count.
        """
        if table is not self._table:
            self._table, self._by_service = table, self._build(table)
        by_limits = self._by_service.get(service, {})
        if limits in by_limits:
            return by_limits[limits]
        return max(by_limits.values(), default=UNKNOWN_PRIORITY)

    @staticmethod
    def _build(table):
        by_service = {}
        if table is None:
            return by_service
        teams = (table.teams_by_key or {}).values()
        team_priorities = {team.priority for team in teams} or {None}
        for routes in table.routes_by_host.values():
            for route in routes:
                found = {
                    route.priority if priority is None else priority
                    for priority in team_priorities
                }
                if route.is_public:
                    found.add(route.priority)
                limits = (route.objective_ms, route.pause_limit_ms)
                for service, _ in route.weights_by_service:
                    by_limits = by_service.setdefault(service, {})
                    by_limits[limits] = max(by_limits.get(limits, max(found)), *found)
        return by_service
