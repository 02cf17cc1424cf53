"""Membership and shared objects: joining, failure detection, pushes and syncs."""

import trio

from vanillareach.core.membership import (
    INDIRECT_PROBE_TIMEOUT_MS,
    PROBE_INTERVAL_MS,
    PROBE_TIMEOUT_MS,
)
from vanillareach.core.messages import (
    Ack,
    InForceQuery,
    InForceReply,
    IsolationNotice,
    Join,
    LossNotice,
    Members,
    Nack,
    Ping,
    ProbeRequest,
    Push,
    PushAck,
    Sync,
    SyncReply,
)
from vanillareach.core.spreading import DIGEST_SETTLE_MS, PUSH_FANOUT
from vanillareach.core.suspicion import CrashTracker, Loss
from vanillareach.log import get_logger
from vanillareach.peers.link import PeerUnresponsiveError

JOIN_TIMEOUT_MS = 2000
SYNC_TIMEOUT_MS = 3000
PUSH_TIMEOUT_MS = 1000
REJOIN_ATTEMPT_INTERVAL_MS = 5000
JOIN_RETRY_INTERVAL_MS = 500
IN_FORCE_QUERY_TIMEOUT_MS = 2000
MAX_CONCURRENT_QUERIES = 32
LEAVE_NOTICE_FANOUT = 8
PUSH_QUEUE_CAPACITY = 1000

log = get_logger("peers")


