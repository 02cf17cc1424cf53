"""Beacons between instances: each tells all others its whole state in a datagram.

Beacons go out at every change, and at an interval, by UDP: a lost one is replaced by
the next. Other failure domains get them through relays, see `core.domain_tree`. What
doesn't fit a datagram, configuration and list, is fetched by a call over pynng from a
peer whose beacon shows that it has something newer.
"""

import math

import trio

from vanillareach.core.domain_tree import DomainTree
from vanillareach.core.messages import (
    Beacon,
    FlightUpdate,
    MessageError,
    RelayedDatagram,
    StateQuery,
    unpack_table,
)
from vanillareach.core.peer import Peer
from vanillareach.core.suspicion import Loss
from vanillareach.gateway.datagrams import MAX_DATAGRAM_BYTES, DatagramSocket
from vanillareach.log import get_logger
from vanillareach.peers.link import PeerSilentError, Sealer

BEACON_INTERVAL_MS = 250.0
# With more peers than this, beacons without a change are that much rarer.
PEERS_PER_INTERVAL = 12
# Changes within this time share a beacon; it grows with the number of peers, which
# bounds the datagrams that an instance sends and receives.
COALESCE_MS = 2.0
COALESCE_MS_PER_PEER = 0.05
# Datagrams are taken together that come within this time for each peer.
GATHER_MS_PER_PEER = 0.25
# An instance is alive that was heard within so many of its turns, and besides.
ALIVE_TURNS = 4
ALIVE_SLACK_MS = 300.0
# A silent instance is still greeted, and still counted in shared budgets, this long.
FORGET_MS = 30_000.0
FETCH_LIMIT_MS = 600.0
RECENT_LOSS_MS = 3_000.0

log = get_logger("gossip")


