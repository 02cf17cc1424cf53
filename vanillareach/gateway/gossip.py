"""Gossip between gateway instances, by UDP datagrams.

Each instance sends beacons with its complete state, at changes and at an interval, so
that the next beacon makes up for a lost one. A change of in-flight requests alone is
sent as a smaller flight update. Who gets them depends on the size of the fleet; see
`core.audience`. The configuration and the list of endpoints don't fit into a datagram;
see `state_fetch`.
"""

import math
import random

import trio

from vanillareach.clock import MS_PER_SECOND
from vanillareach.core.audience import Audience
from vanillareach.core.messages import (
    Beacon,
    FlightUpdate,
    LoadQuery,
    LoadReply,
    MessageError,
    PermitQuery,
    PermitReply,
    PlacementQuery,
    PlacementReply,
    RelayedDatagram,
    StateQuery,
)
from vanillareach.core.placers import PLACER_SILENCE_MS
from vanillareach.core.state_change import ChangeKind
from vanillareach.gateway.announcements import AnnouncementBuilder
from vanillareach.gateway.datagrams import MAX_DATAGRAM_BYTES, DatagramSocket
from vanillareach.gateway.limit_coordination import LimitCoordination
from vanillareach.gateway.peer_table import PeerTable
from vanillareach.gateway.ports import RegisteredInstance
from vanillareach.gateway.state_fetch import StateFetcher
from vanillareach.log import get_logger
from vanillareach.peers.link import MessageAuthenticator

# Changes within this time are sent in one message. Where all instances tell each other
# everything the time grows with the number of peers, which bounds the datagrams that an
# instance sends and receives.
CHANGE_COALESCING_MS = 2.0
CHANGE_COALESCING_MS_PER_PEER = 0.05
MIN_SENDER_WAIT_MS = 1.0
# Pause between two receptions, for each peer; datagrams that arrive meanwhile are
# handled as one batch.
RECEIVE_BATCHING_MS_PER_PEER = 0.25
# In a large fleet an instance that places no requests for others fetches a new list or
# configuration within this time.
MAX_FETCH_DELAY_MS = 400.0

log = get_logger("gossip")


