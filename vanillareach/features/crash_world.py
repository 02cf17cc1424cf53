"""Simulation of engines that crash by a part of a prompt, and of instances' evidence.

Time is simulated. Each instance has the evidence that its own requests and the messages
of its peers give it; messages are late, and some are lost.
"""

import heapq
import itertools
import random
from dataclasses import dataclass, field

from vanillareach.core.crash_evidence import CrashEvidence, CrashReport, Suspect
from vanillareach.core.crash_news import apply_news, build_news
from vanillareach.core.crash_trials import is_trial_due
from vanillareach.core.crash_verdicts import guilty_trait

MAX_ATTEMPTS = 2
BEACON_INTERVAL_MS = 250.0
LOST_MESSAGE_SHARE = 0.05
CALLER_REPEAT_SHARE = 0.5
ENGINE_RESTART_MS = (2_000.0, 4_000.0)
DETECTION_MS = (1.0, 15.0)
ANSWER_MS = (500.0, 4_000.0)


@dataclass(slots=True)
class WorldSettings:
    """What happens in a `CrashWorld`.

    Attributes
    ----------
    deadly_shares : tuple of float
        For each deadly part the share of requests with it.
    group_count : int
        Number of first parts; each request has one of them.
    deadly_group_count : int
        How many of them the requests with deadly parts have.
    second_part_count : int
        Second parts that requests draw from; 0 for none.
    read_ms : tuple of float
        Shortest and longest time from the sending of a request to its first output.
    latency_ms : float
        Longest time that a message between instances takes.
    mass_crashes : tuple of (float, float)
        Times of crashes without a cause in requests, with the share of engines.
    """

    deadly_shares: tuple = (0.05,)
    group_count: int = 5
    deadly_group_count: int = 1
    second_part_count: int = 0
    rate_per_s: float = 15.0
    read_ms: tuple = (30.0, 300.0)
    instance_count: int = 9
    engine_count: int = 14
    latency_ms: float = 130.0
    mass_crashes: tuple = ()
    deadly_from_ms: float = 4_000.0
    duration_ms: float = 40_000.0


@dataclass(slots=True, eq=False)
class SimulatedRequest:
    """One request of a caller."""

    suspect: Suspect
    deadly_parts: frozenset
    read_ms: float
    was_repeated: bool = False
    is_trial: bool = False
    tried_engines: set = field(default_factory=set)


@dataclass(slots=True, eq=False)
class SimulatedRun:
    """One attempt of a request at an engine."""

    request: SimulatedRequest
    instance: int
    sent_ms: float
    rounds_by_part: dict
    has_written: bool = False


