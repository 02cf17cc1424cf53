"""Simulation of streams that are sent again and again, and of engines that crash.

Some crash their engine after their first output; engines also crash by themselves. The
instances are those of `crash_world`: each knows what its own requests and the messages
of its peers tell.
"""

from dataclasses import dataclass

from vanillareach.core.crash_evidence import Suspect
from vanillareach.core.crash_recurrence import CrashedRun, Verdict
from vanillareach.core.crash_trials import is_request_trial_due
from vanillareach.features.crash_world import (
    MAX_ATTEMPTS,
    CrashWorld,
    WorldSettings,
)


@dataclass(slots=True)
class RecurrenceSettings(WorldSettings):
    """What happens in a `RecurrenceWorld`; of `WorldSettings` the numbers and times.

    Attributes
    ----------
    crash_after_ms : tuple of float
        For each deadly stream the time from the sending of a run to the crash.
    crash_share : float
        Share of the runs of a deadly stream that crash their engine.
    sound_count : int
        Sound streams.
    stream_ms : float
        Time of a whole stream.
    pause_ms : float
        Mean time until a stream is sent again.
    kills : tuple of (float, str)
        Times at which engines crash by themselves: "random", one; "busiest", the one
        with most runs; "zone", a third of them.
    """

    crash_after_ms: tuple = ()
    crash_share: float = 1.0
    sound_count: int = 10
    stream_ms: float = 1_400.0
    pause_ms: float = 100.0
    kills: tuple = ()
    engine_count: int = 6
    instance_count: int = 2
    latency_ms: float = 50.0


@dataclass(slots=True, eq=False)
class Stream:
    """A stream that its caller sends again and again.

    Attributes
    ----------
    crash_after_ms : float or None
        None if it is sound.
    crashes_ms : list of float
        When it crashed engines.
    sent_ms : list of float
        When runs of it were sent.
    refused_ms : list of float
    """

    suspect: Suspect
    crash_after_ms: float | None
    crashes_ms: list
    sent_ms: list
    refused_ms: list
    is_trial: bool = False


@dataclass(slots=True, eq=False)
class StreamRun:
    """One run of a stream at an engine."""

    stream: Stream
    instance: int
    attempt: int
    left_ms: float
    round: int
    sent_ms: float


class RecurrenceWorld(CrashWorld):
    """Instances, engines and callers that send the same streams again.

    Attributes
    ----------
    streams : list of Stream
    """

    def __init__(self, settings, seed):
        super().__init__(settings, seed)
        after_ms = [*settings.crash_after_ms, *[None] * settings.sound_count]
        self.streams = [
            Stream(Suspect(f"stream {number}"), crash_ms, [], [], [])
            for number, crash_ms in enumerate(after_ms)
        ]

    def _arrive(self):
        for stream in self.streams:
            self._at(self._uniform(0, self._settings.stream_ms), self._enter, stream)
        for at_ms, how in self._settings.kills:
            self._at(at_ms, self._kill, how)

    def _enter(self, stream):
        instance = self._random.randrange(self._settings.instance_count)
        self._send_run(stream, instance, 1, self._settings.stream_ms)

    def _send_again(self, stream):
        pause_ms = self._uniform(0.5, 1.5) * self._settings.pause_ms
        self._at(pause_ms, self._enter, stream)

    def _refuses_stream(self, stream, instance):
        evidence = self._evidence[instance]
        fingerprint, now_ms = stream.suspect.fingerprint, self._now_ms
        if stream.is_trial:
            return False
        verdict = evidence.recurrences.verdict(
            fingerprint, self._settings.engine_count, now_ms
        )
        if verdict is Verdict.SOUND:
            return False
        name = f"instance-{instance}"
        stream.is_trial = is_request_trial_due(
            evidence, fingerprint, verdict, name, now_ms
        )
        return not stream.is_trial

    def _send_run(self, stream, instance, attempt, left_ms):
        engines = [
            engine
            for engine, back_ms in self._back_ms_by_engine.items()
            if back_ms <= self._now_ms
        ]
        is_refused = self._refuses_stream(stream, instance)
        if is_refused:
            stream.refused_ms.append(self._now_ms)
        if is_refused or not engines:
            self._send_again(stream)
            return
        # Placement gathers streams at engines that have some.
        engine = max(
            self._random.sample(engines, min(2, len(engines))),
            key=lambda e: len(self._runs_by_engine[e]),
        )
        evidence = self._evidence[instance]
        fingerprint = stream.suspect.fingerprint
        if stream.is_trial:
            stream.is_trial = False
            evidence.trials.record(fingerprint, self._now_ms)
            self._tell(instance)
        stream.sent_ms.append(self._now_ms)
        number = evidence.recurrences.count_rounds(fingerprint) + 1
        run = StreamRun(stream, instance, attempt, left_ms, number, self._now_ms)
        self._runs_by_engine[engine].append(run)
        is_deadly = (
            stream.crash_after_ms is not None
            and stream.crash_after_ms < left_ms
            and self._random.random() < self._settings.crash_share
        )
        if is_deadly:
            self._at(stream.crash_after_ms, self._crash_by, run, engine)
        else:
            self._at(left_ms, self._end_run, run, engine)

    def _crash_by(self, run, engine):
        if run in self._runs_by_engine[engine]:
            run.stream.crashes_ms.append(self._now_ms)
            self._crash(engine)

    def _end_run(self, run, engine):
        if run not in self._runs_by_engine[engine]:
            return
        self._runs_by_engine[engine].remove(run)
        self._evidence[run.instance].recurrences.record_survival(
            run.stream.suspect.fingerprint,
            f"instance-{run.instance}",
            self._now_ms - run.sent_ms,
            self._now_ms,
        )
        self._send_again(run.stream)

    def _kill(self, how):
        by_runs = sorted(
            self._runs_by_engine, key=lambda e: -len(self._runs_by_engine[e])
        )
        killed = {
            "random": [self._random.choice(by_runs)],
            "busiest": by_runs[:1],
            "zone": list(self._runs_by_engine)[::3],
        }[how]
        for engine in killed:
            self._crash(engine)

    def _detect(self, run, key):
        crashed = CrashedRun(
            key,
            run.stream.suspect.fingerprint,
            run.round,
            run.sent_ms,
            self._now_ms - run.sent_ms,
        )
        crashed.is_own = True
        evidence = self._evidence[run.instance]
        if evidence.recurrences.record_run(crashed, self._now_ms):
            self._tell(run.instance)
        left_ms = run.left_ms - crashed.ran_ms
        if run.attempt < MAX_ATTEMPTS and left_ms > 0:
            self._send_run(run.stream, run.instance, run.attempt + 1, left_ms)
        else:
            self._send_again(run.stream)

    def late_runs(self, window_ms):
        """Return the most runs of a deadly stream later than its third crash allows."""
        return max(
            (
                sum(ms > stream.crashes_ms[2] + window_ms for ms in stream.sent_ms)
                for stream in self.streams
                if len(stream.crashes_ms) > 2
            ),
            default=0,
        )

    def refused_sound(self):
        """Return how many sound streams were refused at any time."""
        return sum(
            bool(stream.refused_ms)
            for stream in self.streams
            if stream.crash_after_ms is None
        )
