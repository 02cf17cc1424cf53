"""Metrics in the Prometheus text format."""

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    SummaryMetricFamily,
)

QUANTILES = (0.5, 0.95, 0.99)


def render_metrics(metrics):
    """Return a `Metrics` rendered in the Prometheus text format."""
    registry = CollectorRegistry()
    registry.register(MetricsCollector(metrics))
    return generate_latest(registry)


class MetricsCollector:
    """Collector that exposes the metrics of one instance to a registry.

    Parameters
    ----------
    metrics : Metrics
    """

    __slots__ = ("_metrics",)

    def __init__(self, metrics):
        self._metrics = metrics

    def collect(self):
        """Yield the metric families; called by the registry."""
        metrics = self._metrics
        yield _counter_family(
            "requests", "Finished requests.", "kind outcome reason", metrics.requests
        )
        yield _counter_family(
            "attempts", "Attempts at endpoints.", "service result", metrics.attempts
        )
        yield _counter_family(
            "failures",
            "Error responses of endpoints that may have run a request.",
            "service status",
            metrics.failures,
        )
        yield _counter_family(
            "refusals",
            "Requests refused for lack of an endpoint.",
            "service priority reason",
            metrics.refusals,
        )
        yield self._waiting_family()
        yield self._first_token_family()
        for name, (help_text, read) in self._metrics.gauges_by_name.items():
            yield GaugeMetricFamily(f"vanillareach_{name}", help_text, value=read())

    def _waiting_family(self):
        waiting = GaugeMetricFamily(
            "vanillareach_waiting",
            "Requests in the queue of this instance.",
            labels=("service", "priority"),
        )
        for service, counts in self._metrics.read_waiting().items():
            for priority, count in counts.items():
                waiting.add_metric((service, str(priority)), count)
        return waiting

    def _first_token_family(self):
        summary = SummaryMetricFamily(
            "vanillareach_first_token_ms",
            "Time to first token by prompt length.",
            labels=("length",),
        )
        for length, latency in self._metrics.first_token_by_length.items():
            summary.add_metric((length,), latency.count, latency.sum_ms)
            for fraction in QUANTILES:
                summary.add_sample(
                    "vanillareach_first_token_ms",
                    {"length": length, "quantile": str(fraction)},
                    latency.quantile(fraction),
                )
        return summary


def _counter_family(name, help_text, label_names, counts_by_labels):
    """Return the counters of one name; `label_names` are separated by spaces."""
    family = CounterMetricFamily(
        f"vanillareach_{name}", help_text, labels=label_names.split()
    )
    for labels, count in counts_by_labels.items():
        family.add_metric(labels, count)
    return family
