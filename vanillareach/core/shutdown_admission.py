"""Which requests a stopping instance accepts: those that end before it does.

Only a request's own time limit bounds a stream. The length of a stream, and the time of
an answer, are predicted by those of earlier ones. Early in a stop, while callers still
come because the load balancer doesn't know of it, predictions are good enough.
"""

import math

from vanillareach.core.answer_times import (
    RECENT_ANSWER_FACTOR,
    AnswerTimes,
    safe_answer_ms,
)
from vanillareach.core.engine_time import decode_ms, prefill_ms
from vanillareach.core.routing import RequestKind

# Of shorter answers the time tells more of waiting than of the pace.
MIN_NOMINAL_MS = 200.0
# Recent streams of a route after which the longest of them tells how long the next may
# get, if callers don't declare its length.
MIN_LENGTH_SAMPLES = 20


class ShutdownAdmission:
    """Compares the time that requests need with the time until the instance ends.

    Parameters
    ----------
    state : GatewayState
        Its `stop_deadline_ms` and `prediction_until_ms` are infinite until the instance
        stops.
    """

    def __init__(self, state):
        self._state = state
        self._answer_times = AnswerTimes()
        # Streams in progress whose callers don't declare their length.
        self._running_by_route = {}

    def time_left_ms(self, exchange, now_ms):
        """Return the time in which a response has to end because of the shutdown.

        Infinite for a stream that has begun, which goes on as long as the instance, and
        for a request whose own time limit ends before.
        """
        stop_deadline_ms = self._state.stop_deadline_ms
        if exchange.first_event_ms is not None:
            return math.inf
        if exchange.time_limit_ms <= stop_deadline_ms:
            return math.inf
        return stop_deadline_ms - now_ms

    def least_answer_ms(self, exchange, now_ms):
        """Return the time of an answer at the slowdown that others have had.

        It is 0 if it isn't known or if the instance doesn't stop.
        """
        if math.isinf(self._state.stop_deadline_ms):
            return 0.0
        slowdown = self._answer_times.largest_slowdown(exchange.route.name, now_ms)
        return slowdown * _nominal_ms(exchange, exchange.fields.answer_tokens)

    def is_unbounded(self, exchange, now_ms):
        """Return whether nothing ensures that a stream ends before the instance.

        Before `prediction_until_ms` it may be predicted to; see `ends_too_late`.
        """
        if exchange.route.kind is not RequestKind.STREAM:
            return False
        if exchange.request.received_ms <= self._state.prediction_until_ms:
            return False
        return math.isfinite(self.time_left_ms(exchange, now_ms))

    def ends_too_late(self, exchange, now_ms):
        """Return whether a request may not end in time, wherever it runs.

        It knows no load of engines; that of one that is chosen here counts in its
        placement.
        """
        time_left_ms = self.time_left_ms(exchange, now_ms)
        if math.isinf(time_left_ms):
            return False
        least_ms = self.least_answer_ms(exchange, now_ms)
        if _is_length_unknown(exchange) and not self._is_length_predictable(
            exchange.route.name, least_ms, now_ms
        ):
            return True
        nominal_ms = _nominal_ms(exchange, exchange.fields.answer_tokens)
        return safe_answer_ms(nominal_ms, 1.0, least_ms) > time_left_ms

    def _is_length_predictable(self, route, longest_ms, now_ms):
        """Return whether the longest recent stream of a route tells of the next one.

        It doesn't if it is one of few, or if a stream in progress is longer.
        """
        if self._answer_times.recent_count(route, now_ms) < MIN_LENGTH_SAMPLES:
            return False
        limit_ms = RECENT_ANSWER_FACTOR * longest_ms
        return not any(
            now_ms - running.request.received_ms > limit_ms
            for running in self._running_by_route.get(route, ())
        )

    def record_start(self, exchange):
        """Record that a request is being served."""
        if _is_length_unknown(exchange):
            running = self._running_by_route.setdefault(exchange.route.name, set())
            running.add(exchange)

    def record_end(self, exchange, now_ms):
        """Learn from a request that isn't served any more.

        It counts if one attempt has answered it completely, or for the time that it
        took at least if it is a stream that has begun and whose length isn't declared.
        """
        is_length_unknown = _is_length_unknown(exchange)
        if is_length_unknown:
            self._remove_running(exchange)
        is_counted = exchange.is_answered or (
            is_length_unknown and exchange.first_event_ms is not None
        )
        sent = [a for a in exchange.attempts if a.may_have_been_sent]
        if not is_counted or len(sent) != 1:
            return
        nominal_ms = _nominal_ms(exchange, _answered_tokens(exchange))
        if nominal_ms >= MIN_NOMINAL_MS:
            slowdown = (now_ms - sent[0].sent_ms) / nominal_ms
            self._answer_times.record(exchange.route.name, slowdown, now_ms)

    def _remove_running(self, exchange):
        route = exchange.route.name
        running = self._running_by_route.get(route, set())
        running.discard(exchange)
        if not running:
            self._running_by_route.pop(route, None)


def _answered_tokens(exchange):
    """Return the tokens of the events that a request got; 0 for a plain call."""
    if exchange.service.engine is None or not exchange.last_event_id:
        return 0
    event_count = exchange.last_event_id - (exchange.fields.last_event_id or 0)
    return event_count * exchange.service.engine.steps_per_pass


def _is_length_unknown(exchange):
    return exchange.route.kind is RequestKind.STREAM and not exchange.is_generation


def _nominal_ms(exchange, answer_tokens):
    """Return the time of an answer as published: on an idle engine, or on the route."""
    if not exchange.is_generation:
        return exchange.route.objective_ms
    figures, tokens = exchange.service.engine, exchange.fields.prompt_tokens
    return prefill_ms(figures, tokens) + decode_ms(figures, answer_tokens, 1, tokens)
