"""When refused callers are told to come back."""

import math

# Least Retry-After, and the share of it that is added at random.
MIN_RETRY_AFTER_MS = 100.0
RETRY_AFTER_SPREAD = 0.25
# A caller waits for no longer than this share of its remaining time.
MAX_RETRY_AFTER_TIME_SHARE = 1 / 3


class RetryBook:
    """When refused callers of one service were told to come back.

    Each one takes up the engine time of its request, so that those refused together
    come back one after another.
    """

    __slots__ = ("_booked_until_ms_by_priority",)

    def __init__(self):
        self._booked_until_ms_by_priority = {}

    def retry_after_ms(
        self, priority, wait_ms, engine_ms, time_to_deadline_ms, draw, now_ms
    ):
        """Return the delay after which a refused caller should try again.

        Parameters
        ----------
        priority : int
        wait_ms : float
            Predicted time until there is room for it; infinite if unknown.
        engine_ms : float
            Time that its request takes of all engines together.
        time_to_deadline_ms : float
            Time that its caller has left.
        draw : float
            Uniform random number from 0 to 1.
        now_ms : float
        """
        booked = self._booked_until_ms_by_priority
        # Callers of more urgent priorities don't wait for those of less urgent ones.
        booked_until_ms = max(
            (until for p, until in booked.items() if p <= priority), default=0.0
        )
        limit_ms = max(0.0, MAX_RETRY_AFTER_TIME_SHARE * time_to_deadline_ms)
        latest_ms = now_ms + limit_ms
        room_ms = max(now_ms + wait_ms, booked_until_ms)
        if math.isfinite(wait_ms):
            # A caller comes back by the latest time, whatever it is told.
            booked[priority] = max(booked_until_ms, min(latest_ms, room_ms + engine_ms))
        delay_ms = max(MIN_RETRY_AFTER_MS, room_ms - now_ms)
        if delay_ms * (1.0 + RETRY_AFTER_SPREAD) > limit_ms:
            return limit_ms * (1.0 - RETRY_AFTER_SPREAD * draw)
        return delay_ms * (1.0 + RETRY_AFTER_SPREAD * draw)
