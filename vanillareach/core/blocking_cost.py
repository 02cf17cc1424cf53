"""Cost of long prefills that leave too few engines clear for short prompts."""

# Enough engines are kept clear of long prefills to run as many short prompts as decode
# now, each filled to this share of its slots.
CLEAR_SLOT_SHARE = 0.6
# Maximum pending prefill of an engine that counts as clear.
CLEAR_PREFILL_MS = 60.0
# Approximate time to decode the answer to a short prompt.
SHORT_DECODE_S = 2.0
# Factor by which more short prompts may arrive than decode now.
BURST_FACTOR = 2.0
# Share of the worth that a late response loses: it still earns about a quarter.
LATE_LOSS_SHARE = 0.75
MS_PER_SECOND = 1000.0


class BlockingCost:
    """Worth that short prompts lose while too few engines are clear.

    Short prompts that arrive during the prefill of a span are placed on the engines
    with the least pending prefill. The cost counts the time by which the span delays
    the moment when enough of these engines are clear.

    Parameters
    ----------
    figures : EngineFigures
    views : list of EngineView
        All engines.
    """

    __slots__ = ("_arrivals_per_second", "_position", "_prefills", "_worth_per_second")

    def __init__(self, figures, views):
        decoding_count, worth = 0, 0.0
        for view in views:
            decoding_count += len(view.load.decoding_requests)
            worth += sum(flight.worth for flight in view.load.decoding_requests)
        self._prefills = sorted(
            (view.load.pending_prefill_ms, view.endpoint.id)
            for view in views
            if view.load.running < figures.slots
        )
        clear_engines_wanted = 1 + int(
            decoding_count / (CLEAR_SLOT_SHARE * figures.slots)
        )
        self._position = min(clear_engines_wanted, len(self._prefills)) - 1
        self._worth_per_second = worth / SHORT_DECODE_S
        # As many arrive as end.
        self._arrivals_per_second = decoding_count / SHORT_DECODE_S

    def cost(self, span, part_prefill_ms):
        """Return the cost of a span, in worth.

        Parameters
        ----------
        span : tuple of EngineView
        part_prefill_ms : float
            Prefill that the span adds to each of its engines.
        """
        blocked_s = self._blocked_s(span, part_prefill_ms)
        return BURST_FACTOR * LATE_LOSS_SHARE * self._worth_per_second * blocked_s

    def delay_ms(self, span, part_prefill_ms):
        """Return the time that short prompts wait for a clear engine, together.

        Those that arrive while too few are clear wait for half of that time on average.
        """
        blocked_s = self._blocked_s(span, part_prefill_ms)
        return self._arrivals_per_second * blocked_s * blocked_s * MS_PER_SECOND / 2

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
