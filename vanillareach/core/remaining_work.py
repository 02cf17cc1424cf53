"""Work that endpoints still have to do, predicted from the requests in flight there.

The cost of a request is taken as lognormal, with the median and the high quantile that
its flight carries. What remains is the expected cost, given that it exceeds the work
already done, less that work: a request that has passed its prediction isn't due at
once, but expected to go on the longer, the less certain the prediction was.
"""

import math
from collections import Counter
from heapq import heappop, heappush

from vanillareach.core.engine_time import pass_ms

# Standard deviations of a normal distribution up to its high quantile of 0.9.
HIGH_DEVIATIONS = 1.2816
# Bounds of the spread of predicted costs, as a standard deviation of their logarithm.
MIN_SPREAD = 0.15
MAX_SPREAD = 1.8
# Greatest cost that a flight may claim: tokens, or ms.
MAX_COST = 1e6
# Number of passes that a stream is assumed to last if its flight tells nothing.
DEFAULT_PASSES = 20.0
# Time assumed of a plain call of which nothing is known.
DEFAULT_CALL_MS = 150.0
# Passes that remain of a stream that counts as half of one that a pause delays.
HALF_COUNT_PASSES = 1.0
# Time within which requests that end leave their slots to those not reported yet.
CROWDING_HORIZON_MS = 250.0
# Wait for a slot that counts like a further request beyond the slots.
WAIT_MS_PER_REQUEST = 500.0
# Minimum remaining time, so that a prediction never says that a slot is free already.
MIN_REMAINING_MS = 5.0
# Table of the expected remainder, as a multiple of the work done, by spread and by the
# logarithm of the work done relative to the median.
SPREAD_STEPS = 12
POSITION_STEPS = 64
MIN_POSITION = -4.0
MAX_POSITION = 4.0
MAX_OVERDUE_SPREADS = 4.0


def remaining_work(median, high, done):
    """Return the expected work that is left of a request that still runs.

    Parameters
    ----------
    median, high : float
        Predicted cost.
    done : float
        Work already done, in the same unit.
    """
    if not 0.0 < median <= MAX_COST:
        return 0.0
    spread_index = 0
    if high > median:
        spread = math.log(min(high, MAX_COST) / median) / HIGH_DEVIATIONS
        spread_index = min(
            SPREAD_STEPS, max(0, round((spread - MIN_SPREAD) / SPREAD_STEP))
        )
    if done <= 0.0:
        return median * MEAN_FACTORS[spread_index]
    position = (math.log(done / median) - MIN_POSITION) / POSITION_STEP
    if position <= 0.0:
        return median * MEAN_FACTORS[spread_index] - done
    index = min(POSITION_STEPS, int(position))
    return median * REMAINDERS[spread_index][index]


SPREAD_STEP = (MAX_SPREAD - MIN_SPREAD) / SPREAD_STEPS
POSITION_STEP = (MAX_POSITION - MIN_POSITION) / POSITION_STEPS


def _survival(deviations):
    return 0.5 * math.erfc(deviations / math.sqrt(2.0))


def _expected_remainder(spread, done):
    """Return the expected remainder in multiples of the median; see module."""
    # Far beyond the prediction, the ratio of two tiny probabilities would be noise.
    deviations = min(math.log(done) / spread, MAX_OVERDUE_SPREADS)
    bounded_done = math.exp(spread * deviations)
    mean_beyond = math.exp(spread * spread / 2) * _survival(deviations - spread)
    remainder = mean_beyond / _survival(deviations) - bounded_done
    return remainder * done / bounded_done


def _build_tables():
    means, remainders = [], []
    for step in range(SPREAD_STEPS + 1):
        spread = MIN_SPREAD + step * SPREAD_STEP
        means.append(math.exp(spread * spread / 2))
        remainders.append(
            [
                _expected_remainder(
                    spread, math.exp(MIN_POSITION + (index + 0.5) * POSITION_STEP)
                )
                for index in range(POSITION_STEPS + 1)
            ]
        )
    return means, remainders


MEAN_FACTORS, REMAINDERS = _build_tables()


class CountedWork:
    """Counts each decoding request as one until it ends, as `PredictedLateness` does.

    Subclasses predict what is left of it.
    """

    __slots__ = ()

    # Wait for a slot of an engine whose slots are all taken.
    SLOT_WAIT_MS = 900.0

    def protected_streams(self, figures, view):
        """Return how many streams a pause delays, by pause limit and priority."""
        return view.load.stream_counts().items()

    def slot_wait_ms(self, figures, view):
        """Return the wait for a slot; 0 if one is free."""
        running = view.load.running
        if running < figures.slots:
            return 0.0
        return self.SLOT_WAIT_MS * (1 + running - figures.slots)

    def lasting_requests(self, figures, view):
        """Return how many requests still occupy a slot when a further one comes."""
        return view.load.running

    def lasting_decoding(self, figures, view):
        """Return how many decoding requests a further one shares passes with."""
        return len(view.load.decoding_requests)


