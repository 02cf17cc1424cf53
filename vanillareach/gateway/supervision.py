"""Keeps background tasks running, so that their errors don't end any request."""

import trio

from vanillareach.clock import MS_PER_SECOND
from vanillareach.log import get_logger

# A task that fails again within this time is started again only after a pause.
QUICK_FAILURE_MS = 1_000.0
RESTART_PAUSE_MS = 500.0

log = get_logger("gateway")


class TaskSupervisor:
    """Starts background tasks again after an unexpected error.

    Without it, such an error would end the process with all requests in progress.

    Parameters
    ----------
    clock : Clock

    Attributes
    ----------
    failure_count : int
        Number of errors so far.
    """

    __slots__ = ("_clock", "failure_count")

    def __init__(self, clock):
        self._clock = clock
        self.failure_count = 0

    async def keep_running(self, run):
        """Run a task until it ends by itself or is cancelled.

        Parameters
        ----------
        run : callable
            Coroutine function of the task, which can be called again after an error.
        """
        while True:
            started_ms = self._clock.now_ms()
            try:
                return await run()
            except Exception:
                self.failure_count += 1
                log.exception("Background task failed.", task=run.__qualname__)
            lasted_ms = self._clock.now_ms() - started_ms
            if lasted_ms < QUICK_FAILURE_MS:
                await trio.sleep(RESTART_PAUSE_MS / MS_PER_SECOND)
