"""Check LOST: requests that end without an answer though nothing they met had failed.

Signals that stop or reload a gateway, changes of the configuration, faults of the store
and endpoints that are silent for a while excuse nothing.
"""

from collections import defaultdict
from dataclasses import dataclass

from bench.soak.configurations import MIN_IDLE_TIMEOUT_MS
from bench.soak.observations import Fault
from bench.soak.world import SERVICES_BY_KIND
from vanillareach.platform import names

# A request that crosses the closing of its connection ends within this time.
CROSSING_S = 0.2
# A connection that was idle for less may not be closed, by any configuration.
SHORTEST_IDLE_S = MIN_IDLE_TIMEOUT_MS / 1000 - 0.2
# Value of the header that bounds the time of each request.
CALLER_DEADLINE_S = 5.0
# An answer may leave so much earlier, to arrive in time.
DEADLINE_TOLERANCE_S = 0.05
# A configuration that was replaced may still be in force for this time.
CONFIGURATION_LAG_S = 5.0
GRACE_S = 8.0
LAST_PART_OF_GRACE_S = GRACE_S * 5 / 6
# Requests sent later than this after SIGTERM must not run into the end of the grace
# period.
ADMISSION_AFTER_TERM_S = 3.0
# A fault of a link hits what is under way on it, which arrives up to this time later.
LINK_SLACK_S = 0.2
# Steps of an endpoint's script that end a response early or spoil it.
BREAKING_STEPS = (
    *("torn", "gap", "unsigned", "stale", "encoded", "cut", "reset"),
    *("unframed_reset", "unframed_stream_torn", "unframed_stream_reset"),
)
# Steps in which an endpoint does not execute the request.
NOT_EXECUTED_STEPS = ("shed", "misdirect", "quiet")
# Steps that answer in full, however late.
ANSWERING_STEPS = ("answer", "stream", "unframed", "unframed_stream")
# These, and those that are silent until the deadline.
SOUND_STEPS = (*ANSWERING_STEPS, "mute")
# Modes of a link that hold up or reset open connections, and those that prevent them.
HOLDING_MODES = ("silent", "deaf")
PREVENTING_MODES = (*HOLDING_MODES, "cut")


@dataclass(slots=True)
class Visit:
    """A request as one endpoint received it."""

    endpoint: str
    received: object

    def __str__(self):
        received = self.received
        lasted_s = received.ended_s - received.arrived_s
        silence = f", silent {received.silence_s:.1f} s" if received.silence_s else ""
        end = ", cancelled" if received.was_cancelled else ""
        return f"{self.endpoint} {received.step} for {lasted_s:.1f} s{silence}{end}"


def visits_by_attempt_id(environment):
    """Return the visits of each attempt in the order of their arrival."""
    visits_by_id = defaultdict(list)
    for endpoint in environment.endpoints_by_name.values():
        for received in endpoint.received:
            attempt_id = received.values_by_name.get(names.ATTEMPT_ID, "")
            visits_by_id[attempt_id].append(Visit(endpoint.name, received))
    for visits in visits_by_id.values():
        visits.sort(key=lambda visit: visit.received.arrived_s)
    return visits_by_id


def find_lost(environment):
    """Yield a line of text for each request that was lost."""
    visits_by_id = visits_by_attempt_id(environment)
    for attempt in environment.attempts:
        visits = visits_by_id.get(attempt.id, [])
        if reason := loss_reason(environment, attempt, visits):
            yield _describe(environment, attempt, visits, reason)


def loss_reason(environment, attempt, visits):
    """Return why an attempt counts as lost, or an empty string."""
    observations = environment.observations
    if attempt.sent_s is None or attempt.ended_s is None:
        return ""
    if (
        was_process_disturbed(observations, attempt)
        or has_reached_deadline(observations, attempt)
        or was_at_work_in_last_part_of_grace(observations, attempt, visits)
    ):
        return ""
    if attempt.is_complete:
        return _early_failure(environment, attempt, visits)
    if visits:
        was_broken_off = any(has_broken_off(observations, visit) for visit in visits)
        return "" if was_broken_off else "passed on, no complete answer"
    is_prompt = waiting_s(observations, attempt) <= CROSSING_S
    if is_prompt and may_cross_close(observations, attempt):
        return ""
    return "not passed on, no answer"


def _early_failure(environment, attempt, visits):
    if attempt.status not in (502, 504):
        return ""
    if visits:
        is_failure_due = not all(
            is_sound(environment.observations, visit) for visit in visits
        )
    else:
        is_failure_due = was_service_cut_off(environment, attempt)
    return "" if is_failure_due else f"{attempt.status} before the deadline"


def was_process_disturbed(observations, attempt):
    """Return whether the gateway's process was killed, or paused during the attempt."""
    for signal in observations.signals:
        if signal.process == attempt.process and signal.at_s <= attempt.ended_s:
            if signal.name == "KILL":
                return True
            if signal.name == "STOP":
                resumed_s = resumption_s(observations, attempt.process, signal.at_s)
                if resumed_s >= attempt.started_s:
                    return True
    return False


