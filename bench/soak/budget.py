"""Checks BUDGET and LOST at a prompt part that crashes engines."""

from bench.soak.lost import LINK_SLACK_S, visits_by_attempt_id
from bench.soak.tainted import DEADLY_KIND
from bench.soak.unwanted import was_paused

# The crash from which on the part is known.
DECIDING_CRASH = 5
# Time for the news to spread, and for a gateway to learn it after a disturbance.
NEWS_S = 3.0
MAX_REQUESTS_AFTER_NEWS = 3
# Time after the deciding crash by which the engines are back.
RETURN_S = 6.0
MIN_SOUND_REQUESTS = 20
MIN_SOUND_SHARE = 0.5
LINK_KINDS = ("endpoint_link", "endpoint_reset", "store_link")


def find_tainted(environment):
    """Yield a line of text if BUDGET or LOST was broken."""
    crashes = environment.observations.crashes
    if environment.prompts is None or len(crashes) < DECIDING_CRASH:
        return
    decided_s = crashes[DECIDING_CRASH - 1].at_s
    yield from _find_over_budget(environment, decided_s + NEWS_S)
    yield from _find_sound_lost(environment, decided_s)


def _find_over_budget(environment, known_s):
    visits_by_id = visits_by_attempt_id(environment)
    late = []
    for attempt in environment.attempts:
        if environment.prompts.deadly_part not in attempt.prompt_parts:
            continue
        arrivals = [
            f"{attempt.id} from gateway {attempt.process.gateway} at {visit.endpoint} "
            f"{visit.received.arrived_s - known_s:+.2f} s"
            for visit in visits_by_id.get(attempt.id, ())
            if visit.received.arrived_s > known_s
            and not was_disturbed(environment.observations, attempt.process, visit)
        ]
        late += arrivals[:1]
    if len(late) > MAX_REQUESTS_AFTER_NEWS:
        yield (
            f"BUDGET {len(late)} requests with the part reached engines later than "
            f"{NEWS_S:g} s after the fifth of {len(environment.observations.crashes)} "
            f"crashes: {'; '.join(late)}"
        )


def was_disturbed(observations, process, visit):
    """Return whether a gateway or its links were disturbed shortly before a visit.

    A start and a pause disturb a gateway; stops and reloads don't.
    """
    arrived_s = visit.received.arrived_s
    started_s = arrived_s - NEWS_S
    return (
        observations.first_seen_s_by_process.get(process, arrived_s) > started_s
        or was_paused(observations, process, started_s, arrived_s)
        or any(
            fault.kind in LINK_KINDS
            and (fault.endpoint == visit.endpoint or fault.gateway == process.gateway)
            and fault.overlaps(started_s, arrived_s + LINK_SLACK_S)
            for fault in observations.faults
        )
    )


def _find_sound_lost(environment, decided_s):
    visits_by_id = visits_by_attempt_id(environment)
    before, after = [], []
    for attempt in environment.attempts:
        parts = attempt.prompt_parts
        if attempt.kind != DEADLY_KIND or environment.prompts.first_part not in parts:
            continue
        if environment.prompts.deadly_part in parts or attempt.ended_s is None:
            continue
        has_begun = attempt.status == 200 and attempt.body != b""
        is_first = has_begun and len(visits_by_id.get(attempt.id, ())) == 1
        if attempt.started_s < decided_s:
            before.append(is_first)
        elif attempt.started_s >= decided_s + RETURN_S:
            after.append(is_first)
    if len(after) < MIN_SOUND_REQUESTS or not before:
        return
    share_before, share_after = sum(before) / len(before), sum(after) / len(after)
    if share_after < MIN_SOUND_SHARE * share_before:
        yield (
            f"LOST sound requests with the first part: {share_after:.2f} of "
            f"{len(after)} begin at their first attempt, {share_before:.2f} of "
            f"{len(before)} before the fifth crash"
        )
