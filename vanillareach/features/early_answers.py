"""A server on loopback that answers before it has read the body of a request."""

import trio

from vanillareach.features.users_platform.endpoint_faults import encode_chunk
from vanillareach.gateway.sockets import set_reset_on_close

# Events of a stream, so that callers of any route can get it.
BODY = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 7))
RESET_DELAY_S = 0.02
RECEIVE_BYTES = 65_536
HEAD_END = b"\r\n\r\n"
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
        head = b""
        while HEAD_END not in head:
            head += await stream.receive_some(RECEIVE_BYTES)
        await stream.send_all(self._encode_answer(head))
        await self._end(stream)

    def _encode_answer(self, request_head):
        fields = [b"Vanillareach-Response-Signature: signed\r\n"]
        for line in request_head.split(b"\r\n"):
            if line.lower().startswith(b"vanillareach-attempt-id:"):
                fields.append(line + b"\r\n")
        data = self.body if self._is_whole else self.body[: len(self.body) // 2]
        if self._framing == "with a length":
            fields.append(b"Content-Length: %d\r\n" % len(self.body))
        elif self._framing == "in chunks":
            fields.append(b"Transfer-Encoding: chunked\r\n")
            data = encode_chunk(data) + (b"0\r\n\r\n" if self._is_whole else b"")
        return b"HTTP/1.1 200 OK\r\n%s\r\n%s" % (b"".join(fields), data)


async def _reset(stream):
    set_reset_on_close(stream.socket, True)
    stream.socket.close()


async def _reset_later(stream):
    await trio.sleep(RESET_DELAY_S)
    await _reset(stream)


async def _end_and_reset(stream):
    await stream.send_eof()
    await _reset_later(stream)


async def _stop_reading(stream):
    await trio.sleep_forever()


async def _end_and_stop_reading(stream):
    await stream.send_eof()
    await trio.sleep_forever()


async def _read_on_and_end(stream):
    await stream.send_eof()
    while await stream.receive_some(RECEIVE_BYTES):
        pass


ENDS = {
    "resets the connection": _reset,
    "resets the connection later": _reset_later,
    "resets the rest of the upload": _end_and_reset,
    "stops reading": _stop_reading,
    "reads on and ends": _read_on_and_end,
    "ends and stops reading": _end_and_stop_reading,
}
