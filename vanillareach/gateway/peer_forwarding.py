"""Requests that an instance without links to the endpoints hands to a peer.

The peer handles them like those of its own callers: it chooses the endpoint, retries
and refuses by its own view. Its response is passed on as it arrives. A request is
handed on once only. It travels as one authenticated message in the body of an HTTP
request, whose response is the one for the caller.
"""

import random

import h11
import msgspec

from vanillareach.core.messages import ForwardedRequest, MessageError
from vanillareach.core.routing import CallerLimits, RequestKind
from vanillareach.endpoints.base import EndpointBrokenError, EndpointUnreachableError
from vanillareach.gateway.answers import AnswerProgress, read_answer
from vanillareach.gateway.attempt_group import AttemptSupersededError
from vanillareach.gateway.exchange import AttemptResult
from vanillareach.gateway.relay import RelayObserver, relay_events, send_buffered
from vanillareach.gateway.request_outcome import RequestOutcome
from vanillareach.gateway.request_reader import CallerRequest
from vanillareach.gateway.upstream import UpstreamRequest, open_upstream
from vanillareach.log import get_logger
from vanillareach.peers.link import MessageAuthenticator

FORWARD_PATH = b"/forward"
# Bytes of a message besides the caller's header and body.
MESSAGE_OVERHEAD_BYTES = 4_096
# A request that has met this many unreachable endpoints is handed on.
MAX_UNREACHABLE_ATTEMPTS = 2
# A peer that could not help is left out for this time.
UNABLE_TTL_MS = 1_000.0
# The own domain is left out while this many of its peers could not help.
MAX_UNABLE_NEAR_PEERS = 2
# A silent peer is taken for dead later than a silent endpoint, which the peer itself
# replaces by another one.
PEER_SILENCE_MARGIN_MS = 500.0
# Requests of peers that an instance serves at the same time.
MAX_FORWARDED_REQUESTS = 128
# Reasons of a peer's refusal by which another peer may still serve the request.
UNABLE_REASONS = frozenset(
    ("busy", "deadline", "links_lost", "no_route", "no_service", "not_ready")
    + ("outdated", "stopping", "unknown_key", "unreachable")
)

log = get_logger("forwarding")


class PeerTarget:
    """A peer in the place of an endpoint.

    Attributes
    ----------
    id : str
        Marks it as a peer among the ids of endpoints.
    peer : Peer
    """

    __slots__ = ("id", "peer")

    def __init__(self, peer):
        self.id = f"peer {peer.name}"
        self.peer = peer


class PeerPlacement:
    """Placement of an attempt at a peer.

    Attributes
    ----------
    endpoint : PeerTarget
    helpers : tuple
        Always empty.
    """

    __slots__ = ("endpoint", "helpers")

    def __init__(self, peer):
        self.endpoint = PeerTarget(peer)
        self.helpers = ()


class PeerChooser:
    """Chooses the peer to which a request is handed.

    Parameters
    ----------
    state : GatewayState
    gossip : Gossip
    clock : Clock
    """

    def __init__(self, state, gossip, clock):
        self._state = state
        self._gossip = gossip
        self._clock = clock
        self._random = random.Random()
        self._unable_until_ms_by_name = {}

    def choose(self, exchange):
        """Return the `PeerPlacement` of a request's next attempt.

        None if the request isn't to be handed on, or no peer can take it.
        """
        # The response to HEAD has no body, whose end would show that it is complete.
        if exchange.is_forwarded or exchange.request.method == b"HEAD":
            return None
        unreachable_count = sum(
            attempt.result is AttemptResult.UNREACHABLE for attempt in exchange.attempts
        )
        is_cut_off = self._state.reach.is_lost
        if not is_cut_off and unreachable_count < MAX_UNREACHABLE_ATTEMPTS:
            return None
        peer = self._least_loaded(exchange)
        return None if peer is None else PeerPlacement(peer)

    def record_unable(self, peer):
        """Leave out a peer for a while."""
        self._unable_until_ms_by_name[peer.name] = self._clock.now_ms() + UNABLE_TTL_MS

    def _least_loaded(self, exchange):
        """Return the better of two random peers, of the own domain if there are any."""
        now_ms = self._clock.now_ms()
        unable = {
            name
            for name, until_ms in self._unable_until_ms_by_name.items()
            if until_ms > now_ms
        }
        peers = [
            peer
            for peer in self._gossip.peers.forwarding_candidates()
            if peer.name not in unable
            and PeerTarget(peer).id not in exchange.excluded_endpoints
        ]
        near_names = self._gossip.names_in_own_domain()
        near = [peer for peer in peers if peer.name in near_names]
        if len(unable & near_names) >= MAX_UNABLE_NEAR_PEERS:
            # The whole domain may be cut off.
            near = [peer for peer in peers if peer.name not in near_names]
        candidates = near or peers
        sample = self._random.sample(candidates, min(2, len(candidates)))
        load_state = self._state.load_state
        return min(
            sample,
            key=lambda peer: load_state.peer_flight_count(peer.name),
            default=None,
        )


