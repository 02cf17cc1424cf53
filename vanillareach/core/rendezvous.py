"""Rendezvous hashing: all instances compute the same owners without communication."""

import math
from functools import lru_cache

from vanillareach.core.hashing import hash64

# Number of cached preferences, enough for a few keys for each of a thousand names.
PREFERENCE_CACHE_SIZE = 4_096

MAX_PREFERENCE = 2**64


def rank_owners(key, names):
    """Return `names` ordered by preference for `key`.

    Parameters
    ----------
    key : str
        Item to be owned.
    names : iterable of str
        Candidate owners.

    Returns
    -------
    list of str
        Most preferred first. Removal of one name leaves the others' order unchanged.
    """
    return sorted(names, key=lambda name: preference(key, name), reverse=True)


def rank_of(name, key, names):
    """Return the rank of `name` among `names` by preference for `key`, from 0.

    Parameters
    ----------
    name, key : str
    names : iterable of str
        Candidate owners; `name` need not be among them.
    """
    own = preference(key, name)
    return sum(preference(key, other) > own for other in names)


@lru_cache(maxsize=PREFERENCE_CACHE_SIZE)
def preference(key, name):
    """Return the preference of `key` for `name`; the highest owns it."""
    return hash64(f"{key}/{name}")


def owner_of(key, names):
    """Return the preferred owner of `key`, or None when there are no names."""
    return max(
        names,
        key=lambda name: preference(key, name),
        default=None,
    )


def assign_balanced_owners(keys, names):
    """Assign each key an owner so that no name owns more than an even share of keys.

    Each key is assigned to its most preferred name with capacity left.

    Parameters
    ----------
    keys : sequence of str
    names : collection of str

    Returns
    -------
    dict of str to str
        Owner by key; empty when there are no names.
    """
    if not names:
        return {}
    capacity = math.ceil(len(keys) / len(names))
    owned_by_name = dict.fromkeys(names, 0)
    owners_by_key = {}
    for key in keys:
        owner = next(
            name for name in rank_owners(key, names) if owned_by_name[name] < capacity
        )
        owned_by_name[owner] += 1
        owners_by_key[key] = owner
    return owners_by_key
