"""Reads decision logs of gateways: timelines of requests and prediction errors.

Log collectors may add a prefix to each line. Lines without a JSON object are skipped.
"""

import json
from dataclasses import dataclass
from datetime import datetime

from vanillareach.core.dispatching import SHORT_PROMPT_TOKENS

MS_PER_SECOND = 1000.0
QUANTILES = (0.1, 0.5, 0.9, 0.99)
DISPATCHED_EVENT = "[request] Dispatched."
ATTEMPT_ENDED_EVENT = "[request] Attempt ended."
# Fields that every line has, or that a timeline shows in its own format.
OMITTED_FIELDS = frozenset(("id", "event", "level", "timestamp"))


@dataclass(slots=True, frozen=True)
class LogLine:
    """One line of a decision log.

    Attributes
    ----------
    timestamp_ms : float
        Wall time since the epoch.
    event : str
    fields : dict
        All fields of the line.
    """

    timestamp_ms: float
    event: str
    fields: dict

    @property
    def request_id(self):
        """Id of the request that the line is about, or None."""
        return self.fields.get("id")


def read_lines(stream):
    """Yield a `LogLine` for each line that is a valid log entry.

    Parameters
    ----------
    stream : iterable of str
    """
    for text in stream:
        json_start = text.find("{")
        if json_start < 0:
            continue
        try:
            fields = json.loads(text[json_start:])
            timestamp_ms = (
                MS_PER_SECOND * datetime.fromisoformat(fields["timestamp"]).timestamp()
            )
            event = fields["event"]
        except (ValueError, KeyError, TypeError):
            continue
        yield LogLine(timestamp_ms, event, fields)


def request_timeline(lines, request_id):
    """Return the timeline of a request as text, a line for each event.

    Events at the endpoints that it was sent to are included, marked by an asterisk, if
    they happened while it ran: they are often the cause of its outcome.
    """
    lines = sorted(lines, key=lambda line: line.timestamp_ms)
    own_lines = [line for line in lines if line.request_id == request_id]
    if not own_lines:
        return ""
    start_ms, end_ms = own_lines[0].timestamp_ms, own_lines[-1].timestamp_ms
    endpoints = {
        line.fields["endpoint"] for line in own_lines if "endpoint" in line.fields
    }
    timeline_lines = [
        line
        for line in lines
        if line.request_id == request_id
        or (
            start_ms <= line.timestamp_ms <= end_ms
            and _mentions_endpoint(line, endpoints)
        )
    ]
    return "\n".join(
        _format_line(line, start_ms, request_id) for line in timeline_lines
    )


def _mentions_endpoint(line, endpoints):
    if line.request_id is not None:
        return False
    if line.fields.get("endpoint") in endpoints:
        return True
    changes = line.fields.get("changes", ())
    return any(change.split(" ")[0] in endpoints for change in changes)


def _format_line(line, start_ms, request_id):
    fields = [
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in OMITTED_FIELDS and value not in (None, "", [])
    ]
    marker = " " if line.request_id == request_id else "*"
    return (
        f"{line.timestamp_ms - start_ms:9.0f} ms {marker} {line.event} "
        f"{' '.join(fields)}"
    )


@dataclass(slots=True, frozen=True)
class Prediction:
    """Predicted and observed time from a dispatch to the first event, in ms."""

    prompt_tokens: int
    predicted_ms: float
    observed_ms: float


def collect_predictions(lines):
    """Return the `Prediction` of every attempt that received a first event.

    Attempts that resumed a stream are left out, as its first event came before them.
    """
    dispatch_by_request_id, predictions = {}, []
    for line in sorted(lines, key=lambda line: line.timestamp_ms):
        fields = line.fields
        if line.event == DISPATCHED_EVENT and fields.get("prompt"):
            dispatch_by_request_id[line.request_id] = line
        elif (
            line.event == ATTEMPT_ENDED_EVENT
            and fields.get("first_event_ms") is not None
        ):
            dispatch = dispatch_by_request_id.pop(line.request_id, None)
            if dispatch is None or dispatch.fields["endpoint"] != fields["endpoint"]:
                continue
            request_received_ms = line.timestamp_ms - fields["after_ms"]
            observed_ms = (
                request_received_ms + fields["first_event_ms"] - dispatch.timestamp_ms
            )
            if observed_ms >= 0:
                predictions.append(
                    Prediction(
                        dispatch.fields["prompt"],
                        dispatch.fields["predicted_ms"],
                        observed_ms,
                    )
                )
    return predictions


def prediction_error_table(predictions):
    """Return quantiles of observed minus predicted times as text, by prompt length."""
    header = " ".join(f"{f'p{100 * quantile:g}':>8}" for quantile in QUANTILES)
    lines = [f"{'prompts':16} {'count':>6} {header}   seen less predicted, ms"]
    for label, group in (
        (
            f"to {SHORT_PROMPT_TOKENS}",
            [p for p in predictions if p.prompt_tokens <= SHORT_PROMPT_TOKENS],
        ),
        ("longer", [p for p in predictions if p.prompt_tokens > SHORT_PROMPT_TOKENS]),
    ):
        errors = sorted(p.observed_ms - p.predicted_ms for p in group)
        cells = " ".join(f"{_quantile(errors, quantile):>8}" for quantile in QUANTILES)
        lines.append(f"{label:16} {len(errors):6} {cells}")
    return "\n".join(lines)


def _quantile(values, quantile):
    if not values:
        return "-"
    return f"{values[min(len(values) - 1, int(quantile * len(values)))]:.0f}"
