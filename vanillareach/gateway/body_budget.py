"""Limits what the bodies of callers' requests take of an instance's memory.

A body is held until its request has its response: another endpoint may need it. So
endpoints that read slowly, or callers that send many large bodies, would take all.
"""

# Less isn't counted: it is no more than the buffer of one read.
MIN_COUNTED_BYTES = 64 * 1024
# Budget if the memory of the machine isn't known, and its share of it otherwise.
DEFAULT_MAX_BYTES = 128 * 1024 * 1024
MEMORY_SHARE = 0.4
BYTES_PER_MB = 1_000_000


class BodyBudget:
    """Budget of the bytes of request bodies that are held.

    Parameters
    ----------
    max_bytes : int

    Attributes
    ----------
    held_bytes : int
    refused_count : int
        Requests for whose body there was no room.
    """

    __slots__ = ("held_bytes", "max_bytes", "refused_count")

    def __init__(self, max_bytes=DEFAULT_MAX_BYTES):
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self.refused_count = 0

    def share(self):
        """Return the `BodyShare` of one connection."""
        return BodyShare(self)


class BodyShare:
    """What the body of one connection's request takes of a budget.

    Parameters
    ----------
    budget : BodyBudget
    """

    __slots__ = ("_budget", "_held_bytes")

    def __init__(self, budget):
        self._budget = budget
        self._held_bytes = 0

    def grow_to(self, size):
        """Return whether there is room for a body of so many bytes."""
        budget = self._budget
        added_bytes = size - self._held_bytes
        if size < MIN_COUNTED_BYTES or added_bytes <= 0:
            return True
        if budget.held_bytes + added_bytes > budget.max_bytes:
            budget.refused_count += 1
            return False
        budget.held_bytes += added_bytes
        self._held_bytes = size
        return True

    def release(self):
        """Cease to count the body."""
        self._budget.held_bytes -= self._held_bytes
        self._held_bytes = 0


def budget_of_memory(memory_mb):
    """Return the `BodyBudget` of an instance with so much memory; 0 if unknown."""
    if not memory_mb:
        return BodyBudget()
    return BodyBudget(int(MEMORY_SHARE * memory_mb * BYTES_PER_MB))