class CrashWorld:
    """Simulated instances, engines and callers.

    Attributes
    ----------
    crashes_ms_by_part : dict of str to list of float
        Crashes by each deadly part.
    sent_ms_by_part : dict of str to list of float
        When requests with each deadly part were sent to engines.
    sound_outcomes : list of (float, bool)
        For each request without a deadly part when it came, and whether it was refused.
    """

    def __init__(self, settings, seed):
        self._settings = settings
        self._random = random.Random(seed)
        self._queue = []
        self._order = itertools.count()
        self._numbers = itertools.count()
        self._now_ms = 10_000.0
        self._start_ms = self._now_ms
        count = settings.instance_count
        self._evidence = [CrashEvidence() for _ in range(count)]
        self._runs_by_engine = {n: [] for n in range(settings.engine_count)}
        self._incarnations = dict.fromkeys(self._runs_by_engine, 1)
        self._back_ms_by_engine = dict.fromkeys(self._runs_by_engine, 0.0)
        self.crashes_ms_by_part = {}
        self.sent_ms_by_part = {}
        self.sound_outcomes = []

    def run(self):
        """Play the whole time."""
        self._at(0.0, self._arrive)
        for at_ms, share in self._settings.mass_crashes:
            self._at(at_ms, self._crash_many, share)
        for instance in range(self._settings.instance_count):
            self._at(self._uniform(0, BEACON_INTERVAL_MS), self._beacon, instance)
        end_ms = self._start_ms + self._settings.duration_ms
        while self._queue and self._queue[0][0] < end_ms:
            self._now_ms, _, function, arguments = heapq.heappop(self._queue)
            function(*arguments)

    def _at(self, delay_ms, function, *arguments):
        entry = (self._now_ms + delay_ms, next(self._order), function, arguments)
        heapq.heappush(self._queue, entry)

    def _uniform(self, low, high):
        return self._random.uniform(low, high)

    def _arrive(self):
        self._at(
            self._random.expovariate(self._settings.rate_per_s) * 1_000, self._arrive
        )
        self._enter(self._draw_request())

    def _draw_request(self):
        settings, draw = self._settings, self._random
        deadly = set()
        if self._now_ms >= self._start_ms + settings.deadly_from_ms:
            for number, share in enumerate(settings.deadly_shares):
                if draw.random() < share:
                    deadly.add(f"deadly-{number}")
        groups = settings.deadly_group_count if deadly else settings.group_count
        parts = [f"group-{draw.randrange(groups)}", *sorted(deadly)]
        if settings.second_part_count:
            parts.append(f"second-{draw.randrange(settings.second_part_count)}")
        suspect = Suspect(f"request-{next(self._numbers)}", parts)
        read_ms = self._uniform(*settings.read_ms)
        return SimulatedRequest(suspect, frozenset(deadly), read_ms)

    def _enter(self, request):
        instance = self._random.randrange(self._settings.instance_count)
        is_refused = self._refuses(request, instance)
        if not request.deadly_parts:
            self.sound_outcomes.append((self._now_ms, is_refused))
        if not is_refused:
            self._send(request, instance)

    def _refuses(self, request, instance):
        evidence = self._evidence[instance]
        trait = None if request.is_trial else guilty_trait(evidence, request.suspect)
        if trait is None:
            return False
        evidence.keep(trait, self._now_ms)
        name = f"instance-{instance}"
        if trait == request.suspect.fingerprint or not is_trial_due(
            evidence, trait, request.suspect, name, self._now_ms
        ):
            return True
        request.is_trial = True
        for part in request.suspect.parts:
            if evidence.crash_keys(part):
                evidence.trials.allow(part, self._now_ms)
        return False

    def _send(self, request, instance):
        engines = [
            engine
            for engine, back_ms in self._back_ms_by_engine.items()
            if back_ms <= self._now_ms and engine not in request.tried_engines
        ]
        if not engines or self._refuses(request, instance):
            return
        engine = self._random.choice(engines)
        request.tried_engines.add(engine)
        for part in request.deadly_parts:
            self.sent_ms_by_part.setdefault(part, []).append(self._now_ms)
        evidence = self._evidence[instance]
        rounds = {p: evidence.count_rounds(p) + 1 for p in request.suspect.parts}
        if request.is_trial:
            request.is_trial = False
            for part in request.suspect.parts:
                if evidence.crash_keys(part):
                    evidence.trials.record(part, self._now_ms)
            self._tell(instance)
        run = SimulatedRun(request, instance, self._now_ms, rounds)
        self._runs_by_engine[engine].append(run)
        self._at(request.read_ms, self._write, run, engine)

    def _write(self, run, engine):
        if run not in self._runs_by_engine[engine]:
            return
        if run.request.deadly_parts:
            for part in run.request.deadly_parts:
                self.crashes_ms_by_part.setdefault(part, []).append(self._now_ms)
            self._crash(engine)
            return
        run.has_written = True
        evidence = self._evidence[run.instance]
        if evidence.record_sound(
            run.request.suspect.traits, self._now_ms, self._now_ms
        ):
            self._tell(run.instance)
        self._at(self._uniform(*ANSWER_MS), self._end, run, engine)

    def _end(self, run, engine):
        if run in self._runs_by_engine[engine]:
            self._runs_by_engine[engine].remove(run)

    def _crash_many(self, share):
        for engine in self._runs_by_engine:
            if self._random.random() < share:
                self._crash(engine)

    def _crash(self, engine):
        key = (f"engine-{engine}", self._incarnations[engine])
        self._incarnations[engine] += 1
        self._back_ms_by_engine[engine] = self._now_ms + self._uniform(
            *ENGINE_RESTART_MS
        )
        runs, self._runs_by_engine[engine] = self._runs_by_engine[engine], []
        for run in runs:
            self._at(self._uniform(*DETECTION_MS), self._detect, run, key)

    def _detect(self, run, key):
        request = run.request
        if not run.has_written:
            report = CrashReport(
                key, request.suspect.fingerprint, run.rounds_by_part, run.sent_ms
            )
            report.is_own = True
            evidence = self._evidence[run.instance]
            if evidence.record_report(report, self._now_ms):
                self._tell(run.instance)
        if len(request.tried_engines) < MAX_ATTEMPTS:
            self._send(request, run.instance)
        elif not request.was_repeated and self._random.random() < CALLER_REPEAT_SHARE:
            request.was_repeated = True
            request.tried_engines.clear()
            self._at(self._uniform(20, 200), self._enter, request)

    def _beacon(self, instance):
        self._at(BEACON_INTERVAL_MS, self._beacon, instance)
        self._tell(instance)

    def _tell(self, instance):
        news = build_news(self._evidence[instance], self._now_ms)
        if not news:
            return
        for other in range(self._settings.instance_count):
            if other != instance and self._random.random() >= LOST_MESSAGE_SHARE:
                delay_ms = self._uniform(1.0, self._settings.latency_ms)
                self._at(delay_ms, self._hear, other, news)

    def _hear(self, instance, news):
        apply_news(news, self._evidence[instance], self._now_ms)

    def late_arrivals(self, part, window_ms):
        """Return how many requests were sent `window_ms` after the fifth crash."""
        crashes = self.crashes_ms_by_part.get(part, ())
        if len(crashes) < 5:
            return 0
        sent = self.sent_ms_by_part[part]
        return sum(sent_ms > crashes[4] + window_ms for sent_ms in sent)

    def refused_share(self, after_ms):
        """Return the share of sound requests refused `after_ms` after the last start.

        Counted from the fifth crash by a deadly part, or else the last.
        """
        last_ms = [
            crashes[min(4, len(crashes) - 1)]
            for crashes in self.crashes_ms_by_part.values()
        ]
        if not last_ms:
            return 0.0
        late = [r for ms, r in self.sound_outcomes if ms > max(last_ms) + after_ms]
        return sum(late) / len(late) if late else 0.0
