"""Slowdown factors of engines, estimated from the gaps between stream events.

While an engine has no prefill, its events are one pass apart, and the duration of a
pass is known from the published figures. The factor is the median of the recent gaps
divided by that duration, so single long gaps, caused by the network, don't change it.
Instances send their factors to each other, since each sees only its own streams.
"""

from statistics import median

# Number of gaps needed for an estimate, and the times after which gaps and factors
# expire.
MIN_GAPS_PER_ESTIMATE = 4
GAP_TTL_MS = 1_500.0
PACE_TTL_MS = 3_000.0
# Smaller factors count as 1: buffering and prefills not reported yet lengthen gaps, by
# factors up to 1.6 under light load.
MIN_SLOW_PACE = 1.7


class EnginePaces:
    """Slowdown factors by engine id; 1 where none was learned.

    Attributes
    ----------
    own_paces : dict of str to float
        Factors that this instance has learned itself and that haven't expired.
    """

    __slots__ = (
        "_gaps_by_engine",
        "_peer_paces_by_engine",
        "own_paces",
        "_learned_ms_by_engine",
    )

    def __init__(self):
        self._gaps_by_engine = {}
        self._peer_paces_by_engine = {}
        self._learned_ms_by_engine = {}
        self.own_paces = {}

    @property
    def has_own_data(self):
        """Whether gaps or own factors are stored, which expire."""
        return bool(self._gaps_by_engine or self.own_paces)

    def record_gap(self, engine, gap_ms, now_ms):
        """Record the time between two events of one stream."""
        self._gaps_by_engine.setdefault(engine, []).append((now_ms, gap_ms))

    def clear_gaps(self):
        """Drop all gaps, after this process was suspended for a while."""
        self._gaps_by_engine.clear()

    def update_paces(self, expected_gap_ms, now_ms):
        """Update the factors from the recorded gaps.

        Parameters
        ----------
        expected_gap_ms : callable
            Returns the duration of a pass of an engine at its present load by the
            published figures, or None if prefill lengthens its passes.
        now_ms : float

        Returns
        -------
        list of (str, float)
            Engines whose factor changed, with the new one.
        """
        changes = self._drop_expired(now_ms)
        for engine, gaps in list(self._gaps_by_engine.items()):
            expected_ms = expected_gap_ms(engine)
            if expected_ms is None:
                del self._gaps_by_engine[engine]
                continue
            recent_gaps = _recent(gaps, now_ms)
            self._gaps_by_engine[engine] = recent_gaps
            if not recent_gaps:
                del self._gaps_by_engine[engine]
                continue
            if len(recent_gaps) < MIN_GAPS_PER_ESTIMATE:
                continue
            del self._gaps_by_engine[engine]
            pace = median(gap for _, gap in recent_gaps) / expected_ms
            changes += self._set_own_pace(engine, pace, now_ms)
        return changes

    def slow_engines(self, expected_gap_ms, now_ms):
        """Return the set of engines whose recorded gaps suggest that they are slow.

        It is meant for a prediction by load that may not be complete; see
        `update_paces`.
        """
        slow = set()
        for engine, gaps in self._gaps_by_engine.items():
            expected_ms = expected_gap_ms(engine)
            recent_gaps = _recent(gaps, now_ms)
            if len(recent_gaps) < MIN_GAPS_PER_ESTIMATE or expected_ms is None:
                continue
            if median(gap for _, gap in recent_gaps) >= MIN_SLOW_PACE * expected_ms:
                slow.add(engine)
        return slow

    def merge_peer_paces(self, peer_paces, now_ms):
        """Store factors that a peer has learned, as pairs of engine and factor."""
        for engine, pace in peer_paces:
            self._peer_paces_by_engine[engine] = (pace, now_ms)

    def pace(self, engine, now_ms):
        """Return the slowdown factor of an engine; the own one overrides a peer's."""
        if engine in self.own_paces:
            return self.own_paces[engine]
        pace, received_ms = self._peer_paces_by_engine.get(engine, (1.0, now_ms))
        return pace if now_ms - received_ms < PACE_TTL_MS else 1.0

    def _set_own_pace(self, engine, pace, now_ms):
        previous = self.own_paces.pop(engine, 1.0)
        updated = pace if pace >= MIN_SLOW_PACE else 1.0
        if updated > 1.0:
            self.own_paces[engine] = updated
            self._learned_ms_by_engine[engine] = now_ms
        elif self._peer_paces_by_engine.pop(engine, None) is None and previous == 1.0:
            return []
        return [(engine, updated)]

    def _drop_expired(self, now_ms):
        self._peer_paces_by_engine = {
            engine: (pace, received_ms)
            for engine, (pace, received_ms) in self._peer_paces_by_engine.items()
            if now_ms - received_ms < PACE_TTL_MS
        }
        expired = [
            engine
            for engine in self.own_paces
            if now_ms - self._learned_ms_by_engine[engine] > PACE_TTL_MS
        ]
        for engine in expired:
            del self.own_paces[engine]
        return [(engine, 1.0) for engine in expired]


def _recent(gaps, now_ms):
    """Return the pairs of observation time and gap that have not expired."""
    return [
        (observed_ms, gap)
        for observed_ms, gap in gaps
        if now_ms - observed_ms < GAP_TTL_MS
    ]
