"""Request-reply calls between instances: the port and its pynng implementation."""

import hashlib
import hmac
from abc import ABC, abstractmethod
from collections import OrderedDict

import pynng
import trio

from vanillareach.clock import MS_PER_SECOND
from vanillareach.core.messages import MessageError, decode_message, encode_message
from vanillareach.log import get_logger

DIGEST_BYTES = 16
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
MAX_OPEN_SOCKETS = 64
MAX_CONCURRENT_CALLS = 256
CLOSE_DELAY_S = 0.1

log = get_logger("peers")


class PeerError(Exception):
    """Base class of peer communication errors."""


class PeerUnresponsiveError(PeerError):
    """No valid reply arrived in time; the peer may have processed the message."""


class PeerLink(ABC):
    """Port for request-reply calls between instances."""

    @abstractmethod
    async def call(self, address, message, timeout_ms):
        """Send a message and return the reply.

        Raises
        ------
        PeerUnresponsiveError
            If no valid reply arrives within `timeout_ms`.
        """

    @abstractmethod
    async def serve(self, handler):
        """Serve incoming messages until cancelled.

        Parameters
        ----------
        handler : callable
            Coroutine function that takes a message and returns the reply.
        """


class MessageAuthenticator:
    """Encodes messages with a keyed digest and verifies it when decoding.

    Parameters
    ----------
    key : str
        Secret shared by all instances.
    """

    __slots__ = ("_key",)

    def __init__(self, key):
        self._key = hashlib.sha256(key.encode()).digest()

    def encode(self, message):
        """Return the encoded message, preceded by its digest."""
        payload = encode_message(message)
        return self._digest(payload) + payload

    def decode(self, data):
        """Verify and decode received bytes.

        Raises
        ------
        MessageError
            If the digest does not match or the bytes are not a message.
        """
        digest, payload = data[:DIGEST_BYTES], data[DIGEST_BYTES:]
        if not hmac.compare_digest(digest, self._digest(payload)):
            raise MessageError("the digest does not match")
        return decode_message(payload)

    def _digest(self, payload):
        return hashlib.blake2b(
            payload, key=self._key, digest_size=DIGEST_BYTES
        ).digest()


class NngLink(PeerLink):
    """Peer calls over the REQ and REP sockets of nng.

    Parameters
    ----------
    listen : str
        ``host:port`` to listen on.
    key : str
        Secret shared by all instances.
    traffic : ControlTraffic
        Counts sent and received bytes.
    """

    def __init__(self, listen, key, traffic):
        self._listen = listen
        self._authenticator = MessageAuthenticator(key)
        self._traffic = traffic
        self._client_sockets_by_address = OrderedDict()
        self._running_calls_by_address = {}
        self._server = None
        self._call_limiter = trio.CapacityLimiter(MAX_CONCURRENT_CALLS)

    async def call(self, address, message, timeout_ms):
        """Call a peer; see `PeerLink.call`."""
        data = self._authenticator.encode(message)
        self._traffic.count_sent(len(data))
        socket = self._client_socket(address)
        running_calls = self._running_calls_by_address
        running_calls[address] = running_calls.get(address, 0) + 1
        try:
            with (
                trio.fail_after(timeout_ms / MS_PER_SECOND),
                socket.new_context() as context,
            ):
                await context.asend(data)
                reply = await context.arecv()
            self._traffic.count_received(len(reply))
            return self._authenticator.decode(reply)
        except (trio.TooSlowError, pynng.NNGException, MessageError) as error:
            self._discard_socket(address, socket)
            raise PeerUnresponsiveError(f"{address}: {error!r}") from error
        finally:
            running_calls[address] -= 1

    async def serve(self, handler):
        """Serve incoming messages; see `PeerLink.serve`."""
        self._server = pynng.Rep0(listen=f"tcp://{self._listen}")
        self._server.recv_max_size = MAX_MESSAGE_BYTES
        try:
            async with trio.open_nursery() as nursery:
                while True:
                    limiter_token = object()
                    await self._call_limiter.acquire_on_behalf_of(limiter_token)
                    context = self._server.new_context()
                    try:
                        data = await context.arecv()
                    except BaseException:
                        context.close()
                        raise
                    nursery.start_soon(
                        self._handle_request, handler, context, data, limiter_token
                    )
        finally:
            self._server.close()

    def close(self):
        """Close all client sockets."""
        for socket in self._client_sockets_by_address.values():
            socket.close()
        self._client_sockets_by_address.clear()

    async def _handle_request(self, handler, context, data, limiter_token):
        try:
            self._traffic.count_received(len(data))
            reply = self._authenticator.encode(
                await handler(self._authenticator.decode(data))
            )
            self._traffic.count_sent(len(reply))
            await context.asend(reply)
        except MessageError as error:
            log.warning("Peer message rejected; no reply sent.", error=str(error))
        except pynng.NNGException as error:
            log.debug("Could not send the reply to a peer.", error=repr(error))
        finally:
            context.close()
            self._call_limiter.release_on_behalf_of(limiter_token)

    def _client_socket(self, address):
        sockets = self._client_sockets_by_address
        if address in sockets:
            sockets.move_to_end(address)
            return sockets[address]
        self._close_idle_sockets()
        socket = pynng.Req0()
        socket.recv_max_size = MAX_MESSAGE_BYTES
        socket.dial(f"tcp://{address}", block=False)
        sockets[address] = socket
        return socket

    def _discard_socket(self, address, socket):
        """Close a socket whose connection may be dead without having been reset."""
        if self._client_sockets_by_address.get(address) is socket:
            del self._client_sockets_by_address[address]
        socket.close()

    def _close_idle_sockets(self):
        sockets = self._client_sockets_by_address
        for address in list(sockets):
            if len(sockets) < MAX_OPEN_SOCKETS:
                return
            if not self._running_calls_by_address.get(address):
                sockets.pop(address).close()
                self._running_calls_by_address.pop(address, None)
