"""Checks the gateways' guarantees on what callers and endpoints observed."""

from collections import Counter

from bench.soak.budget import find_tainted
from bench.soak.cold import find_overrun
from bench.soak.endless import find_held, find_high_peaks
from bench.soak.evacuations import find_late
from bench.soak.limits import find_exceeded
from bench.soak.lost import NOT_EXECUTED_STEPS, find_lost
from bench.soak.unwanted import find_unwanted
from bench.soak.world import STREAM_KINDS, event_ids, expected_body
from vanillareach.platform import names

# Statuses that tell the caller that its request was not executed.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)


def find_violations(environment):
    """Return one line of text for each violated guarantee.

    A line starts with the name of the violation:

    - UNASKED: an endpoint received an attempt id that no caller sent.
    - TWICE: a "book" request was executed more than once.
    - REFUSED: a "book" request was executed, but its response says that it wasn't.
    - MIXED: a complete response has another body than the expected one.
    - ORDER: the events of an aborted stream have gaps or aren't in order.
    - LOST: a request ended without an answer though nothing it met had failed; or
      sound requests are no longer answered after others have crashed engines.
    - DRAIN: a gateway sent to an endpoint that had told it that it leaves.
    - QUIET: a gateway sent to an endpoint that had asked it for quiet.
    - EVACUATED: an endpoint got new work too long after its domain was evacuated.
    - LIMIT: an endpoint got more requests than the limit it named allows.
    - COLD: a cold endpoint got more requests in a second than it tolerates.
    - HELD: a request stayed with an endless answer though others could have answered.
    - MEMORY: a gateway's memory has exceeded its bound.
    - BUDGET: too many requests with a part that crashes engines reached engines.
    """
    run_counts = Counter()
    known_ids = {attempt.id for attempt in environment.attempts}
    found = []
    for endpoint in environment.endpoints_by_name.values():
        for received in endpoint.received:
            attempt_id = received.values_by_name.get(names.ATTEMPT_ID, "")
            if attempt_id not in known_ids:
                found.append(f"UNASKED {attempt_id} at {endpoint.name}")
            if received.step not in NOT_EXECUTED_STEPS:
                run_counts[attempt_id] += 1
    for attempt in environment.attempts:
        found += _check_attempt(attempt, run_counts[attempt.id])
    finders = (
        find_lost,
        find_unwanted,
        find_exceeded,
        find_overrun,
        find_held,
        find_late,
    )
    for find in (*finders, find_high_peaks, find_tainted):
        found += find(environment)
    return found


def _check_attempt(attempt, run_count):
    if attempt.kind == "book" and run_count > 1:
        yield f"TWICE {attempt.id} ran {run_count} times"
    if attempt.kind == "book" and run_count and attempt.status in NOT_EXECUTED_STATUSES:
        yield f"REFUSED {attempt.id} ran, and was answered {attempt.status}"
    if attempt.status == 200 and attempt.is_complete:
        if attempt.body != expected_body(attempt):
            yield f"MIXED {attempt.id} ({attempt.kind}) got {attempt.body[:80]!r}"
    elif attempt.status == 200 and attempt.kind in STREAM_KINDS:
        received_ids = event_ids(attempt.body)
        if received_ids != list(range(1, len(received_ids) + 1)):
            yield f"ORDER {attempt.id} got events {received_ids}"


def find_leaked_reservations(environment):
    """Return one line of text for each endpoint that still has memory reserved."""
    return [
        f"LEAK {endpoint.name} holds {endpoint.active_reservations()}"
        for endpoint in environment.endpoints_by_name.values()
        if endpoint.active_reservations()
    ]
