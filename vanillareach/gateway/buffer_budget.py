"""Limits what an instance holds of events and answers.

Incomplete ones count, error responses that are kept while another attempt runs, and
what callers haven't read.
"""

import itertools
from functools import partial

import trio

from vanillareach.endpoints.base import EndpointBrokenError

# What 16 attempts hold at most, of an event or an answer each.
MAX_BUFFERED_BYTES = 64 * 1024 * 1024
# Less isn't counted: it is no more than the buffer of one read.
MIN_COUNTED_BYTES = 64 * 1024


class BufferRevokedError(Exception):
    """What is held must make room for others."""


class BufferBudget:
    """Budget of bytes that are held while the rest is awaited, or a caller that reads.

    When it is exceeded, those that have waited longest are broken off: what is sound is
    complete soon, and read soon.

    Attributes
    ----------
    max_bytes, total_bytes : int
    revoked_count : int
        Shares that had to make room for others.
    """

    __slots__ = (
        "_bytes_by_share",
        "_numbers",
        "max_bytes",
        "revoked_count",
        "total_bytes",
    )

    def __init__(self, max_bytes=MAX_BUFFERED_BYTES):
        self.max_bytes = max_bytes
        self.total_bytes = 0
        self.revoked_count = 0
        self._bytes_by_share = {}
        self._numbers = itertools.count()

    def share(self):
        """Return the `BufferShare` of one attempt, or of one response to a caller."""
        return BufferShare(self)

    def next_number(self):
        """Return a number that is greater than those returned before."""
        return next(self._numbers)

    def add(self, share, buffered_bytes):
        """Count what a share holds while it waits."""
        self._bytes_by_share[share] = buffered_bytes
        self.total_bytes += buffered_bytes
        while self.total_bytes > self.max_bytes:
            oldest = min(self._bytes_by_share, key=lambda share: share.number)
            self.remove(oldest)
            self.revoked_count += 1
            oldest.revoke()

    def remove(self, share):
        """Cease to count a share."""
        self.total_bytes -= self._bytes_by_share.pop(share, 0)


class BufferShare:
    """What one attempt holds of an incomplete event or answer, or one response unread.

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
        try:
            return await self._hold(buffered_bytes, response.next_data)
        except BufferRevokedError as error:
            message = "too many incomplete events and answers"
            raise EndpointBrokenError(message) from error

    async def send(self, sock, data, unsent_bytes):
        """Send some of `data` to a caller; return how many bytes.

        Parameters
        ----------
        sock : trio.socket.SocketType
        data : bytes-like
        unsent_bytes : int
            What is held of the response.

        Raises
        ------
        BufferRevokedError
            If the caller hasn't read for too long.
        """
        if unsent_bytes < MIN_COUNTED_BYTES:
            return await sock.send(data)
        # A caller that has read some begins to wait anew.
        self.number = self._budget.next_number()
        return await self._hold(unsent_bytes, partial(sock.send, data))

    async def _hold(self, held_bytes, wait):
        with trio.CancelScope() as self._scope:
            self._budget.add(self, held_bytes)
            try:
                return await wait()
            finally:
                self._budget.remove(self)
        raise BufferRevokedError(f"{held_bytes} bytes held")

    def revoke(self):
        """End the wait."""
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
