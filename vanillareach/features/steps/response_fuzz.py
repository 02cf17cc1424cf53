"""Steps about generated responses of endpoints, against a model of what was sent."""

from types import SimpleNamespace
from unittest import mock

import trio
from behave import then
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from vanillareach.endpoints.base import EndpointBrokenError
from vanillareach.gateway import upstream
from vanillareach.gateway.buffer_budget import BufferBudget
from vanillareach.gateway.relay import relay_events
from vanillareach.gateway.upstream import UpstreamRequest, open_upstream

CHECKED = settings(
    derandomize=True,
    max_examples=500,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
MAX_BODY_BYTES = 1024 * 1024
REQUEST = UpstreamRequest("127.0.0.1:1", b"POST", b"/", [], b"desk", b"{}")
INTERIM_HEADS = (
    b"",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 102 X\r\na: b\r\n\r\n",
)
HEADER_LINES = (
    b"",
    b"x-a: b\r\n",
    b"X-Empty:\r\n",
    b"a: 1\r\nA: 2\r\n",
    b"b:\t c \r\n",
)
EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
FRAMINGS = ("length", "chunks", "connection")
LINE_BYTES = st.binary(max_size=12).map(
    lambda data: data.replace(b"\r", b"r").replace(b"\n", b"n")
)


class PieceStream:
    """Stream of an endpoint that sends given pieces and then ends or resets.

    Attributes
    ----------
    is_closed : bool
        Whether the gateway has closed it.
    """

    def __init__(self, pieces, is_reset):
        self._pieces = list(pieces)
        self._is_reset = is_reset
        self.is_closed = False
        self.socket = SimpleNamespace(close=self._close)

    def _close(self):
        self.is_closed = True

    async def send_all(self, data):
        """Discard a part of the request."""
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes=None):
        """Return the next piece; empty at the end of the connection."""
        await trio.lowlevel.checkpoint()
        if self._pieces:
            return self._pieces.pop(0)
        if self._is_reset:
            raise trio.BrokenResourceError
        return b""


class RecordingResponder:
    """Responder that records what a caller gets."""

    def __init__(self):
        self.is_started = False
        self.is_finished = False
        self.body = b""

    async def start(self, status, headers, reason):
        """Record the start."""
        self.is_started = True

    async def send(self, data):
        """Record a part of the body."""
        self.body += data

    async def finish(self):
        """Record the end."""
        self.is_finished = True


class SilentObserver:
    """Observer that does nothing."""

    def on_events(self):
        """Ignore events."""

    def on_delivered(self):
        """Ignore the delivery."""

    def on_end(self):
        """Ignore the end."""


class SentResponse:
    """A generated response.

    Parameters
    ----------
    head : bytes
        Interim responses, status line and headers, without those of the framing.
    framing : {"length", "chunks", "connection"}
    body : bytes
    chunk_sizes, piece_sizes : list of int
        Sizes of the chunks and of the pieces in which the bytes arrive; the last one
        repeats.
    cut : int or None
        Bytes after which the connection ends; None for a whole response.
    is_reset : bool
    """

    def __init__(self, head, framing, body, chunk_sizes, piece_sizes, cut, is_reset):
        self.framing = framing
        self.is_reset = is_reset
        self._piece_sizes = piece_sizes
        parts = [(head + self._framing_headers(body) + b"\r\n", b"")]
        for chunk in split(body, chunk_sizes):
            parts += [(self._chunk_start(chunk), b"")] if framing == "chunks" else []
            parts += [(bytes([byte]), bytes([byte])) for byte in chunk]
            parts += [(b"\r\n", b"")] if framing == "chunks" else []
        parts += [(b"0\r\n\r\n", b"")] if framing == "chunks" else []
        whole = b"".join(raw for raw, _ in parts)
        size = len(whole) if cut is None else min(cut, len(whole))
        self.raw = whole[:size]
        self.is_whole = size == len(whole)
        self.has_head = size >= len(parts[0][0])
        self.sent_body, position = b"", 0
        for raw, content in parts:
            position += len(raw)
            if position <= size:
                self.sent_body += content

    def _framing_headers(self, body):
        if self.framing == "length":
            return b"Content-Length: %d\r\n" % len(body)
        return b"Transfer-Encoding: chunked\r\n" if self.framing == "chunks" else b""

    def _chunk_start(self, chunk):
        return b"%x\r\n" % len(chunk)

    @property
    def may_look_complete(self):
        """Whether the framing leaves no sign that the response was cut off."""
        if self.framing == "connection":
            return self.has_head and not self.is_reset
        return self.is_whole

    def open_stream(self):
        """Return a `PieceStream` of the response."""
        return PieceStream(split(self.raw, self._piece_sizes), self.is_reset)

    def __repr__(self):
        return f"SentResponse({self.raw!r}, reset={self.is_reset})"


