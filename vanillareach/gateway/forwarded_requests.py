"""Serves the requests that peers without links to endpoints hand to this instance."""

import h11

from vanillareach.core.messages import ForwardedRequest, MessageError
from vanillareach.core.routing import CallerLimits
from vanillareach.gateway.request_reader import CallerRequest
from vanillareach.log import get_logger
from vanillareach.peers.link import MessageAuthenticator

# Bytes of a message besides the caller's header and body.
MESSAGE_OVERHEAD_BYTES = 4_096
# Requests of peers that an instance serves at the same time.
MAX_FORWARDED_REQUESTS = 128

log = get_logger("forwarding")


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
            # The message holds the body once more.
            request.body = None
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
