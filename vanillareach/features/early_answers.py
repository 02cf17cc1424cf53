"""A server on loopback that answers before it has read the body of a request."""

import trio

from vanillareach.features.raw_server import answer_fields, read_on, receive_head
from vanillareach.features.users_platform.endpoint_faults import encode_chunk
from vanillareach.gateway.sockets import set_reset_on_close

# Events of a stream, so that callers of any route can get it.
BODY = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 7))
RESET_DELAY_S = 0.02
FRAMINGS = ("without a length", "with a length", "in chunks")


class EarlyAnswer:
    """What a server sends as soon as it has the head of a request.

    Parameters
    ----------
    framing : str
        One of `FRAMINGS`.
    part : {"part", "all"}
        How much of the body is sent.
    end : str
        What the server does then; key of `ENDS`.

    Attributes
    ----------
    body : bytes
    """

    def __init__(self, framing, part, end):
        assert framing in FRAMINGS, framing
        self.body = BODY
        self._framing = framing
        self._is_whole = part == "all"
        self._end = ENDS[end]

    async def serve(self, stream):
        """Answer one request on a connection."""
        head = await receive_head(stream)
        await stream.send_all(self._encode_answer(head))
        await self._end(stream)

    def _encode_answer(self, request_head):
        fields = answer_fields(request_head)
        data = self.body if self._is_whole else self.body[: len(self.body) // 2]
        if self._framing == "with a length":
            fields += b"Content-Length: %d\r\n" % len(self.body)
        elif self._framing == "in chunks":
            fields += b"Transfer-Encoding: chunked\r\n"
            data = encode_chunk(data) + (b"0\r\n\r\n" if self._is_whole else b"")
        return b"HTTP/1.1 200 OK\r\n%s\r\n%s" % (fields, data)


async def _reset(stream):
    set_reset_on_close(stream.socket, True)
    stream.socket.close()


async def _reset_later(stream):
    await trio.sleep(RESET_DELAY_S)
    await _reset(stream)


async def _end_and_reset(stream):
    await stream.send_eof()
    await _reset(stream)


async def _end_and_reset_later(stream):
    await stream.send_eof()
    await _reset_later(stream)


async def _stop_reading(stream):
    await trio.sleep_forever()


async def _end_and_stop_reading(stream):
    await stream.send_eof()
    await trio.sleep_forever()


async def _read_on_and_end(stream):
    await stream.send_eof()
    await read_on(stream)


ENDS = {
    "resets the connection": _reset,
    "resets the connection later": _reset_later,
    "resets the rest of the upload": _end_and_reset,
    "resets the rest of the upload later": _end_and_reset_later,
    "stops reading": _stop_reading,
    "reads on and ends": _read_on_and_end,
    "ends and stops reading": _end_and_stop_reading,
}
