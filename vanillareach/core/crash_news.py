"""What instances tell each other of the crashes of endpoints.

News is told for some seconds after it was learned, which makes up for lost messages.
Times are sent as ages, since the clocks of instances differ.
"""

import msgspec

from vanillareach.core.crash_evidence import CrashReport
from vanillareach.core.crash_recurrence import CrashedRun

# News is told in each message about the whole state for this time.
TELL_MS = 6_000.0
MAX_REPORTS_IN_MESSAGE = 48
MAX_TRAITS_IN_MESSAGE = 64
MAX_RUNS_IN_MESSAGE = 32


class ReportNotice(msgspec.Struct, array_like=True, frozen=True):
    """A `CrashReport` as it is sent.

    Attributes
    ----------
    endpoint : str
    incarnation : int
    fingerprint : int
    rounds_by_part : dict of int to int
    sent_age_ms : float
    """

    endpoint: str
    incarnation: int
    fingerprint: int
    rounds_by_part: dict[int, int]
    sent_age_ms: float


class RunNotice(msgspec.Struct, array_like=True, frozen=True):
    """A `CrashedRun` as it is sent.

    Attributes
    ----------
    endpoint : str
    incarnation : int
    fingerprint : int
    round : int
    sent_age_ms, ran_ms : float
    """

    endpoint: str
    incarnation: int
    fingerprint: int
    round: int
    sent_age_ms: float
    ran_ms: float


class CrashNews(msgspec.Struct, array_like=True, frozen=True):
    """What an instance has learned of crashes in the last seconds.

    Attributes
    ----------
    reports : tuple of ReportNotice
    cleared : tuple of (int, float)
        Suspected traits for which an endpoint has written output, and how long ago.
    trials : tuple of (int, int, float)
        Refused parts of which a request was tried all the same: how often, and how long
        ago the last time.
    runs : tuple of RunNotice
    survivals : tuple of (int, str, float)
        Requests that have met crashes: at an instance the time in ms that their runs
        without a crash took.
    """

    reports: tuple[ReportNotice, ...] = ()
    cleared: tuple[tuple[int, float], ...] = ()
    trials: tuple[tuple[int, int, float], ...] = ()
    runs: tuple[RunNotice, ...] = ()
    survivals: tuple[tuple[int, str, float], ...] = ()

    def __bool__(self):
        return any((self.reports, self.cleared, self.trials, self.runs, self.survivals))


def build_news(evidence, now_ms, is_own_only=False):
    """Return the `CrashNews` to be told now.

    Parameters
    ----------
    evidence : CrashEvidence
    now_ms : float
    is_own_only : bool
        Whether reports of other instances are left out.
    """
    since_ms = now_ms - TELL_MS
    reports = [
        ReportNotice(
            *report.endpoint_key,
            report.fingerprint,
            report.rounds_by_part,
            round(now_ms - report.sent_ms, 1),
        )
        for report in evidence.recent_reports(since_ms)
        if report.is_own or not is_own_only
    ]
    cleared = evidence.recently_cleared(since_ms).items()
    trials = evidence.trials.recent(since_ms)
    runs = [
        RunNotice(
            *run.endpoint_key,
            run.fingerprint,
            run.round,
            round(now_ms - run.sent_ms, 1),
            round(run.ran_ms, 1),
        )
        for run in evidence.recurrences.recent_runs(since_ms)
        if run.is_own or not is_own_only
    ]
    survivals = evidence.recurrences.recent_survivals(since_ms)
    return CrashNews(
        reports=tuple(reports[:MAX_REPORTS_IN_MESSAGE]),
        cleared=tuple(
            (trait, round(now_ms - sound_ms, 1))
            for trait, sound_ms in list(cleared)[-MAX_TRAITS_IN_MESSAGE:]
        ),
        trials=tuple(
            (trial.part, trial.count, round(now_ms - trial.last_ms, 1))
            for trial in trials[-MAX_TRAITS_IN_MESSAGE:]
        ),
        runs=tuple(runs[:MAX_RUNS_IN_MESSAGE]),
        survivals=tuple(
            (fingerprint, instance, round(total_ms, 1))
            for fingerprint, instance, total_ms in survivals[-MAX_RUNS_IN_MESSAGE:]
        ),
    )


def apply_news(news, evidence, now_ms):
    """Record what a peer tells; return whether any of it was unknown.

    Parameters
    ----------
    news : CrashNews
    evidence : CrashEvidence
    now_ms : float
    """
    is_news = False
    for notice in news.reports:
        report = CrashReport(
            (notice.endpoint, notice.incarnation),
            notice.fingerprint,
            notice.rounds_by_part,
            now_ms - notice.sent_age_ms,
        )
        is_news |= evidence.record_report(report, now_ms)
    for trait, age_ms in news.cleared:
        is_news |= evidence.record_sound((trait,), now_ms - age_ms, now_ms)
    for part, count, age_ms in news.trials:
        is_news |= evidence.trials.record_told(part, count, now_ms - age_ms, now_ms)
    return _apply_runs(news, evidence.recurrences, now_ms) or is_news


def _apply_runs(news, recurrences, now_ms):
    is_news = False
    for notice in news.runs:
        run = CrashedRun(
            (notice.endpoint, notice.incarnation),
            notice.fingerprint,
            notice.round,
            now_ms - notice.sent_age_ms,
            notice.ran_ms,
        )
        is_news |= recurrences.record_run(run, now_ms)
    for survival in news.survivals:
        is_news |= recurrences.record_told_survival(*survival, now_ms)
    return is_news
