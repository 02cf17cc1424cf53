"""Limits what all attempts of an instance hold of events and answers.

Incomplete ones count, and error responses that are kept while another attempt runs.
"""

import itertools

import trio

from vanillareach.endpoints.base import EndpointBrokenError

# What 16 attempts hold at most, of an event or an answer each.
MAX_BUFFERED_BYTES = 64 * 1024 * 1024
# Less isn't counted: it is no more than the buffer of one read.
MIN_COUNTED_BYTES = 64 * 1024


class BufferBudget:
    """Budget of bytes that are held while the rest of an event or answer is awaited.

    When it is exceeded, the attempts that have waited longest are broken off: what is
    sound is complete soon.

    Attributes
    ----------
    max_bytes : int
    """

    __slots__ = ("_bytes_by_share", "_numbers", "_total_bytes", "max_bytes")

    def __init__(self, max_bytes=MAX_BUFFERED_BYTES):
        self.max_bytes = max_bytes
        self._bytes_by_share = {}
        self._total_bytes = 0
        self._numbers = itertools.count()

    def share(self):
        """Return the `BufferShare` of one attempt."""
        return BufferShare(self)

    def next_number(self):
        """Return a number that is greater than those returned before."""
        return next(self._numbers)

    def add(self, share, buffered_bytes):
        """Count what a share holds while it waits."""
        self._bytes_by_share[share] = buffered_bytes
        self._total_bytes += buffered_bytes
        while self._total_bytes > self.max_bytes:
            oldest = min(self._bytes_by_share, key=lambda share: share.number)
            self.remove(oldest)
            oldest.revoke()

    def remove(self, share):
        """Cease to count a share."""
        self._total_bytes -= self._bytes_by_share.pop(share, 0)


class BufferShare:
    """What one attempt holds of an incomplete event or answer.

    Parameters
    ----------
    budget : BufferBudget

    Attributes
    ----------
    number : int or None
        Smaller for a share that has been counted for longer; None while it isn't.
    """

    __slots__ = ("_budget", "_scope", "number")

    def __init__(self, budget):
        self._budget = budget
        self._scope = None
        self.number = None

    async def next_data(self, response, buffered_bytes):
        """Return the next bytes of a response, while those buffered are held.

        Raises
        ------
        EndpointBrokenError
            If the response is aborted, malformed, or must make room for others.
        """
        if buffered_bytes < MIN_COUNTED_BYTES:
            self.number = None
            return await response.next_data()
        if self.number is None:
            self.number = self._budget.next_number()
        with trio.CancelScope() as self._scope:
            self._budget.add(self, buffered_bytes)
            try:
                return await response.next_data()
            finally:
                self._budget.remove(self)
        raise EndpointBrokenError("too many incomplete events and answers")

    def revoke(self):
        """End the wait for the next bytes."""
        self._scope.cancel()


class KeptBody:
    """A body that is kept while another attempt runs.

    Parameters
    ----------
    budget : BufferBudget
    size : int
        In bytes.
    on_revoked : callable
        Called if the body must make room for others.

    Attributes
    ----------
    number : int
        See `BufferShare`.
    """

    __slots__ = ("_budget", "_on_revoked", "number")

    def __init__(self, budget, size, on_revoked):
        self._budget = budget
        self._on_revoked = on_revoked
        self.number = budget.next_number()
        if size >= MIN_COUNTED_BYTES:
            budget.add(self, size)

    def release(self):
        """Cease to count the body."""
        self._budget.remove(self)

    def revoke(self):
        """Let the body be dropped."""
        self._on_revoked()