class PredictedWork(CountedWork):
    """What remains of the requests at each engine, for one placement."""

    __slots__ = ("_lasting_by_engine", "_slot_wait_ms_by_engine", "_work_by_engine")

    def __init__(self):
        self._work_by_engine = {}
        self._lasting_by_engine = {}
        self._slot_wait_ms_by_engine = {}

    def protected_streams(self, figures, view):
        """Return less than 1 for a stream about to end; see `CountedWork`."""
        return self._work(figures, view)[0]

    def slot_wait_ms(self, figures, view):
        """Return when enough requests have ended; see `CountedWork`."""
        load = view.load
        if load.running < figures.slots:
            return 0.0
        wait_ms = self._slot_wait_ms_by_engine.get(view.endpoint.id)
        if wait_ms is None:
            times_ms = sorted(self.remaining_ms(figures, view))
            position = min(load.running - figures.slots, len(times_ms) - 1)
            wait_ms = times_ms[position] if times_ms else self.SLOT_WAIT_MS
            self._slot_wait_ms_by_engine[view.endpoint.id] = wait_ms
        return wait_ms

    def lasting_requests(self, figures, view):
        """Return the requests not about to end; see `CountedWork`."""
        load = view.load
        if load.running + 2 < figures.slots:
            # Far from the slots the number doesn't matter.
            return load.running
        if load.running >= figures.slots:
            # A wait short enough to be in time is still worse than none, and of late
            # ones the shortest is the best.
            return load.running + self.slot_wait_ms(figures, view) / WAIT_MS_PER_REQUEST
        lasting = self._lasting_by_engine.get(view.endpoint.id)
        if lasting is None:
            lasting = 0.0
            for left_ms in self.remaining_ms(figures, view):
                lasting += min(1.0, left_ms / CROWDING_HORIZON_MS)
            self._lasting_by_engine[view.endpoint.id] = lasting
        return lasting

    def lasting_decoding(self, figures, view):
        """Return the decoding requests not about to end; see `CountedWork`."""
        return self._work(figures, view)[1]

    def remaining_ms(self, figures, view):
        """Return the predicted time left of each request at an engine."""
        load, work = view.load, self._work(figures, view)
        times_ms = list(work[2])
        engine_id = view.endpoint.id
        for flight, _ in load.prefilling_requests:
            if flight.engine == engine_id:
                left = remaining_work(flight.predicted_work, flight.high_work, 0.0)
                passes = left / figures.steps_per_pass if left else DEFAULT_PASSES
                times_ms.append(load.pending_prefill_ms * view.pace + passes * work[3])
        return times_ms

    def _work(self, figures, view):
        """Return protected streams, lasting requests, times left, pass duration."""
        work = self._work_by_engine.get(view.endpoint.id)
        if work is not None:
            return work
        load = view.load
        decoding = load.decoding_requests
        gap_ms = pass_ms(figures, len(decoding), load.context_tokens) * view.pace
        tokens_per_pass = figures.steps_per_pass
        tokens_per_ms = tokens_per_pass / gap_ms if gap_ms > 0.0 else 0.0
        count_by_kind, times_ms, share_sum = Counter(), [], 0.0
        for flight, decoding_ms in zip(decoding, load.decoding_ms, strict=False):
            predicted = flight.predicted_work
            if predicted > 0.0:
                # The first event has the tokens of a whole pass.
                done = tokens_per_pass + tokens_per_ms * decoding_ms
                passes = (
                    remaining_work(predicted, flight.high_work, done) / tokens_per_pass
                )
            else:
                passes = DEFAULT_PASSES
            share = passes / (passes + HALF_COUNT_PASSES)
            share_sum += share
            count_by_kind[flight.pause_limit_ms, flight.priority] += share
            times_ms.append(max(MIN_REMAINING_MS, passes * gap_ms))
        work = (list(count_by_kind.items()), share_sum, times_ms, gap_ms)
        self._work_by_engine[view.endpoint.id] = work
        return work


COUNTED_WORK = CountedWork()


def queue_ms(flights, slots):
    """Return the wait of a further plain call at an endpoint, and the work left there.

    Calls are run in the order of their dispatch, as many at once as there are slots.

    Parameters
    ----------
    flights : list of (InFlightRequest, float)
        Calls at the endpoint, with their ages in ms.
    slots : int

    Returns
    -------
    tuple of (float, float)
        Wait for a slot and the sum of the times left, both in ms.
    """
    slots, work_ms = max(1, slots), 0.0
    ends_ms = []
    for flight, age_ms in sorted(flights, key=lambda item: -item[1]):
        median, high = flight.predicted_work, flight.high_work
        if not 0.0 < median <= MAX_COST:
            median = high = DEFAULT_CALL_MS
        if len(ends_ms) < slots:
            start_ms, elapsed_ms = 0.0, age_ms
        else:
            start_ms, elapsed_ms = heappop(ends_ms), 0.0
        left_ms = max(MIN_REMAINING_MS, remaining_work(median, high, elapsed_ms))
        work_ms += left_ms
        heappush(ends_ms, start_ms + left_ms)
    wait_ms = ends_ms[0] if len(ends_ms) >= slots else 0.0
    return wait_ms, work_ms
