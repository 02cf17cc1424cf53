"""Claims of calls that must run at most once, stored in logs at the platform.

A claim is durable before the first byte of the call is sent. Claims are spread over
shards; each shard is a log in a ring of small segment objects. Entries are appended to
the newest segment, only by conditional writes, with one write in flight per writer;
changes that arrive meanwhile go into the next write. The write that fills a segment
seals it, and the next segment may be started only then, so all writers append in one
order. The attempt identity in the log decides which attempt may run; no lease or clock
does.
"""

from enum import StrEnum

import msgspec

from vanillareach.core.hashing import hash64, hash128_hex
from vanillareach.core.outcomes import Outcome, Reason, Refusal
from vanillareach.core.rendezvous import assign_balanced_owners

# A claim is kept for this long after the deadline of its call.
CLAIM_RETENTION_MS = 20 * 60_000
# A segment of at least this size is sealed.
SEGMENT_LIMIT_BYTES = 2048
# Slots in the ring of a shard.
SEGMENTS_PER_SHARD = 1024
# Largest response body that is recorded.
MAX_ANSWER_BYTES = 1024
# Minimum time between the starts of two writes of a shard.
WRITE_INTERVAL_MS = 500
# Time between two searches for expired claims.
EXPIRY_SCAN_INTERVAL_MS = 60_000
# After its deadline a call counts as running for this long, as its outcome may still be
# on the way to the log.
OUTCOME_GRACE_MS = 2000
# Retry-After of a claim that is refused because the oldest segment has not expired.
LOG_FULL_RETRY_AFTER_MS = 60_000


class ClaimState(StrEnum):
    """State of a claim."""

    CLAIMED = "claimed"
    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ClaimRecord(msgspec.Struct, frozen=True):
    """A claim as stored.

    Attributes
    ----------
    attempt : str
        Identity of the attempt to which the claim was granted.
    fingerprint : str
        Digest of the call, by which another call under the same key is detected.
    owner : str
        Name and incarnation of the instance that claimed the key.
    deadline_ms : int
        Deadline of the call, as wall time.
    state : ClaimState
    status : int
        HTTP status of the recorded response; 0 when there is none.
    answer : str
        Body of the recorded response, if it is small enough.
    content_type : str
        Content type of the recorded response.
    """

    attempt: str
    fingerprint: str
    owner: str
    deadline_ms: int
    state: ClaimState = ClaimState.CLAIMED
    status: int = 0
    answer: str = ""
    content_type: str = ""


class Claim(msgspec.Struct, frozen=True, tag=True):
    """Log entry, and request, that claims a key for a call."""

    key: str
    record: ClaimRecord


class Settle(msgspec.Struct, frozen=True, tag=True):
    """Log entry, and request, that records how a claimed call ended."""

    key: str
    attempt: str
    state: ClaimState
    status: int = 0
    answer: str = ""
    content_type: str = ""


class ClaimGranted:
    """The claim is durable; the call may be dispatched under `attempt`."""

    __slots__ = ("attempt",)

    def __init__(self, attempt):
        self.attempt = attempt


class RecordedAnswer:
    """The key was used before and the outcome of its call is recorded."""

    __slots__ = ("record",)

    def __init__(self, record):
        self.record = record


def claim_key(team, service, key):
    """Return the ledger key for a caller's idempotency key."""
    return hash128_hex(f"{team}/{service}/{key}".encode())


def shard_of(key, shard_count):
    """Return the number of the shard that stores `key`."""
    return hash64(key) % shard_count


class ShardOwners:
    """Assigns to each shard the instance that is preferred to write it.

    Parameters
    ----------
    shard_count : int
    """

    __slots__ = ("_keys", "_names", "_owners_by_key")

    def __init__(self, shard_count):
        self._keys = [f"claims/{shard}" for shard in range(shard_count)]
        self._names = None
        self._owners_by_key = {}

    def owner(self, shard, names):
        """Return the name preferred for a shard, or None without names.

        Parameters
        ----------
        shard : int
        names : collection of str
            Live instances.
        """
        present = frozenset(names)
        if present != self._names:
            self._names = present
            self._owners_by_key = assign_balanced_owners(self._keys, sorted(present))
        return self._owners_by_key.get(self._keys[shard])


class SegmentContent(msgspec.Struct):
    """One segment of a shard's log.

    Attributes
    ----------
    sequence : int
        Position in the log; the segment is in slot ``sequence % SEGMENTS_PER_SHARD``.
    entries : list of Claim or Settle
        Granted claims and outcomes, in order.
    sealed : bool
        Whether the segment is complete and accepts no more entries.
    """

    sequence: int
    entries: list[Claim | Settle] = []
    sealed: bool = False


def slot_of(sequence):
    """Return the slot of the segment with this sequence number."""
    return sequence % SEGMENTS_PER_SHARD