class PeerResponseObserver(RelayObserver):
    """Records the progress of a stream that a peer relays."""

    __slots__ = ("_attempt", "_clock", "_idle_timeout_ms")

    def __init__(self, attempt, idle_timeout_ms, clock):
        self._attempt = attempt
        self._idle_timeout_ms = idle_timeout_ms
        self._clock = clock

    def on_events(self):
        """Take over the response; see `RelayObserver`."""
        attempt = self._attempt
        attempt.idle_timeout.pause()
        attempt.take_over()
        attempt.has_written = True
        exchange = attempt.exchange
        if exchange.record_event(self._clock.now_ms()) is None:
            exchange.weights_version = attempt.weights_version
            exchange.drop_answer_margin()

    def on_delivered(self):
        """Restart the idle timeout; see `RelayObserver`."""
        now_ms = self._clock.now_ms()
        self._attempt.idle_timeout.extend(now_ms + self._idle_timeout_ms)

    def on_end(self):
        """Take over the response; see `RelayObserver`."""
        self._attempt.take_over()


class PeerAttemptRunner:
    """Hands requests to peers and passes on their responses.

    Parameters
    ----------
    chooser : PeerChooser
    dispatcher : Dispatcher
    idle_timeouts : IdleTimeoutMonitor
    protocol : RequestProtocol
    buffer_budget : BufferBudget
    peer_key : str
        Secret shared by all instances.
    clock : Clock
    metrics : Metrics
    """

    def __init__(
        self,
        chooser,
        dispatcher,
        idle_timeouts,
        protocol,
        buffer_budget,
        peer_key,
        clock,
        metrics,
    ):
        self._chooser = chooser
        self._dispatcher = dispatcher
        self._idle_timeouts = idle_timeouts
        self._protocol = protocol
        self._buffer_budget = buffer_budget
        self._authenticator = MessageAuthenticator(peer_key)
        self._clock = clock
        self._metrics = metrics

    async def run(self, attempt, responder):
        """Run one attempt at a peer; set and record its result."""
        exchange, peer = attempt.exchange, attempt.placement.endpoint.peer
        silence_ms = self._silence_ms(exchange)
        attempt.idle_timeout = self._idle_timeouts.watch(
            None, self._clock.now_ms() + silence_ms, attempt.mark_silent
        )
        log.info("Handed to a peer.", id=exchange.id, peer=peer.name)
        detail = ""
        try:
            with attempt.scope:
                attempt.result = await self._forward(attempt, responder)
        except EndpointUnreachableError as error:
            # Nothing was sent; the peer may be gone.
            attempt.result, detail = AttemptResult.NOT_RUN, str(error)
        except EndpointBrokenError as error:
            attempt.result, detail = AttemptResult.BROKEN, str(error)
        except AttemptSupersededError:
            attempt.result = AttemptResult.SUPERSEDED
        finally:
            self._idle_timeouts.unwatch(attempt.idle_timeout)
            attempt.idle_timeout = None
            if attempt.result is None and not attempt.scope.cancelled_caught:
                attempt.set_interrupted_result(responder.is_delivered)
                self._log_end(attempt, "")
        if attempt.result is None:
            attempt.result = (
                AttemptResult.SUPERSEDED
                if attempt.is_superseded
                else AttemptResult.BROKEN
            )
        if attempt.result in (AttemptResult.NOT_RUN, AttemptResult.BROKEN):
            self._chooser.record_unable(peer)
        self._log_end(attempt, detail)

    def _silence_ms(self, exchange):
        return self._dispatcher.event_gap_timeout_ms(exchange) + PEER_SILENCE_MARGIN_MS

    async def _forward(self, attempt, responder):
        exchange = attempt.exchange
        request = UpstreamRequest(
            address=attempt.placement.endpoint.peer.forward_address,
            method=b"POST",
            target=FORWARD_PATH,
            headers=[],
            host=attempt.placement.endpoint.peer.forward_address.encode(),
            body=self._authenticator.encode(self._message(exchange)),
        )

        def mark_sent():
            attempt.mark_sent(self._clock.now_ms())

        async with open_upstream(request, mark_sent) as response:
            fields = self._protocol.read_response(response.status, response.headers)
            if fields.attempt_id not in ("", exchange.id):
                raise EndpointBrokenError("answer to another request")
            attempt.weights_version = fields.weights_version
            is_stream = exchange.route.kind is RequestKind.STREAM
            if is_stream and fields.is_signed and response.status < 300:
                await self._relay_events(attempt, response, responder)
                return AttemptResult.ANSWERED
            return await self._relay_answer(attempt, response, responder, fields)

    def _message(self, exchange):
        request = exchange.request
        return ForwardedRequest(
            method=request.method,
            target=request.target,
            headers=tuple(request.headers),
            body=request.body,
            waited_ms=self._clock.now_ms() - request.received_ms,
            last_event_id=exchange.last_event_id,
            weights_version=exchange.weights_version,
            possible_runs=exchange.possible_runs,
            configuration_version=exchange.configuration.version,
        )

    async def _relay_events(self, attempt, response, responder):
        exchange = attempt.exchange
        observer = PeerResponseObserver(
            attempt, self._silence_ms(exchange), self._clock
        )
        share = self._buffer_budget.share()
        await relay_events(exchange, response, responder, observer, share)

    async def _relay_answer(self, attempt, response, responder, fields):
        """Pass on a complete response, unless another peer may do better."""
        exchange = attempt.exchange
        progress = AnswerProgress(attempt, self._silence_ms(exchange), self._clock)
        body = await read_answer(response, self._buffer_budget.share(), progress)
        if fields.is_signed:
            outcome = RequestOutcome()
            if response.status >= 300:
                outcome = RequestOutcome("failed", "peer")
        else:
            outcome = decode_refusal(response.status, body)
            if outcome.name == "not_run" and outcome.reason in UNABLE_REASONS:
                # Nothing of it has reached an endpoint, so the next attempt needs no
                # retry.
                attempt.may_have_been_sent = False
                return AttemptResult.NOT_RUN
            if outcome.name == "not_run" and exchange.may_have_run_before(attempt):
                # An earlier attempt may have run, so the promise doesn't hold.
                raise EndpointBrokenError(outcome.reason)
        if responder.is_started:
            # A stream can't be followed by another response.
            raise EndpointBrokenError(f"status {response.status}: {outcome.reason}")
        responder.outcome = outcome
        attempt.idle_timeout.pause()
        attempt.take_over()
        attempt.has_written = True
        await send_buffered(response, body, responder)
        return AttemptResult.ANSWERED

    def _log_end(self, attempt, detail):
        exchange, result = attempt.exchange, attempt.result
        result_name = "abandoned" if result is None else result.name.lower()
        self._metrics.attempts[(exchange.service.name, f"peer_{result_name}")] += 1
        log.info(
            "Peer's attempt ended.",
            id=exchange.id,
            peer=attempt.placement.endpoint.peer.name,
            result=result_name,
            detail=detail,
            last_event=exchange.last_event_id,
            after_ms=round(self._clock.now_ms() - exchange.request.received_ms),
        )


