"""Memory reservations on several engines for one prompt.

A reservation has a short lifetime and is renewed while its request runs, so that it
expires if this instance dies, or if a reservation request is lost or executed late. All
parts are requested at once, and an engine without room refuses its part rather than
let it wait. So two prompts can't deadlock with half of their memory each.
"""

import math
from contextlib import asynccontextmanager

import trio

from vanillareach.endpoints.base import EndpointError
from vanillareach.gateway.exchange import EndpointWithdrawnError
from vanillareach.gateway.upstream import open_upstream
from vanillareach.log import get_logger

# Memory has to be free again within four seconds of its last use, even if requests are
# lost.
RESERVATION_TTL_MS = 3_200.0
# A reservation outlasts the silence of its engine for the lifetime less this interval.
RENEWAL_INTERVAL_MS = 700.0
RESERVATION_REQUEST_TIMEOUT_MS = 500.0
MAX_RESPONSE_BYTES = 65_536
# An engine that names a limit of requests gets each of this many renewals only.
LIMITED_RENEWAL_INTERVALS = 3
# States of an engine in which it gets no reservation, renewal or release. What runs at
# a leaving or evacuated engine ends there; a reservation ends by itself at one that
# wants quiet or takes few requests.
RESERVATION_STOPS = ("leaving", "quiet", "limited", "evacuated")
RENEWAL_STOPS = ("quiet",)
RELEASE_STOPS = ("quiet", "limited")

log = get_logger("reservations")


class Reservation:
    """Memory for one attempt, reserved in parts at one or more engines.

    Attributes
    ----------
    id : str
        Common prefix of the reservation ids at the engines.
    ids_by_engine : dict of str to str
        Reservation id at each engine, by engine id.
    tokens_by_engine : dict of ListedEndpoint to int
        Memory to reserve at each engine, in tokens.
    is_granted : bool
        Whether all parts were granted.
    renewal_count : int
        Renewals that were due.
    """

    __slots__ = (
        "id",
        "ids_by_engine",
        "is_granted",
        "renewal_count",
        "tokens_by_engine",
    )

    def __init__(self, id_prefix, tokens_by_engine):
        self.id = id_prefix
        self.tokens_by_engine = tokens_by_engine
        self.ids_by_engine = {
            engine.id: f"{id_prefix}-{number}"
            for number, engine in enumerate(tokens_by_engine)
        }
        self.is_granted = False
        self.renewal_count = 0


class ReservationManager:
    """Requests, renews and releases all reservations of this instance.

    Parameters
    ----------
    reservation_protocol : MemoryReservationProtocol
    state : GatewayState
        Knows which engines may be asked, and learns what they say.
    clock : Clock
    """

    def __init__(self, reservation_protocol, state, clock):
        self._reservation_protocol = reservation_protocol
        self._state = state
        self._clock = clock
        self._active_by_id = {}
        self._nursery = None
        self._active_event = trio.Event()

    @property
    def active_count(self):
        """Number of active reservations."""
        return len(self._active_by_id)

    async def run(self):
        """Renew the active reservations until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                if not self._active_by_id:
                    self._active_event = trio.Event()
                    await self._active_event.wait()
                await self._clock.sleep_ms(RENEWAL_INTERVAL_MS)
                for reservation in self._active_by_id.values():
                    reservation.renewal_count += 1
                    nursery.start_soon(self._reserve_all, reservation, True)

    @asynccontextmanager
    async def reserve(self, id_prefix, tokens_by_engine):
        """Reserve memory while the context lasts.

        Yields
        ------
        Reservation
            With `is_granted` False if a part was refused.
        """
        reservation = Reservation(id_prefix, tokens_by_engine)
        if not tokens_by_engine:
            reservation.is_granted = True
            yield reservation
            return
        try:
            reservation.is_granted = await self._reserve_all(reservation)
            if reservation.is_granted:
                self._active_by_id[id_prefix] = reservation
                self._active_event.set()
            yield reservation
        finally:
            self._active_by_id.pop(id_prefix, None)
            self._nursery.start_soon(self._release_all, reservation)

    async def _reserve_all(self, reservation, is_renewal=False):
        """Reserve or renew all parts; return whether all were granted."""
        granted = []

        async def reserve_part(engine, tokens):
            is_limited = self._state.limits.is_limited(engine.key)
            turn = reservation.renewal_count % LIMITED_RENEWAL_INTERVALS
            if is_renewal and is_limited and turn:
                granted.append(True)
                return
            reservation_id = reservation.ids_by_engine[engine.id]
            request = self._reservation_protocol.reserve_request(
                engine, reservation_id, tokens, RESERVATION_TTL_MS
            )
            status = await self._send(
                engine, request, RENEWAL_STOPS if is_renewal else RESERVATION_STOPS
            )
            granted.append(
                status is not None and self._reservation_protocol.is_granted(status)
            )

        async with trio.open_nursery() as nursery:
            for engine, tokens in reservation.tokens_by_engine.items():
                nursery.start_soon(reserve_part, engine, tokens)
        log.info(
            "Reserved." if all(granted) else "Reservation refused.",
            id=reservation.id,
            tokens=sum(reservation.tokens_by_engine.values()),
            engines=list(reservation.ids_by_engine),
            granted=sum(granted),
        )
        return all(granted)

    async def _release_all(self, reservation):
        for engine in reservation.tokens_by_engine:
            reservation_id = reservation.ids_by_engine[engine.id]
            status = await self._send(
                engine,
                self._reservation_protocol.release_request(engine, reservation_id),
                RELEASE_STOPS,
            )
            log.info("Released.", id=reservation.id, engine=engine.id, status=status)

    async def _send(self, engine, request, stops):
        """Send a request to an engine and record what its answer says of it.

        Return the status of the response, or None without one. Nothing is sent if the
        state of the engine is one of `stops`.
        """
        sent_ms = math.inf

        def check():
            nonlocal sent_ms
            sent_ms = self._clock.now_ms()
            cause = self._state.unusable_cause(engine)
            is_limited = self._state.limits.is_limited(engine.key)
            # A limit holds back renewals and releases at an evacuated engine, too.
            if cause in ("", "evacuated") and is_limited:
                cause = "limited"
            if cause in stops:
                raise EndpointWithdrawnError(f"{engine.id}: {cause}")

        with trio.move_on_after(RESERVATION_REQUEST_TIMEOUT_MS / 1000):
            try:
                check()
                async with open_upstream(request, check) as response:
                    now_ms = self._clock.now_ms()
                    self._state.limits.count_order(engine.key, now_ms)
                    signals = self._reservation_protocol.read_signals(
                        response.status, response.headers
                    )
                    self._state.record_signals(engine, signals)
                    if signals.limit_per_s is not None:
                        self._state.record_limit(engine, signals.limit_per_s, sent_ms)
                    await response.read(MAX_RESPONSE_BYTES)
                    return response.status
            except EndpointError as error:
                log.info("Reservation request failed.", cause=str(error))
        return None
