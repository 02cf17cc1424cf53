"""Requests that an instance without links to the endpoints hands to a peer.

The peer handles them like those of its own callers: it chooses the endpoint, retries
and refuses by its own view. Its response is passed on as it arrives. A request is
handed on once only. It travels as one authenticated message in the body of an HTTP
request, whose response is the one for the caller.
"""

import msgspec

from vanillareach.core.messages import ForwardedRequest
from vanillareach.core.routing import RequestKind
from vanillareach.endpoints.base import EndpointBrokenError, EndpointUnreachableError
from vanillareach.gateway.answers import AnswerProgress, read_answer
from vanillareach.gateway.attempt_group import AttemptSupersededError
from vanillareach.gateway.exchange import AttemptResult, FailureResponse
from vanillareach.gateway.relay import (
    RelayObserver,
    relay_events,
    send_buffered,
    send_failure,
)
from vanillareach.gateway.request_outcome import RequestOutcome
from vanillareach.gateway.upstream import UpstreamRequest, open_upstream
from vanillareach.log import get_logger
from vanillareach.peers.link import MessageAuthenticator

FORWARD_PATH = b"/forward"
# A silent peer is taken for dead later than a silent endpoint, which the peer itself
# replaces by another one.
PEER_SILENCE_MARGIN_MS = 500.0
# Reasons of a peer's refusal by which another peer may still serve the request.
UNABLE_REASONS = frozenset(
    ("busy", "deadline", "links_lost", "no_route", "no_service", "not_ready")
    + ("outdated", "stopping", "unknown_key", "unreachable")
)

log = get_logger("forwarding")


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
        failure = None
        if fields.is_replaced_failure or (fields.is_signed and response.status >= 300):
            outcome = RequestOutcome("failed", "peer")
            # A peer of an older version replaces no status.
            failure = FailureResponse(response, body, fields.says_not_run)
        elif fields.is_signed:
            outcome = RequestOutcome()
        else:
            outcome = decode_refusal(response.status, body)
            if outcome.name == "not_run" and outcome.reason in UNABLE_REASONS:
                # Nothing of it has reached an endpoint, so the next attempt needs no
                # retry.
                attempt.may_have_been_sent = False
                return AttemptResult.NOT_RUN
            if outcome.name != "not_run" and fields.says_not_run:
                raise EndpointBrokenError(f"{outcome.name} with {response.status}")
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
        if failure is not None:
            await send_failure(exchange, failure, self._protocol, responder)
        else:
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
