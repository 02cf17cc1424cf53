"""What instances tell each other of the costs of requests.

A summary has the most general distributions and, in turn, the others of the highest
weight, in at most `MAX_SUMMARY_BYTES`. It replaces what the same source told of the
same levels before, so nothing is counted twice, however often it arrives. In a large
fleet a placer adds up the instances of its domain, tells this to other placers, and
tells its members the whole fleet, in which their own observations are contained.
"""

from enum import IntEnum

import msgspec

from vanillareach.core.request_costs import (
    BUCKET_COUNT,
    HALF_LIFE_MS,
    KEY_MASK,
    MAX_WEIGHT,
    CostModel,
    Sketch,
)

SUMMARY_VERSION = 1
MAX_SUMMARY_BYTES = 1_000
SUMMARY_INTERVAL_MS = 5_000.0
# Least time between two summaries, however many peers start.
MIN_SUMMARY_INTERVAL_MS = 500.0
# Levels that a source hasn't told for this time are dropped, and a source after it.
SOURCE_TTL_MS = 60_000.0
# The fleet's summary of a placer is used in place of own observations for this time.
FLEET_TTL_MS = 20_000.0
MAX_SOURCES = 256
MAX_CELLS_PER_SOURCE = 256
# Time between two additions of all sources; it takes some 1 ms with 24 of them.
REBUILD_INTERVAL_MS = 1_000.0
# They are added up again after this time at the latest, since old ones lose weight.
MAX_REBUILD_INTERVAL_MS = 10_000.0
MAX_TOLD_KEYS = 4_096
# Weights are told in this fraction, and counts as shares of the greatest one.
WEIGHT_STEPS = 8
MAX_COUNT = 255
# A greater weight counts as this one. A domain or the fleet has many instances.
MAX_INSTANCE_WEIGHT = 5 * MAX_WEIGHT
MAX_TOLD_WEIGHT = 128 * MAX_WEIGHT


class Scope(IntEnum):
    """Whose observations a summary has."""

    INSTANCE = 0
    DOMAIN = 1
    FLEET = 2


class CostCell(msgspec.Struct, array_like=True, frozen=True):
    """Distribution of one level.

    Attributes
    ----------
    key : int
        See `level_key`.
    weight : int
        In `WEIGHT_STEPS` parts of an observation.
    first : int
        Bucket of the first count.
    ended, censored : bytes
        Relative counts of the buckets from `first` on.
    """

    key: int
    weight: int
    first: int
    ended: bytes
    censored: bytes = b""


class CostSummary(msgspec.Struct, array_like=True, frozen=True):
    """Cells that a source tells; those of another version are dropped."""

    version: int
    scope: int
    cells: tuple[CostCell, ...]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(CostSummary)


def encode_cell(key, sketch):
    """Return the `CostCell` of a sketch; its smallest counts round to 0."""
    greatest = max(max(sketch.ended), max(sketch.censored))
    if greatest <= 0.0:
        return None
    scale = MAX_COUNT / greatest
    ended = [round(scale * count) for count in sketch.ended]
    censored = [round(scale * count) for count in sketch.censored]
    used = [b for b in range(BUCKET_COUNT) if ended[b] or censored[b]]
    first = used[0]
    weight = min(sketch.weight, MAX_TOLD_WEIGHT)
    return CostCell(
        key,
        max(1, round(WEIGHT_STEPS * weight)),
        first,
        bytes(ended[first:]).rstrip(b"\0"),
        bytes(censored[first:]).rstrip(b"\0"),
    )


def decode_cell(cell, max_weight, now_ms):
    """Return the `Sketch` of a cell, or None if it is invalid."""
    length = max(len(cell.ended), len(cell.censored))
    if not 0 <= cell.first < BUCKET_COUNT or cell.first + length > BUCKET_COUNT:
        return None
    if not 0 <= cell.key <= KEY_MASK:
        return None
    total = sum(cell.ended) + sum(cell.censored)
    if cell.weight <= 0 or not total:
        return None
    sketch = Sketch(now_ms)
    sketch.weight = min(max_weight, cell.weight / WEIGHT_STEPS)
    scale = sketch.weight / total
    for counts, told in (
        (sketch.ended, cell.ended),
        (sketch.censored, cell.censored),
    ):
        for offset, count in enumerate(told):
            counts[cell.first + offset] = scale * count
    return sketch


