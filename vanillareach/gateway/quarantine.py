"""Refusal of requests that have crashed endpoints, or share a part with such ones."""

from vanillareach.core.abandoned_attempts import AbandonedAttempts
from vanillareach.core.crash_evidence import CrashEvidence, CrashReport
from vanillareach.core.crash_news import apply_news
from vanillareach.core.crash_recurrence import CrashedRun, Verdict
from vanillareach.core.crash_trials import is_request_trial_due, is_trial_due
from vanillareach.core.crash_verdicts import guilty_trait
from vanillareach.log import get_logger

# Retry-After of a refused request. Only the caller's next requests can do better.
QUARANTINE_RETRY_AFTER_MS = 10_000.0
MAX_LOGGED_PARTS = 16

log = get_logger("quarantine")


class Quarantine:
    """Collects what attempts show of crashes, and refuses requests by it.

    Parameters
    ----------
    state : GatewayState
    instance_name : str
    clock : Clock

    Attributes
    ----------
    evidence : CrashEvidence
    """

    def __init__(self, state, instance_name, clock):
        self._state = state
        self.evidence = CrashEvidence()
        self._abandoned = AbandonedAttempts()
        self._instance_name = instance_name
        self._clock = clock

    def refuses(self, exchange):
        """Return whether a request must not be sent to an endpoint now."""
        evidence, suspect = self.evidence, exchange.suspect
        if exchange.is_trial:
            return False
        if self._refuses_recurrence(exchange):
            return True
        if not evidence.marks_by_trait:
            return False
        trait = self._verdict(suspect)
        if trait is None:
            return False
        now_ms = self._clock.now_ms()
        evidence.keep(trait, now_ms)
        is_part = trait != suspect.fingerprint
        if is_part and is_trial_due(
            evidence, trait, suspect, self._instance_name, now_ms
        ):
            self._allow_trial(exchange, trait, now_ms)
            return False
        log.info(
            "Crashes endpoints.",
            id=exchange.id,
            prompt_part=exchange.fields.prompt_parts[suspect.parts.index(trait)]
            if is_part
            else "",
            endpoints=[key[0] for key in evidence.crash_keys(trait)][:MAX_LOGGED_PARTS],
        )
        return True

    def _refuses_recurrence(self, exchange):
        """Return whether too many endpoints have crashed while a request ran there."""
        evidence, fingerprint = self.evidence, exchange.suspect.fingerprint
        recurrences = evidence.recurrences
        if fingerprint not in recurrences:
            return False
        endpoints = self._state.endpoints.usable(exchange.service.name)
        now_ms = self._clock.now_ms()
        verdict = recurrences.verdict(fingerprint, len(endpoints), now_ms)
        if verdict is Verdict.SOUND:
            return False
        recurrences.keep(fingerprint, now_ms)
        if is_request_trial_due(
            evidence, fingerprint, verdict, self._instance_name, now_ms
        ):
            exchange.is_trial = True
            evidence.trials.allow(fingerprint, now_ms)
            return False
        log.info(
            "Crashes endpoints.",
            id=exchange.id,
            prompt_part="",
            endpoints=recurrences.crashed_endpoints(fingerprint)[:MAX_LOGGED_PARTS],
            verdict=verdict.name.lower(),
            rounds=recurrences.count_rounds(fingerprint),
            chance=recurrences.chance(fingerprint, len(endpoints)),
        )
        return True

    def _verdict(self, suspect):
        """Return the guilty trait of a request; judged anew if the evidence changes."""
        revision = self.evidence.revision
        if suspect.judged_revision != revision:
            suspect.judged_revision = revision
            suspect.guilty_trait = guilty_trait(self.evidence, suspect)
        return suspect.guilty_trait

    def _allow_trial(self, exchange, part, now_ms):
        exchange.is_trial = True
        for suspected in exchange.suspect.parts:
            if self.evidence.crash_keys(suspected):
                self.evidence.trials.allow(suspected, now_ms)

    def record_sent(self, attempt):
        """Record that a request is sent, and which crashes are known then."""
        attempt.rounds_by_part = {
            part: self.evidence.count_rounds(part) + 1
            for part in attempt.exchange.suspect.parts
        }
        fingerprint = attempt.exchange.suspect.fingerprint
        attempt.round = self.evidence.recurrences.count_rounds(fingerprint) + 1
        if attempt.exchange.is_trial:
            self._record_trial(attempt.exchange)

    def _record_trial(self, exchange):
        # Only its first attempt is a trial.
        exchange.is_trial = False
        evidence, now_ms = self.evidence, self._clock.now_ms()
        for part in exchange.suspect.parts:
            if evidence.crash_keys(part):
                evidence.trials.record(part, now_ms)
        if exchange.suspect.fingerprint in evidence.recurrences:
            evidence.trials.record(exchange.suspect.fingerprint, now_ms)
        log.info("Trial of a refused part.", id=exchange.id)
        self._state.publish()

    def record_output(self, exchange):
        """Record that an endpoint has written output for a request.

        A plain service doesn't read prompts, so its output says nothing of their parts.
        """
        now_ms = self._clock.now_ms()
        suspect = exchange.suspect
        is_engine = exchange.service.engine is not None
        traits = suspect.traits if is_engine else (suspect.fingerprint,)
        if self.evidence.record_sound(traits, now_ms, now_ms):
            log.info("Parts cleared.", id=exchange.id)
            self._state.publish()

    def record_loss(self, attempt):
        """Record that an endpoint was lost while it ran a request."""
        now_ms = self._clock.now_ms()
        exchange, endpoint = attempt.exchange, attempt.placement.endpoint
        log.info(
            "Endpoint lost while running.",
            id=exchange.id,
            endpoint=endpoint.id,
            has_written=attempt.has_written,
            ran_ms=round(now_ms - attempt.sent_ms),
            round=attempt.round,
            prompt_parts=exchange.fields.prompt_parts[:MAX_LOGGED_PARTS],
        )
        self._record_abandoned_before(endpoint.key, now_ms)
        report = None if attempt.has_written else report_of(attempt)
        self._record_own(run_of(attempt, now_ms), report, now_ms)

    def record_abandoned(self, attempt):
        """Record that an attempt was cancelled, and may still crash its endpoint."""
        if attempt.sent_ms is None:
            return
        now_ms = self._clock.now_ms()
        report = None if attempt.has_written else report_of(attempt)
        self._abandoned.record(run_of(attempt, now_ms), report, now_ms)

    def record_survival(self, attempt):
        """Record that an attempt has ended, and its endpoint goes on."""
        if not attempt.may_have_run:
            return
        now_ms = self._clock.now_ms()
        self.evidence.recurrences.record_survival(
            attempt.exchange.suspect.fingerprint,
            self._instance_name,
            now_ms - attempt.sent_ms,
            now_ms,
        )

    def apply_news(self, news, peer_name):
        """Record what a peer tells of crashes; return whether any of it was unknown."""
        if not news:
            return False
        evidence, now_ms = self.evidence, self._clock.now_ms()
        known = self._crash_keys()
        is_news = apply_news(news, evidence, now_ms)
        for key in self._crash_keys() - known:
            log.info("Crash reported by peer.", endpoint=key[0], peer=peer_name)
            self._record_abandoned_before(key, now_ms)
        return is_news

    def _crash_keys(self):
        evidence = self.evidence
        return evidence.crashes_by_key.keys() | evidence.recurrences.crashes_by_key

    def _record_abandoned_before(self, endpoint_key, now_ms):
        """Record the attempts of this instance that were abandoned before a crash."""
        for attempt in self._abandoned.just_before(endpoint_key, now_ms):
            self._record_own(attempt.run, attempt.report, now_ms)

    def _record_own(self, run, report, now_ms):
        """Record a run of this instance that met a crash; `report` may be None."""
        run.is_own = True
        is_news = self.evidence.recurrences.record_run(run, now_ms)
        if report is not None:
            report.is_own = True
            is_news |= self.evidence.record_report(report, now_ms)
        if is_news:
            self._state.publish()


def run_of(attempt, now_ms):
    """Return the `CrashedRun` of an attempt whose endpoint was lost by now."""
    return CrashedRun(
        attempt.placement.endpoint.key,
        attempt.exchange.suspect.fingerprint,
        attempt.round,
        attempt.sent_ms,
        now_ms - attempt.sent_ms,
    )


def report_of(attempt):
    """Return the `CrashReport` of an attempt whose endpoint was lost."""
    return CrashReport(
        attempt.placement.endpoint.key,
        attempt.exchange.suspect.fingerprint,
        attempt.rounds_by_part,
        attempt.sent_ms,
    )