class Gossip:
    """Exchange of beacons.

    Parameters
    ----------
    settings : GatewaySettings
    state : GatewayState
    link : PeerLink
        Carries the calls that fetch state.
    clock : Clock
    """

    def __init__(self, settings, state, link, clock):
        self.name = settings.name
        self.address = settings.peer_listen
        self._domain = settings.domain
        self._state = state
        self._link = link
        self._clock = clock
        self._sealer = Sealer(settings.peer_key)
        self._tree = DomainTree(settings.domain)
        self._incarnation = clock.wall_ms()
        self._sequence = 0
        self._peers_by_name = {}
        self._sock = None
        self._changed = trio.Event()
        self._fetches_table = False
        self._fetches_list = False
        self._beacon_ms = -math.inf
        self._only_flights = True
        state.subscribe(self._note_change)

    async def run(self):
        """Send and receive for ever."""
        self._sock = DatagramSocket(self.address)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, nursery)
                nursery.start_soon(self._send)
                nursery.start_soon(self._link.serve, self._answer)
        finally:
            self._sock.close()

    def alive_names(self):
        """Return the names of the instances heard lately."""
        alive_ms = self._alive_ms()
        now_ms = self._clock.now_ms()
        return [
            peer.name
            for peer in self._peers_by_name.values()
            if peer.was_heard_within(alive_ms, now_ms)
        ]

    def peers_heard(self):
        """Return (name, domain, time since it was heard) of each peer; -1 for never."""
        now_ms = self._clock.now_ms()
        return [
            (
                peer.name,
                peer.domain,
                -1.0 if peer.last_heard_ms is None else now_ms - peer.last_heard_ms,
            )
            for peer in self._peers_by_name.values()
        ]

    def heard_ms_by_domain(self):
        """Return when each instance of the other domains was last heard."""
        heard = {}
        for peer in self._peers_by_name.values():
            if peer.last_heard_ms is not None and peer.domain != self._domain:
                heard.setdefault(peer.domain, []).append(peer.last_heard_ms)
        return heard

    def take_addresses(self, address_by_name):
        """Learn of instances from the store."""
        now_ms = self._clock.now_ms()
        for name, address in address_by_name.items():
            if name == self.name:
                continue
            peer = self._peers_by_name.get(name)
            if peer is None:
                self._peers_by_name[name] = Peer(name, address, now_ms)
                self._state.instances = 1 + len(self._peers_by_name)
            elif peer.last_heard_ms is None:
                peer.address = address

    def long_silent(self, address_by_name):
        """Return the registered instances that have been silent for long."""
        now_ms = self._clock.now_ms()
        return [
            name
            for name in address_by_name
            if name in self._peers_by_name
            and now_ms - self._last_sign_ms(self._peers_by_name[name]) > FORGET_MS
        ]

    async def _answer(self, message):
        if isinstance(message, StateQuery):
            return self._state.reply(message)
        raise MessageError(f"unexpected {type(message).__name__}")

    def _note_change(self, only_flights):
        self._only_flights = self._only_flights and only_flights
        self._changed.set()

    async def _send(self):
        has_news, only_flights = True, False
        while True:
            if has_news or self._is_turn():
                message = self._flight_news() if only_flights else self._beacon()
                self._spread(self._sealer.seal(message))
            with trio.move_on_after(BEACON_INTERVAL_MS / 1000):
                await self._changed.wait()
                peers = len(self._peers_by_name)
                await self._clock.sleep_ms(COALESCE_MS + COALESCE_MS_PER_PEER * peers)
            has_news = self._changed.is_set()
            only_flights = has_news and self._only_flights and not self._is_turn()
            self._changed, self._only_flights = trio.Event(), True

    def _spread(self, data):
        """Send a sealed datagram to all, through relays where that is shorter."""
        if len(data) > MAX_DATAGRAM_BYTES:
            log.warning("Datagram too large.", bytes=len(data))
        self._forget_silent()
        direct, relays = self._tree.recipients(
            self._peers_by_name.values(), self._is_alive
        )
        self._send_to(data, direct)
        if relays:
            self._send_to(self._sealer.seal(RelayedDatagram(data)), relays)

    def _send_to(self, data, peers):
        addresses = [peer.address for peer in peers]
        for address, error in self._sock.send_to_all(data, addresses).items():
            log.debug("Datagram not sent.", address=address, cause=str(error))

    def _is_alive(self, peer):
        return peer.was_heard_within(self._alive_ms(), self._clock.now_ms())

    def _is_turn(self):
        """Return whether a whole beacon is due, which makes lost news good."""
        now_ms = self._clock.now_ms()
        if now_ms - self._beacon_ms < self.interval_ms():
            return False
        self._beacon_ms = now_ms
        return True

    def _turns(self):
        return max(1, -(-len(self._peers_by_name) // PEERS_PER_INTERVAL))

    def interval_ms(self):
        """Return the longest time between two beacons of a peer to this instance."""
        return self._turns() * BEACON_INTERVAL_MS

    def _alive_ms(self):
        return ALIVE_TURNS * self.interval_ms() + ALIVE_SLACK_MS

    def _forget_silent(self):
        now_ms = self._clock.now_ms()
        for peer in list(self._peers_by_name.values()):
            if now_ms - self._last_sign_ms(peer) > FORGET_MS:
                del self._peers_by_name[peer.name]
                self._state.instances = 1 + len(self._peers_by_name)

    def _last_sign_ms(self, peer):
        return peer.added_ms if peer.last_heard_ms is None else peer.last_heard_ms

    def _flight_news(self):
        self._sequence += 1
        changes = self._state.picture.take_changes(self._clock.now_ms())
        return FlightUpdate(
            name=self.name,
            incarnation=self._incarnation,
            sequence=self._sequence,
            begun=tuple(changes.begun.values()),
            decoding=tuple(changes.writing),
            ended=tuple(changes.ended),
        )

    def _beacon(self):
        self._tree.rotate_relays()
        now_ms = self._clock.now_ms()
        state = self._state
        self._sequence += 1
        losses = state.crashes.recent_losses(now_ms - RECENT_LOSS_MS)
        return Beacon(
            name=self.name,
            domain=self._domain,
            address=self.address,
            incarnation=self._incarnation,
            sequence=self._sequence,
            is_leaving=state.is_stopping,
            configuration_version=state.table.version if state.table else -1,
            configuration_age_ms=state.table_age_ms(),
            configuration_stamp=state.table_freshness.stamp,
            endpoints_stamp=state.list_freshness.stamp,
            endpoints_revision=state.endpoints.revision,
            endpoints_digest=state.endpoints.digest,
            endpoints_age_ms=state.list_age_ms(),
            flights=state.picture.own_flights(now_ms),
            losses=tuple((x.fingerprint, x.endpoint, x.domain) for x in losses),
            paces=tuple(state.paces.own.items()),
        )

    async def _receive(self, nursery):
        while True:
            for data in await self._sock.receive():
                self._take_datagram(data, nursery)
            await self._clock.sleep_ms(GATHER_MS_PER_PEER * len(self._peers_by_name))

    def _take_datagram(self, data, nursery):
        message = self._open(data)
        if isinstance(message, RelayedDatagram):
            message = self._pass_on(message.datagram)
        if isinstance(message, Beacon) and message.name != self.name:
            self._take(message, nursery)
        elif isinstance(message, FlightUpdate):
            self._take_news(message)

    def _pass_on(self, data):
        """Pass a datagram on to the own domain and return its message, or None."""
        message = self._open(data)
        if message is None:
            return None
        name = getattr(message, "name", "")
        peers = self._peers_by_name.values()
        self._send_to(data, self._tree.forward_recipients(peers, name))
        return message

    def _open(self, data):
        """Return the message in a sealed datagram, or None if it is none."""
        try:
            return self._sealer.open(data)
        except MessageError as error:
            log.warning("Datagram refused.", cause=str(error))
            return None

    def _take_news(self, news):
        peer = self._peers_by_name.get(news.name)
        order = (news.incarnation, news.sequence)
        if (
            peer is None
            or order <= peer.last_message_order
            or news.incarnation != peer.last_message_order[0]
        ):
            return
        peer.last_message_order = order
        peer.last_heard_ms = now_ms = self._clock.now_ms()
        self._state.picture.apply(
            news.name, news.begun, news.decoding, news.ended, now_ms
        )

    def _take(self, beacon, nursery):
        now_ms = self._clock.now_ms()
        peer = self._peers_by_name.get(beacon.name)
        if peer is None:
            peer = Peer(beacon.name, beacon.address, now_ms)
            self._peers_by_name[beacon.name] = peer
            self._state.instances = 1 + len(self._peers_by_name)
            self._changed.set()
        order = (beacon.incarnation, beacon.sequence)
        was_silent = not peer.was_heard_within(self._alive_ms(), now_ms)
        # An instance that starts again while its clock is behind has a lower order.
        if order <= peer.last_message_order and not was_silent:
            return
        if was_silent:
            log.info("Peer heard.", peer=peer.name, address=beacon.address)
        peer.last_message_order = order
        peer.address = beacon.address
        peer.domain = beacon.domain
        peer.last_heard_ms = now_ms
        self._state.picture.take(beacon.name, beacon.flights, now_ms)
        self._state.paces.take(beacon.paces, now_ms)
        self._take_losses(beacon, now_ms)
        self._compare(peer, beacon, now_ms, nursery)

    def _take_losses(self, beacon, now_ms):
        for fingerprint, endpoint, domain in beacon.losses:
            loss = Loss(fingerprint, endpoint, domain, now_ms)
            if self._state.crashes.record_loss(loss):
                log.info(
                    "Loss told.",
                    fingerprint=fingerprint,
                    endpoint=endpoint,
                    peer=beacon.name,
                )

    def _compare(self, peer, beacon, now_ms, nursery):
        """Take over a peer's freshness, or fetch what it has newer."""
        state = self._state
        wants_table = wants_list = False
        if beacon.configuration_age_ms >= 0:
            held = state.table.version if state.table else -1
            if beacon.configuration_version == held:
                confirmed_ms = now_ms - beacon.configuration_age_ms
                state.confirm_table(confirmed_ms, beacon.configuration_stamp)
            wants_table = beacon.configuration_version > held
        if beacon.endpoints_age_ms >= 0:
            endpoints = state.endpoints
            confirmed_ms = now_ms - beacon.endpoints_age_ms
            stamp = beacon.endpoints_stamp
            is_newer = state.list_freshness.is_newer(stamp, confirmed_ms)
            if is_newer and beacon.endpoints_revision >= endpoints.revision:
                if beacon.endpoints_digest == endpoints.digest:
                    state.confirm_endpoints(
                        beacon.endpoints_revision, confirmed_ms, stamp
                    )
                else:
                    wants_list = True
        # Peers tell of the same news at once; it is fetched from one of them.
        wants_table = wants_table and not self._fetches_table
        wants_list = wants_list and not self._fetches_list
        if wants_table or wants_list:
            self._fetches_table = self._fetches_table or wants_table
            self._fetches_list = self._fetches_list or wants_list
            query = StateQuery(wants_table, wants_list)
            nursery.start_soon(self._fetch, peer, query)

    async def _fetch(self, peer, query):
        try:
            reply = await self._link.call(peer.address, query, FETCH_LIMIT_MS)
            packed = reply.configuration
            table = unpack_table(packed) if packed is not None else None
        except (PeerSilentError, MessageError) as error:
            log.info("Fetch failed.", peer=peer.name, cause=str(error))
            return
        finally:
            if query.wants_configuration:
                self._fetches_table = False
            if query.wants_endpoints:
                self._fetches_list = False
        now_ms = self._clock.now_ms()
        if table is not None:
            confirmed_ms = now_ms - max(0.0, reply.configuration_age_ms)
            self._state.take_table(
                table, confirmed_ms, peer.name, reply.configuration_stamp
            )
        if reply.endpoints is not None and reply.endpoints_age_ms >= 0:
            self._state.take_endpoints(
                reply.endpoints,
                reply.endpoints_revision,
                now_ms - reply.endpoints_age_ms,
                peer.name,
                reply.endpoints_stamp,
            )
