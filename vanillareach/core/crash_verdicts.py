"""Verdicts on requests by the evidence of crashes.

A request is refused if it has crashed three endpoints itself, or if a part of its
prompt has: three times in turn, each time sent when the crash before was known, with no
output between. Crashes at the same time, as a failure domain is lost, count once.

Parts that always came together can't be told apart by their crashes. So a part is taken
for guilty only in a request that also has everything else that could be the cause. A
sound request that shares some of the parts still runs, and its output clears them.
"""

from itertools import combinations

# Crashes after which a request that is sent again is refused.
CRASHES_TO_REFUSE_REQUEST = 3
# Crashes in turn after which the requests with a part are refused.
ROUNDS_TO_REFUSE_PART = 3
# The same for crashes after those of the first round, which may be a mass failure.
REPEATED_CRASHES_TO_REFUSE_PART = 3
# Rounds in which nothing else was suspected, so that a trial is less urgent.
ROUNDS_TO_BE_CERTAIN = 3
# Parts that may be guilty together in place of the one in question.
MAX_OTHER_CAUSES = 2
# Crashes that a part needs to be such an other cause.
MIN_CRASHES_OF_OTHER_CAUSE = 2
MAX_COMPARED_CAUSES = 32
# The newest crashes of a part that another cause has to explain.
MAX_EXPLAINED_CRASHES = 16


def guilty_trait(evidence, suspect):
    """Return the trait because of which a request is to be refused, or None.

    Parameters
    ----------
    evidence : CrashEvidence
    suspect : Suspect
    """
    if len(evidence.crash_keys(suspect.fingerprint)) >= CRASHES_TO_REFUSE_REQUEST:
        return suspect.fingerprint
    for part in suspect.parts:
        if is_convicted(evidence, part) and not _has_other_cause(
            evidence, part, suspect
        ):
            return part
    return None


def is_convicted(evidence, part):
    """Return whether crashes enough speak against a part, whatever came with it."""
    rounds = [mark.round for mark in evidence.marks_by_trait.get(part, {}).values()]
    if len(rounds) < ROUNDS_TO_REFUSE_PART:
        return False
    repeated_count = sum(number > 1 for number in rounds)
    return (
        max(rounds) >= ROUNDS_TO_REFUSE_PART
        or repeated_count >= REPEATED_CRASHES_TO_REFUSE_PART
    )


def is_certain(evidence, part):
    """Return whether a part was the only suspected one in crashes of several rounds."""
    rounds = {
        mark.round
        for key, mark in evidence.marks_by_trait.get(part, {}).items()
        if _suspected_parts(evidence, key) == {part}
    }
    return len(rounds) >= ROUNDS_TO_BE_CERTAIN


def _suspected_parts(evidence, key):
    """Return the parts that a crash still speaks against."""
    return {
        part
        for report in evidence.crashes_by_key[key].reports_by_fingerprint.values()
        for part in report.rounds_by_part
        if key in evidence.crash_keys(part)
    }


def _has_other_cause(evidence, part, suspect):
    """Return whether what the request doesn't have explains all crashes of a part."""
    keys = frozenset(list(evidence.crash_keys(part))[-MAX_EXPLAINED_CRASHES:])
    explained = _explained_keys_by_trait(evidence, part, keys, set(suspect.traits))
    part_causes = {
        frozenset(explained_keys)
        for (is_part, cause), explained_keys in explained.items()
        if is_part and len(evidence.crash_keys(cause)) >= MIN_CRASHES_OF_OTHER_CAUSE
    }
    if any(keys <= explained[cause] for cause in explained if not cause[0]):
        return True
    largest = sorted(part_causes, key=len, reverse=True)[:MAX_COMPARED_CAUSES]
    return any(
        keys <= frozenset().union(*together)
        for count in range(1, MAX_OTHER_CAUSES + 1)
        for together in combinations(largest, count)
    )


def _explained_keys_by_trait(evidence, part, keys, own_traits):
    """Return which crashes of a part each trait that the request lacks explains.

    A trait of the same request explains its crash. One of another request at the same
    endpoint does if more crashes speak against it than against the part.

    Returns
    -------
    dict of (bool, int) to set of tuple
        By whether the trait is a part, and the trait.
    """
    explained = {}
    crash_count = len(evidence.crash_keys(part))
    for key in keys:
        for report in evidence.crashes_by_key[key].reports_by_fingerprint.values():
            is_same_request = part in report.rounds_by_part
            for trait in report.traits:
                crash_keys = evidence.crash_keys(trait)
                if trait in own_traits or key not in crash_keys:
                    continue
                if is_same_request or len(crash_keys) > crash_count:
                    cause = (trait != report.fingerprint, trait)
                    explained.setdefault(cause, set()).add(key)
    return explained