def decide_claim(existing, claim, now_ms):
    """Decide whether a claim is granted.

    Parameters
    ----------
    existing : ClaimRecord or None
        Stored record of the same key.
    claim : Claim
    now_ms : int
        Wall time.

    Returns
    -------
    ClaimGranted, RecordedAnswer or Refusal
    """
    if existing is not None and existing.attempt == claim.record.attempt:
        return _decide_same_attempt(existing)
    if existing is None or existing.state is ClaimState.NOT_RUN:
        return ClaimGranted(claim.record.attempt)
    if existing.fingerprint != claim.record.fingerprint:
        return Refusal(Reason.KEY_REUSED, "the key was used for another call")
    return _decide_from_record(existing, now_ms)


def _decide_same_attempt(existing):
    if existing.state is ClaimState.CLAIMED:
        return ClaimGranted(existing.attempt)
    # An attempt that was given up must not be dispatched later.
    return Refusal(Reason.CONFLICT, "the attempt was given up")


def _decide_from_record(existing, now_ms):
    if existing.state is ClaimState.CLAIMED:
        remaining_ms = existing.deadline_ms + OUTCOME_GRACE_MS - now_ms
        if remaining_ms > 0:
            return Refusal(
                Reason.STILL_RUNNING,
                "the call with this key is still running",
                Outcome.UNKNOWN,
                retry_after_ms=remaining_ms,
            )
        return Refusal(
            Reason.ENDPOINT_LOST,
            "the call with this key may have run; its answer was lost",
            Outcome.UNKNOWN,
        )
    if existing.state is ClaimState.UNKNOWN:
        return Refusal(
            Reason.ENDPOINT_LOST, "the call with this key may have run", Outcome.UNKNOWN
        )
    return RecordedAnswer(existing)


def settled_record(existing, settle):
    """Return the record after a settlement, or None if it does not apply."""
    if existing is None or existing.attempt != settle.attempt:
        return None
    if existing.state is settle.state and existing.status == settle.status:
        return None
    return msgspec.structs.replace(
        existing,
        state=settle.state,
        status=settle.status,
        answer=settle.answer,
        content_type=settle.content_type,
    )


class SegmentWrite:
    """A conditional write and the results that depend on its success.

    Attributes
    ----------
    slot : int
    base_version : str
        Version that the slot must have; empty if it must not exist.
    content : SegmentContent
    results : list of (Claim or Settle, object)
        Each change with its result: `ClaimGranted`, `RecordedAnswer` or `Refusal` for a
        claim, None for a settlement.
    records_by_key : dict of str to ClaimRecord
        New or changed records, valid once the write has succeeded.
    """

    __slots__ = ("base_version", "content", "records_by_key", "results", "slot")

    def __init__(self, slot, base_version, content, results, records_by_key):
        self.slot = slot
        self.base_version = base_version
        self.content = content
        self.results = results
        self.records_by_key = records_by_key

    @property
    def is_needed(self):
        """Whether any change has to be stored."""
        return bool(self.records_by_key)


