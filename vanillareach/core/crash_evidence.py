"""Evidence on which requests, and which parts of prompts, crash endpoints.

A crash speaks against everything that ran at the endpoint without having been written
yet: each request as a whole, and the parts that its prompt shares with others. Output
speaks for all of these. What is left of several crashes is what they have in common;
see `crash_verdicts`. Requests that crash endpoints after their first output are known
by `crash_recurrence`.

Instances exchange reports, so all of them come to the same verdict.
"""

import math
from collections import Counter

from vanillareach.core.crash_recurrence import (
    MAX_CRASHES,
    RETENTION_MS,
    CrashRecurrences,
)
from vanillareach.core.crash_trials import TrialRecord
from vanillareach.core.hashing import hash64

# Reports kept; the one least needed is dropped first.
MAX_SUSPECTS_PER_CRASH = 64
MAX_PARTS_PER_SUSPECT = 32
# Parts and requests known to be sound. Only those of the last seconds matter, since a
# report may arrive after the output that refutes it.
MAX_SOUND_TRAITS = 8_192


class Suspect:
    """What identifies a request that may crash an endpoint.

    Parameters
    ----------
    fingerprint : str
        Digest of the whole request, the same when it is sent again.
    part_ids : iterable of str
        Ids of the parts of its prompt that others may share.

    Attributes
    ----------
    fingerprint : int
    parts : tuple of int
    guilty_trait : int or None
        The last verdict on it; see `crash_verdicts`.
    judged_revision : int
        Revision of the evidence for that verdict; -1 before the first.
    """

    __slots__ = ("fingerprint", "guilty_trait", "judged_revision", "parts")

    def __init__(self, fingerprint, part_ids=()):
        self.guilty_trait = None
        self.judged_revision = -1
        self.fingerprint = hash64(fingerprint)
        self.parts = tuple(dict.fromkeys(hash64("part " + part) for part in part_ids))

    @property
    def traits(self):
        """Fingerprint and parts."""
        return (self.fingerprint, *self.parts)


class CrashReport:
    """One request that ran, unwritten, at an endpoint as that one crashed.

    Parameters
    ----------
    endpoint_key : tuple of (str, int)
        Id and incarnation of the endpoint.
    fingerprint : int
    rounds_by_part : dict of int to int
        For each part of the prompt how many crashes in turn speak against it: this one
        and those that were known when the request was sent.
    sent_ms : float
        When the request was sent.

    Attributes
    ----------
    learned_ms : float
        When this instance learned of it.
    is_own : bool
        Whether the request was sent by this instance.
    """

    __slots__ = (
        "endpoint_key",
        "fingerprint",
        "is_own",
        "learned_ms",
        "rounds_by_part",
        "sent_ms",
    )

    def __init__(self, endpoint_key, fingerprint, rounds_by_part, sent_ms):
        self.endpoint_key = endpoint_key
        self.fingerprint = fingerprint
        self.rounds_by_part = rounds_by_part
        self.sent_ms = sent_ms
        self.learned_ms = sent_ms
        self.is_own = False

    @property
    def traits(self):
        """Fingerprint and parts."""
        return (self.fingerprint, *self.rounds_by_part)


class Mark:
    """What one crash says against one part or fingerprint.

    Attributes
    ----------
    sent_ms : float
        When the last request with it was sent to the endpoint.
    round : int
        See `CrashReport`.
    """

    __slots__ = ("round", "sent_ms")

    def __init__(self):
        self.sent_ms = -math.inf
        self.round = 1


class Crash:
    """Crash of one endpoint.

    Attributes
    ----------
    endpoint_key : tuple of (str, int)
    reports_by_fingerprint : dict of int to CrashReport
    learned_ms : float
        When this instance learned of the crash.
    needed_ms : float
        When it was last the reason of a refusal, or else `learned_ms`.
    """

    __slots__ = ("endpoint_key", "learned_ms", "needed_ms", "reports_by_fingerprint")

    def __init__(self, endpoint_key, learned_ms):
        self.endpoint_key = endpoint_key
        self.reports_by_fingerprint = {}
        self.learned_ms = learned_ms
        self.needed_ms = learned_ms


