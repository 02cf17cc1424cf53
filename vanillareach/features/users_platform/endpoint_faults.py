"""Responses of a stand-in that are malformed, endless, or end with the connection."""

import trio

from vanillareach.features.users_platform.endpoint_signals import SignallingEndpoint
from vanillareach.gateway.connections import ResponseAbortedError
from vanillareach.gateway.sockets import set_reset_on_close
from vanillareach.platform import names

PART_BYTES = 65_536
DRIP_INTERVAL_S = 0.2
# More than one read, less than any limit of an attempt.
HELD_BYTES = 300_000
CHUNKED = b"Transfer-Encoding: chunked\r\n"
STREAM_EVENTS = 6
# More digits than Python converts to a number.
LONG_NUMBER_DIGITS = 5_000


def encode_chunk(data, extension=b""):
    """Return a chunk of a response body."""
    return b"%x%s\r\n%s\r\n" % (len(data), extension, data)


def encode_events(first, last=STREAM_EVENTS):
    """Return the events of a stream from `first` to `last`."""
    return b"".join(
        b"id: %d\ndata: piece %d\n\n" % (number, number)
        for number in range(first, last + 1)
    )


STREAM_WITH_COMMENTS = b": a\n\n%s: b\n\n%s: c\n\n" % (
    encode_events(1, 2),
    encode_events(3),
)


