"""Times that answers take, by which a stopping instance accepts requests.

What it accepts has to end before the instance does. A prediction by published figures
isn't enough for that: engines are slower than published without being known as slow.
So the slowest recent answer of a route counts for the next ones.
"""

from collections import deque

from vanillareach.core.engine_pace import MIN_SLOW_PACE

# Answers of each route that are kept, and for how long they count.
MAX_ANSWERS = 64
ANSWER_TTL_MS = 600_000.0
# If there are more routes, the one without an answer for the longest time is dropped.
MAX_ROUTES = 256
# Factor for load that comes later; the slowest recent answer has had most of it.
LATER_LOAD_FACTOR = 1.25
RECENT_ANSWER_FACTOR = 1.1
# An engine that isn't known as slow may be slower than published by nearly this factor.
UNKNOWN_SLOWDOWN = MIN_SLOW_PACE


class AnswerTimes:
    """Recent slowdowns of answers, by route.

    The slowdown is the time that an answer took, relative to a nominal time that is
    known before.
    """

    __slots__ = ("_answers_by_route",)

    def __init__(self):
        self._answers_by_route = {}

    def record(self, route, slowdown, now_ms):
        """Record the slowdown of one answer."""
        answers = self._answers_by_route.pop(route, None)
        if answers is None:
            answers = deque(maxlen=MAX_ANSWERS)
        answers.append((now_ms, slowdown))
        self._answers_by_route[route] = answers
        if len(self._answers_by_route) > MAX_ROUTES:
            del self._answers_by_route[next(iter(self._answers_by_route))]

    def largest_slowdown(self, route, now_ms):
        """Return the largest recent slowdown; 0 if no answer of the route is known."""
        return max(self._recent_slowdowns(route, now_ms), default=0.0)

    def recent_count(self, route, now_ms):
        """Return the number of recent answers of a route."""
        return len(self._recent_slowdowns(route, now_ms))

    def _recent_slowdowns(self, route, now_ms):
        return [
            slowdown
            for answered_ms, slowdown in self._answers_by_route.get(route, ())
            if now_ms - answered_ms < ANSWER_TTL_MS
        ]


def safe_answer_ms(predicted_ms, pace, least_ms=0.0):
    """Return the time to reckon with until an answer is complete.

    Parameters
    ----------
    predicted_ms : float
        Predicted time of an engine that runs as published.
    pace : float
        Factor by which the engine is known to be slower.
    least_ms : float
        What the answer takes at the slowdown that others had.
    """
    slowdown = max(LATER_LOAD_FACTOR * pace, UNKNOWN_SLOWDOWN)
    return max(slowdown * predicted_ms, RECENT_ANSWER_FACTOR * least_ms)
