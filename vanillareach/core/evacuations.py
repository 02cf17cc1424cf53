"""Failure domains that an operator has evacuated, as one instance knows them.

Each known set has the position of the store at which it was read. A later position
replaces an earlier one, so it doesn't matter in which order the sets of peers arrive,
and a set that a cut-off instance still tells changes nothing.
"""

from vanillareach.core.messages import EvacuationNews

# Domains told in one beacon. Those in which endpoints are listed come first.
MAX_DOMAINS_IN_BEACON = 64
# Domains kept of one list of the store; beyond it the first by name are kept.
MAX_DOMAINS = 1_024
# Longer names are no failure domains; the bound is that of a DNS name.
MAX_NAME_LENGTH = 253
UNKNOWN_POSITION = (-1, -1)


def is_domain_name(name):
    """Return whether a name can be that of a failure domain."""
    return 0 < len(name) <= MAX_NAME_LENGTH and name.isprintable()


class Evacuations:
    """The evacuated domains and the position of the store that listed them.

    Attributes
    ----------
    domains : frozenset of str
    position : tuple of (int, int)
        Era and revision of the store; `UNKNOWN_POSITION` before the first set.
    """

    __slots__ = ("domains", "position")

    def __init__(self):
        self.domains = frozenset()
        self.position = UNKNOWN_POSITION

    @property
    def is_known(self):
        """Whether a set was ever applied."""
        return self.position != UNKNOWN_POSITION

    def is_evacuated(self, domain):
        """Return whether a failure domain is evacuated."""
        return domain in self.domains

    def is_outdated(self, era):
        """Return whether the store is known to be in a later era than the set."""
        return self.is_known and era > self.position[0]

    def apply(self, domains, position):
        """Apply a set unless a later one is known.

        Parameters
        ----------
        domains : iterable of str
        position : tuple of (int, int)
            Era and revision of the store that listed them.

        Returns
        -------
        tuple of (list of str, list of str) or None
            Domains that are evacuated now, and those that are not any more; None if
            the set is older than the known one.
        """
        if tuple(position) < self.position:
            return None
        applied = _limited(name for name in domains if is_domain_name(name))
        before, self.domains = self.domains, applied
        self.position = tuple(position)
        return sorted(applied - before), sorted(before - applied)

    def add(self, domains):
        """Add domains of a set that isn't known completely; return the new ones."""
        before = self.domains
        added = {name for name in domains if is_domain_name(name)}
        self.domains = _limited(before | added)
        return sorted(self.domains - before)

    def news(self, known_domains, age_ms, stamp):
        """Return the `EvacuationNews` for peers.

        Parameters
        ----------
        known_domains : collection of str
            Domains of listed endpoints, which are told first if not all can be.
        age_ms : float
            Time since the store confirmed the set; below 0 if it never did.
        stamp : int
            Identity of that confirmation.
        """
        ordered = sorted(
            self.domains, key=lambda name: (name not in known_domains, name)
        )
        era, revision = self.position
        return EvacuationNews(
            era, revision, tuple(ordered[:MAX_DOMAINS_IN_BEACON]), round(age_ms), stamp
        )


def _limited(domains):
    """Return a set of domains, at most `MAX_DOMAINS`, the first by name."""
    return frozenset(sorted(domains)[:MAX_DOMAINS])
