"""The promises, checked from what callers and endpoints saw."""

from collections import Counter

from bench.soak.environment import event_ids, expected_body
from vanillareach.platform import names

PROMISES_NOT_RUN = (408, 421, 429, 503)
NOT_RUN_STEPS = ("shed", "misdirect")


def violations(environment):
    """Return sentences on every broken promise."""
    runs = Counter()
    known = {attempt.id for attempt in environment.attempts}
    broken = []
    for endpoint in environment.endpoints_by_name.values():
        for received in endpoint.received:
            attempt_id = received.values_by_name.get(names.ATTEMPT_ID, "")
            if attempt_id not in known:
                broken.append(f"UNASKED {attempt_id} at {endpoint.name}")
            if received.step not in NOT_RUN_STEPS:
                runs[attempt_id] += 1
    for attempt in environment.attempts:
        broken += _of_attempt(attempt, runs[attempt.id])
    return broken


def _of_attempt(attempt, runs):
    if attempt.kind == "book" and runs > 1:
        yield f"TWICE {attempt.id} ran {runs} times"
    if attempt.kind == "book" and runs and attempt.status in PROMISES_NOT_RUN:
        yield f"REFUSED {attempt.id} ran, and was answered {attempt.status}"
    if attempt.status == 200 and attempt.is_complete:
        if attempt.body != expected_body(attempt):
            yield f"MIXED {attempt.id} ({attempt.kind}) got {attempt.body[:80]!r}"
    elif attempt.status == 200 and attempt.kind == "ask":
        ids = event_ids(attempt.body)
        if ids != list(range(1, len(ids) + 1)):
            yield f"ORDER {attempt.id} got events {ids}"


def leftovers(environment):
    """Return sentences on memory that is still set aside."""
    return [
        f"LEAK {endpoint.name} holds {endpoint.active_reservations()}"
        for endpoint in environment.endpoints_by_name.values()
        if endpoint.active_reservations()
    ]