def resumption_s(observations, process, at_s):
    """Return when a process paused at `at_s` went on, or infinity."""
    later = (
        signal.at_s
        for signal in observations.signals
        if signal.process == process and signal.name == "CONT" and signal.at_s >= at_s
    )
    return min(later, default=float("inf"))


def has_reached_deadline(observations, attempt):
    """Return whether the caller's deadline or the route's timeout had been reached.

    The shortest timeout counts of the configurations that may have been in force.
    """
    limits_s = [CALLER_DEADLINE_S]
    replaced_s = attempt.ended_s
    for written_s, timeouts in reversed(observations.timeouts_ms):
        if written_s > attempt.ended_s:
            continue
        if replaced_s < attempt.started_s - CONFIGURATION_LAG_S:
            break
        if attempt.kind in timeouts:
            limits_s.append(timeouts[attempt.kind] / 1000)
        replaced_s = written_s
    elapsed_s = attempt.ended_s - attempt.started_s
    return elapsed_s >= min(limits_s) - DEADLINE_TOLERANCE_S


def grace_started_s(observations, process):
    """Return when the grace period of a process began, or infinity.

    Only the first SIGTERM begins one; a paused process receives it when it goes on.
    """
    times = [
        signal.at_s
        for signal in observations.signals
        if signal.process == process and signal.name == "TERM"
    ]
    if not times:
        return float("inf")
    started_s = min(times)
    for signal in observations.signals:
        if signal.process == process and signal.name == "STOP":
            resumed_s = resumption_s(observations, process, signal.at_s)
            if signal.at_s <= started_s <= resumed_s:
                started_s = resumed_s
    return started_s


def was_at_work_in_last_part_of_grace(observations, attempt, visits):
    """Return whether the end of the grace period excuses the end of an attempt."""
    started_s = grace_started_s(observations, attempt.process)
    last_part_s = started_s + LAST_PART_OF_GRACE_S
    if attempt.sent_s > started_s + ADMISSION_AFTER_TERM_S:
        return False
    if attempt.ended_s < last_part_s:
        return False
    return any(visit.received.ended_s >= last_part_s for visit in visits)


def has_broken_off(observations, visit):
    """Return whether an endpoint, or its link, broke off or spoiled a response."""
    if visit.received.step in BREAKING_STEPS:
        return True
    started_s = visit.received.arrived_s - LINK_SLACK_S
    ended_s = visit.received.ended_s + LINK_SLACK_S
    return any(
        fault.endpoint == visit.endpoint
        and _hits_link(fault, HOLDING_MODES)
        and fault.overlaps(started_s, ended_s)
        for fault in observations.faults
    )


def _hits_link(fault, modes):
    return fault.kind in ("endpoint_reset", "endpoint_end") or (
        fault.kind == "endpoint_link" and fault.detail in modes
    )


def is_sound(observations, visit):
    """Return whether an endpoint answered, or would have, however late."""
    is_step_sound = visit.received.step in SOUND_STEPS
    return is_step_sound and not has_broken_off(observations, visit)


def was_service_cut_off(environment, attempt):
    """Return whether a link to a service of the attempt was disturbed meanwhile."""
    services = SERVICES_BY_KIND[attempt.kind]
    started_s = attempt.started_s - LINK_SLACK_S
    return any(
        fault.endpoint is not None
        and environment.service_of(fault.endpoint) in services
        and _hits_link(fault, PREVENTING_MODES)
        and fault.overlaps(started_s, attempt.ended_s)
        for fault in environment.observations.faults
    )


def may_cross_close(observations, attempt):
    """Return whether the gateway had a reason to close the connection meanwhile."""
    return (
        attempt.was_close_announced
        or attempt.idle_s >= SHORTEST_IDLE_S
        or grace_started_s(observations, attempt.process) <= attempt.ended_s
    )


def waiting_s(observations, attempt):
    """Return the time from the last byte to the end, without stalls of the soak."""
    return unstalled_s(observations, attempt.sent_s, attempt.ended_s)


def unstalled_s(observations, started_s, ended_s):
    """Return the length of a span without stalls of the soak."""
    span_s = ended_s - started_s
    for fault in observations.faults:
        if fault.kind == Fault.STALL:
            stalled_s = min(fault.ended_s, ended_s) - max(fault.started_s, started_s)
            span_s -= max(0.0, stalled_s)
    return span_s


def _describe(environment, attempt, visits, reason):
    signals = ", ".join(
        f"{signal.name} {signal.at_s - attempt.sent_s:+.2f} s"
        for signal in environment.observations.signals
        if signal.process == attempt.process and signal.at_s <= attempt.ended_s
    )
    versions = ", ".join(
        f"{written_s - attempt.sent_s:+.2f} s"
        for written_s, _ in environment.observations.timeouts_ms
        if attempt.started_s - 1 <= written_s <= attempt.ended_s
    )
    return (
        f"LOST {attempt.id} ({attempt.kind}) at gateway {attempt.process.gateway}: "
        f"{reason}; status {attempt.status}, {len(attempt.body)} bytes, ended "
        f"{attempt.ended_s - attempt.sent_s:.2f} s after it was sent; "
        f"reached {'; '.join(map(str, visits)) or 'none'}; "
        f"signals [{signals}]; configurations [{versions}]"
    )
