"""Stores claims at the platform; one task per shard makes this instance's writes."""

import random

import msgspec
import trio

from vanillareach.clock import MS_PER_SECOND
from vanillareach.control.object_api import (
    PlatformAmbiguousError,
    PlatformConflictError,
    PlatformUnavailableError,
)
from vanillareach.core.ledger import (
    Claim,
    ClaimGranted,
    ClaimState,
    SegmentContent,
    Settle,
    ShardWriter,
    shard_of,
)
from vanillareach.core.outcomes import Reason, Refusal
from vanillareach.log import get_logger

CLAIM_TIMEOUT_MS = 3000
SETTLEMENT_BATCH_DELAY_MS = 500
INITIAL_BACKOFF_MS = 100
MAX_BACKOFF_MS = 5000
RETRY_AFTER_MS = 2000
SHARD_QUEUE_CAPACITY = 10_000

log = get_logger("ledger")


class Submission:
    """A claim or settlement queued for its shard, and its result once known."""

    __slots__ = ("abandoned", "change", "finished", "result")

    def __init__(self, change):
        self.change = change
        self.result = None
        self.finished = trio.Event()
        self.abandoned = False

    def finish(self, result):
        """Set the result and wake up the submitter."""
        self.result = result
        self.finished.set()


def platform_unavailable_refusal():
    """Return the refusal used while claims cannot be made durable."""
    return Refusal(
        Reason.PLATFORM_UNAVAILABLE,
        "the call cannot be recorded now, so it was not run",
        retry_after_ms=RETRY_AFTER_MS,
    )


class LocalLedger:
    """Makes claims durable by writing to the shards from this instance.

    Parameters
    ----------
    platform : Platform
    clock : Clock
    nursery : trio.Nursery
        Owner of the shard tasks.
    shard_count : int
        Number of shards; must be the same on all instances.
    """

    def __init__(self, platform, clock, nursery, shard_count):
        self._platform = platform
        self._clock = clock
        self._nursery = nursery
        self._shard_count = shard_count
        self._channels_by_shard = {}
        self.pending_settlements = 0

    async def claim(self, claim, deadline_ms):
        """Make a claim durable.

        Parameters
        ----------
        claim : Claim
        deadline_ms : float
            Deadline of the call, as monotonic time.

        Returns
        -------
        ClaimGranted, RecordedAnswer or Refusal
            The call may be dispatched only after `ClaimGranted`.
        """
        timeout_at_ms = min(deadline_ms, self._clock.now_ms() + CLAIM_TIMEOUT_MS)
        submission = Submission(claim)
        with self._clock.scope_until(timeout_at_ms):
            await self._submit(submission)
            await submission.finished.wait()
            return submission.result
        submission.abandoned = True
        return platform_unavailable_refusal()

    async def settle(self, settle):
        """Record how a call ended; return once the change is queued."""
        self.pending_settlements += 1
        await self._submit(Submission(settle))

    async def _submit(self, submission):
        shard = shard_of(submission.change.key, self._shard_count)
        channel = self._channels_by_shard.get(shard)
        if channel is None:
            channel, receiver = trio.open_memory_channel(SHARD_QUEUE_CAPACITY)
            self._channels_by_shard[shard] = channel
            task = _ShardTask(self, shard, receiver)
            self._nursery.start_soon(task.run)
        await channel.send(submission)

    def _record_stored_settlements(self, count):
        self.pending_settlements -= count


class _ShardTask:
    """Processes the changes to one shard and owns its writer."""

    def __init__(self, ledger, shard, receiver):
        self._ledger = ledger
        self._platform = ledger._platform
        self._clock = ledger._clock
        self._collection = f"claims-{shard:04d}"
        self._receiver = receiver
        self._writer = ShardWriter()
        self._submissions_by_change = {}
        self._backoff_ms = INITIAL_BACKOFF_MS

    async def run(self):
        """Write submitted changes until cancelled."""
        while True:
            if not self._writer.pending:
                self._enqueue(await self._receiver.receive())
                await self._wait_for_batch()
            self._enqueue_waiting()
            await self._clock.sleep_ms(self._writer.wait_ms(self._clock.wall_ms()))
            self._enqueue_waiting()
            await self._commit()

    async def _wait_for_batch(self):
        """Wait for another change before the write if only settlements are queued."""
        if any(isinstance(change, Claim) for change in self._writer.pending):
            return
        with trio.move_on_after(SETTLEMENT_BATCH_DELAY_MS / MS_PER_SECOND):
            self._enqueue(await self._receiver.receive())

    def _enqueue(self, submission):
        self._submissions_by_change[id(submission.change)] = submission
        self._writer.add(submission.change)

    def _enqueue_waiting(self):
        try:
            while True:
                self._enqueue(self._receiver.receive_nowait())
        except trio.WouldBlock:
            return

    async def _commit(self):
        try:
            while self._writer.needs_read:
                await self._read_log()
            write = self._writer.prepare(self._clock.wall_ms())
            if not write.is_needed:
                self._deliver_results(self._writer.skip_write())
                return
            version = await self._write(write)
        except PlatformConflictError:
            self._writer.fail_write()
        except PlatformAmbiguousError as error:
            log.warning(
                "Outcome of a shard write is unknown.",
                shard=self._collection,
                error=str(error),
            )
            self._writer.fail_write()
            await self._back_off()
        except PlatformUnavailableError:
            self._refuse_claims()
            await self._back_off()
        else:
            self._backoff_ms = INITIAL_BACKOFF_MS
            self._deliver_results(self._writer.complete_write(version))

    async def _read_log(self):
        slot = self._writer.slot_to_read
        if slot is None:
            listed = await self._platform.list(self._collection)
            self._writer.load_segments(
                [_decode_segment(stored) for stored in listed.items]
            )
            return
        stored = await self._platform.read(self._collection, _slot_name(slot))
        content, version = (None, "") if stored is None else _decode_segment(stored)
        self._writer.apply_read(content, version)

    async def _write(self, write):
        spec = msgspec.to_builtins(write.content)
        return await self._platform.write(
            self._collection, _slot_name(write.slot), spec, write.base_version
        )

    def _deliver_results(self, results):
        settlements = 0
        for change, result in results:
            submission = self._submissions_by_change.pop(id(change))
            submission.finish(result)
            if isinstance(change, Settle):
                settlements += 1
            elif isinstance(result, ClaimGranted) and submission.abandoned:
                self._release_claim(change)
        self._ledger._record_stored_settlements(settlements)

    def _release_claim(self, claim):
        """Free the key of a stored claim that will never be dispatched."""
        self._ledger.pending_settlements += 1
        settle = Settle(claim.key, claim.record.attempt, ClaimState.NOT_RUN)
        self._enqueue(Submission(settle))

    def _refuse_claims(self):
        if self._writer.has_write_in_flight:
            self._writer.fail_write()
        for claim in self._writer.drain_claims():
            submission = self._submissions_by_change.pop(id(claim))
            submission.finish(platform_unavailable_refusal())
            # An earlier write that got no response may have stored the claim.
            self._release_claim(claim)

    async def _back_off(self):
        await self._clock.sleep_ms(self._backoff_ms * (0.5 + random.random()))
        self._backoff_ms = min(2 * self._backoff_ms, MAX_BACKOFF_MS)


def _slot_name(slot):
    return f"segment-{slot:04d}"


def _decode_segment(stored):
    content = msgspec.convert(stored.spec, SegmentContent)
    return content, stored.metadata.resourceVersion
