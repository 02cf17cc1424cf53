"""Checks DRAIN and QUIET: requests at endpoints that had told the gateway otherwise.

What an endpoint tells a gateway binds the same process of it, towards the same
incarnation of the endpoint.
"""

import math
from collections import defaultdict

from bench.soak.lost import (
    LINK_SLACK_S,
    resumption_s,
    unstalled_s,
    visits_by_attempt_id,
)

DRAIN_TIME_S = 2.0
# What was under way when an endpoint answered arrives within this time.
UNDER_WAY_S = 0.5
# Statuses of answers that only endpoints give.
ENDPOINT_STATUSES = (200, 500)


def find_unwanted(environment):
    """Yield a line of text for each arrival that broke DRAIN or QUIET."""
    observations = environment.observations
    attempts_by_id = {attempt.id: attempt for attempt in environment.attempts}
    visits_by_id = visits_by_attempt_id(environment)
    for endpoint in environment.endpoints_by_name.values():
        notices_by_pair = defaultdict(list)
        for notice in endpoint.notices:
            if told := attempt_of(attempts_by_id, notice.sender_id):
                passed_on_s = _passed_on_s(endpoint, told, visits_by_id[told.id])
                pair = notice.incarnation, told.process
                notices_by_pair[pair].append((notice, passed_on_s))
        for arrival in endpoint.arrivals:
            attempt = attempt_of(attempts_by_id, arrival.sender_id)
            if attempt is None:
                continue
            pair = arrival.incarnation, attempt.process
            for notice, passed_on_s in notices_by_pair[pair]:
                is_late = attempt.started_s > passed_on_s + DRAIN_TIME_S
                name = violation_of(
                    observations,
                    endpoint.name,
                    attempt.process,
                    notice,
                    arrival,
                    is_late,
                )
                if name:
                    yield _describe(name, endpoint, attempt, notice, arrival)
                    break


def attempt_of(attempts_by_id, sender_id):
    """Return the attempt that a request or reservation belongs to, or None."""
    while sender_id and sender_id not in attempts_by_id:
        sender_id = sender_id.rpartition("-")[0]
    return attempts_by_id.get(sender_id)


def _passed_on_s(endpoint, attempt, visits):
    """Return when a caller had the answer of an endpoint, or infinity.

    It is known to be that endpoint's if the attempt was at no other one.
    """
    is_answered = attempt.status in ENDPOINT_STATUSES and attempt.ended_s is not None
    visited_names = [visit.endpoint for visit in visits]
    if is_answered and visited_names == [endpoint.name]:
        return attempt.ended_s
    return math.inf


def violation_of(observations, endpoint, process, notice, arrival, is_late):
    """Return "DRAIN" or "QUIET" if a notice forbade an arrival, or an empty string.

    `is_late` tells whether the caller sent the request later than the drain time after
    an answer with the notice was passed on. Such a request is excused by a pause of the
    process alone, the others by a disturbance of the link as well.
    """
    if arrival.at_s <= notice.at_s or was_paused(
        observations, process, notice.at_s, arrival.at_s
    ):
        return ""
    is_leaving = notice.cause == "leaving"
    if is_leaving and arrival.is_renewal:
        return ""
    if is_leaving and is_late:
        return "DRAIN"
    if arrival.at_s >= notice.at_s + notice.duration_s:
        return ""
    after_s = unstalled_s(observations, notice.at_s, arrival.at_s)
    if after_s <= UNDER_WAY_S or _was_held_up(observations, endpoint, notice, arrival):
        return ""
    return "DRAIN" if is_leaving else "QUIET"


def was_paused(observations, process, started_s, ended_s):
    """Return whether a process was paused at some time of a span."""
    return any(
        signal.process == process
        and signal.name == "STOP"
        and signal.at_s <= ended_s
        and resumption_s(observations, process, signal.at_s) >= started_s
        for signal in observations.signals
    )


def _was_held_up(observations, endpoint, notice, arrival):
    """Return whether the link disturbed the notice, or the arrival on its way."""
    return any(
        fault.endpoint == endpoint
        and fault.kind in ("endpoint_link", "endpoint_reset")
        and (
            fault.overlaps(notice.at_s - LINK_SLACK_S, notice.at_s + LINK_SLACK_S)
            or fault.overlaps(arrival.at_s - UNDER_WAY_S, arrival.at_s)
        )
        for fault in observations.faults
    )


def _describe(name, endpoint, attempt, notice, arrival):
    duration = f", for {notice.duration_s} s" if notice.cause == "quiet" else ""
    return (
        f"{name} {arrival.sender_id} ({attempt.kind}) from gateway "
        f"{attempt.process.gateway} reached {endpoint.name} at {arrival.at_s:.2f}, "
        f"{arrival.at_s - notice.at_s:.2f} s after its answer to "
        f"{notice.sender_id}{duration}"
    )