class RefusalText(msgspec.Struct):
    """Body of an error response of a gateway, as far as it is read."""

    outcome: str
    reason: str


def decode_refusal(status, body):
    """Return the `RequestOutcome` that an error response of a gateway tells.

    Raises
    ------
    EndpointBrokenError
        If it is no error response of a gateway.
    """
    try:
        text = msgspec.json.decode(body, type=RefusalText)
    except msgspec.MsgspecError as error:
        raise EndpointBrokenError(f"unsigned answer {status}") from error
    if status < 300:
        raise EndpointBrokenError(f"unsigned answer {status}")
    return RequestOutcome(text.outcome, text.reason)


class ForwardedRequestHandler:
    """Serves the requests that peers hand to this instance.

    Parameters
    ----------
    forwarder : Forwarder
    state : GatewayState
    peer_key : str
    clock : Clock
    """

    def __init__(self, forwarder, state, peer_key, clock):
        self._forwarder = forwarder
        self._state = state
        self._authenticator = MessageAuthenticator(peer_key)
        self._clock = clock
        self._running_count = 0

    def limits(self):
        """Return the `CallerLimits` of the requests that carry messages."""
        limits = self._state.caller_limits()
        return CallerLimits(
            body_bytes=limits.header_bytes + limits.body_bytes + MESSAGE_OVERHEAD_BYTES
        )

    async def handle(self, request, responder):
        """Serve one request."""
        try:
            message = self._authenticator.decode(request.body or b"")
            if not isinstance(message, ForwardedRequest):
                raise MessageError(f"unexpected {type(message).__name__}")
            forwarded = self._unpack(message)
        except (MessageError, h11.LocalProtocolError) as error:
            log.warning("Invalid request of a peer rejected.", cause=str(error))
            await responder.answer(400, [], b"")
            return
        self._running_count += 1
        try:
            await self._forwarder.handle_forwarded(
                forwarded,
                message,
                responder,
                is_busy=self._running_count > MAX_FORWARDED_REQUESTS,
            )
        finally:
            self._running_count -= 1

    def _unpack(self, message):
        head = h11.Request(
            method=message.method, target=message.target, headers=list(message.headers)
        )
        received_ms = self._clock.now_ms() - max(0.0, message.waited_ms)
        return CallerRequest(head, message.body, received_ms)
