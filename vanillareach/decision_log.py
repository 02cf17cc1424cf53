"""Reads the decision logs of gateways: the story of a request, and predictions.

Lines may stand behind a prefix, as log collectors add one; what isn't a JSON object is
left out and counted.
"""

import json
from dataclasses import dataclass
from datetime import datetime

from vanillareach.core.dispatching import SHORT_PROMPT_TOKENS

MS_PER_SECOND = 1000.0
QUANTILES = (0.1, 0.5, 0.9, 0.99)
DISPATCHED = "[request] Dispatched."
ENDED = "[request] Attempt ended."
# Fields that every line has, or that a story shows in its own way.
COMMON_FIELDS = frozenset(("id", "event", "level", "timestamp"))


@dataclass(slots=True, frozen=True)
class LogLine:
    """One line of a log.

    Attributes
    ----------
    at_ms : float
        Wall time since the epoch.
    event : str
    fields : dict
        All fields.
    """

    at_ms: float
    event: str
    fields: dict

    @property
    def request_id(self):
        """Id of the request it tells of, or None."""
        return self.fields.get("id")


def read_lines(stream):
    """Yield the `LogLine` of each line that is one.

    Parameters
    ----------
    stream : iterable of str
    """
    for text in stream:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
            at_ms = (
                MS_PER_SECOND * datetime.fromisoformat(fields["timestamp"]).timestamp()
            )
            event = fields["event"]
        except (ValueError, KeyError, TypeError):
            continue
        yield LogLine(at_ms, event, fields)


def story(lines, request_id):
    """Return what the logs tell of a request as text, a line for each step.

    Lines that name the endpoints it was sent to, while it ran, stand among its own:
    what became of an endpoint is often the cause.
    """
    lines = sorted(lines, key=lambda line: line.at_ms)
    own = [line for line in lines if line.request_id == request_id]
    if not own:
        return ""
    begin_ms, end_ms = own[0].at_ms, own[-1].at_ms
    endpoints = {line.fields["endpoint"] for line in own if "endpoint" in line.fields}
    told = [
        line
        for line in lines
        if line.request_id == request_id
        or (begin_ms <= line.at_ms <= end_ms and _names_one(line, endpoints))
    ]
    return "\n".join(_step(line, begin_ms, request_id) for line in told)


def _names_one(line, endpoints):
    if line.request_id is not None:
        return False
    if line.fields.get("endpoint") in endpoints:
        return True
    changes = line.fields.get("changes", ())
    return any(change.split(" ")[0] in endpoints for change in changes)


def _step(line, begin_ms, request_id):
    fields = [
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in COMMON_FIELDS and value not in (None, "", [])
    ]
    mark = " " if line.request_id == request_id else "*"
    return f"{line.at_ms - begin_ms:9.0f} ms {mark} {line.event} {' '.join(fields)}"


@dataclass(slots=True, frozen=True)
class Prediction:
    """Predicted and seen time from a dispatch to the first event, in ms."""

    prompt_tokens: int
    predicted_ms: float
    seen_ms: float


def predictions(lines):
    """Return the `Prediction` of every attempt that had a first event.

    Attempts that went on with a stream tell nothing of it and are left out.
    """
    dispatched_by_id, found = {}, []
    for line in sorted(lines, key=lambda line: line.at_ms):
        fields = line.fields
        if line.event == DISPATCHED and fields.get("prompt"):
            dispatched_by_id[line.request_id] = line
        elif line.event == ENDED and fields.get("first_event_ms") is not None:
            sent = dispatched_by_id.pop(line.request_id, None)
            if sent is None or sent.fields["endpoint"] != fields["endpoint"]:
                continue
            received_ms = line.at_ms - fields["after_ms"]
            seen_ms = received_ms + fields["first_event_ms"] - sent.at_ms
            if seen_ms >= 0:
                found.append(
                    Prediction(
                        sent.fields["prompt"], sent.fields["predicted_ms"], seen_ms
                    )
                )
    return found


def predictions_table(found):
    """Return quantiles of seen less predicted times as text, by length of prompt."""
    heads = " ".join(f"{f'p{100 * share:g}':>8}" for share in QUANTILES)
    lines = [f"{'prompts':16} {'count':>6} {heads}   seen less predicted, ms"]
    for label, members in (
        (
            f"to {SHORT_PROMPT_TOKENS}",
            [p for p in found if p.prompt_tokens <= SHORT_PROMPT_TOKENS],
        ),
        ("longer", [p for p in found if p.prompt_tokens > SHORT_PROMPT_TOKENS]),
    ):
        errors = sorted(p.seen_ms - p.predicted_ms for p in members)
        cells = " ".join(f"{_quantile(errors, share):>8}" for share in QUANTILES)
        lines.append(f"{label:16} {len(errors):6} {cells}")
    return "\n".join(lines)


def _quantile(ordered, share):
    if not ordered:
        return "-"
    return f"{ordered[min(len(ordered) - 1, int(share * len(ordered)))]:.0f}"
