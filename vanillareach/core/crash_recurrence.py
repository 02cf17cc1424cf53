"""Requests that were running, again and again, as endpoints crashed.

Output doesn't show that a request is sound: some crash their endpoint after the first
event, and so do endpoints that end for another reason beside sound ones. What tells
these apart is how often: a request that is sent again spends a known share of all
endpoints' time at them, and of crashes that it doesn't cause it meets about that share.
It is refused if it has met so many that this is no coincidence, and nothing else that
ran there explains them as well. Runs without a crash make the share larger, so a
request that was refused by mistake is free again after some of these.
"""

import math
from enum import Enum, auto

# Crashes in turn, each of a run sent when the one before was known, for a refusal.
MIN_ROUNDS = 3
# A request is refused if a sound one would meet as many crashes less often than this.
MAX_CHANCE = 3e-4
# Crashes after like times count at most for this: engines that are ended at regular
# intervals show them, too.
MIN_TIMING_CHANCE = 0.1
# Another request explains the crashes as well unless this factor speaks against it.
RIVAL_FACTOR = 10.0
# Another request explains them alone if this factor speaks for it.
BETTER_RIVAL_FACTOR = 1_000.0
# With a smaller chance it is refused all the same, and soon tried again: requests that
# always run together can't be told apart otherwise.
MAX_CHANCE_WITH_RIVAL = 1e-6
# Crashes count as recent for this time.
RECENT_MS = 60_000.0
# A crash counts this long after it was learned: by then peers have told of their runs.
SETTLING_MS = 300.0
# Evidence kept, and for how long after it was last needed; the oldest goes first.
MAX_CRASHES = 128
MAX_RUNS_PER_CRASH = 64
RETENTION_MS = 600_000.0


