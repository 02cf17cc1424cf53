"""Predicted cost of requests: output tokens of a generation, time of a plain call.

Costs are counted in logarithmic buckets, where a request that ended early counts as
censored: its cost is at least what was seen (Kaplan-Meier). The distribution of a
request is that of its route, refined by size class, team and last shared part of the
prompt; a level that has seen little follows the more general one. Distributions that
teams share limit the weight of each team. The caller's hint is weighed by the learned
distribution of its error.
"""

import math
from array import array

from vanillareach.core.hashing import hash64

BUCKET_COUNT = 64
# Buckets span 16 octaves: tokens up to 65,536, or ms up to 65 s.
BUCKETS_PER_OCTAVE = 4
# Error of a hint of 0, in buckets; errors of up to 8 octaves can be told apart.
HINT_ORIGIN = 32
# Observations lose half their weight in this time.
HALF_LIFE_MS = 120_000.0
MIN_DECAY_INTERVAL_MS = 500.0
# Maximum weight of a sketch; after as many observations older ones count for less than
# half. It bounds how long a change goes unnoticed under a high rate.
MAX_WEIGHT = 200.0
# Observations as which the more general distribution counts.
BACKOFF_WEIGHT = 6.0
# Maximum weight of one team, and of one size class, in what is shared.
MAX_TEAM_WEIGHT = 40.0
MAX_SIZE_WEIGHT = 80.0
# Share of an even distribution mixed in before a hint is applied, so that a hint can
# point to costs that were never seen.
EVEN_SHARE = 0.02
# Scale of the error assumed of hints before any was seen, in buckets.
HINT_ERROR_BUCKETS = 3.0
HIGH_QUANTILE = 0.9
# Bounds of memory: groups are a route and a size class; a sketch takes some 700 bytes.
MAX_GROUPS = 64
MAX_TEAMS_PER_GROUP = 64
# A part that comes with one request in 30 is kept though all others come once.
MAX_PARTS_PER_TEAM = 32
MAX_PARTS = 1_024
# Parts are told apart for teams with this weight, so that a flood of new teams doesn't
# take the place of the parts of others.
MIN_WEIGHT_FOR_PARTS = 5.0
MAX_TEAM_SKETCHES = 1_024
# Time for which merged distributions and predictions are kept.
MERGED_TTL_MS = 1_000.0
MAX_CACHED_DISTRIBUTIONS = 512
# Weight of a new request in the moving averages of error and coverage.
ERROR_LEARNING_WEIGHT = 0.02
KEY_MASK = 0xFFFFFFFF
# Sketches of teams and parts with less weight aren't told to peers.
MIN_TOLD_WEIGHT = 1.0
# Size class under which the errors of hints are kept.
HINT_CLASS = -1


class CostTraits:
    """What the cost of a request is predicted by.

    Attributes
    ----------
    route, team, part : str
        Empty without a team, or without a shared part of the prompt.
    size_class : int
        Binary logarithm of the prompt's length, rounded up; 0 for a plain call.
    hint_tokens : int
        Caller's hint; 0 for none.
    limit : float
        Maximum cost; infinite for none.
    """

    __slots__ = ("hint_tokens", "limit", "part", "route", "size_class", "team")

    def __init__(
        self, route, size_class=0, team="", part="", hint_tokens=0, limit=math.inf
    ):
        self.route = route
        self.size_class = size_class
        self.team = team
        self.part = part
        self.hint_tokens = hint_tokens
        self.limit = limit


class CostPrediction:
    """Median and high quantile of a request's cost."""

    __slots__ = ("high", "median")

    def __init__(self, median, high):
        self.median = median
        self.high = high


def bucket_of(value):
    """Return the bucket of a cost."""
    if not value > 1.0:
        return 0
    return min(BUCKET_COUNT - 1, int(BUCKETS_PER_OCTAVE * math.log2(value)))


