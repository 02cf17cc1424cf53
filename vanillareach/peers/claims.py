"""Routes claims to the owner of their shard, with a local fallback."""

import msgspec

from vanillareach.core.ledger import (
    Claim,
    ClaimGranted,
    ClaimState,
    RecordedAnswer,
    Settle,
    ShardOwners,
    shard_of,
)
from vanillareach.core.loadtree import names_without_collectors
from vanillareach.core.messages import (
    ClaimReply,
    ClaimRequest,
    MemberState,
    Nack,
    PushAck,
    SettleRequest,
)
from vanillareach.core.outcomes import Outcome, Reason, Refusal
from vanillareach.log import get_logger
from vanillareach.peers.link import PeerUnresponsiveError
from vanillareach.utils import new_id

# Fraction of a call's remaining time in which the owner must reply. The rest is left
# for claiming locally and for the call itself.
OWNER_TIMEOUT_FRACTION = 0.4
MAX_OWNER_TIMEOUT_MS = 1200

log = get_logger("ledger")


class RoutedLedger:
    """Sends claims to their shard's owner and falls back to the local ledger.

    The owner is the preferred writer of the shard. Which instance that is affects only
    how well claims are batched. Correctness rests on the conditional writes alone, so
    instances may disagree on the owner.

    Parameters
    ----------
    local : LocalLedger
    fleet : Fleet
    link : PeerLink
    clock : Clock
    shard_count : int
    """

    def __init__(self, local, fleet, link, clock, shard_count):
        self._local = local
        self._membership = fleet.membership
        self._link = link
        self._clock = clock
        self._shard_count = shard_count
        self._owners = ShardOwners(shard_count)
        self._alive_members = []
        self._owner_candidates = set()
        fleet.add_handler(ClaimRequest, self._on_claim)
        fleet.add_handler(SettleRequest, self._on_settle)

    @property
    def pending_settlements(self):
        """Number of settlements that are not stored yet."""
        return self._local.pending_settlements

    async def claim(self, claim, deadline_ms):
        """Make a claim durable; see `LocalLedger.claim`."""
        owner = self._shard_owner(claim.key)
        if owner is None:
            return await self._local.claim(claim, deadline_ms)
        remaining_ms = deadline_ms - self._clock.now_ms()
        timeout_ms = min(MAX_OWNER_TIMEOUT_MS, remaining_ms * OWNER_TIMEOUT_FRACTION)
        request = ClaimRequest(claim, int(timeout_ms))
        try:
            reply = await self._link.call(owner.address, request, timeout_ms)
        except PeerUnresponsiveError as error:
            log.info(
                "Shard owner did not reply; claiming locally.",
                owner=owner.name,
                error=str(error),
            )
            return await self._claim_locally(claim, deadline_ms)
        if not isinstance(reply, ClaimReply):
            return await self._claim_locally(claim, deadline_ms)
        return _result_of(reply, claim.record.attempt)

    async def _claim_locally(self, claim, deadline_ms):
        """Abandon the attempt sent to the owner and claim locally under a new one.

        The owner may still store or release the first attempt. If both attempts had the
        same id, a late release by the owner would free a key whose call is running.
        """
        abandoned_attempt = claim.record.attempt
        await self._local.settle(
            Settle(claim.key, abandoned_attempt, ClaimState.NOT_RUN)
        )
        record = msgspec.structs.replace(claim.record, attempt=new_id("a"))
        return await self._local.claim(Claim(claim.key, record), deadline_ms)

    async def settle(self, settle):
        """Record how a claimed call ended, through the shard's owner if it replies."""
        owner = self._shard_owner(settle.key)
        if owner is not None:
            request = SettleRequest(settle)
            try:
                reply = await self._link.call(
                    owner.address, request, MAX_OWNER_TIMEOUT_MS
                )
            except PeerUnresponsiveError:
                reply = None
            if isinstance(reply, PushAck):
                return
        await self._local.settle(settle)

    def _shard_owner(self, key):
        """Return the member record of the shard's owner, or None for this instance."""
        alive = self._membership.alive()
        if alive != self._alive_members:
            self._alive_members = alive
            self._owner_candidates = names_without_collectors(alive)
        alive_by_name = {record.name: record for record in alive}
        shard = shard_of(key, self._shard_count)
        name = self._owners.owner(shard, self._owner_candidates)
        if name is None or name == self._membership.own.name:
            return None
        return alive_by_name[name]

    async def _on_claim(self, request):
        deadline_ms = self._clock.now_ms() + request.remaining_ms
        result = await self._local.claim(request.claim, deadline_ms)
        return _reply_of(result)

    async def _on_settle(self, request):
        if self._membership.own.state is not MemberState.ALIVE:
            return Nack()
        await self._local.settle(request.settle)
        return PushAck()


def _reply_of(result):
    if isinstance(result, ClaimGranted):
        return ClaimReply(granted=True)
    if isinstance(result, RecordedAnswer):
        return ClaimReply(record=result.record)
    return ClaimReply(
        reason=result.reason,
        detail=result.detail,
        outcome=result.outcome,
        retry_after_ms=result.retry_after_ms,
    )


def _result_of(reply, attempt):
    if reply.granted:
        return ClaimGranted(attempt)
    if reply.record is not None:
        return RecordedAnswer(reply.record)
    return Refusal(
        Reason(reply.reason),
        reply.detail,
        Outcome(reply.outcome),
        reply.retry_after_ms,
    )
