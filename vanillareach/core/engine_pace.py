"""How much slower than published an engine is, learnt from the streams it writes.

While nothing is read at an engine, its events come one pass apart, and the length of a
pass is known from the published figures. The median of the gaps seen in a while tells
the factor; single long gaps, of a pause on the way, don't move it. What one instance
learns it tells the others, since each sees only its own streams.
"""

from statistics import median

# Gaps that an estimate needs, and the time after which gaps and estimates are dropped.
MIN_GAPS_PER_ESTIMATE = 4
GAP_TTL_MS = 1_500.0
PACE_TTL_MS = 3_000.0
# Buffers and unseen reads stretch gaps: smaller factors are noise, up to 1.6 on a
# calm day.
MIN_SLOW_PACE = 1.7


class EnginePaces:
    """Factors by engine id; 1 where nothing else is known.

    Attributes
    ----------
    own_paces : dict of str to float
        Factors that this instance has learnt itself and still holds.
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

    def record_gap(self, engine, gap_ms, now_ms):
        """Record the time between two events of one stream."""
        self._gaps_by_engine.setdefault(engine, []).append((now_ms, gap_ms))

    def clear_gaps(self):
        """Drop all gaps, after this process stood still."""
        self._gaps_by_engine.clear()

    def learn(self, expected_gap_ms, now_ms):
        """Learn from the gaps that were noted.

        Parameters
        ----------
        expected_gap_ms : callable
            Returns the published length of a pass of an engine as it is loaded, or
            None if reading stretches its passes.
        now_ms : float

        Returns
        -------
        list of (str, float)
            Engines whose factor has become another.
        """
        changes = self._drop_expired(now_ms)
        for engine, gaps in list(self._gaps_by_engine.items()):
            expected_ms = expected_gap_ms(engine)
            if expected_ms is None:
                del self._gaps_by_engine[engine]
                continue
            recent_gaps = [
                (observed_ms, gap)
                for observed_ms, gap in gaps
                if now_ms - observed_ms < GAP_TTL_MS
            ]
            self._gaps_by_engine[engine] = recent_gaps
            if len(recent_gaps) < MIN_GAPS_PER_ESTIMATE:
                continue
            del self._gaps_by_engine[engine]
            pace = median(gap for _, gap in recent_gaps) / expected_ms
            changes += self._set_own_pace(engine, pace, now_ms)
        return changes

    def merge_peer_paces(self, peer_paces, now_ms):
        """Take factors that a peer has learnt, as pairs of engine and factor."""
        for engine, pace in peer_paces:
            self._peer_paces_by_engine[engine] = (pace, now_ms)

    def pace(self, engine, now_ms):
        """Return the factor of an engine."""
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