class Sketch:
    """Costs of ended and of censored requests, counted in buckets with forgetting."""

    __slots__ = ("censored", "ended", "updated_ms", "weight")

    def __init__(self, now_ms=0.0):
        self.ended = array("f", bytes(4 * BUCKET_COUNT))
        self.censored = array("f", bytes(4 * BUCKET_COUNT))
        self.weight = 0.0
        self.updated_ms = now_ms

    def add(self, bucket, is_ended, now_ms, weight=1.0):
        """Count one request."""
        self.decay(now_ms)
        (self.ended if is_ended else self.censored)[bucket] += weight
        self.weight += weight
        if self.weight > MAX_WEIGHT:
            self._scale(MAX_WEIGHT / self.weight)

    def decay(self, now_ms):
        """Let the counts lose the weight of the time since the last update."""
        elapsed_ms = now_ms - self.updated_ms
        if elapsed_ms < MIN_DECAY_INTERVAL_MS:
            return
        self.updated_ms = now_ms
        self._scale(0.5 ** (elapsed_ms / HALF_LIFE_MS))

    def merge(self, other, factor=1.0):
        """Add the counts of another sketch, times `factor`."""
        for mine, theirs in (
            (self.ended, other.ended),
            (self.censored, other.censored),
        ):
            for bucket, count in enumerate(theirs):
                if count:
                    mine[bucket] += factor * count
        self.weight += factor * other.weight

    def weight_at(self, now_ms):
        """Return the weight left at a time."""
        elapsed_ms = max(0.0, now_ms - self.updated_ms)
        return self.weight * 0.5 ** (elapsed_ms / HALF_LIFE_MS)

    def _scale(self, factor):
        for counts in (self.ended, self.censored):
            for bucket, count in enumerate(counts):
                if count:
                    counts[bucket] = factor * count
        self.weight *= factor


def refine(general, sketch):
    """Return the distribution of a sketch, backed off to a more general one.

    Parameters
    ----------
    general : list of float or None
        Probability of each bucket; counts as `BACKOFF_WEIGHT` observations.
    sketch : Sketch or None

    Returns
    -------
    list of float or None
        Probability of each bucket. What is left after the last bucket with an
        observation, since requests were censored there, is put an octave higher.
    """
    if sketch is None or sketch.weight <= 0.0:
        return general
    at_risk, general_at_risk, survival = sketch.weight, BACKOFF_WEIGHT, 1.0
    if general is None:
        general_at_risk = 0.0
    last_bucket, probabilities = 0, [0.0] * BUCKET_COUNT
    ended_counts, censored_counts = sketch.ended, sketch.censored
    for bucket in range(BUCKET_COUNT):
        ended, censored = ended_counts[bucket], censored_counts[bucket]
        ends = ended
        if general is not None:
            general_ends = BACKOFF_WEIGHT * general[bucket]
            ends += general_ends
        total = at_risk + general_at_risk
        if ends > 0.0 and total > 1e-6:
            probability = survival * min(1.0, ends / total)
            probabilities[bucket] = probability
            survival -= probability
            last_bucket = bucket
        if censored:
            last_bucket = bucket
        at_risk -= ended + censored
        if general is not None:
            general_at_risk -= general_ends
    if survival > 0.0:
        tail_bucket = min(BUCKET_COUNT - 1, last_bucket + BUCKETS_PER_OCTAVE)
        probabilities[tail_bucket] += survival
    return probabilities


def quantile(probabilities, fraction):
    """Return the cost that `fraction` of the requests don't exceed."""
    left = fraction * sum(probabilities)
    for bucket, probability in enumerate(probabilities):
        if probability > 0.0 and probability >= left:
            position = bucket + left / probability
            return 2.0 ** (position / BUCKETS_PER_OCTAVE)
        left -= probability
    return 2.0 ** (BUCKET_COUNT / BUCKETS_PER_OCTAVE)


def _hint_error_prior():
    weights = [
        math.exp(-abs(bucket - HINT_ORIGIN) / HINT_ERROR_BUCKETS)
        for bucket in range(BUCKET_COUNT)
    ]
    total = sum(weights)
    return [weight / total for weight in weights]


HINT_ERROR_PRIOR = _hint_error_prior()


def level_key(*names):
    """Return the number by which peers name a level of the hierarchy."""
    return hash64("\0".join(map(str, names))) & KEY_MASK