class CrashEvidence:
    """Crashes of endpoints known to one instance, and what they speak against.

    Attributes
    ----------
    crashes_by_key : dict of tuple to Crash
        By id and incarnation of the endpoint, the oldest first.
    marks_by_trait : dict of int to dict of tuple to Mark
        For each suspected part or fingerprint the crashes that speak against it.
    revision : int
        Changes with the evidence.
    trials : TrialRecord
    recurrences : CrashRecurrences
        Requests whose runs met crashes, written or not.
    """

    __slots__ = (
        "_cleared_ms_by_trait",
        "_sound_ms_by_trait",
        "crashes_by_key",
        "marks_by_trait",
        "recurrences",
        "revision",
        "trials",
    )

    def __init__(self):
        self.crashes_by_key = {}
        self.marks_by_trait = {}
        self.revision = 0
        self.trials = TrialRecord()
        self.recurrences = CrashRecurrences()
        self._sound_ms_by_trait = {}
        self._cleared_ms_by_trait = {}

    @property
    def has_any(self):
        """Whether crashes speak against anything."""
        return bool(self.marks_by_trait or self.recurrences.crashes_by_key)

    def record_report(self, report, now_ms):
        """Record that a request ran at a crashed endpoint.

        Parts known to be sound are left out of the report.

        Returns
        -------
        bool
            Whether it speaks against anything, and was unknown.
        """
        self._expire(now_ms)
        crash = self.crashes_by_key.get(report.endpoint_key)
        if crash is None:
            crash = Crash(report.endpoint_key, now_ms)
            self.crashes_by_key[report.endpoint_key] = crash
            self._limit_crashes()
        known = crash.reports_by_fingerprint
        report.rounds_by_part = self._unrefuted_parts(report)
        if report.fingerprint in known or not self._make_room(known, report):
            return False
        report.learned_ms = now_ms
        known[report.fingerprint] = report
        self.revision += 1
        suspected = [
            t for t in report.traits if not self._is_refuted(t, report.sent_ms)
        ]
        for trait in suspected:
            marks = self.marks_by_trait.setdefault(trait, {})
            mark = marks.setdefault(report.endpoint_key, Mark())
            mark.sent_ms = max(mark.sent_ms, report.sent_ms)
            mark.round = max(mark.round, report.rounds_by_part.get(trait, 1))
        return bool(suspected)

    def record_sound(self, traits, sound_ms, now_ms):
        """Record that an endpoint wrote output for a request with these traits.

        Parameters
        ----------
        traits : iterable of int
        sound_ms : float
            When it wrote; earlier than `now_ms` if a peer tells.
        now_ms : float

        Returns
        -------
        bool
            Whether crashes spoke against any of them.
        """
        has_cleared = False
        by_trait = self._sound_ms_by_trait
        for trait in traits:
            by_trait[trait] = max(sound_ms, by_trait.pop(trait, -math.inf))
            if self._clear(trait, sound_ms):
                has_cleared = True
                self._cleared_ms_by_trait[trait] = now_ms
        while len(by_trait) > MAX_SOUND_TRAITS:
            del by_trait[next(iter(by_trait))]
        return has_cleared

    def recent_reports(self, since_ms):
        """Return the reports learned since a time that still speak against anything.

        Those with the traits of which most is known come first.
        """
        recent = [
            report
            for key, crash in self.crashes_by_key.items()
            for report in crash.reports_by_fingerprint.values()
            if report.learned_ms >= since_ms
            and any(key in self.crash_keys(trait) for trait in report.traits)
        ]
        counts = {report: self._crash_count(report) for report in recent}
        recent.sort(key=lambda r: (-counts[r], -r.learned_ms))
        return recent

    def recently_cleared(self, since_ms):
        """Return when output was seen for each trait cleared since a time.

        Returns
        -------
        dict of int to float
        """
        self._cleared_ms_by_trait = {
            trait: cleared_ms
            for trait, cleared_ms in self._cleared_ms_by_trait.items()
            if cleared_ms >= since_ms and trait in self._sound_ms_by_trait
        }
        return {t: self._sound_ms_by_trait[t] for t in self._cleared_ms_by_trait}

    def crash_keys(self, trait):
        """Return the keys of the crashes that speak against a part or fingerprint."""
        return self.marks_by_trait.get(trait, {}).keys()

    def count_rounds(self, trait):
        """Return how many crashes in turn speak against a part.

        In turn means that each request was sent when the crash before was known.
        """
        marks = self.marks_by_trait.get(trait, {})
        return max((mark.round for mark in marks.values()), default=0)

    def keep(self, trait, now_ms):
        """Keep the crashes that speak against a trait, since they are needed now."""
        for key in self.crash_keys(trait):
            self.crashes_by_key[key].needed_ms = now_ms

    def tell_again(self, now_ms):
        """Let all reports be told to peers again, as one of them knows none."""
        for report in self.recent_reports(-math.inf):
            report.learned_ms = now_ms
        self.recurrences.tell_again(now_ms)

    def _unrefuted_parts(self, report):
        rounds_by_part = report.rounds_by_part
        parts = [p for p in rounds_by_part if not self._is_refuted(p, report.sent_ms)]
        # Parts that were never seen to be sound come first.
        parts.sort(key=self._sound_ms_by_trait.__contains__)
        return {part: rounds_by_part[part] for part in parts[:MAX_PARTS_PER_SUSPECT]}

    def _make_room(self, reports_by_fingerprint, report):
        """Return whether a report is kept; it may replace one that says less."""
        if len(reports_by_fingerprint) < MAX_SUSPECTS_PER_CRASH:
            return True
        reports = reports_by_fingerprint.values()
        counts = Counter(part for known in reports for part in known.rounds_by_part)
        is_new = any(part not in counts for part in report.rounds_by_part)

        def value(known):
            has_only_here = any(counts[part] == 1 for part in known.rounds_by_part)
            return self._crash_count(known), has_only_here

        least = min(reports, key=value)
        if value(least) >= (self._crash_count(report), is_new):
            return False
        del reports_by_fingerprint[least.fingerprint]
        kept = {trait for known in reports for trait in known.traits}
        self._remove_marks(least.endpoint_key, set(least.traits) - kept)
        return True

    def _crash_count(self, report):
        """Return how many other crashes speak against its most suspected trait."""
        key = {report.endpoint_key}
        return max(len(self.crash_keys(trait) - key) for trait in report.traits)

    def _is_refuted(self, trait, sent_ms):
        return self._sound_ms_by_trait.get(trait, -math.inf) >= sent_ms

    def _clear(self, trait, sound_ms):
        """Remove what output at `sound_ms` refutes; return whether there was any."""
        marks = self.marks_by_trait.get(trait)
        if marks is None:
            return False
        refuted = [key for key, mark in marks.items() if mark.sent_ms <= sound_ms]
        for key in refuted:
            del marks[key]
        self.revision += 1
        self.trials.forget(trait)
        if not marks:
            del self.marks_by_trait[trait]
        return bool(refuted)

    def _expire(self, now_ms):
        expired = [
            key
            for key, crash in self.crashes_by_key.items()
            if now_ms - crash.needed_ms > RETENTION_MS
        ]
        for key in expired:
            self._remove(key)

    def _limit_crashes(self):
        """Remove the crash that fewest others resemble, the oldest of these first."""
        if len(self.crashes_by_key) <= MAX_CRASHES:
            return
        newest = next(reversed(self.crashes_by_key))
        self._remove(
            min(
                (key for key in self.crashes_by_key if key != newest),
                key=self._similar_crash_count,
            )
        )

    def _similar_crash_count(self, key):
        """Return how many crashes speak against the most suspected trait of one."""
        reports = self.crashes_by_key[key].reports_by_fingerprint.values()
        traits = {trait for report in reports for trait in report.traits}
        counts = (len(keys) for t in traits if key in (keys := self.crash_keys(t)))
        return max(counts, default=0)

    def _remove(self, key):
        crash = self.crashes_by_key.pop(key)
        self.revision += 1
        for report in crash.reports_by_fingerprint.values():
            self._remove_marks(key, report.traits)

    def _remove_marks(self, key, traits):
        for trait in traits:
            marks = self.marks_by_trait.get(trait, {})
            if marks.pop(key, None) is not None and not marks:
                del self.marks_by_trait[trait]
