"""Counters and latency histograms, exposed in the Prometheus text format."""

from collections import Counter

from hdrh.histogram import HdrHistogram

MIN_LATENCY_MS = 1
MAX_LATENCY_MS = 24 * 3600 * 1000
SIGNIFICANT_DIGITS = 2


class LatencyHistogram:
    """Histogram of durations in milliseconds."""

    __slots__ = ("_histogram", "_sum_ms")

    def __init__(self):
        self._histogram = HdrHistogram(
            MIN_LATENCY_MS, MAX_LATENCY_MS, SIGNIFICANT_DIGITS
        )
        self._sum_ms = 0.0

    def record(self, duration_ms):
        """Add one duration, clamped to the range of the histogram."""
        clamped = min(max(MIN_LATENCY_MS, round(duration_ms)), MAX_LATENCY_MS)
        self._histogram.record_value(clamped)
        self._sum_ms += duration_ms

    @property
    def count(self):
        """Number of recorded durations."""
        return self._histogram.get_total_count()

    @property
    def sum_ms(self):
        """Sum of recorded durations."""
        return self._sum_ms

    def quantile(self, fraction):
        """Return the duration that `fraction` of the values do not exceed."""
        return self._histogram.get_value_at_percentile(100 * fraction)


class Metrics:
    """All metrics of one instance.

    Attributes
    ----------
    requests : collections.Counter
        Finished requests by (kind, outcome, reason).
    attempts : collections.Counter
        Attempts at endpoints by (service, result).
    failures : collections.Counter
        Error responses of endpoints that may have run a request, by (service, status).
    refusals : collections.Counter
        Requests refused for lack of an endpoint, by (service, priority, reason).
    read_waiting : callable
        Returns the number of waiting requests by priority, by service.
    first_token_by_length : dict of str to LatencyHistogram
        Time to first token by length class.
    gauges_by_name : dict of str to tuple
        Help text of each gauge, and the function that reads its value.
    """

    def __init__(self):
        self.requests = Counter()
        self.attempts = Counter()
        self.failures = Counter()
        self.refusals = Counter()
        self.read_waiting = dict
        self.first_token_by_length = {}
        self.gauges_by_name = {}

    def record_first_token(self, length, duration_ms):
        """Record the time to first token of one request."""
        self.first_token_by_length.setdefault(length, LatencyHistogram()).record(
            duration_ms
        )

    def add_gauge(self, name, help_text, read):
        """Register a gauge whose value is read when metrics are scraped."""
        self.gauges_by_name[name] = (help_text, read)

    def render(self):
        """Return the metrics in the Prometheus text format."""
        # Imported here since the Prometheus library takes a tenth of the start-up time
        # and metrics are rarely scraped during the start.
        from vanillareach.exposition import render_metrics

        return render_metrics(self)