class ShardWriter:
    """Batches the changes of one shard into conditional writes.

    Usage: `add` changes as they arrive. While `needs_read` is true, read the segment in
    `slot_to_read` and pass it to `apply_read`, or read all segments and pass them to
    `load_segments`. Then `prepare` a write, perform it, and call `complete_write` or
    `fail_write`. A claim stored by a write whose response was lost is granted by its
    attempt identity.
    """

    def __init__(self):
        self.claims_by_key = {}
        self.pending = []
        self._tail = None
        self._versions_by_slot = {}
        self._deadlines_by_slot = {}
        self._in_flight = None
        self._next_write_ms = 0
        self._next_expiry_ms = 0
        self._is_current = False

    @property
    def needs_read(self):
        """Whether the stored log may have entries that this writer has not read."""
        return not self._is_current

    @property
    def slot_to_read(self):
        """Slot where the log would have grown, or None to read all slots."""
        return None if self._tail is None else slot_of(self._expected_sequence())

    @property
    def has_write_in_flight(self):
        """Whether a prepared write has neither succeeded nor failed."""
        return self._in_flight is not None

    def add(self, change):
        """Queue a `Claim` or a `Settle`."""
        self.pending.append(change)

    def drain_claims(self):
        """Remove and return the queued claims; settlements stay queued."""
        claims = [change for change in self.pending if isinstance(change, Claim)]
        self.pending = [
            change for change in self.pending if not isinstance(change, Claim)
        ]
        return claims

    def wait_ms(self, now_ms):
        """Return the time until the next write may start."""
        return max(0, self._next_write_ms - now_ms)

    def load_segments(self, segments):
        """Rebuild the state from all stored segments.

        Parameters
        ----------
        segments : list of tuple of SegmentContent and str
            Contents and versions, in any order.
        """
        self.claims_by_key = {}
        self._versions_by_slot = {}
        self._deadlines_by_slot = {}
        self._tail = SegmentContent(0, sealed=True)
        for content, version in sorted(segments, key=lambda pair: pair[0].sequence):
            self._apply_segment(content, version)
        self._is_current = True

    def apply_read(self, content, version):
        """Apply the current content of `slot_to_read`.

        Parameters
        ----------
        content : SegmentContent or None
            None if the slot is empty.
        version : str
        """
        expected = self._expected_sequence()
        if content is None or content.sequence < expected:
            # The segment after the last sealed one has not been started.
            self._is_current = self._tail.sealed
            self._tail = self._tail if self._is_current else None
        elif content.sequence > expected:
            # The ring has wrapped around; all segments have to be read again.
            self._tail = None
        else:
            self._apply_segment(content, version)
            self._is_current = not content.sealed

    def prepare(self, now_ms):
        """Decide on all queued changes and return the `SegmentWrite` to perform."""
        self._remove_expired(now_ms)
        changes, self.pending = self.pending, []
        target = self._target_segment()
        slot = slot_of(target.sequence)
        is_full = not target.entries and not self._is_free(slot, now_ms)
        new_records_by_key, entries, results = {}, list(target.entries), []
        for change in changes:
            if is_full and isinstance(change, Settle):
                self.pending.append(change)
                continue
            result = self._decide(change, new_records_by_key, entries, now_ms, is_full)
            results.append((change, result))
        content = SegmentContent(target.sequence, entries)
        content.sealed = len(msgspec.json.encode(content)) >= SEGMENT_LIMIT_BYTES
        version = self._versions_by_slot.get(slot, "")
        self._in_flight = SegmentWrite(
            slot, version, content, results, new_records_by_key
        )
        self._next_write_ms = now_ms + WRITE_INTERVAL_MS
        return self._in_flight

    def complete_write(self, version):
        """Apply the write, which succeeded, and return its results."""
        write = self._in_flight
        self._in_flight = None
        self._apply_segment(write.content, version)
        return write.results

    def skip_write(self):
        """Return the results of a prepared write that has nothing to store."""
        write = self._in_flight
        self._in_flight = None
        return write.results

    def fail_write(self):
        """Queue the changes again after a conflict or a write without a response."""
        write = self._in_flight
        self._in_flight = None
        self._is_current = False
        self.pending = [change for change, _ in write.results] + self.pending

    def _decide(self, change, new_records_by_key, entries, now_ms, is_full):
        existing = new_records_by_key.get(change.key) or self.claims_by_key.get(
            change.key
        )
        if isinstance(change, Settle):
            record = settled_record(existing, change)
            if record is not None:
                new_records_by_key[change.key] = record
                entries.append(change)
            return None
        result = decide_claim(existing, change, now_ms)
        is_recorded = existing is not None and existing.attempt == change.record.attempt
        if is_recorded or not isinstance(result, ClaimGranted):
            return result
        if is_full:
            return Refusal(
                Reason.OVERLOADED,
                "the record of earlier keys is full",
                retry_after_ms=LOG_FULL_RETRY_AFTER_MS,
            )
        new_records_by_key[change.key] = change.record
        entries.append(change)
        return result

    def _expected_sequence(self):
        """Return the sequence number of the segment that gets the next entries."""
        return self._tail.sequence + (1 if self._tail.sealed else 0)

    def _target_segment(self):
        if self._tail.sealed:
            return SegmentContent(self._expected_sequence())
        return self._tail

    def _is_free(self, slot, now_ms):
        """Return whether all claims in a slot's old segment have expired."""
        deadline_ms = self._deadlines_by_slot.get(slot)
        return deadline_ms is None or deadline_ms + CLAIM_RETENTION_MS < now_ms

    def _apply_segment(self, content, version):
        slot = slot_of(content.sequence)
        deadline_ms = self._deadlines_by_slot.get(slot, 0)
        if self._tail is None or content.sequence != self._tail.sequence:
            deadline_ms = 0
        for entry in content.entries:
            if isinstance(entry, Claim):
                deadline_ms = max(deadline_ms, entry.record.deadline_ms)
                existing = self.claims_by_key.get(entry.key)
                if existing is None or existing.attempt != entry.record.attempt:
                    self.claims_by_key[entry.key] = entry.record
            else:
                record = settled_record(self.claims_by_key.get(entry.key), entry)
                if record is not None:
                    self.claims_by_key[entry.key] = record
        self._versions_by_slot[slot] = version
        self._deadlines_by_slot[slot] = deadline_ms
        self._tail = content

    def _remove_expired(self, now_ms):
        if now_ms < self._next_expiry_ms:
            return
        self._next_expiry_ms = now_ms + EXPIRY_SCAN_INTERVAL_MS
        oldest_ms = now_ms - CLAIM_RETENTION_MS
        expired = [
            key
            for key, record in self.claims_by_key.items()
            if record.deadline_ms < oldest_ms
        ]
        for key in expired:
            del self.claims_by_key[key]
