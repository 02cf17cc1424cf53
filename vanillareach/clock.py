"""Clock in milliseconds used by all components."""

import time
from abc import ABC, abstractmethod

import trio

MS_PER_SECOND = 1000


class Clock(ABC):
    """Source of time in milliseconds."""

    @abstractmethod
    def now_ms(self):
        """Return monotonic time in milliseconds (float)."""

    @abstractmethod
    def wall_ms(self):
        """Return time since the Unix epoch in milliseconds (int)."""

    @abstractmethod
    async def sleep_ms(self, duration_ms):
        """Suspend the calling task for `duration_ms` milliseconds."""

    @abstractmethod
    def scope_until(self, deadline_ms):
        """Return a scope that is cancelled at the monotonic time `deadline_ms`."""


class TrioClock(Clock):
    """Clock of the running trio loop, which is a mock clock in tests."""

    __slots__ = ("_wall_offset_ms",)

    def __init__(self, wall_offset_ms=None):
        self._wall_offset_ms = wall_offset_ms

    def now_ms(self):
        """Return the loop's time in milliseconds."""
        return trio.current_time() * MS_PER_SECOND

    def wall_ms(self):
        """Return epoch time, or loop time plus the fixed offset when one is set."""
        if self._wall_offset_ms is not None:
            return int(self.now_ms() + self._wall_offset_ms)
        return time.time_ns() // 1_000_000

    async def sleep_ms(self, duration_ms):
        """Suspend the calling task."""
        await trio.sleep(max(0.0, duration_ms) / MS_PER_SECOND)

    def scope_until(self, deadline_ms):
        """Return a trio cancel scope with the given deadline."""
        return trio.CancelScope(deadline=deadline_ms / MS_PER_SECOND)