class CostSource:
    """What one instance, or a domain or the fleet, has told last."""

    __slots__ = ("domain", "scope", "sketches_by_key", "updated_ms")

    def __init__(self, domain, scope):
        self.domain = domain
        self.scope = scope
        self.sketches_by_key = {}
        self.updated_ms = 0.0

    def update(self, sketches_by_key, now_ms):
        """Replace the levels that were told; keep the others for a while."""
        self.updated_ms = now_ms
        kept = self.sketches_by_key
        for key, sketch in sketches_by_key.items():
            kept.pop(key, None)
            kept[key] = sketch
        while len(kept) > MAX_CELLS_PER_SOURCE:
            del kept[next(iter(kept))]


class CostExchange:
    """The `CostModel` of an instance and the summaries that peers send.

    Attributes
    ----------
    model : CostModel
    is_enabled : bool
        Whether the instance learns, and sends and takes summaries.
    invalid_count : int
        Summaries, or cells of them, that were dropped.
    """

    __slots__ = (
        "_domain",
        "_is_direct",
        "_is_dirty",
        "_is_due",
        "_is_placer",
        "_rebuilt_ms",
        "_sent_ms_by_scope",
        "_sources",
        "_summarized_ms",
        "_told_ms_by_key",
        "invalid_count",
        "is_enabled",
        "model",
    )

    def __init__(self):
        self.model = CostModel()
        self.is_enabled = False
        self.invalid_count = 0
        self._domain = ""
        self._is_direct = True
        self._is_placer = False
        self._sources = {}
        self._is_dirty = False
        self._is_due = False
        self._rebuilt_ms = 0.0
        self._summarized_ms = -MIN_SUMMARY_INTERVAL_MS
        self._sent_ms_by_scope = {}
        self._told_ms_by_key = {}

    @property
    def source_count(self):
        """Number of sources whose summaries are kept."""
        return len(self._sources)

    def set_role(self, domain, is_direct, is_placer):
        """Record the role of the instance, which decides which sources count."""
        role = (domain, is_direct, is_placer)
        if role != (self._domain, self._is_direct, self._is_placer):
            self._domain, self._is_direct, self._is_placer = role
            self._is_dirty = True
            self._rebuilt_ms = 0.0

    def take_summary(self, now_ms):
        """Return the summary for the next beacon; empty if none is due.

        A summary of each scope is sent each `SUMMARY_INTERVAL_MS`; one is sent at once
        if a peer has started.
        """
        if not self.is_enabled:
            return b""
        self._rebuild(now_ms)
        if now_ms - self._summarized_ms < MIN_SUMMARY_INTERVAL_MS:
            return b""
        # The widest scope is told first: it is all that an instance needs at its start.
        scopes = (Scope.FLEET, Scope.DOMAIN, Scope.INSTANCE)
        if self._is_direct or not self._is_placer:
            scopes = (Scope.INSTANCE,)
        if self._is_due:
            self._is_due = False
            scope = scopes[0]
        else:
            scope = min(scopes, key=lambda s: self._sent_ms_by_scope.get(s, -1e12))
            sent_ms = self._sent_ms_by_scope.get(scope)
            if sent_ms is not None and now_ms - sent_ms < SUMMARY_INTERVAL_MS:
                return b""
        summary = self._build_summary(scope, now_ms)
        self._sent_ms_by_scope[scope] = now_ms
        if summary:
            self._summarized_ms = now_ms
        return summary

    def receive(self, beacon, is_unaware, now_ms):
        """Take over what a beacon tells.

        Parameters
        ----------
        beacon : Beacon
        is_unaware : bool
            Whether the sender has just started or was silent for long.
        now_ms : float

        Returns
        -------
        bool
            Whether a beacon with a summary should be sent soon.
        """
        if not self.is_enabled:
            return False
        if beacon.costs:
            self._receive_summary(beacon, now_ms)
        self._rebuild(now_ms)
        tells_others = self._is_direct or self._is_placer or beacon.is_placer
        if is_unaware and tells_others:
            self._is_due = True
            return now_ms - self._summarized_ms >= MIN_SUMMARY_INTERVAL_MS
        return False

    def _receive_summary(self, beacon, now_ms):
        if len(beacon.costs) > MAX_SUMMARY_BYTES:
            self.invalid_count += 1
            return
        try:
            summary = _decoder.decode(beacon.costs)
            scope = Scope(summary.scope)
        except (msgspec.MsgspecError, ValueError, OverflowError):
            self.invalid_count += 1
            return
        is_known = summary.version == SUMMARY_VERSION
        if not is_known or not self._is_wanted(scope, beacon.domain):
            return
        is_instance = scope is Scope.INSTANCE
        max_weight = MAX_INSTANCE_WEIGHT if is_instance else MAX_TOLD_WEIGHT
        name = {
            Scope.INSTANCE: beacon.name,
            Scope.DOMAIN: beacon.domain,
            Scope.FLEET: "",
        }[scope]
        sketches_by_key = {}
        for cell in summary.cells:
            sketch = decode_cell(cell, max_weight, now_ms)
            if sketch is None:
                self.invalid_count += 1
            else:
                sketches_by_key[cell.key] = sketch
        source = self._sources.get((scope, name))
        if source is None:
            if len(self._sources) >= MAX_SOURCES:
                oldest = min(self._sources, key=lambda s: self._sources[s].updated_ms)
                del self._sources[oldest]
            source = self._sources[scope, name] = CostSource(beacon.domain, scope)
        source.update(sketches_by_key, now_ms)
        self._is_dirty = True

    def _is_wanted(self, scope, domain):
        """Return whether a summary is of use in the role of this instance."""
        if self._is_direct:
            return scope is Scope.INSTANCE
        if scope is Scope.FLEET or not self._is_placer:
            return scope is Scope.FLEET
        return (domain == self._domain) == (scope is Scope.INSTANCE)

    def _rebuild(self, now_ms):
        """Add up the sources for the model, if they have changed."""
        interval_ms = REBUILD_INTERVAL_MS if self._is_dirty else MAX_REBUILD_INTERVAL_MS
        if self._rebuilt_ms and now_ms - self._rebuilt_ms < interval_ms:
            return
        if not self._is_dirty and not self._sources:
            return
        self._is_dirty, self._rebuilt_ms = False, now_ms
        self._sources = {
            name: source
            for name, source in self._sources.items()
            if now_ms - source.updated_ms < SOURCE_TTL_MS
        }
        sources = self._sources.values()
        fleet = [
            source
            for source in sources
            if source.scope is Scope.FLEET and now_ms - source.updated_ms < FLEET_TTL_MS
        ]
        includes_own = True
        if self._is_direct:
            used = [s for s in sources if s.scope is Scope.INSTANCE]
        elif self._is_placer:
            used = self._sources_of_placer()
            # A placer that has just started has nothing else.
            used = used or fleet
        else:
            used, includes_own = fleet, not fleet
        self.model.set_remote(_add_up(used, now_ms), includes_own)

    def _sources_of_placer(self):
        return [
            source
            for source in self._sources.values()
            if source.scope is not Scope.FLEET
            and self._is_wanted(source.scope, source.domain)
        ]

    def _build_summary(self, scope, now_ms):
        general, specific = self.model.level_sketches(now_ms)
        sketches = {**specific, **general}
        if scope is not Scope.INSTANCE:
            sketches = self._with_sources(sketches, scope, now_ms)
        if not sketches:
            return b""
        if len(self._told_ms_by_key) > MAX_TOLD_KEYS:
            self._told_ms_by_key.clear()
        told_ms_by_key = self._told_ms_by_key

        def order(key):
            told_ms = told_ms_by_key.get((scope, key), 0.0)
            return (key not in general, told_ms, -sketches[key].weight)

        cells, size = [], 8
        for key in sorted(sketches, key=order):
            cell = encode_cell(key, sketches[key])
            if cell is None:
                continue
            cell_size = len(_encoder.encode(cell))
            if size + cell_size > MAX_SUMMARY_BYTES:
                break
            size += cell_size
            cells.append(cell)
            told_ms_by_key[scope, key] = now_ms
        return _encoder.encode(CostSummary(SUMMARY_VERSION, int(scope), tuple(cells)))

    def _with_sources(self, own, scope, now_ms):
        """Return own sketches with those of the domain or the fleet added."""
        used = self._sources_of_placer()
        if scope is Scope.DOMAIN:
            used = [s for s in used if s.scope is Scope.INSTANCE]
        merged = _add_up(used, now_ms)
        for key, sketch in own.items():
            if key in merged:
                merged[key].merge(sketch)
            else:
                merged[key] = sketch
        return merged


def _add_up(sources, now_ms):
    """Return the sum of the sketches of sources by key, less what they have lost."""
    merged = {}
    for source in sources:
        for key, sketch in source.sketches_by_key.items():
            age_ms = max(0.0, now_ms - sketch.updated_ms)
            if age_ms > SOURCE_TTL_MS:
                continue
            total = merged.get(key)
            if total is None:
                total = merged[key] = Sketch(now_ms)
            total.merge(sketch, 0.5 ** (age_ms / HALF_LIFE_MS))
    return merged