def split(data, sizes):
    """Return pieces of `data` with the sizes, of which the last one repeats."""
    pieces, start, number = [], 0, 0
    while start < len(data):
        size = sizes[min(number, len(sizes) - 1)]
        pieces.append(data[start : start + size])
        start, number = start + size, number + 1
    return pieces


def heads():
    """Return a strategy for heads without the headers of a framing."""
    return st.tuples(
        st.sampled_from(INTERIM_HEADS),
        st.sampled_from((b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 200 \r\n")),
        st.sampled_from(HEADER_LINES),
    ).map(b"".join)


def responses(bodies):
    """Return a strategy for a `SentResponse` with one of the bodies."""
    sizes = st.lists(st.integers(1, 40), min_size=1, max_size=8)
    return st.builds(
        SentResponse,
        heads(),
        st.sampled_from(FRAMINGS),
        bodies,
        sizes,
        sizes,
        st.none() | st.integers(0, 400),
        st.booleans(),
    )


def event_lists():
    """Return a strategy for lists of events with ids from 1."""
    contents = st.lists(
        st.tuples(LINE_BYTES, st.sampled_from(EVENT_ENDS)), min_size=1, max_size=8
    )
    return contents.map(
        lambda pairs: [
            b"id: %d\ndata: %b%b" % (number, content, end)
            for number, (content, end) in enumerate(pairs, 1)
        ]
    )


def complete_prefix(events, sent_body):
    """Return the events that a body holds entirely, and whether it ends after one."""
    complete, position = [], 0
    for event in events:
        position += len(event)
        if position > len(sent_body):
            return complete, position - len(event) == len(sent_body)
        complete.append(event)
    return complete, True


async def relay(stream, last_event_id):
    """Relay a stream; return the responder and whether the response was broken."""
    responder = RecordingResponder()
    exchange = SimpleNamespace(last_event_id=last_event_id, has_events=False)

    async def connect(*arguments):
        return stream

    with mock.patch.object(upstream, "connect", connect):
        try:
            async with open_upstream(REQUEST, lambda: None) as response:
                share = BufferBudget().share()
                await relay_events(
                    exchange, response, responder, SilentObserver(), share
                )
        except EndpointBrokenError:
            return responder, True
    return responder, False


@then("each generated stream is relayed as it was sent")
def step_relay_streams(context):
    outcomes = set()
    cases = event_lists().flatmap(
        lambda events: st.tuples(
            st.just(events),
            responses(st.just(b"".join(events))),
            st.none() | st.integers(0, len(events)),
        )
    )

    @CHECKED
    @given(cases)
    def check(case):
        events, sent, last_event_id = case
        stream = sent.open_stream()
        responder, is_broken = trio.run(relay, stream, last_event_id)
        complete, is_at_boundary = complete_prefix(events, sent.sent_body)
        expected = b"".join(complete[last_event_id or 0 :])
        assert responder.body == expected, (sent, responder.body)
        may_finish = sent.may_look_complete and is_at_boundary
        assert responder.is_finished is may_finish, (sent, responder.is_finished)
        assert is_broken is not may_finish, (sent, is_broken)
        assert stream.is_closed
        outcomes.add((sent.framing, may_finish))

    check()
    assert len(outcomes) == 2 * len(FRAMINGS), outcomes


@then("each generated response is read as it was sent")
def step_read_responses(context):
    outcomes = set()

    async def read(stream):
        async def connect(*arguments):
            return stream

        with mock.patch.object(upstream, "connect", connect):
            try:
                async with open_upstream(REQUEST, lambda: None) as response:
                    return await response.read(MAX_BODY_BYTES)
            except EndpointBrokenError:
                return None

    @CHECKED
    @given(responses(st.binary(max_size=200)))
    def check(sent):
        stream = sent.open_stream()
        body = trio.run(read, stream)
        expected = sent.sent_body if sent.may_look_complete else None
        assert body == expected, (sent, body)
        assert stream.is_closed
        outcomes.add((sent.framing, body is None))

    check()
    assert len(outcomes) == 2 * len(FRAMINGS), outcomes


@then("no generated bytes that are no response are relayed")
def step_no_response(context):
    starts = st.sampled_from(
        (
            b"",
            b"\0",
            b"HTTP/2 200 OK\r\n\r\n",
            b"HTTP/1.1 2000 OK\r\n\r\n",
            b"HTTP/1.1 2x0 OK\r\n\r\n",
        )
    )

    @CHECKED
    @given(starts, st.binary(max_size=200), st.integers(1, 40), st.booleans())
    def check(start, data, piece_size, is_reset):
        raw = start + data.replace(b"HTTP/", b"") + b"id: 1\ndata: x\n\n"
        stream = PieceStream(split(raw, [piece_size]), is_reset)
        responder, is_broken = trio.run(relay, stream, None)
        assert is_broken, raw
        assert not responder.is_started, raw
        assert responder.body == b"", raw
        assert stream.is_closed

    check()
