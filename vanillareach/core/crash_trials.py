"""Trials of refused prompt parts: one request is run all the same, to be sure.

A part that is refused gets no output any more that could clear it. Unless it was the
only suspected part in several crashes, one request with it is tried after a while:
output clears the part, a crash confirms it. Instances tell each other of trials, and
wait unequally long for one, so that one of them tries for all.
"""

from vanillareach.core.crash_verdicts import is_certain
from vanillareach.core.rendezvous import MAX_PREFERENCE, preference

# A trial may end without a result, as its caller leaves.
MAX_TRIALS = 2
# Time after the last crash or trial; instances wait for up to the second one longer.
MIN_TRIAL_DELAY_MS = 3_000.0
TRIAL_DELAY_SPREAD_MS = 2_000.0
# Trials are forgotten after this time, and if there are more, the oldest.
TRIAL_RETENTION_MS = 600_000.0
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

    __slots__ = ("_trials_by_part",)

    def __init__(self):
        self._trials_by_part = {}

    def count(self, part, now_ms):
        """Return how many trials of a part were made lately."""
        trial = self._trials_by_part.get(part)
        if trial is None or now_ms - trial.last_ms > TRIAL_RETENTION_MS:
            return 0
        return trial.count

    def last_ms(self, part):
        """Return when a part was tried last; 0 if it never was."""
        trial = self._trials_by_part.get(part)
        return 0.0 if trial is None else trial.last_ms

    def record(self, part, now_ms):
        """Record a trial that this instance begins."""
        self._put(Trial(part, self.count(part, now_ms) + 1, now_ms, now_ms))

    def record_told(self, part, count, last_ms, now_ms):
        """Record what a peer tells; return whether it was unknown."""
        if count <= self.count(part, now_ms):
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
        The request; it is tried only if none of its other parts is suspected.
    instance_name : str
    now_ms : float
    """
    trials = evidence.trials
    if any(evidence.crash_keys(other) for other in suspect.parts if other != part):
        return False
    if is_certain(evidence, part):
        return False
    if trials.count(part, now_ms) >= MAX_TRIALS:
        return False
    crashes_by_key = evidence.crashes_by_key
    last_crash_ms = max(
        (crashes_by_key[key].learned_ms for key in evidence.crash_keys(part)),
        default=0.0,
    )
    share = preference(f"trial {part}", instance_name) / MAX_PREFERENCE
    delay_ms = MIN_TRIAL_DELAY_MS + TRIAL_DELAY_SPREAD_MS * share
    return now_ms - max(last_crash_ms, trials.last_ms(part)) >= delay_ms