class CrashedRun:
    """One run of a request at an endpoint that crashed meanwhile.

    Attributes
    ----------
    endpoint_key : tuple of (str, int)
        Id and incarnation of the endpoint.
    fingerprint : int
    round : int
        How many crashes in turn the request has met, this one included; see
        `CrashReport`.
    sent_ms : float
    ran_ms : float
        From sending to the crash.
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
        "ran_ms",
        "round",
        "sent_ms",
    )

    def __init__(self, endpoint_key, fingerprint, round_number, sent_ms, ran_ms):
        self.endpoint_key = endpoint_key
        self.fingerprint = fingerprint
        self.round = round_number
        self.sent_ms = sent_ms
        self.ran_ms = ran_ms
        self.learned_ms = sent_ms + ran_ms
        self.is_own = False

    @property
    def crashed_ms(self):
        """When the endpoint crashed."""
        return self.sent_ms + self.ran_ms


class Verdict(Enum):
    """What is to be done with a request."""

    # It is run.
    SOUND = auto()
    # It or another one that always ran beside it crashes endpoints: it is refused, and
    # tried again soon.
    SUSPECT = auto()
    GUILTY = auto()


class RecordedCrash:
    """One crash, and the runs that met it.

    Attributes
    ----------
    learned_ms : float
    needed_ms : float
        When it was last the reason of a refusal, or else `learned_ms`.
    newest_run_ms : float
        The latest `learned_ms` of its runs.
    runs_by_fingerprint : dict of int to CrashedRun
    """

    __slots__ = ("learned_ms", "needed_ms", "newest_run_ms", "runs_by_fingerprint")

    def __init__(self, learned_ms):
        self.learned_ms = learned_ms
        self.needed_ms = learned_ms
        self.newest_run_ms = learned_ms
        self.runs_by_fingerprint = {}


class Survivals:
    """Time that runs of one request took without a crash.

    Attributes
    ----------
    total_ms : float
    learned_ms : float
    """

    __slots__ = ("learned_ms", "total_ms")

    def __init__(self, total_ms, learned_ms):
        self.total_ms = total_ms
        self.learned_ms = learned_ms


class CrashRecurrences:
    """Runs that met a crash, as far as one instance knows.

    Attributes
    ----------
    crashes_by_key : dict of tuple to RecordedCrash
        By id and incarnation of the endpoint, the one learned first at the beginning.
    """

    __slots__ = (
        "_keys_by_fingerprint",
        "_survivals_by_fingerprint",
        "crashes_by_key",
    )

    def __init__(self):
        self.crashes_by_key = {}
        self._keys_by_fingerprint = {}
        # By fingerprint, then by the instance of the runs.
        self._survivals_by_fingerprint = {}

    def __contains__(self, fingerprint):
        return fingerprint in self._keys_by_fingerprint

    def record_run(self, run, now_ms):
        """Record a run that met a crash; return whether it was unknown."""
        self._expire(now_ms)
        crash = self.crashes_by_key.setdefault(run.endpoint_key, RecordedCrash(now_ms))
        runs = crash.runs_by_fingerprint
        if run.fingerprint in runs or len(runs) >= MAX_RUNS_PER_CRASH:
            return False
        run.learned_ms = crash.newest_run_ms = now_ms
        runs[run.fingerprint] = run
        keys = self._keys_by_fingerprint.setdefault(run.fingerprint, {})
        keys[run.endpoint_key] = None
        if len(self.crashes_by_key) > MAX_CRASHES:
            self._remove(self._least_telling_key(run.endpoint_key))
        return True

    def record_survival(self, fingerprint, instance, ran_ms, now_ms):
        """Record a run without a crash, if the request has met crashes before."""
        total_ms = ran_ms + self._survived_ms(fingerprint, instance)
        self.record_told_survival(fingerprint, instance, total_ms, now_ms)

    def record_told_survival(self, fingerprint, instance, total_ms, now_ms):
        """Record all such runs of an instance; return whether any was unknown."""
        if fingerprint not in self:
            return False
        if total_ms <= self._survived_ms(fingerprint, instance):
            return False
        by_instance = self._survivals_by_fingerprint.setdefault(fingerprint, {})
        by_instance[instance] = Survivals(total_ms, now_ms)
        return True

    def count_rounds(self, fingerprint):
        """Return how many crashes in turn a request has met."""
        return max((run.round for run in self._runs(fingerprint)), default=0)

    def keep(self, fingerprint, now_ms):
        """Keep the crashes of a request, since they are needed now."""
        for key in self._keys_by_fingerprint.get(fingerprint, ()):
            self.crashes_by_key[key].needed_ms = now_ms

    def crashed_endpoints(self, fingerprint):
        """Return the ids of the endpoints at which a request has met crashes."""
        return [key[0] for key in self._keys_by_fingerprint.get(fingerprint, ())]

    def last_crash_ms(self, fingerprint):
        """Return when the last crash of a request was learned."""
        keys = self._keys_by_fingerprint.get(fingerprint, ())
        return max((self.crashes_by_key[key].learned_ms for key in keys), default=0.0)

    def verdict(self, fingerprint, endpoint_count, now_ms):
        """Return the `Verdict` on a request.

        Parameters
        ----------
        fingerprint : int
        endpoint_count : int
            Number of endpoints that it may run at.
        now_ms : float
        """
        if len(self._keys_by_fingerprint.get(fingerprint, ())) < MIN_ROUNDS:
            return Verdict.SOUND
        keys = self._settled_keys(fingerprint, now_ms)
        runs = [self._run(key, fingerprint) for key in keys]
        if max((run.round for run in runs), default=0) < MIN_ROUNDS:
            return Verdict.SOUND
        chance = self._chance(runs, endpoint_count)
        total_chance = chance * self._choices(keys, now_ms)
        if total_chance > MAX_CHANCE:
            return Verdict.SOUND
        rival_chance = self._rival_chance(fingerprint, keys, endpoint_count)
        if rival_chance > RIVAL_FACTOR * chance:
            return Verdict.GUILTY
        is_explained = rival_chance * BETTER_RIVAL_FACTOR < chance
        if is_explained or total_chance > MAX_CHANCE_WITH_RIVAL:
            return Verdict.SOUND
        return Verdict.SUSPECT

    def _choices(self, keys, now_ms):
        """Return how many requests could have been the one that met these crashes.

        Any request at one of the crashes could have met the others, and any of the
        recent crashes could have been the first.
        """
        recent_count = sum(
            now_ms - crash.learned_ms < RECENT_MS
            for crash in self.crashes_by_key.values()
        )
        suspect_count = min(
            len(self.crashes_by_key[key].runs_by_fingerprint) for key in keys
        )
        return suspect_count * max(1.0, recent_count / len(keys))

    def _rival_chance(self, fingerprint, keys, endpoint_count):
        """Return the least chance of another request that met the same crashes."""
        met = [set(self.crashes_by_key[key].runs_by_fingerprint) for key in keys]
        rivals = set.intersection(*met) - {fingerprint}
        return min(
            (
                self._chance([self._run(key, rival) for key in keys], endpoint_count)
                for rival in rivals
            ),
            default=1.0,
        )

    def chance(self, fingerprint, endpoint_count):
        """Return how likely a sound request would have met as many crashes."""
        return self._chance(self._runs(fingerprint), endpoint_count)

    def _chance(self, runs, endpoint_count):
        """Return how likely a sound request meets these crashes, after the first one.

        It is the upper tail of a binomial distribution: each crash from the first of
        its runs to the last one meets the request with its share of the endpoints'
        time. Crashes after like times are less likely.
        """
        begin_ms = min(run.sent_ms for run in runs)
        end_ms = max(run.crashed_ms for run in runs)
        survivals = self._survivals_by_fingerprint.get(runs[0].fingerprint, {})
        busy_ms = sum(run.ran_ms for run in runs)
        busy_ms += sum(survival.total_ms for survival in survivals.values())
        span_ms = max(1.0, end_ms - begin_ms) * max(1, endpoint_count)
        own_keys = {run.endpoint_key for run in runs}
        other_count = sum(
            any(
                begin_ms <= run.crashed_ms <= end_ms
                for run in crash.runs_by_fingerprint.values()
            )
            for key, crash in self.crashes_by_key.items()
            if key not in own_keys
        )
        rounds = max(run.round for run in runs)
        share = min(1.0, busy_ms / span_ms)
        tail = _binomial_tail(rounds + other_count - 1, share, rounds - 1)
        return tail * _timing_chance([run.ran_ms for run in runs])

    def recent_runs(self, since_ms):
        """Return the runs learned since a time; of requests with most crashes first."""
        recent = [
            run
            for crash in self.crashes_by_key.values()
            if crash.newest_run_ms >= since_ms
            for run in crash.runs_by_fingerprint.values()
            if run.learned_ms >= since_ms
        ]
        counts = {
            run: len(self._keys_by_fingerprint[run.fingerprint]) for run in recent
        }
        recent.sort(key=lambda run: (-counts[run], -run.learned_ms))
        return recent

    def recent_survivals(self, since_ms):
        """Return (fingerprint, instance, total time in ms) learned since a time."""
        return [
            (fingerprint, instance, survivals.total_ms)
            for fingerprint, by_instance in self._survivals_by_fingerprint.items()
            for instance, survivals in by_instance.items()
            if survivals.learned_ms >= since_ms
        ]

    def tell_again(self, now_ms):
        """Let all evidence be told to peers again, as one of them knows none."""
        for crash in self.crashes_by_key.values():
            crash.newest_run_ms = now_ms
            for run in crash.runs_by_fingerprint.values():
                run.learned_ms = now_ms
        for by_instance in self._survivals_by_fingerprint.values():
            for survivals in by_instance.values():
                survivals.learned_ms = now_ms

    def _run(self, key, fingerprint):
        return self.crashes_by_key[key].runs_by_fingerprint[fingerprint]

    def _runs(self, fingerprint):
        keys = self._keys_by_fingerprint.get(fingerprint, ())
        return [self._run(key, fingerprint) for key in keys]

    def _settled_keys(self, fingerprint, now_ms):
        return [
            key
            for key in self._keys_by_fingerprint[fingerprint]
            if now_ms - self.crashes_by_key[key].learned_ms >= SETTLING_MS
        ]

    def _survived_ms(self, fingerprint, instance):
        survivals = self._survivals_by_fingerprint.get(fingerprint, {}).get(instance)
        return 0.0 if survivals is None else survivals.total_ms

    def _expire(self, now_ms):
        expired = [
            key
            for key, crash in self.crashes_by_key.items()
            if now_ms - crash.needed_ms > RETENTION_MS
        ]
        for key in expired:
            self._remove(key)

    def _least_telling_key(self, newest_key):
        """Return the crash whose requests have met fewest crashes, the oldest first."""

        def most_crashes(key):
            runs = self.crashes_by_key[key].runs_by_fingerprint
            return max((len(self._keys_by_fingerprint[f]) for f in runs), default=0)

        keys = (key for key in self.crashes_by_key if key != newest_key)
        return min(keys, key=most_crashes)

    def _remove(self, key):
        for fingerprint in self.crashes_by_key.pop(key).runs_by_fingerprint:
            keys = self._keys_by_fingerprint[fingerprint]
            del keys[key]
            if not keys:
                del self._keys_by_fingerprint[fingerprint]
                self._survivals_by_fingerprint.pop(fingerprint, None)


def _timing_chance(times_ms):
    """Return how likely crashes come after times as like as these, within a bound."""
    longest_ms = max(times_ms)
    if longest_ms <= 0.0:
        return MIN_TIMING_CHANCE
    spread = 1.0 - min(times_ms) / longest_ms
    return max(MIN_TIMING_CHANCE, spread ** (len(times_ms) - 1))


def _binomial_tail(count, share, least):
    """Return the probability of `least` or more successes in `count` trials."""
    return sum(
        math.comb(count, hits) * share**hits * (1.0 - share) ** (count - hits)
        for hits in range(least, count + 1)
    )
