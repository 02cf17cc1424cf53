"""Claims of calls that must run at most once, kept in logs at the platform.

A claim is durable before the first byte of the call leaves. Claims are spread over
shards; each shard is a log in a ring of small segment objects. Entries are appended
to the newest segment by conditional writes alone, one in flight per writer; what
arrives meanwhile goes into the next write. The write that fills a segment seals it,
and only then may the next segment be started, so all writers append in one order.
No lease or clock decides who may run: the attempt identity in the log does.
"""

from enum import StrEnum

import msgspec

from vanillareach.core.hashing import hash64, hash128_hex
from vanillareach.core.outcomes import Outcome, Reason, Refusal
from vanillareach.core.rendezvous import assign_balanced_owners

CLAIM_RETENTION_MS = 20 * 60_000
SEGMENT_LIMIT_BYTES = 2048
SEGMENTS_PER_SHARD = 1024
MAX_ANSWER_BYTES = 1024
WRITE_INTERVAL_MS = 500
EXPIRY_SCAN_INTERVAL_MS = 60_000
OUTCOME_GRACE_MS = 2000
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
        Identity of the attempt that holds the claim.
    fingerprint : str
        Digest of the call, so that another call under the same key is noticed.
    owner : str
        Instance and incarnation of the claimant.
    deadline_ms : int
        Wall time at which the call's answer was due.
    state : ClaimState
    status : int
        HTTP status of the recorded answer; 0 when there is none.
    answer : str
        Body of a small answer.
    content_type : str
        Type of the recorded answer.
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
    """Request to claim a key."""

    key: str
    record: ClaimRecord


class Settle(msgspec.Struct, frozen=True, tag=True):
    """Request to record how a claimed call ended."""

    key: str
    attempt: str
    state: ClaimState
    status: int = 0
    answer: str = ""
    content_type: str = ""


class ClaimGranted:
    """The claim stands; the call may be dispatched under `attempt`."""

    __slots__ = ("attempt",)

    def __init__(self, attempt):
        self.attempt = attempt


class RecordedAnswer:
    """The key was used before and its answer is known."""

    __slots__ = ("record",)

    def __init__(self, record):
        self.record = record


def claim_key(team, service, key):
    """Return the ledger's key of a caller's idempotency key."""
    return hash128_hex(f"{team}/{service}/{key}".encode())


def shard_of(key, shard_count):
    """Return the number of the shard that holds `key`."""
    return hash64(key) % shard_count


class ShardOwners:
    """Which instance is preferred to write each shard.

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
            Living instances.
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
        Place in the log; the segment lies in slot ``sequence % SEGMENTS_PER_SHARD``.
    entries : list of Claim or Settle
        Granted claims and outcomes, in order.
    sealed : bool
        Whether nothing may be appended any more.
    """

    sequence: int
    entries: list[Claim | Settle] = []
    sealed: bool = False


def slot_of(sequence):
    """Return the slot that holds a segment."""
    return sequence % SEGMENTS_PER_SHARD


def decide_claim(existing, claim, now_ms):
    """Decide on a claim.

    Parameters
    ----------
    existing : ClaimRecord or None
        Record under the same key.
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
    # An attempt that was given up must never be dispatched later.
    return Refusal(Reason.CONFLICT, "the attempt was given up")


def _decide_from_record(existing, now_ms):
    if existing.state is ClaimState.CLAIMED:
        left_ms = existing.deadline_ms + OUTCOME_GRACE_MS - now_ms
        if left_ms > 0:
            return Refusal(
                Reason.STILL_RUNNING,
                "the call with this key is still running",
                Outcome.UNKNOWN,
                retry_after_ms=left_ms,
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
    """A conditional write to be made, with the results that depend on it.

    Attributes
    ----------
    slot : int
    base_version : str
        Version that the slot must have; empty if it must not exist.
    content : SegmentContent
    results : list of tuple
        Pairs of a change and its result.
    records_by_key : dict of str to ClaimRecord
        Records that hold once the write stands.
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
    """Groups the changes of one shard into conditional writes.

    Drive it so: `add` changes as they arrive; while `needs_read`, read the segment
    in `slot_to_read` and `follow` it, or all segments and `load` them; then `prepare`
    a write, make it, and call `finish` or `fail`. Changes that already stand after a
    lost answer are granted by their attempt identity.
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
        """Whether the stored log may hold more than this writer knows."""
        return not self._is_current

    @property
    def slot_to_read(self):
        """Slot that shows whether the log went on, or None to read them all."""
        return None if self._tail is None else slot_of(self._expected_sequence())

    @property
    def has_write_in_flight(self):
        """Whether a prepared write has neither finished nor failed."""
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

    def load(self, segments):
        """Take all stored segments.

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

    def follow(self, content, version):
        """Take the segment in `slot_to_read` as read anew.

        Parameters
        ----------
        content : SegmentContent or None
            None if the slot is empty.
        version : str
        """
        expected = self._expected_sequence()
        if content is None or content.sequence < expected:
            # The segment after the last sealed one was not started.
            self._is_current = self._tail.sealed
            self._tail = self._tail if self._is_current else None
        elif content.sequence > expected:
            # The ring went round; all has to be read again.
            self._tail = None
        else:
            self._apply_segment(content, version)
            self._is_current = not content.sealed

    def prepare(self, now_ms):
        """Decide on all queued changes and return the `SegmentWrite` to be made."""
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

    def finish(self, version):
        """Take the write as standing and return its results."""
        write = self._in_flight
        self._in_flight = None
        self._apply_segment(write.content, version)
        return write.results

    def skip(self):
        """Return the results of a write that was not needed."""
        write = self._in_flight
        self._in_flight = None
        return write.results

    def fail(self):
        """Queue the changes again after a conflict or a write without an answer."""
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
        return self._tail.sequence + (1 if self._tail.sealed else 0)

    def _target_segment(self):
        if self._tail.sealed:
            return SegmentContent(self._expected_sequence())
        return self._tail

    def _is_free(self, slot, now_ms):
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