class Gossip:
    """Exchange of state with the peers of this instance.

    Parameters
    ----------
    settings : GatewaySettings
    state : GatewayState
    link : PeerLink
        Carries the calls that fetch state.
    clock : Clock
    open_socket : callable
        Returns the socket for datagrams at an address.

    Attributes
    ----------
    audience : Audience
    domain : str
        Failure domain of the instance.
    registration : RegisteredInstance
        Own entry in the store.
    peers : PeerTable
    limit_coordination : LimitCoordination
    announcements : AnnouncementBuilder
    answer_query : callable
        Returns the reply to a `PlacementQuery`, `LoadQuery` or `PermitQuery`; None if
        the query was forwarded.
    """

    def __init__(self, settings, state, link, clock, open_socket=DatagramSocket):
        self.name = settings.name
        self.address = settings.peer_listen
        self.audience = Audience(settings.name, settings.domain, settings.capacity)
        self.answer_query = None
        self.registration = RegisteredInstance(
            self.name,
            self.address,
            settings.domain,
            settings.capacity,
            settings.forward_listen,
        )
        self.peers = PeerTable(state, self.audience, settings.domain, clock)
        self.limit_coordination = LimitCoordination(
            self.name, settings.domain, state, self.audience, self.peers, clock
        )
        self.announcements = AnnouncementBuilder(self.registration, state, clock)
        self.domain = settings.domain
        self._state = state
        self._link = link
        self._clock = clock
        self._authenticator = MessageAuthenticator(settings.peer_key)
        self._fetcher = StateFetcher(state, link, clock)
        self._random = random.Random()
        self._open_socket = open_socket
        self._datagram_socket = None
        self._change_event = trio.Event()
        self._change = ChangeKind.STATE
        self._last_heard_ms = clock.now_ms()
        self._is_deaf = False
        self._placer_heard_ms = -math.inf
        self._last_query_id = 0
        self._queries_by_id = {}
        state.subscribe(self._on_state_change)

    async def run(self):
        """Send, receive and answer the queries of peers until cancelled."""
        self._datagram_socket = self._open_socket(self.address)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._run_receiver, nursery)
                nursery.start_soon(self._run_sender)
                nursery.start_soon(self._link.serve, self._answer_query)
        finally:
            self._datagram_socket.close()

    @property
    def has_full_picture(self):
        """Whether this instance is told of the in-flight requests of all others."""
        audience = self.audience
        return audience.is_direct or (
            audience.is_placer and audience.election.is_warm(self._clock.now_ms())
        )

    def placers(self):
        """Return the `Peer` of each placer of the own domain, the preferred first."""
        names = self.audience.election.placers(self.domain, self._clock.now_ms())
        return self.peers.select(names)

    def placer_heard_ms_ago(self):
        """Return the time since a placer of the own domain was heard, or infinity."""
        return self._clock.now_ms() - self._placer_heard_ms

    def store_followers(self):
        """Return the names of the instances that normally follow the store, or None.

        None means all instances that are alive.
        """
        if self.audience.is_direct:
            return None
        election, now_ms = self.audience.election, self._clock.now_ms()
        return [
            *election.placers(self.domain, now_ms),
            *election.other_domain_placers(now_ms),
        ]

    async def ask(self, peer, make_query, timeout_ms):
        """Send a query to a peer and return its reply, or None without one in time.

        Parameters
        ----------
        peer : Peer
        make_query : callable
            Returns the query with an id.
        timeout_ms : float
        """
        self._last_query_id += 1
        query_id = self._last_query_id
        # The next beacon tells the placer whether the request was sent.
        self.audience.note_activity()
        self._change_event.set()
        pending = PendingQuery()
        self._queries_by_id[query_id] = pending
        try:
            self._send_to(self._authenticator.encode(make_query(query_id)), [peer])
            with trio.move_on_after(timeout_ms / MS_PER_SECOND):
                await pending.event.wait()
        finally:
            del self._queries_by_id[query_id]
        return pending.reply

    def add_registered_peers(self, listing):
        """Add the instances registered in the store as peers.

        Parameters
        ----------
        listing : StoreListing
            Of `RegisteredInstance`.
        """
        others = [instance for instance in listing.items if instance.name != self.name]
        if self.peers.add_registered(others, is_complete=not listing.gap):
            self._change_event.set()
        self._update_role()

    def _update_role(self):
        """Update whether this instance is a placer, and tell its peers of a change."""
        audience, state, now_ms = self.audience, self._state, self._clock.now_ms()
        # A placer that hears nobody, because it is cut off, leaves its role to others.
        if audience.is_placer and not self._is_deaf:
            since_ms = max(self._last_heard_ms, audience.election.placer_since_ms)
            self._is_deaf = now_ms - since_ms > PLACER_SILENCE_MS
        audience.election.record_unavailable(
            self.name, state.is_stopping or self._is_deaf
        )
        state.costs.set_role(self.domain, audience.is_direct, audience.is_placer)
        if not audience.update(len(self.peers.by_name), now_ms):
            return
        state.is_placer = audience.is_placer
        log.info(
            "Role.",
            all_tell_all=audience.is_direct,
            is_placer=audience.is_placer,
            instances=state.instance_count,
        )
        state.publish()

    async def _answer_query(self, message):
        if isinstance(message, StateQuery):
            return self._state.build_state_reply(message)
        raise MessageError(f"unexpected {type(message).__name__}")

    def _on_state_change(self, kind):
        self._change = max(self._change or kind, kind)
        self._change_event.set()

    async def _run_sender(self):
        while True:
            self._update_role()
            now_ms, peer_count = self._clock.now_ms(), len(self.peers.by_name)
            self._state.placing_instance_count = self._placing_instance_count()
            self._state.limits.share = self.limit_coordination.heard_share()
            change, self._change, self._change_event = self._change, None, trio.Event()
            kind = self.audience.next_message(change, peer_count, now_ms)
            if kind is not None:
                self._broadcast(kind, now_ms)
            due_ms = self.audience.next_due_ms(peer_count)
            wait_ms = max(MIN_SENDER_WAIT_MS, due_ms - now_ms)
            with trio.move_on_after(wait_ms / MS_PER_SECOND):
                await self._change_event.wait()
                await self._clock.sleep_ms(self._coalescing_ms())

    def _placing_instance_count(self):
        if self.has_full_picture and not self.audience.is_direct:
            return len(self.audience.election.domains())
        return self._state.instance_count

    def names_in_own_domain(self):
        """Return the names of the known instances of the own domain."""
        return set(self.audience.election.members(self.domain))

    def forward(self, query, peer):
        """Pass a query of another instance on to a peer, which replies to that one."""
        self._send_to(self._authenticator.encode(query), [peer])

    def _coalescing_ms(self):
        if not self.audience.is_direct:
            return CHANGE_COALESCING_MS
        peer_count = len(self.peers.by_name)
        return CHANGE_COALESCING_MS + CHANGE_COALESCING_MS_PER_PEER * peer_count

    def _broadcast(self, kind, now_ms):
        """Send a message about a kind of change to those that need it."""
        is_flights, messages = kind is ChangeKind.FLIGHTS, self.announcements
        if is_flights:
            message = messages.flight_update()
        else:
            is_member = not (self.audience.is_direct or self.audience.is_placer)
            message = messages.beacon(is_own_only=is_member)
        has_flights = self._state.load_state.own_flight_count > 0
        self.audience.record_sent(kind, has_flights, now_ms)
        data = self._authenticator.encode(message)
        if len(data) > MAX_DATAGRAM_BYTES:
            log.warning(
                "Datagram exceeds the size limit; peers can't decode it.",
                bytes=len(data),
            )
        self.peers.remove_expired()
        direct, relays = self.audience.recipients(kind, self.peers, now_ms)
        self._send_to(data, direct)
        if relays:
            self._send_to(self._authenticator.encode(RelayedDatagram(data)), relays)

    def _send_to(self, data, peers):
        self._send_to_addresses(data, [peer.address for peer in peers])

    def _send_to_addresses(self, data, addresses):
        for address, error in self._datagram_socket.send_to_all(
            data, addresses
        ).items():
            log.debug("Datagram not sent.", address=address, cause=str(error))

    async def _run_receiver(self, nursery):
        while True:
            for data in await self._datagram_socket.receive():
                self._handle_datagram(data, nursery)
            if self.audience.is_direct:
                await self._clock.sleep_ms(
                    RECEIVE_BATCHING_MS_PER_PEER * len(self.peers.by_name)
                )

    def _handle_datagram(self, data, nursery):
        message = self._decode_datagram(data)
        if message is not None:
            self._last_heard_ms, self._is_deaf = self._clock.now_ms(), False
        if isinstance(message, RelayedDatagram):
            message = self._relay_datagram(message.datagram)
        if isinstance(message, Beacon) and message.name != self.name:
            if self._must_forward_beacon(message):
                self._forward_to_other_domains(data, message.name)
            self._handle_beacon(message, nursery)
        elif isinstance(message, FlightUpdate):
            self._forward_to_other_domains(data, message.name)
            self._apply_flight_update(message)
        elif isinstance(message, PlacementQuery | LoadQuery | PermitQuery):
            self._answer(message)
        elif isinstance(message, PlacementReply | LoadReply | PermitReply):
            pending = self._queries_by_id.get(message.id)
            if pending is not None:
                pending.reply = message
                pending.event.set()

    def _answer(self, query):
        reply = self.answer_query(query) if self.answer_query is not None else None
        if reply is not None:
            data = self._authenticator.encode(reply)
            self._send_to_addresses(data, [query.address])

    def _must_forward_beacon(self, beacon):
        """Return whether placers of other domains need a beacon of an own member.

        Placers send them their own beacons themselves.
        """
        load_state = self._state.load_state
        return not beacon.is_placer and bool(
            beacon.flights
            or beacon.crash_news
            or beacon.paces
            or load_state.peer_flight_count(beacon.name)
        )

    def _forward_to_other_domains(self, data, origin):
        """Forward a datagram of an instance of the own domain, as its placer."""
        peer = self.peers.by_name.get(origin)
        if not self.audience.is_placer or peer is None or peer.domain != self.domain:
            return
        names = self.audience.election.counterparts(self._clock.now_ms())
        self._send_to(data, self.peers.select(names))

    def _relay_datagram(self, data):
        """Forward a datagram within the own domain; return its message or None."""
        message = self._decode_datagram(data)
        if message is None:
            return None
        name = getattr(message, "name", "")
        peers = self.peers.by_name.values()
        self._send_to(data, self.audience.relay_recipients(peers, name))
        return message

    def _decode_datagram(self, data):
        """Return the message in an authenticated datagram, or None if it is invalid."""
        try:
            return self._authenticator.decode(data)
        except MessageError as error:
            log.warning("Invalid datagram dropped.", cause=str(error))
            return None

    def _apply_flight_update(self, update):
        peer = self.peers.by_name.get(update.name)
        order = (update.incarnation, update.sequence)
        if peer is None or order <= peer.last_message_order:
            return
        now_ms, load_state = self._clock.now_ms(), self._state.load_state
        if update.incarnation != peer.last_message_order[0]:
            # Requests of an earlier incarnation have ended with it.
            load_state.replace_peer(update.name, (), now_ms)
        peer.last_message_order = order
        peer.last_heard_ms = now_ms
        for endpoint_id, _, _ in update.faults:
            self._state.paths.record_peer_fault(update.name, endpoint_id, now_ms)
        if not self.audience.is_direct:
            self._apply_outcomes(update, now_ms)
        self._state.record_dispatches(update.name, update.begun)
        load_state.apply_peer_changes(
            update.name, update.begun, update.decoding, update.ended, now_ms
        )

    def _apply_outcomes(self, update, now_ms):
        """Record how a peer's attempts at endpoints have ended."""
        state = self._state
        failed_ids = set()
        for endpoint_id, incarnation, fault in update.faults:
            failed_ids.add(endpoint_id)
            state.apply_reported_fault(endpoint_id, incarnation, fault, now_ms)
        for flight_id in update.ended:
            flight = state.load_state.peer_flight(update.name, flight_id)
            endpoint = flight and state.endpoints.by_id.get(flight.engine)
            if endpoint and endpoint.id not in failed_ids:
                state.health.record_outcome(endpoint.key, False, now_ms)

    def _handle_beacon(self, beacon, nursery):
        now_ms = self._clock.now_ms()
        peer = self.peers.by_name.get(beacon.name)
        if peer is None:
            peer = self.peers.add(beacon.name, beacon.address)
            self._change_event.set()
        order = (beacon.incarnation, beacon.sequence)
        was_silent = not self.peers.is_alive(peer)
        # The incarnation is the start time by the wall clock. An instance that restarts
        # with its clock behind has a lower order, which is accepted after a silence.
        if order <= peer.last_message_order and not was_silent:
            return
        is_new_incarnation = beacon.incarnation != peer.last_message_order[0]
        is_new_placer = beacon.is_placer and (not peer.is_placer or is_new_incarnation)
        is_unaware = was_silent or is_new_incarnation
        if was_silent:
            log.info("Peer heard.", peer=peer.name, address=beacon.address)
        peer.last_message_order = order
        peer.address = beacon.address
        peer.domain = beacon.domain
        peer.is_placer = beacon.is_placer
        peer.is_leaving = beacon.is_leaving
        peer.forward_address = beacon.forward_address
        peer.has_lost_links = beacon.has_lost_links
        peer.last_heard_ms = now_ms
        election = self.audience.election
        election.add(beacon.name, beacon.domain, beacon.capacity)
        if beacon.is_placer:
            if beacon.domain == self.domain:
                self._placer_heard_ms = now_ms
            election.record_heard(beacon.name, now_ms)
        election.record_unavailable(beacon.name, beacon.is_leaving)
        self._state.load_state.replace_peer(beacon.name, beacon.flights, now_ms)
        self._state.paces.merge_peer_paces(beacon.paces, now_ms)
        self._apply_crash_news(beacon, is_unaware, now_ms)
        peer.tells_evacuations = beacon.evacuations.era >= 0
        self._apply_endpoint_news(beacon)
        if self._state.costs.receive(beacon, is_unaware, now_ms):
            # A peer that has just started is told what it can't know yet.
            self._on_state_change(ChangeKind.STATE)
        self._fetcher.reconcile(
            peer.address, beacon, self._max_fetch_delay_ms(), self._random, nursery
        )
        if is_new_placer and not self.audience.is_direct:
            # It doesn't know the requests of this instance yet.
            self._on_state_change(ChangeKind.CONFIRMATION)

    def _apply_endpoint_news(self, beacon):
        """Record what a peer tells of endpoints and their failure domains."""
        state = self._state
        for key in beacon.leaving:
            state.record_reported_leaving(*key)
        for limit in beacon.limits:
            state.record_reported_limit(limit)
        state.record_evacuation_news(beacon.evacuations, beacon.name)
        for record in beacon.cold:
            state.record_reported_cold(*record)

    def _max_fetch_delay_ms(self):
        return 0.0 if self.has_full_picture else MAX_FETCH_DELAY_MS

    def _apply_crash_news(self, beacon, is_unaware, now_ms):
        """Record what a peer tells of crashes; tell it all if it may know nothing."""
        quarantine = self._state.quarantine
        must_tell = quarantine.apply_news(beacon.crash_news, beacon.name)
        if is_unaware and quarantine.evidence.has_any:
            quarantine.evidence.tell_again(now_ms)
            must_tell = True
        if must_tell and self.audience.is_placer:
            # The instances of this domain hear of it from here.
            self._on_state_change(ChangeKind.STATE)


class PendingQuery:
    """A query to a peer that waits for its reply.

    Attributes
    ----------
    event : trio.Event
        Set when the reply has arrived.
    reply : Wire or None
    """

    __slots__ = ("event", "reply")

    def __init__(self):
        self.event = trio.Event()
        self.reply = None
