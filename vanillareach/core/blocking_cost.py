"""Short prompts that long prefills make late by leaving too few engines clear."""

from vanillareach.core.late_callers import LateCallers
from vanillareach.core.priorities import UNKNOWN_PRIORITY

# Enough engines are kept clear of long prefills to run as many short prompts as decode
# now, each filled to this share of its slots.
CLEAR_SLOT_SHARE = 0.6
# Maximum pending prefill of an engine that counts as clear.
CLEAR_PREFILL_MS = 60.0
# Approximate time to decode the answer to a short prompt.
SHORT_DECODE_S = 2.0
# Factor by which more short prompts may arrive than decode now.
BURST_FACTOR = 2.0
MS_PER_SECOND = 1000.0


class BlockingCost:
    """Short prompts that are late since too few engines are clear.

    Short prompts that arrive during the prefill of a span are placed on the engines
    with the least pending prefill. Counted is the time by which the span delays the
    moment when enough of these engines are clear.

    Parameters
    ----------
    figures : EngineFigures
    views : list of EngineView
        All engines.
    priority : int
        Of the request whose prefill is weighed.
    """

    __slots__ = ("_decoding", "_position", "_prefills")

    def __init__(self, figures, views, priority=UNKNOWN_PRIORITY):
        decoding = LateCallers(priority)
        for view in views:
            for (_, stream_priority), count in view.load.stream_counts().items():
                decoding.add(count, stream_priority)
        self._prefills = sorted(
            (view.load.pending_prefill_ms, view.endpoint.id)
            for view in views
            if view.load.running < figures.slots
        )
        clear_engines_wanted = 1 + int(
            decoding.count / (CLEAR_SLOT_SHARE * figures.slots)
        )
        self._position = min(clear_engines_wanted, len(self._prefills)) - 1
        self._decoding = decoding

    def late_callers(self, span, part_prefill_ms):
        """Return the `LateCallers` that arrive while a span blocks too many engines.

        Parameters
        ----------
        span : tuple of EngineView
        part_prefill_ms : float
            Prefill that the span adds to each of its engines.
        """
        blocked_s = self._blocked_s(span, part_prefill_ms)
        # As many short prompts arrive as end.
        factor = BURST_FACTOR * blocked_s / SHORT_DECODE_S
        return LateCallers(
            count=factor * self._decoding.count,
            more_urgent=factor * self._decoding.more_urgent,
        )

    def _blocked_s(self, span, part_prefill_ms):
        """Return by how much a span delays the moment when enough engines are clear."""
        if not self._prefills:
            return 0.0
        span_ids = {view.endpoint.id for view in span}
        # The span moves its engines back; no others come before the position.
        first = self._prefills[: self._position + 1 + len(span)]
        prefills_after_ms = sorted(
            prefill_ms + part_prefill_ms * (engine in span_ids)
            for prefill_ms, engine in first
        )
        before_ms = self._prefills[self._position][0]
        blocked_ms = prefills_after_ms[self._position] - max(
            before_ms, CLEAR_PREFILL_MS
        )
        return max(0.0, blocked_ms) / MS_PER_SECOND
