"""Gossip between gateway instances, by UDP datagrams.

Each instance sends its peers a beacon with its complete state at every change and at
an interval, so that the next beacon makes up for a lost one. A change of in-flight
requests alone is sent as a smaller flight update. Other failure domains receive both
through relays, see `core.domain_tree`. The configuration and the list of endpoints
don't fit into a datagram; they are fetched by a call over pynng from a peer whose
beacon shows a newer version.
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
    unpack_configuration,
)
from vanillareach.core.peer import Peer
from vanillareach.core.suspicion import Loss
from vanillareach.gateway.datagrams import MAX_DATAGRAM_BYTES, DatagramSocket
from vanillareach.log import get_logger
from vanillareach.peers.link import MessageAuthenticator, PeerUnresponsiveError

BEACON_INTERVAL_MS = 250.0
# Beacons that no change causes become rarer with more peers: their interval is
# `BEACON_INTERVAL_MS` times the number of peers divided by this, rounded up.
PEERS_PER_INTERVAL_FACTOR = 12
# Changes within this time are sent in one message. The time grows with the number of
# peers, which bounds the datagrams that an instance sends and receives.
CHANGE_COALESCING_MS = 2.0
CHANGE_COALESCING_MS_PER_PEER = 0.05
# Pause between two receptions, for each peer; datagrams that arrive meanwhile are
# handled as one batch.
RECEIVE_BATCHING_MS_PER_PEER = 0.25
# A peer counts as alive if it was heard within this many beacon intervals and a margin.
ALIVE_BEACON_INTERVALS = 4
ALIVE_TIMEOUT_MARGIN_MS = 300.0
# A peer that isn't heard is removed after this time. Until then, beacons are still sent
# to it and it is still counted in shared budgets.
PEER_EXPIRY_MS = 30_000.0
# Timeout of a call that fetches configuration or endpoints from a peer.
FETCH_TIMEOUT_MS = 600.0
# A lost endpoint is reported in each beacon for this time.
LOSS_BROADCAST_PERIOD_MS = 3_000.0

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
    """

    def __init__(self, settings, state, link, clock):
        self.name = settings.name
        self.address = settings.peer_listen
        self._domain = settings.domain
        self._state = state
        self._link = link
        self._clock = clock
        self._authenticator = MessageAuthenticator(settings.peer_key)
        self._tree = DomainTree(settings.domain)
        self._incarnation = clock.wall_ms()
        self._sequence = 0
        self._peers_by_name = {}
        self._datagram_socket = None
        self._change_event = trio.Event()
        self._is_fetching_configuration = False
        self._is_fetching_endpoints = False
        self._last_beacon_ms = -math.inf
        self._only_flights_changed = True
        state.subscribe(self._on_state_change)

    async def run(self):
        """Send, receive and answer the queries of peers until cancelled."""
        self._datagram_socket = DatagramSocket(self.address)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._run_receiver, nursery)
                nursery.start_soon(self._run_sender)
                nursery.start_soon(self._link.serve, self._answer_query)
        finally:
            self._datagram_socket.close()

    def alive_peer_names(self):
        """Return the names of the peers that count as alive."""
        alive_timeout_ms = self._alive_timeout_ms()
        now_ms = self._clock.now_ms()
        return [
            peer.name
            for peer in self._peers_by_name.values()
            if peer.was_heard_within(alive_timeout_ms, now_ms)
        ]

    def time_since_peers_heard(self):
        """Return (name, domain, ms since last heard) of each peer; -1 for never."""
        now_ms = self._clock.now_ms()
        return [
            (
                peer.name,
                peer.domain,
                -1.0 if peer.last_heard_ms is None else now_ms - peer.last_heard_ms,
            )
            for peer in self._peers_by_name.values()
        ]

    def last_heard_ms_by_domain(self):
        """Return the times, by domain, when peers of other domains were last heard."""
        last_heard_ms_by_domain = {}
        for peer in self._peers_by_name.values():
            if peer.last_heard_ms is not None and peer.domain != self._domain:
                last_heard_ms_by_domain.setdefault(peer.domain, []).append(
                    peer.last_heard_ms
                )
        return last_heard_ms_by_domain

    def add_registered_peers(self, address_by_name):
        """Add the instances registered in the store as peers.

        A peer that was never heard gets its registered address.
        """
        now_ms = self._clock.now_ms()
        for name, address in address_by_name.items():
            if name == self.name:
                continue
            peer = self._peers_by_name.get(name)
            if peer is None:
                self._peers_by_name[name] = Peer(name, address, now_ms)
                self._state.instance_count = 1 + len(self._peers_by_name)
            elif peer.last_heard_ms is None:
                peer.address = address

    def expired_instance_names(self, address_by_name):
        """Return the registered instances not heard for `PEER_EXPIRY_MS`."""
        now_ms = self._clock.now_ms()
        return [
            name
            for name in address_by_name
            if name in self._peers_by_name
            and now_ms - self._last_contact_ms(self._peers_by_name[name])
            > PEER_EXPIRY_MS
        ]

    async def _answer_query(self, message):
        if isinstance(message, StateQuery):
            return self._state.build_state_reply(message)
        raise MessageError(f"unexpected {type(message).__name__}")

    def _on_state_change(self, only_flights):
        self._only_flights_changed = self._only_flights_changed and only_flights
        self._change_event.set()

    async def _run_sender(self):
        has_change, only_flights = True, False
        while True:
            if has_change or self._start_beacon_interval_if_due():
                message = (
                    self._build_flight_update()
                    if only_flights
                    else self._build_beacon()
                )
                self._broadcast(self._authenticator.encode(message))
            with trio.move_on_after(BEACON_INTERVAL_MS / 1000):
                await self._change_event.wait()
                peer_count = len(self._peers_by_name)
                await self._clock.sleep_ms(
                    CHANGE_COALESCING_MS + CHANGE_COALESCING_MS_PER_PEER * peer_count
                )
            has_change = self._change_event.is_set()
            only_flights = (
                has_change
                and self._only_flights_changed
                and not self._start_beacon_interval_if_due()
            )
            self._change_event, self._only_flights_changed = trio.Event(), True

    def _broadcast(self, data):
        """Send an authenticated datagram to all peers, by relay to other domains."""
        if len(data) > MAX_DATAGRAM_BYTES:
            log.warning(
                "Datagram exceeds the size limit; peers can't decode it.",
                bytes=len(data),
            )
        self._remove_expired_peers()
        direct, relays = self._tree.recipients(
            self._peers_by_name.values(), self._is_alive
        )
        self._send_to(data, direct)
        if relays:
            self._send_to(self._authenticator.encode(RelayedDatagram(data)), relays)

    def _send_to(self, data, peers):
        addresses = [peer.address for peer in peers]
        for address, error in self._datagram_socket.send_to_all(
            data, addresses
        ).items():
            log.debug("Datagram not sent.", address=address, cause=str(error))

    def _is_alive(self, peer):
        return peer.was_heard_within(self._alive_timeout_ms(), self._clock.now_ms())

    def _start_beacon_interval_if_due(self):
        """Return whether a beacon is due without a change; if so, start an interval.

        Such a beacon makes up for lost messages.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._last_beacon_ms < self.beacon_interval_ms():
            return False
        self._last_beacon_ms = now_ms
        return True

    def _beacon_interval_factor(self):
        return max(1, -(-len(self._peers_by_name) // PEERS_PER_INTERVAL_FACTOR))

    def beacon_interval_ms(self):
        """Return the longest time between two beacons of an instance."""
        return self._beacon_interval_factor() * BEACON_INTERVAL_MS

    def _alive_timeout_ms(self):
        return (
            ALIVE_BEACON_INTERVALS * self.beacon_interval_ms() + ALIVE_TIMEOUT_MARGIN_MS
        )

    def _remove_expired_peers(self):
        now_ms = self._clock.now_ms()
        for peer in list(self._peers_by_name.values()):
            if now_ms - self._last_contact_ms(peer) > PEER_EXPIRY_MS:
                del self._peers_by_name[peer.name]
                self._state.instance_count = 1 + len(self._peers_by_name)

    def _last_contact_ms(self, peer):
        return peer.added_ms if peer.last_heard_ms is None else peer.last_heard_ms

    def _build_flight_update(self):
        self._sequence += 1
        changes = self._state.load_state.drain_changes(self._clock.now_ms())
        return FlightUpdate(
            name=self.name,
            incarnation=self._incarnation,
            sequence=self._sequence,
            begun=tuple(changes.started_by_id.values()),
            decoding=tuple(changes.decoding_ids),
            ended=tuple(changes.ended_ids),
        )

    def _build_beacon(self):
        self._tree.rotate_relays()
        now_ms = self._clock.now_ms()
        state = self._state
        self._sequence += 1
        losses = state.crashes.recent_losses(now_ms - LOSS_BROADCAST_PERIOD_MS)
        return Beacon(
            name=self.name,
            domain=self._domain,
            address=self.address,
            incarnation=self._incarnation,
            sequence=self._sequence,
            is_leaving=state.is_stopping,
            configuration_version=state.configuration.version
            if state.configuration
            else -1,
            configuration_age_ms=state.configuration_age_ms(),
            configuration_stamp=state.configuration_freshness.stamp,
            endpoints_stamp=state.endpoints_freshness.stamp,
            endpoints_revision=state.endpoints.revision,
            endpoints_digest=state.endpoints.digest,
            endpoints_age_ms=state.endpoints_age_ms(),
            flights=state.load_state.own_flights(now_ms),
            losses=tuple((x.fingerprint, x.endpoint, x.domain) for x in losses),
            paces=tuple(state.paces.own_paces.items()),
        )

    async def _run_receiver(self, nursery):
        while True:
            for data in await self._datagram_socket.receive():
                self._handle_datagram(data, nursery)
            await self._clock.sleep_ms(
                RECEIVE_BATCHING_MS_PER_PEER * len(self._peers_by_name)
            )

    def _handle_datagram(self, data, nursery):
        message = self._decode_datagram(data)
        if isinstance(message, RelayedDatagram):
            message = self._relay_datagram(message.datagram)
        if isinstance(message, Beacon) and message.name != self.name:
            self._handle_beacon(message, nursery)
        elif isinstance(message, FlightUpdate):
            self._apply_flight_update(message)

    def _relay_datagram(self, data):
        """Forward a datagram within the own domain; return its message or None."""
        message = self._decode_datagram(data)
        if message is None:
            return None
        name = getattr(message, "name", "")
        peers = self._peers_by_name.values()
        self._send_to(data, self._tree.forward_recipients(peers, name))
        return message

    def _decode_datagram(self, data):
        """Return the message in an authenticated datagram, or None if it is invalid."""
        try:
            return self._authenticator.decode(data)
        except MessageError as error:
            log.warning("Invalid datagram dropped.", cause=str(error))
            return None

    def _apply_flight_update(self, update):
        peer = self._peers_by_name.get(update.name)
        order = (update.incarnation, update.sequence)
        if (
            peer is None
            or order <= peer.last_message_order
            or update.incarnation != peer.last_message_order[0]
        ):
            return
        peer.last_message_order = order
        peer.last_heard_ms = now_ms = self._clock.now_ms()
        self._state.load_state.apply_peer_changes(
            update.name, update.begun, update.decoding, update.ended, now_ms
        )

    def _handle_beacon(self, beacon, nursery):
        now_ms = self._clock.now_ms()
        peer = self._peers_by_name.get(beacon.name)
        if peer is None:
            peer = Peer(beacon.name, beacon.address, now_ms)
            self._peers_by_name[beacon.name] = peer
            self._state.instance_count = 1 + len(self._peers_by_name)
            self._change_event.set()
        order = (beacon.incarnation, beacon.sequence)
        was_silent = not peer.was_heard_within(self._alive_timeout_ms(), now_ms)
        # The incarnation is the start time by the wall clock. An instance that restarts
        # with its clock behind has a lower order, which is accepted after a silence.
        if order <= peer.last_message_order and not was_silent:
            return
        if was_silent:
            log.info("Peer heard.", peer=peer.name, address=beacon.address)
        peer.last_message_order = order
        peer.address = beacon.address
        peer.domain = beacon.domain
        peer.last_heard_ms = now_ms
        self._state.load_state.replace_peer(beacon.name, beacon.flights, now_ms)
        self._state.paces.merge_peer_paces(beacon.paces, now_ms)
        self._record_losses(beacon, now_ms)
        self._reconcile_with_peer(peer, beacon, now_ms, nursery)

    def _record_losses(self, beacon, now_ms):
        for fingerprint, endpoint, domain in beacon.losses:
            loss = Loss(fingerprint, endpoint, domain, now_ms)
            if self._state.crashes.record_loss(loss):
                log.info(
                    "Endpoint loss reported by peer.",
                    fingerprint=fingerprint,
                    endpoint=endpoint,
                    peer=beacon.name,
                )

    def _reconcile_with_peer(self, peer, beacon, now_ms, nursery):
        """Apply a peer's confirmations; fetch its configuration or list if newer."""
        state = self._state
        wants_configuration = wants_endpoints = False
        if beacon.configuration_age_ms >= 0:
            own_version = state.configuration.version if state.configuration else -1
            if beacon.configuration_version == own_version:
                confirmed_ms = now_ms - beacon.configuration_age_ms
                state.confirm_configuration(confirmed_ms, beacon.configuration_stamp)
            wants_configuration = beacon.configuration_version > own_version
        if beacon.endpoints_age_ms >= 0:
            endpoints = state.endpoints
            confirmed_ms = now_ms - beacon.endpoints_age_ms
            stamp = beacon.endpoints_stamp
            is_newer = state.endpoints_freshness.is_newer(stamp, confirmed_ms)
            if is_newer and beacon.endpoints_revision >= endpoints.revision:
                if beacon.endpoints_digest == endpoints.digest:
                    state.confirm_endpoints(
                        beacon.endpoints_revision, confirmed_ms, stamp
                    )
                else:
                    wants_endpoints = True
        # Several peers announce one change at once; it is fetched from one of them.
        wants_configuration = (
            wants_configuration and not self._is_fetching_configuration
        )
        wants_endpoints = wants_endpoints and not self._is_fetching_endpoints
        if wants_configuration or wants_endpoints:
            self._is_fetching_configuration = (
                self._is_fetching_configuration or wants_configuration
            )
            self._is_fetching_endpoints = self._is_fetching_endpoints or wants_endpoints
            query = StateQuery(wants_configuration, wants_endpoints)
            nursery.start_soon(self._fetch_state, peer, query)

    async def _fetch_state(self, peer, query):
        try:
            reply = await self._link.call(peer.address, query, FETCH_TIMEOUT_MS)
            packed = reply.configuration
            configuration = unpack_configuration(packed) if packed is not None else None
        except (PeerUnresponsiveError, MessageError) as error:
            log.info(
                "Fetching state from peer failed.", peer=peer.name, cause=str(error)
            )
            return
        finally:
            if query.wants_configuration:
                self._is_fetching_configuration = False
            if query.wants_endpoints:
                self._is_fetching_endpoints = False
        now_ms = self._clock.now_ms()
        if configuration is not None:
            confirmed_ms = now_ms - max(0.0, reply.configuration_age_ms)
            self._state.apply_configuration(
                configuration, confirmed_ms, peer.name, reply.configuration_stamp
            )
        if reply.endpoints is not None and reply.endpoints_age_ms >= 0:
            self._state.apply_endpoints(
                reply.endpoints,
                reply.endpoints_revision,
                now_ms - reply.endpoints_age_ms,
                peer.name,
                reply.endpoints_stamp,
            )
