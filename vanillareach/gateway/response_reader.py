"""Reads the response of an endpoint within limits, whatever arrives.

h11 has no limit for some of what an endpoint may send: informational responses, fields
of a complete head, and the extensions of all chunks together.
"""

import h11
import trio

from vanillareach.endpoints.base import (
    EndpointBrokenError,
    EndpointConnectionLostError,
)
from vanillareach.response_heads import MalformedHeadError, ResponseHeadChecker

RECEIVE_BUFFER_BYTES = 64 * 1024
# Head of a response with all informational ones before it. Also of a chunk's extensions
# and of the trailer.
MAX_RESPONSE_HEAD_BYTES = 64 * 1024
# Servers limit a head to some 100 fields.
MAX_RESPONSE_FIELDS = 256
# One that a server repeats while it works arrives every few seconds.
MAX_INFORMATIONAL_RESPONSES = 16
# Bytes that frame the chunks of a body, extensions included, beyond as many as the body
# has: for chunks of few bytes at the beginning, and one long extension.
MAX_EXTRA_FRAMING_BYTES = 64 * 1024
# Parsed without giving other tasks a turn; some 10 us each.
MAX_EVENTS_PER_TURN = 200


class ResponseReader:
    """Reads the h11 events of one response.

    Parameters
    ----------
    connection : h11.Connection
        Its `max_incomplete_event_size` is `MAX_RESPONSE_HEAD_BYTES`.
    stream : trio.SocketStream
    sender : RequestSender
        Sends the request on the same connection.
    """

    __slots__ = (
        "_body_bytes",
        "_connection",
        "_framing_bytes",
        "_has_head",
        "_head_checker",
        "_is_closed",
        "_received_bytes",
        "_sender",
        "_stream",
        "_turn_events",
    )

    def __init__(self, connection, stream, sender):
        self._connection = connection
        self._stream = stream
        self._sender = sender
        self._received_bytes = 0
        self._has_head = False
        self._head_checker = ResponseHeadChecker()
        # An earlier response may have been read together with the connection's end.
        _, self._is_closed = connection.trailing_data
        # Bytes received after the head: those that frame the body, and its own.
        self._framing_bytes = 0
        self._body_bytes = 0
        self._turn_events = 0

    async def read_head(self):
        """Return the h11 event of the final response's head.

        Raises
        ------
        EndpointBrokenError
            If it is malformed, cut or beyond a limit.
        """
        self._check_heads(self._connection.trailing_data[0])
        for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
            head = await self._next_event()
            unread_bytes = len(self._connection.trailing_data[0])
            self._check_head_size(self._received_bytes - unread_bytes)
            if isinstance(head, h11.InformationalResponse):
                continue
            if not isinstance(head, h11.Response):
                raise EndpointBrokenError(f"unexpected {type(head).__name__}")
            if len(head.headers) > MAX_RESPONSE_FIELDS:
                raise EndpointBrokenError(
                    f"response has more than {MAX_RESPONSE_FIELDS} fields"
                )
            self._has_head, self._framing_bytes = True, unread_bytes
            return head
        raise EndpointBrokenError(
            f"more than {MAX_INFORMATIONAL_RESPONSES} informational responses"
        )

    async def next_data(self):
        """Return the next bytes of the body, or None at its end.

        Raises
        ------
        EndpointBrokenError
            If the response is aborted, malformed or beyond a limit.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            data = bytes(event.data)
            self._framing_bytes -= len(data)
            self._body_bytes += len(data)
            return data
        if isinstance(event, h11.EndOfMessage):
            if self._is_closed:
                # A body with a length or in chunks ends before its connection does.
                await self._sender.check()
            return None
        raise EndpointBrokenError(f"unexpected {type(event).__name__}")

    async def _next_event(self):
        while True:
            try:
                event = self._connection.next_event()
            except h11.RemoteProtocolError as error:
                kind = (
                    EndpointConnectionLostError
                    if self._is_closed
                    else (EndpointBrokenError)
                )
                raise kind(f"malformed response: {error}") from error
            if event is h11.NEED_DATA:
                await self._receive()
                continue
            if isinstance(event, h11.ConnectionClosed):
                raise EndpointConnectionLostError("connection closed")
            self._turn_events += 1
            if self._turn_events > MAX_EVENTS_PER_TURN:
                self._turn_events = 0
                await trio.lowlevel.checkpoint()
            return event

    async def _receive(self):
        # All that has arrived is parsed: what isn't data of the body frames it.
        if not self._has_head:
            self._check_head_size(self._received_bytes)
        elif self._framing_bytes > self._body_bytes + MAX_EXTRA_FRAMING_BYTES:
            raise EndpointBrokenError(
                f"chunk framing exceeds the body by {MAX_EXTRA_FRAMING_BYTES} bytes"
            )
        self._turn_events = 0
        try:
            data = await self._stream.receive_some(RECEIVE_BUFFER_BYTES)
        except trio.BrokenResourceError as error:
            raise EndpointConnectionLostError("connection reset") from error
        self._is_closed = not data
        self._received_bytes += len(data)
        self._framing_bytes += len(data)
        self._check_heads(data)
        self._connection.receive_data(data)

    def _check_heads(self, data):
        try:
            self._head_checker.feed(data)
        except MalformedHeadError as error:
            raise EndpointBrokenError(str(error)) from error

    @staticmethod
    def _check_head_size(size):
        if size > MAX_RESPONSE_HEAD_BYTES:
            raise EndpointBrokenError(
                f"response head exceeds {MAX_RESPONSE_HEAD_BYTES} bytes"
            )
