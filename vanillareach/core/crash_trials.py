"""Trials of refused prompt parts: one request is run all the same, to be sure.

A part that is refused gets no output any more that could clear it. So one request with
it is tried after a while, and others after growing pauses: output clears the part, a
crash confirms it. The first pause is longer if the part was the only suspected one in
several crashes. Instances tell each other of trials, and wait unequally long for one,
so that one of them tries for all.
"""

from vanillareach.core.crash_recurrence import Verdict
from vanillareach.core.crash_verdicts import is_certain, is_convicted
from vanillareach.core.rendezvous import MAX_PREFERENCE, preference

# Pause before the first trial; instances wait for up to the second time longer.
MIN_TRIAL_DELAY_MS = 3_000.0
TRIAL_DELAY_SPREAD_MS = 2_000.0
# Both grow by this factor with each trial, up to this exponent.
TRIAL_DELAY_GROWTH = 8.0
MAX_TRIAL_DELAY_EXPONENT = 3
# The same for a whole request, which several trials have to free if it is sound.
GUILTY_TRIAL_EXPONENT = 1
# A trial that was allowed but not sent by then may be made by another request.
SENDING_TIMEOUT_MS = 1_000.0
# If there are more, the oldest are forgotten.
MAX_TRIED_PARTS = 256


class Trial:
    """Trials of one part.

    Attributes
    ----------
    part : int
    count : int
    last_ms : float
    learned_ms : float
        When this instance made it or was told.
    """

    __slots__ = ("count", "last_ms", "learned_ms", "part")

    def __init__(self, part, count, last_ms, learned_ms):
        self.part = part
        self.count = count
        self.last_ms = last_ms
        self.learned_ms = learned_ms


class TrialRecord:
    """Trials that were made by any instance, as far as this one knows."""

    __slots__ = ("_allowed_ms_by_part", "_trials_by_part")

    def __init__(self):
        self._trials_by_part = {}
        self._allowed_ms_by_part = {}

    def count(self, part):
        """Return how many trials of a part were made since it was last cleared."""
        trial = self._trials_by_part.get(part)
        return 0 if trial is None else trial.count

    def allow(self, part, now_ms):
        """Record that a request of this instance may be sent as a trial."""
        self._allowed_ms_by_part = {
            other: allowed_ms
            for other, allowed_ms in self._allowed_ms_by_part.items()
            if now_ms - allowed_ms < SENDING_TIMEOUT_MS
        }
        self._allowed_ms_by_part[part] = now_ms

    def is_allowed(self, part, now_ms):
        """Return whether a trial was allowed and may yet be sent."""
        allowed_ms = self._allowed_ms_by_part.get(part)
        return allowed_ms is not None and now_ms - allowed_ms < SENDING_TIMEOUT_MS

    def last_ms(self, part):
        """Return when a part was tried last; 0 if it never was."""
        trial = self._trials_by_part.get(part)
        return 0.0 if trial is None else trial.last_ms

    def record(self, part, now_ms):
        """Record a trial that this instance sends."""
        self._allowed_ms_by_part.pop(part, None)
        self._put(Trial(part, self.count(part) + 1, now_ms, now_ms))

    def record_told(self, part, count, last_ms, now_ms):
        """Record what a peer tells; return whether it was unknown."""
        if count <= self.count(part):
            return False
        self._put(Trial(part, count, last_ms, now_ms))
        return True

    def forget(self, part):
        """Forget the trials of a part that is no longer suspected."""
        self._trials_by_part.pop(part, None)

    def recent(self, since_ms):
        """Return the trials learned since a time, the oldest first."""
        return [t for t in self._trials_by_part.values() if t.learned_ms >= since_ms]

    def _put(self, trial):
        self._trials_by_part.pop(trial.part, None)
        self._trials_by_part[trial.part] = trial
        while len(self._trials_by_part) > MAX_TRIED_PARTS:
            del self._trials_by_part[next(iter(self._trials_by_part))]


def is_trial_due(evidence, part, suspect, instance_name, now_ms):
    """Return whether an instance may try a request with a refused part.

    Parameters
    ----------
    evidence : CrashEvidence
    part : int
    suspect : Suspect
        The request; it is tried only if its other suspected parts are refused, too.
    instance_name : str
    now_ms : float
    """
    trials = evidence.trials
    suspected = [other for other in suspect.parts if evidence.crash_keys(other)]
    if not all(is_convicted(evidence, other) for other in suspected):
        return False
    if any(trials.is_allowed(other, now_ms) for other in suspected):
        return False
    exponent = max(map(trials.count, suspected)) + is_certain(evidence, part)
    crashes_by_key = evidence.crashes_by_key
    last_crash_ms = max(
        (crashes_by_key[key].learned_ms for key in evidence.crash_keys(part)),
        default=0.0,
    )
    last_ms = max(last_crash_ms, *map(trials.last_ms, suspected))
    return now_ms - last_ms >= _delay_ms(part, exponent, instance_name)


def is_request_trial_due(evidence, fingerprint, verdict, instance_name, now_ms):
    """Return whether an instance may try a request that is refused as a whole.

    Parameters
    ----------
    evidence : CrashEvidence
    fingerprint : int
    verdict : Verdict
    instance_name : str
    now_ms : float
    """
    trials = evidence.trials
    if trials.is_allowed(fingerprint, now_ms):
        return False
    last_crash_ms = evidence.recurrences.last_crash_ms(fingerprint)
    last_ms = max(last_crash_ms, trials.last_ms(fingerprint))
    exponent = GUILTY_TRIAL_EXPONENT if verdict is Verdict.GUILTY else 0
    return now_ms - last_ms >= _delay_ms(fingerprint, exponent, instance_name)


def _delay_ms(trait, exponent, instance_name):
    """Return the pause before a trial, which instances draw unequally."""
    growth = TRIAL_DELAY_GROWTH ** min(exponent, MAX_TRIAL_DELAY_EXPONENT)
    share = preference(f"trial {trait}", instance_name) / MAX_PREFERENCE
    return growth * (MIN_TRIAL_DELAY_MS + TRIAL_DELAY_SPREAD_MS * share)
