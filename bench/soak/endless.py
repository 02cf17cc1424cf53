"""Checks HELD and MEMORY: endpoints that send bytes without end."""

import math
from collections import defaultdict

import trio

from bench.soak.answer_faults import MAX_ENDLESS_AT_ONCE
from bench.soak.lost import (
    ANSWERING_STEPS,
    NOT_EXECUTED_STEPS,
    grace_started_s,
    unstalled_s,
    visits_by_attempt_id,
)
from bench.soak.unwanted import was_paused
from bench.soak.world import SERVICES_BY_KIND, STREAM_KINDS

# Kinds of which a second attempt may be made.
REPEATABLE_KINDS = ("read", "ask", "scan", "talk")
# A silent endpoint is given up after so long; prefill comes on top of it.
PLAIN_SILENCE_S = 1.1
STREAM_SILENCE_S = 1.7
PREFILL_TOKENS_PER_S = 150_000
HELD_SLACK_S = 2.0
# Attempts of one request that may run it, by its route.
MAX_RUNS = 2
# Requests that others answered meanwhile, which show that there was room.
MIN_WITNESSES = 2
# What all gateways may retry together in a window, by their settings.
RETRY_SLACK = 75
RETRY_WINDOW_S = 10.0
# What a node may take for control, and an answer that is held until it is complete.
NODE_MB = 64
BUFFERED_ANSWER_MB = 4
MAX_PEAK_MB = NODE_MB + 2 * MAX_ENDLESS_AT_ONCE * BUFFERED_ANSWER_MB


def find_high_peaks(environment):
    """Yield a line of text for each process whose memory exceeded its bound.

    A peak of an earlier seed is left out, since that one reports it.
    """
    observations = environment.observations
    for process, peak_mb in observations.peak_mb_by_process.items():
        earlier_mb = observations.first_peak_mb_by_process.get(process, 0)
        if peak_mb > max(MAX_PEAK_MB, earlier_mb):
            yield (
                f"MEMORY gateway {process.gateway} (process {process.id}) had "
                f"{peak_mb:.0f} MB, more than {MAX_PEAK_MB}"
            )


def find_held(environment):
    """Yield a line of text for each request that an endless answer held for too long.

    A route on which no second attempt may be made, one whose attempts are used up, and
    a gateway without retries left are excused, and so is a gateway that was paused.
    """
    visits_by_id = visits_by_attempt_id(environment)
    retries_s_by_process = defaultdict(list)
    for attempt in environment.attempts:
        for visit in visits_by_id.get(attempt.id, [])[1:]:
            retries_s_by_process[attempt.process].append(visit.received.arrived_s)
    for attempt in environment.attempts:
        retries_s = retries_s_by_process[attempt.process]
        for visit, ended_s, is_last in _endless_visits(attempt, visits_by_id):
            if _is_excused(environment, attempt, visit, ended_s, retries_s):
                continue
            is_held = _is_held(environment.observations, attempt, visit, ended_s)
            if not is_held and not (is_last and attempt.status == 504):
                continue
            witnesses = _witnesses(environment, attempt, visits_by_id, visit, ended_s)
            if len(witnesses) >= MIN_WITNESSES:
                yield _describe(attempt, visit, ended_s, witnesses)


def _endless_visits(attempt, visits_by_id):
    """Yield the visits after which another attempt is due.

    Each is yielded with its end and whether it was the last. A visit that goes on
    beside the next one ends with the arrival of that one.
    """
    visits = visits_by_id.get(attempt.id, ())
    run_count = 0
    for index, visit in enumerate(visits):
        run_count += visit.received.step not in NOT_EXECUTED_STEPS
        if attempt.kind not in REPEATABLE_KINDS or run_count >= MAX_RUNS:
            return
        if visit.received.step.startswith("endless"):
            ended_s = min(visit.received.ended_s, trio.current_time())
            following = visits[index + 1 : index + 2]
            for next_visit in following:
                ended_s = min(ended_s, next_visit.received.arrived_s)
            yield visit, ended_s, not following


def _is_held(observations, attempt, visit, ended_s):
    held_s = unstalled_s(observations, visit.received.arrived_s, ended_s)
    return held_s > silence_of(attempt) + HELD_SLACK_S


def silence_of(attempt):
    """Return for how long a silent endpoint may hold an attempt."""
    if attempt.kind not in STREAM_KINDS:
        return PLAIN_SILENCE_S
    return STREAM_SILENCE_S + attempt.prompt_tokens / PREFILL_TOKENS_PER_S


def _is_excused(environment, attempt, visit, ended_s, retries_s):
    allowed = math.floor(RETRY_SLACK / max(1, len(environment.gateways)))
    recent_count = sum(
        ended_s - RETRY_WINDOW_S <= at_s <= ended_s for at_s in retries_s
    )
    observations, process = environment.observations, attempt.process
    return recent_count >= allowed or was_paused(
        observations, process, visit.received.arrived_s, ended_s
    )


def _witnesses(environment, attempt, visits_by_id, visit, ended_s):
    """Return the ids of other requests that were answered elsewhere meanwhile.

    Each is as large as the attempt at least, and began when another one was due. A
    stopping gateway begins no stream that may last longer than it does; for a stream at
    one, its own requests alone count.
    """
    arrived_s = visit.received.arrived_s
    visited_names = {
        earlier.endpoint
        for earlier in visits_by_id[attempt.id]
        if earlier.received.arrived_s <= arrived_s
    }
    due_s = arrived_s + silence_of(attempt)
    grace_s = grace_started_s(environment.observations, attempt.process)
    is_stopping = attempt.kind in STREAM_KINDS and grace_s <= ended_s
    return [
        other.id
        for other in environment.attempts
        if SERVICES_BY_KIND[other.kind] == SERVICES_BY_KIND[attempt.kind]
        and other.prompt_tokens >= attempt.prompt_tokens
        and other.status == 200
        and (other.process == attempt.process or not is_stopping)
        for elsewhere in visits_by_id.get(other.id, ())
        if elsewhere.endpoint not in visited_names
        and elsewhere.received.step in ANSWERING_STEPS
        and due_s <= elsewhere.received.arrived_s <= ended_s
    ]


def _describe(attempt, visit, ended_s, witnesses):
    arrived_s = visit.received.arrived_s
    return (
        f"HELD {attempt.id} ({attempt.kind}) at gateway {attempt.process.gateway} by "
        f"{visit} at {arrived_s:.2f}, without another attempt for "
        f"{ended_s - arrived_s:.1f} s; status {attempt.status}; meanwhile answered: "
        f"{', '.join(witnesses)}"
    )