class Fleet:
    """Keeps the membership list and the shared objects in sync with the peers.

    Parameters
    ----------
    link : PeerLink
    clock : Clock
    membership : Membership
    state : FleetState
    seeds : list of str
        Peer addresses to contact at startup.
    random : random.Random
    """

    def __init__(self, link, clock, membership, state, seeds, random):
        self._link = link
        self._clock = clock
        self.membership = membership
        self.state = state
        self.crashes = CrashTracker()
        self._seeds = [seed for seed in seeds if seed != membership.own.address]
        self._random = random
        self._push_sender, self._push_receiver = trio.open_memory_channel(
            PUSH_QUEUE_CAPACITY
        )
        self._handlers_by_type = {
            Ping: self._on_ping,
            ProbeRequest: self._on_probe_request,
            Join: self._on_join,
            Push: self._on_push,
            Sync: self._on_sync,
            InForceQuery: self._on_in_force_query,
        }

    def add_handler(self, message_type, handler):
        """Register the handler of another message type."""
        self._handlers_by_type[message_type] = handler

    async def run(self):
        """Run all background tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._link.serve, self.handle_message)
            nursery.start_soon(self._join)
            nursery.start_soon(self._probe_members)
            nursery.start_soon(self._rejoin_unreachable)
            nursery.start_soon(self._send_pushes, nursery)

    async def handle_message(self, message):
        """Handle one message and return the reply."""
        handler = self._handlers_by_type.get(type(message))
        if handler is None:
            return Nack()
        return await handler(message)

    def queue_push(self, items=(), losses=(), isolations=()):
        """Queue changes to push to a few random peers, which forward what is new."""
        if not (items or losses or isolations):
            return
        try:
            self._push_sender.send_nowait(
                Push(tuple(items), tuple(losses), tuple(isolations))
            )
        except trio.WouldBlock:
            # A peer that misses changed objects notices it when it compares digests.
            log.warning("Push queue full; dropped a push.")

    def merge_objects(self, items):
        """Merge objects from the platform or an operator and push what changed."""
        changed = self.state.merge(items, self._clock.now_ms())
        self.queue_push(changed)
        return changed

    def push_accepted_change(self, item):
        """Push an accepted change that the local store already contains."""
        self.state.changed_ms = self._clock.now_ms()
        self.queue_push((item,))

    def drain(self, name):
        """Stop sending new requests to an endpoint, here and on all peers."""
        item = self.state.leaving_marker(name, self._clock.wall_ms())
        if item is not None:
            self.merge_objects((item,))

    async def leave(self):
        """Notify a few random peers that this instance is leaving."""
        self.membership.leave()
        async with trio.open_nursery() as nursery:
            for record in self.membership.sample(LEAVE_NOTICE_FANOUT):
                nursery.start_soon(self._probe, record)

    async def check_in_force(self, key, version):
        """Ask all members whether a version is in force.

        Returns
        -------
        int
            Number of instances queried, including this one.
        list of str
            Names of the instances that lack the version or did not reply.
        """
        missing = []
        limiter = trio.CapacityLimiter(MAX_CONCURRENT_QUERIES)

        async def query(record):
            async with limiter:
                message = InForceQuery(key, version)
                reply = await self._try_call(
                    record.address, message, IN_FORCE_QUERY_TIMEOUT_MS
                )
            if not isinstance(reply, InForceReply) or not reply.in_force:
                missing.append(record.name)

        members = self.membership.reachable()
        async with trio.open_nursery() as nursery:
            for record in members:
                nursery.start_soon(query, record)
        if not self._is_in_force(key, version):
            missing.append(self.membership.own.name)
        return len(members) + 1, sorted(missing)

    async def _try_call(self, address, message, timeout_ms):
        try:
            return await self._link.call(address, message, timeout_ms)
        except PeerUnresponsiveError as error:
            log.debug("Peer did not reply.", address=address, error=str(error))
            return None

    async def _join(self):
        """Contact seeds and listed instances until this instance has a full copy."""
        while not self.state.has_full_copy:
            addresses = [*self._seeds, *self._listed_addresses()]
            self._random.shuffle(addresses)
            for address in addresses[:3]:
                if await self._join_through(address):
                    break
            await self._clock.sleep_ms(JOIN_RETRY_INTERVAL_MS)

    async def _join_through(self, address):
        members = self.membership
        join = Join(members.own, ())
        reply = await self._try_call(address, join, JOIN_TIMEOUT_MS)
        if not isinstance(reply, Members):
            return False
        members.merge_full_list(reply.sender, reply.records, self._clock.now_ms())
        return await self._sync_with(address)

    def _listed_addresses(self):
        own = self.membership.own.address
        return [
            spec.peer_address
            for spec in self.state.instances()
            if spec.peer_address != own and not spec.leaving
        ]

    async def _probe_members(self):
        while True:
            await self._clock.sleep_ms(
                PROBE_INTERVAL_MS * (0.9 + 0.2 * self._random.random())
            )
            self.membership.expire(self._clock.now_ms())
            record = self.membership.next_probe()
            if record is not None:
                await self._probe_or_suspect(record)

    async def _probe_or_suspect(self, record):
        if await self._probe(record):
            return
        acks = []

        async def probe_through(prober):
            request = ProbeRequest(self.membership.own, record.name, record.address)
            reply = await self._try_call(
                prober.address, request, INDIRECT_PROBE_TIMEOUT_MS
            )
            if isinstance(reply, Ack):
                acks.append(reply)

        async with trio.open_nursery() as nursery:
            for prober in self.membership.indirect_probers(record.name):
                nursery.start_soon(probe_through, prober)
        now_ms = self._clock.now_ms()
        if acks:
            self.membership.merge_gossip(acks[0].sender, acks[0].records, now_ms)
        else:
            self.membership.mark_suspect(record.name, now_ms)

    async def _probe(self, record):
        """Ping one member and sync on a digest mismatch; return whether it replied."""
        ping = self.membership.ping(self.state.store.digest)
        reply = await self._try_call(record.address, ping, PROBE_TIMEOUT_MS)
        if not isinstance(reply, Ack):
            return False
        now_ms = self._clock.now_ms()
        self.membership.merge_gossip(reply.sender, reply.records, now_ms)
        is_settled = now_ms - self.state.changed_ms >= DIGEST_SETTLE_MS
        if reply.digest != self.state.store.digest and is_settled:
            await self._sync_with(record.address)
        return True

    async def _rejoin_unreachable(self):
        """Periodically contact an instance that is gone or has never been a member."""
        while True:
            await self._clock.sleep_ms(REJOIN_ATTEMPT_INTERVAL_MS)
            address = self._random_unreachable_address()
            if address is None:
                continue
            # The peer learns from its own record here that it counts as gone, and can
            # refute that.
            join = Join(self.membership.own, self.membership.records_at(address))
            reply = await self._try_call(address, join, JOIN_TIMEOUT_MS)
            if isinstance(reply, Members):
                now_ms = self._clock.now_ms()
                self.membership.merge_full_list(reply.sender, reply.records, now_ms)
                self.membership.restore_after_partition(reply.records, now_ms)
                await self._sync_with(address)

    def _random_unreachable_address(self):
        reachable = {record.address for record in self.membership.reachable()}
        unreachable = {record.address for record in self.membership.gone()}
        unreachable |= {*self._seeds, *self._listed_addresses()} - reachable
        return self._random.choice(sorted(unreachable)) if unreachable else None

    async def _send_pushes(self, nursery):
        async for push in self._push_receiver:
            for record in self.membership.sample(PUSH_FANOUT):
                nursery.start_soon(self._push_to, record.address, push)

    async def _push_to(self, address, push):
        """Push to one peer and record the losses listed in its reply."""
        reply = await self._try_call(address, push, PUSH_TIMEOUT_MS)
        if isinstance(reply, PushAck):
            self._record_loss_notices(reply.losses)

    async def _sync_with(self, address):
        """Exchange all differences with a peer; return whether it has a full copy."""
        store = self.state.store
        request = Sync(store.versions_by_key())
        reply = await self._try_call(address, request, SYNC_TIMEOUT_MS)
        if not isinstance(reply, SyncReply):
            return False
        self.queue_push(self.state.merge(reply.items, self._clock.now_ms()))
        if reply.has_full_copy:
            self.state.has_full_copy = True
        wanted_items = [
            store.objects_by_key[key]
            for key in reply.wanted_keys
            if key in store.objects_by_key
        ]
        if wanted_items:
            await self._try_call(address, Push(tuple(wanted_items)), SYNC_TIMEOUT_MS)
        return reply.has_full_copy

    async def _on_ping(self, ping):
        self.membership.merge_gossip(ping.sender, ping.records, self._clock.now_ms())
        return self.membership.ack(self.state.store.digest)

    async def _on_probe_request(self, request):
        ping = self.membership.ping(self.state.store.digest)
        reply = await self._try_call(request.address, ping, PROBE_TIMEOUT_MS)
        return reply if isinstance(reply, Ack) else Nack()

    async def _on_join(self, join):
        now_ms = self._clock.now_ms()
        self.membership.merge_gossip(join.sender, join.records, now_ms)
        return Members(self.membership.own, self.membership.live_records())

    async def _on_push(self, push):
        changed = self.state.merge(push.items, self._clock.now_ms())
        losses = self._record_loss_notices(push.losses)
        isolations = tuple(
            notice for notice in push.isolations if self._apply_isolation(notice)
        )
        self.queue_push(changed, losses, isolations)
        fingerprints = {notice.fingerprint for notice in push.isolations}
        return PushAck(self._loss_notices_of(fingerprints))

    def isolate(self, state, attempt, duration_ms, fingerprint):
        """Reserve an endpoint for one attempt of a suspect request, here and on peers.

        Other requests are kept away from the endpoint for `duration_ms`. Peers that
        know of other losses of the request return them in their replies.
        """
        now_ms = self._clock.now_ms()
        state.isolate(attempt, now_ms + duration_ms, now_ms)
        remaining_ms = max(0, round(duration_ms))
        notice = IsolationNotice(state.spec.name, attempt, remaining_ms, fingerprint)
        self.queue_push(isolations=(notice,))

    def _apply_isolation(self, notice):
        state = self.state.directory.endpoints_by_id.get(notice.endpoint)
        if state is None:
            return False
        now_ms = self._clock.now_ms()
        return state.isolate(notice.attempt, now_ms + notice.remaining_ms, now_ms)

    def record_loss(self, loss):
        """Record an endpoint lost while running a request, and push it to peers."""
        if self.crashes.record_loss(loss):
            self.queue_push(losses=(self._loss_notice(loss),))

    def _loss_notice(self, loss):
        age_ms = max(0, round(self._clock.now_ms() - loss.at_ms))
        return LossNotice(loss.fingerprint, loss.endpoint, loss.domain, age_ms)

    def _loss_notices_of(self, fingerprints):
        """Return notices of all recorded losses of the given requests."""
        return tuple(
            self._loss_notice(loss)
            for fingerprint in fingerprints
            for loss in self.crashes.losses_of(fingerprint)
        )

    def _record_loss_notices(self, notices):
        """Record losses reported by a peer; return the notices that were new here."""
        return tuple(notice for notice in notices if self._record_loss_notice(notice))

    def _record_loss_notice(self, notice):
        at_ms = self._clock.now_ms() - notice.age_ms
        loss = Loss(notice.fingerprint, notice.endpoint, notice.domain, at_ms)
        return self.crashes.record_loss(loss)

    async def _on_sync(self, sync):
        store = self.state.store
        own_versions = store.versions_by_key()
        wanted_keys = tuple(
            key
            for key, version in sync.versions_by_key.items()
            if version > own_versions.get(key, 0)
        )
        items = tuple(store.newer_than(sync.versions_by_key))
        return SyncReply(items, wanted_keys, self.state.has_full_copy)

    async def _on_in_force_query(self, query):
        return InForceReply(self._is_in_force(query.key, query.version))

    def _is_in_force(self, key, version):
        stored = self.state.store.objects_by_key.get(key)
        return stored is not None and stored.version >= version