class CostModel:
    """Predicts the cost of requests from those that have ended.

    Attributes
    ----------
    remote_by_key : dict of int to Sketch
        What peers have told, by `level_key`.
    includes_own : bool
        Whether own observations count; not if what peers told has them already.
    error_octaves : float
        Moving average of the error of the median, in powers of two.
    high_coverage : float
        Moving average share of requests that cost no more than the high quantile.
    observed_count, censored_count : int
    predicted_count, unknown_count : int
        Requests with a prediction, and without one.
    """

    __slots__ = (
        "_cache_ms",
        "_distributions",
        "_groups",
        "_parts",
        "_part_count",
        "_shared",
        "_team_count",
        "censored_count",
        "error_octaves",
        "high_coverage",
        "includes_own",
        "observed_count",
        "predicted_count",
        "remote_by_key",
        "unknown_count",
    )

    def __init__(self):
        self._groups = {}
        self._parts = {}
        self._part_count = 0
        self._team_count = 0
        self._shared = {}
        self._distributions = {}
        self._cache_ms = -math.inf
        self.remote_by_key = {}
        self.includes_own = True
        self.error_octaves = 0.0
        self.high_coverage = HIGH_QUANTILE
        self.observed_count = 0
        self.censored_count = 0
        self.predicted_count = 0
        self.unknown_count = 0

    @property
    def sketch_count(self):
        """Number of own sketches, which is bounded."""
        return self._team_count + self._part_count

    def observe(self, traits, cost, is_complete, now_ms):
        """Learn from a request that has ended.

        Parameters
        ----------
        traits : CostTraits
        cost : float
        is_complete : bool
            False if it was cut off, so that it would have cost more.
        now_ms : float
        """
        if not math.isfinite(cost) or cost <= 0.0:
            return
        # An answer that reaches its maximum length was cut off there.
        is_ended = is_complete and cost < traits.limit
        self.observed_count += 1
        self.censored_count += not is_ended
        bucket = bucket_of(cost)
        group = (traits.route, traits.size_class)
        team_sketch = self._team_sketch(group, traits.team, now_ms)
        team_sketch.add(bucket, is_ended, now_ms)
        if traits.part and team_sketch.weight >= MIN_WEIGHT_FOR_PARTS:
            sketch = self._part_sketch((*group, traits.team), traits.part, now_ms)
            sketch.add(bucket, is_ended, now_ms)
        if traits.hint_tokens > 0:
            self._observe_hint(traits, bucket, is_ended, now_ms)

    def _observe_hint(self, traits, bucket, is_ended, now_ms):
        group = (traits.route, HINT_CLASS)
        error = HINT_ORIGIN + bucket_of(traits.hint_tokens) - bucket
        error = max(0, min(BUCKET_COUNT - 1, error))
        errors = None if is_ended else self._hint_errors(traits, now_ms)
        sketch = self._team_sketch(group, traits.team, now_ms)
        if is_ended:
            sketch.add(error, True, now_ms)
            return
        # The answer would have been longer: the error is at most this one. It is
        # counted where errors up to it are known to be.
        total = sum(errors[: error + 1])
        for lower in range(error + 1):
            if errors[lower] > 0.01 * total:
                sketch.add(lower, True, now_ms, errors[lower] / total)

    def record_error(self, prediction, cost, is_complete):
        """Update error and coverage by a request that was predicted.

        Parameters
        ----------
        prediction : CostPrediction or None
        cost : float
        is_complete : bool
        """
        if prediction is None:
            self.unknown_count += 1
            return
        self.predicted_count += 1
        if is_complete and cost > 0.0 and prediction.median > 0.0:
            error = abs(math.log2(cost / prediction.median))
            self.error_octaves += ERROR_LEARNING_WEIGHT * (error - self.error_octaves)
            is_covered = cost <= prediction.high
            self.high_coverage += ERROR_LEARNING_WEIGHT * (
                is_covered - self.high_coverage
            )

    def predict(self, traits, now_ms, least=0.0):
        """Return the `CostPrediction` of a request, or None if nothing is known.

        Parameters
        ----------
        traits : CostTraits
        now_ms : float
        least : float
            Cost that the request has had already.
        """
        probabilities = self._distribution(traits, now_ms)
        if traits.hint_tokens > 0:
            probabilities = self._apply_hint(probabilities, traits, now_ms)
        if probabilities is None:
            return None
        if least > 1.0:
            start = bucket_of(least)
            tail = [0.0] * start + probabilities[start:]
            if sum(tail) < 1e-6:
                tail[min(BUCKET_COUNT - 1, start + BUCKETS_PER_OCTAVE // 2)] = 1.0
            probabilities = tail
        median = quantile(probabilities, 0.5)
        high = quantile(probabilities, HIGH_QUANTILE)
        return CostPrediction(min(traits.limit, median), min(traits.limit, high))

    def level_sketches(self, now_ms):
        """Return own sketches by `level_key`: those that teams share, and the others.

        Returns
        -------
        tuple of (dict of int to Sketch, dict of int to Sketch)
        """
        general, specific = {}, {}
        routes = {route for route, size in self._groups if size != HINT_CLASS}
        for route in routes:
            general[level_key(route)] = self._own_route(route, now_ms)
        for group, teams in self._groups.items():
            general[level_key(*group)] = self._own_group(group, now_ms)
            for team, sketch in teams.items():
                specific[level_key(*group, team)] = sketch
        for owner, parts in self._parts.items():
            for part, sketch in parts.items():
                sketch.decay(now_ms)
                specific[level_key(*owner, part)] = sketch
        return general, {
            key: sketch
            for key, sketch in specific.items()
            if sketch.weight >= MIN_TOLD_WEIGHT
        }

    def set_remote(self, sketches_by_key, includes_own):
        """Replace what peers have told; see `remote_by_key` and `includes_own`."""
        self.remote_by_key = sketches_by_key
        self.includes_own = includes_own
        self._distributions.clear()
        self._shared.clear()

    def _distribution(self, traits, now_ms):
        if now_ms - self._cache_ms > MERGED_TTL_MS:
            self._distributions.clear()
            self._shared.clear()
            self._cache_ms = now_ms
        route, group = traits.route, (traits.route, traits.size_class)
        key = (*group, traits.team, traits.part)
        if key in self._distributions:
            return self._distributions[key]
        if group not in self._shared:
            general = refine(
                None, self._with_remote(self._own_route(route, now_ms), route)
            )
            own_group = self._own_group(group, now_ms)
            shared = refine(general, self._with_remote(own_group, *group))
            self._bound_cache(self._shared)[group] = shared
        probabilities = self._refine_by_team(
            self._shared[group], group, traits.team, now_ms
        )
        if traits.part:
            parts = self._parts.get((*group, traits.team), {})
            own = self._decayed(parts.get(traits.part), now_ms)
            sketch = self._with_remote(own, *group, traits.team, traits.part)
            probabilities = refine(probabilities, sketch)
        self._bound_cache(self._distributions)[key] = probabilities
        return probabilities

    def _refine_by_team(self, general, group, team, now_ms):
        own = self._decayed(self._groups.get(group, {}).get(team), now_ms)
        return refine(general, self._with_remote(own, *group, team))

    def _hint_errors(self, traits, now_ms):
        """Return the distribution of the errors of a team's hints."""
        group = (traits.route, HINT_CLASS)
        key = (*group, traits.team)
        if key not in self._distributions:
            own_group = self._own_group(group, now_ms)
            shared = refine(HINT_ERROR_PRIOR, self._with_remote(own_group, *group))
            errors = self._refine_by_team(shared, group, traits.team, now_ms)
            self._bound_cache(self._distributions)[key] = errors
        return self._distributions[key]

    def _apply_hint(self, probabilities, traits, now_ms):
        errors = self._hint_errors(traits, now_ms)
        even = 1.0 / BUCKET_COUNT
        if probabilities is None:
            prior = [even] * BUCKET_COUNT
        else:
            prior = [
                (1.0 - EVEN_SHARE) * probability + EVEN_SHARE * even
                for probability in probabilities
            ]
        origin = HINT_ORIGIN + bucket_of(traits.hint_tokens)
        likely = [
            probability * errors[max(0, min(BUCKET_COUNT - 1, origin - bucket))]
            for bucket, probability in enumerate(prior)
        ]
        total = sum(likely)
        if total <= 1e-12:
            return probabilities
        return [probability / total for probability in likely]

    def _own_group(self, group, now_ms):
        """Return the own sketch of a group, in which each team has a limited weight."""
        return self._capped(self._groups.get(group, {}), MAX_TEAM_WEIGHT, now_ms)

    def _own_route(self, route, now_ms):
        sketches = {
            size: self._own_group((name, size), now_ms)
            for name, size in self._groups
            if name == route and size != HINT_CLASS
        }
        return self._capped(sketches, MAX_SIZE_WEIGHT, now_ms)

    def _capped(self, sketches_by_name, max_weight, now_ms):
        merged = Sketch(now_ms)
        for sketch in sketches_by_name.values():
            sketch.decay(now_ms)
            if sketch.weight > 0.0:
                merged.merge(sketch, min(1.0, max_weight / sketch.weight))
        return merged

    def _with_remote(self, own, *names):
        """Return own and remote observations of a level in one sketch."""
        remote = self.remote_by_key.get(level_key(*names))
        if remote is None:
            return own if self.includes_own else None
        if own is None or own.weight <= 0.0 or not self.includes_own:
            return remote
        merged = Sketch(own.updated_ms)
        merged.merge(own)
        merged.merge(remote)
        return merged

    def _decayed(self, sketch, now_ms):
        if sketch is not None:
            sketch.decay(now_ms)
        return sketch

    def _bound_cache(self, cache):
        if len(cache) >= MAX_CACHED_DISTRIBUTIONS:
            cache.clear()
        return cache

    def _team_sketch(self, group, team, now_ms):
        teams = self._groups.get(group)
        if teams is None:
            if len(self._groups) >= MAX_GROUPS:
                self._evict_group(now_ms)
            teams = self._groups[group] = {}
        sketch = teams.get(team)
        if sketch is None:
            if len(teams) >= MAX_TEAMS_PER_GROUP:
                self._evict_team(group, now_ms)
            elif self._team_count >= MAX_TEAM_SKETCHES:
                largest = max(self._groups, key=lambda name: len(self._groups[name]))
                self._evict_team(largest, now_ms)
            sketch = teams[team] = Sketch(now_ms)
            self._team_count += 1
        return sketch

    def _part_sketch(self, owner, part, now_ms):
        parts = self._parts.setdefault(owner, {})
        sketch = parts.get(part)
        if sketch is None:
            if len(parts) >= MAX_PARTS_PER_TEAM:
                self._drop_part(owner, now_ms)
            elif self._part_count >= MAX_PARTS:
                # A team with many parts makes room for the others.
                largest = max(self._parts, key=lambda name: len(self._parts[name]))
                self._drop_part(largest, now_ms)
                parts = self._parts.setdefault(owner, parts)
            sketch = parts[part] = Sketch(now_ms)
            self._part_count += 1
        return sketch

    def _drop_part(self, owner, now_ms):
        _evict_lightest(self._parts[owner], now_ms)
        self._part_count -= 1
        if not self._parts[owner]:
            del self._parts[owner]

    def _evict_team(self, group, now_ms):
        team = _evict_lightest(self._groups[group], now_ms)
        self._team_count -= 1
        self._part_count -= len(self._parts.pop((*group, team), ()))

    def _evict_group(self, now_ms):
        def weight(group):
            return sum(s.weight_at(now_ms) for s in self._groups[group].values())

        lightest = min(self._groups, key=weight)
        self._team_count -= len(self._groups.pop(lightest))
        for owner in [owner for owner in self._parts if owner[:2] == lightest]:
            self._part_count -= len(self._parts.pop(owner))


def _evict_lightest(sketches_by_name, now_ms):
    """Remove the sketch with the least weight, and return its name.

    A flood of new names then displaces itself.
    """
    name = min(
        sketches_by_name, key=lambda key: sketches_by_name[key].weight_at(now_ms)
    )
    del sketches_by_name[name]
    return name
