"""Answers of a stand-in that are written byte by byte: endless or without framing."""

from functools import partialmethod

import trio

from vanillareach.gateway.connections import ResponseAbortedError
from vanillareach.gateway.sockets import set_reset_on_close

# A fast endless answer sends at most 8 MB/s for 8 s; it is silent from then on.
FAST_PIECE_BYTES = 262_144
FAST_INTERVAL_S = 1 / 32
FAST_PIECE_COUNT = 256
DRIP_INTERVAL_S = 0.1
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
# Each part is read before the next one, or a reset, arrives.
PART_INTERVAL_S = 0.05
UNIT_BY_FORM = {
    "head": b"X-Endless: " + b"x" * 51 + b"\r\n",
    "body": b"x" * 64,
    "stream": b"data: " + b"x" * 57 + b"\n",
    "interim": b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n",
}


class RawAnswers:
    """Part of a stand-in whose steps write past h11."""

    def _raw_head(self, received, content_type):
        headers = [
            *self._response_headers(received),
            (b"Content-Type", content_type),
            (b"Connection", b"close"),
        ]
        lines = [name + b": " + value + b"\r\n" for name, value in headers]
        return STATUS_LINE + b"".join(lines) + b"\r\n"

    def _start_of(self, form, received):
        if form == "interim":
            return b""
        if form == "head":
            return STATUS_LINE
        content_type = b"text/event-stream" if form == "stream" else b"text/plain"
        return self._raw_head(received, content_type)

    async def _endless(self, received, responder, form, is_fast):
        """Send bytes of a form until the sender closes the connection."""
        send, unit = responder._stream.send_all, UNIT_BY_FORM[form]
        try:
            await send(self._start_of(form, received))
            if is_fast:
                piece = unit * (FAST_PIECE_BYTES // len(unit))
                for _ in range(FAST_PIECE_COUNT):
                    await send(piece)
                    await trio.sleep(FAST_INTERVAL_S)
                await trio.sleep_forever()
            while True:
                await send(unit)
                await trio.sleep(DRIP_INTERVAL_S)
        except trio.BrokenResourceError as error:
            raise ResponseAbortedError(str(error)) from error

    async def _end_by_connection(
        self, received, responder, content_type, parts, ending
    ):
        """Send parts without a length or chunks, then close or reset the connection."""
        stream = responder._stream
        try:
            await stream.send_all(self._raw_head(received, content_type))
            for part in parts:
                await trio.sleep(PART_INTERVAL_S)
                await stream.send_all(part)
        except trio.BrokenResourceError as error:
            raise ResponseAbortedError(str(error)) from error
        await trio.sleep(PART_INTERVAL_S)
        if ending == "reset":
            set_reset_on_close(stream.socket, True)
        raise ResponseAbortedError(ending)

    async def _unframed(self, received, responder, ending="end"):
        """Send the body, or a half of it before a reset."""
        body = self.body_for(received)
        parts = [body[: len(body) // 2] if ending == "reset" else body]
        await self._end_by_connection(received, responder, b"text/plain", parts, ending)

    async def _unframed_stream(self, received, responder, ending="end"):
        """Send the events; unless the `ending` is "end", stop within one."""
        events = self.events_for(received)
        if ending != "end" and events:
            middle = len(events) // 2
            events = [*events[:middle], events[middle][:-4]]
        await self._end_by_connection(
            received, responder, b"text/event-stream", events, ending
        )

    _unframed_reset = partialmethod(_unframed, ending="reset")
    _unframed_stream_torn = partialmethod(_unframed_stream, ending="torn")
    _unframed_stream_reset = partialmethod(_unframed_stream, ending="reset")

    _endless_head_fast = partialmethod(_endless, form="head", is_fast=True)
    _endless_head_dripping = partialmethod(_endless, form="head", is_fast=False)
    _endless_body_fast = partialmethod(_endless, form="body", is_fast=True)
    _endless_body_dripping = partialmethod(_endless, form="body", is_fast=False)
    _endless_stream_fast = partialmethod(_endless, form="stream", is_fast=True)
    _endless_stream_dripping = partialmethod(_endless, form="stream", is_fast=False)
    _endless_interim_fast = partialmethod(_endless, form="interim", is_fast=True)
    _endless_interim_dripping = partialmethod(_endless, form="interim", is_fast=False)
