"""Detects that this process or its machine was suspended, or its event loop blocked.

What the instance knows from the store and its peers is then older than its clock says,
because the monotonic clock does not advance while a machine is suspended.
"""

import time

from vanillareach.clock import MS_PER_SECOND
from vanillareach.log import get_logger

# A longer stall makes the state stale.
STALL_THRESHOLD_MS = 400.0
CHECK_INTERVAL_MS = 3_000.0

# Time in which data that has arrived during a stall is received, if the event loop runs
# on time meanwhile, and the longest time that is waited for that.
SETTLING_MS = 100.0
MAX_SETTLING_MS = 200.0
ON_TIME_MS = 20.0

log = get_logger("gateway")


async def wait_until_settled(clock):
    """Wait after a stall until the data that has arrived meanwhile is received.

    Silence that is found before may be that of this instance.
    """
    until_ms = clock.now_ms() + MAX_SETTLING_MS
    is_on_time = False
    while not is_on_time and clock.now_ms() < until_ms:
        due_ms = clock.now_ms() + SETTLING_MS
        await clock.sleep_ms(SETTLING_MS)
        is_on_time = clock.now_ms() <= due_ms + ON_TIME_MS


class StallDetector:
    """Marks the state as stale after a stall.

    Parameters
    ----------
    state : GatewayState
    clock : Clock
    read_boot_ms : callable
        Returns the time since boot, suspensions included; the time of `clock` in tests
        whose clock doesn't follow that of the machine.
    """

    def __init__(self, state, clock, read_boot_ms=None):
        self._state = state
        self._clock = clock
        self._read_boot_ms = read_boot_ms or _boot_ms
        self._suspended_ms = _suspended_ms()

    async def run(self):
        """Check at an interval until cancelled."""
        while True:
            before_ms = self._read_boot_ms()
            await self._clock.sleep_ms(CHECK_INTERVAL_MS)
            self.check_suspension()
            stalled_ms = self._read_boot_ms() - before_ms - CHECK_INTERVAL_MS
            if stalled_ms > STALL_THRESHOLD_MS:
                self._mark_stale(stalled_ms)

    def check_suspension(self):
        """Detect a suspension of the machine since the last check."""
        suspended_ms = _suspended_ms()
        stalled_ms, self._suspended_ms = suspended_ms - self._suspended_ms, suspended_ms
        if stalled_ms > STALL_THRESHOLD_MS:
            self._mark_stale(stalled_ms)

    def _mark_stale(self, stalled_ms):
        log.warning(
            "Event loop stalled; state marked as stale.", for_ms=round(stalled_ms)
        )
        self._state.mark_stale()


def _boot_ms():
    """Return the time since boot, which includes the time of suspensions."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_SECOND


def _suspended_ms():
    """Return how long the machine has been suspended since it booted."""
    return _boot_ms() - time.monotonic() * MS_PER_SECOND