class FaultyEndpoint(SignallingEndpoint):
    """Steps of a stand-in that write bytes of a response themselves.

    Attributes
    ----------
    raw_body : bytes
        Body of the steps that end with the connection.
    head_bytes : int
        Length at which a head is cut.
    is_reset : bool
        Whether those end with a reset.
    """

    def __init__(self):
        super().__init__()
        self.raw_body = b""
        self.head_bytes = 0
        self.is_reset = False

    def _encode_head(self, received, fields=b"", version=b"1.1"):
        headers = self._response_headers(received)
        lines = b"".join(b"%s: %s\r\n" % (n, v) for n, v in headers)
        return b"HTTP/%s 200 OK\r\n%s%s\r\n" % (version, lines, fields)

    @staticmethod
    async def _send_raw(responder, data):
        try:
            await responder._stream.send_all(data)
        except trio.BrokenResourceError as error:
            raise ResponseAbortedError("closed by the gateway") from error

    async def _send_endless(self, responder, head, part, interval_s=0):
        await self._send_raw(responder, head)
        while True:
            await self._send_raw(responder, part)
            await trio.sleep(interval_s)

    async def _cut_head(self, received, responder):
        head = self._encode_head(received, b"Content-Length: 4\r\n")
        await self._send_raw(responder, head[: self.head_bytes])
        await responder._stream.send_eof()
        raise ResponseAbortedError("closed within the head")

    async def _no_content(self, received, responder):
        await responder.start(204, self._response_headers(received))
        await responder.finish()

    async def _no_length(self, received, responder):
        """Answer with a body of length 0."""
        await responder.answer(200, self._response_headers(received), b"")

    async def _no_chunk(self, received, responder):
        await self._send_raw(responder, self._encode_head(received, CHUNKED))
        await self._send_raw(responder, encode_chunk(b""))
        raise ResponseAbortedError("closed after its answer")

    async def _no_body(self, received, responder):
        """End the connection after the head, which tells no length."""
        await self._send_raw(responder, self._encode_head(received))
        await responder._stream.send_eof()
        raise ResponseAbortedError("closed after its answer")

    async def _only_comments(self, received, responder):
        await self._send_raw(responder, self._encode_head(received, CHUNKED))
        chunks = encode_chunk(b": comment\n\n") + encode_chunk(b"")
        await self._send_raw(responder, chunks)
        raise ResponseAbortedError("closed after its answer")

    async def _endless_head(self, received, responder):
        await self._send_endless(responder, b"HTTP/1.1 200 OK\r\nA: ", b"x" * 1_000)

    async def _endless_fields(self, received, responder):
        await self._send_endless(responder, b"HTTP/1.1 200 OK\r\n", b"A: b\r\n" * 100)

    async def _many_fields(self, received, responder):
        head = self._encode_head(received, b"A: b\r\n" * 5_000 + CHUNKED)
        await self._send_endless(responder, head, encode_chunk(b": x\n"), 0.01)

    async def _endless_informational(self, received, responder):
        await self._send_endless(responder, b"", b"HTTP/1.1 103 Early Hints\r\n\r\n")

    async def _endless_event(self, received, responder):
        head = self._encode_head(received, CHUNKED)
        part = encode_chunk(b"x" * PART_BYTES)
        await self._send_endless(responder, head + encode_chunk(b"data: "), part)

    async def _endless_blank_lines(self, received, responder):
        head = self._encode_head(received, CHUNKED)
        await self._send_endless(responder, head, encode_chunk(b"\n" * PART_BYTES))

    async def _endless_comments(self, received, responder):
        head = self._encode_head(received, CHUNKED)
        part = encode_chunk(b": x\n\n" * 10_000)
        await self._send_endless(responder, head, part)

    async def _endless_garbage(self, received, responder):
        """Send bytes with blank lines in them, but without a field of an event."""
        head = self._encode_head(received, CHUNKED)
        part = encode_chunk(bytes(range(256)) * 100 + b"\n\n")
        await self._send_endless(responder, head, part)

    async def _long_chunk_extensions(self, received, responder):
        head = self._encode_head(received, CHUNKED)
        part = encode_chunk(b"x", b";" + b"e" * 60_000)
        await self._send_endless(responder, head, part)

    async def _one_byte_chunks(self, received, responder):
        head = self._encode_head(received, CHUNKED)
        await self._send_endless(responder, head, encode_chunk(b"x") * 1_000)

    async def _long_event_id(self, received, responder):
        data = b"id: " + b"1" * LONG_NUMBER_DIGITS + b"\ndata: x\n\n"
        head = self._encode_head(received, CHUNKED)
        await self._send_raw(responder, head + encode_chunk(data))
        await trio.sleep_forever()

    async def _gap_and_hang(self, received, responder):
        """Send two events of which the second doesn't follow the first, and no more."""
        data = encode_events(1, 1) + encode_events(3, 3)
        head = self._encode_head(received, CHUNKED)
        await self._send_raw(responder, head + encode_chunk(data))
        await trio.sleep_forever()

    async def _long_weights_version(self, received, responder):
        version = b": ".join((names.WEIGHT_VERSIONS, b"1" * LONG_NUMBER_DIGITS))
        head = self._encode_head(received, version + b"\r\n" + CHUNKED)
        data = encode_chunk(encode_events(1)) + b"0\r\n\r\n"
        await self._send_raw(responder, head + data)

    async def _long_length(self, received, responder):
        length = b"Content-Length: " + b"1" * LONG_NUMBER_DIGITS + b"\r\n"
        await self._send_endless(responder, self._encode_head(received, length), b"x")

    async def _announced_too_long(self, received, responder):
        """Announce a body beyond the limit and send nothing of it."""
        length = b"Content-Length: 100000000\r\n"
        await self._send_raw(responder, self._encode_head(received, length))
        await trio.sleep_forever()

    async def _endless_body(self, received, responder):
        head = self._encode_head(received, CHUNKED)
        await self._send_endless(responder, head, encode_chunk(b"x" * PART_BYTES))

    async def _hold_part(self, received, responder):
        """Send a part of an event or answer, then nothing more."""
        head = self._encode_head(received, CHUNKED)
        await self._send_raw(responder, head + encode_chunk(b"x" * HELD_BYTES))
        await trio.sleep_forever()

    async def _drip_event(self, received, responder):
        """Send an event byte by byte, without an end."""
        head = self._encode_head(received, CHUNKED)
        part = encode_chunk(b"x")
        await self._send_endless(responder, head, part, DRIP_INTERVAL_S)

    async def _drip_after_events(self, received, responder):
        """Send two events, then a further one byte by byte, without an end."""
        head = self._encode_head(received, CHUNKED) + encode_chunk(encode_events(1, 2))
        part = encode_chunk(b"x")
        await self._send_endless(responder, head, part, DRIP_INTERVAL_S)

    async def _stream_with_comments(self, received, responder):
        head = self._encode_head(received, CHUNKED)
        body = encode_chunk(STREAM_WITH_COMMENTS) + b"0\r\n\r\n"
        await self._send_raw(responder, head + body)

    async def _drip_comments(self, received, responder):
        head = self._encode_head(received, CHUNKED)
        part = encode_chunk(b": x\n\n")
        await self._send_endless(responder, head, part, DRIP_INTERVAL_S)

    async def _drip_body(self, received, responder):
        """Send a body of unknown length byte by byte."""
        head = self._encode_head(received, CHUNKED)
        part = encode_chunk(b"x")
        await self._send_endless(responder, head, part, DRIP_INTERVAL_S)

    async def _drip_announced_body(self, received, responder):
        """Send a body of a length that it can't reach in time."""
        head = self._encode_head(received, b"Content-Length: 1000000\r\n")
        await self._send_endless(responder, head, b"x", DRIP_INTERVAL_S)

    async def _slow_body(self, received, responder):
        """Send a body of known length in parts, for longer than the idle timeout."""
        parts = 10
        length = b"Content-Length: %d\r\n" % parts
        await self._send_raw(responder, self._encode_head(received, length))
        for _ in range(parts):
            await trio.sleep(0.25)
            await self._send_raw(responder, b"x")
        await trio.sleep_forever()

    async def _end_with_connection(self, received, responder, version=b"1.1"):
        """Send `raw_body` with neither a length nor chunks."""
        head = self._encode_head(received, version=version)
        await self._send_raw(responder, head + self.raw_body)
        if self.is_reset:
            # The gateway reads what was sent before the reset.
            await trio.sleep(0.05)
            set_reset_on_close(responder._stream.socket, True)
        raise ResponseAbortedError("end of the connection")

    async def _end_with_connection_1_0(self, received, responder):
        await self._end_with_connection(received, responder, b"1.0")

    async def _resume_with_connection(self, received, responder):
        """Send the rest of the stream, ended by the connection."""
        first = int(received.values_by_name.get(names.LAST_EVENT_ID, "0")) + 1
        data = self._encode_head(received) + encode_events(first)
        await self._send_raw(responder, data)
        raise ResponseAbortedError("end of the connection")
