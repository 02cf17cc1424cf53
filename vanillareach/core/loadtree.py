"""Which instance polls which engine's load, and the tree that distributes reports.

Each engine is polled by one instance of its failure domain. The pollers send reports to
the domain's collector, which sends batches down a tree of all instances. So an engine
answers a single poller, and no instance sends to more than a few others.
"""

from vanillareach.core.rendezvous import owner_of, rank_owners

# Instances to which each instance of the tree forwards batches.
FANOUT = 3
# Number of engines in a domain above which reports are sent less often.
MAX_ENGINES_AT_BASE_INTERVAL = 30
# Average number of instances per domain from which collectors have no other duties.
MIN_INSTANCES_PER_DOMAIN = 10


def interval_factor(engines):
    """Return the factor by which the report interval is longer in a large domain.

    It keeps the collector's traffic below a bound that doesn't depend on the domain's
    size.
    """
    return max(1.0, engines / MAX_ENGINES_AT_BASE_INTERVAL)


def polls_engine_load(own_name, engine, names):
    """Return whether an instance is the one that polls an engine's load.

    Parameters
    ----------
    own_name, engine : str
    names : collection of str
        Live instances of the engine's failure domain.
    """
    return owner_of(f"engine/{engine}", names) == own_name


def names_without_collectors(records):
    """Return the names of instances that do not collect load reports.

    In a large fleet the traffic of a collector leaves no capacity for further duties.
    In a small one the result has all names.

    Parameters
    ----------
    records : list of MemberRecord
        Live instances of all domains.
    """
    names_by_domain = {}
    for record in records:
        names_by_domain.setdefault(record.domain, []).append(record.name)
    names = {record.name for record in records}
    if len(names) < MIN_INSTANCES_PER_DOMAIN * len(names_by_domain):
        return names
    return names - {
        LoadTree(domain, members).collector
        for domain, members in names_by_domain.items()
    }


class LoadTree:
    """Tree of all live instances of one failure domain, rooted at its collector.

    Parameters
    ----------
    domain : str
    names : collection of str
        Live instances of the domain.
    """

    __slots__ = ("_positions_by_name", "_ranked_names")

    def __init__(self, domain, names):
        self._ranked_names = rank_owners(f"load/{domain}", names)
        self._positions_by_name = {name: i for i, name in enumerate(self._ranked_names)}

    @property
    def collector(self):
        """Name of the instance that collects all reports, or None without names."""
        return self._ranked_names[0] if self._ranked_names else None

    def children_of(self, name):
        """Return the names of the instances to which an instance forwards batches."""
        position = self._positions_by_name.get(name)
        if position is None:
            return []
        first_child = position * FANOUT + 1
        return self._ranked_names[first_child : first_child + FANOUT]
