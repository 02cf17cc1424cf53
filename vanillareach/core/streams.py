"""Progress of one streamed response over several attempts.

Server-sent events are relayed as bytes, and only complete ones, so that a broken
attempt can be continued at an exact token. Events are parsed only after an attempt
broke.
"""

import msgspec

EVENT_END = b"\n\n"
DONE_EVENT = b"data: [DONE]\n\n"
# An event holds one token; with its alternatives and their log probabilities that is
# some kilobytes.
MAX_EVENT_BYTES = 1024 * 1024
_DATA = b"data: "


class EventTooLongError(Exception):
    """An event is longer than `MAX_EVENT_BYTES`."""


class StreamDelta(msgspec.Struct):
    """Text of one chat event."""

    content: str | None = None


class StreamChoice(msgspec.Struct):
    """The only choice of one event."""

    text: str | None = None
    delta: StreamDelta | None = None
    finish_reason: str | None = None


class StreamEvent(msgspec.Struct):
    """Fields of a completions event that are parsed after an attempt broke."""

    choices: list[StreamChoice] = []
    usage: dict | None = None


class EventBuffer:
    """Complete events of one response; an incomplete one is held back."""

    __slots__ = ("_partial_event",)

    def __init__(self):
        self._partial_event = bytearray()

    def feed(self, chunk):
        """Add bytes as they arrived and return the events that are complete.

        Each byte is searched once, however small the pieces in which an event arrives.

        Returns
        -------
        bytes
            Complete events; empty while the next one is incomplete.

        Raises
        ------
        EventTooLongError
            If more than `MAX_EVENT_BYTES` arrived without the end of an event.
        """
        end = chunk.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            # The end of an event may be cut in two.
            is_cut_end = chunk.startswith(b"\n") and self._partial_event.endswith(b"\n")
            end = 1 if is_cut_end else 0
        if not end:
            self._partial_event += chunk
            if len(self._partial_event) > MAX_EVENT_BYTES:
                raise EventTooLongError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
            return b""
        events = chunk if end == len(chunk) else chunk[:end]
        if self._partial_event:
            events = bytes(self._partial_event) + events
        self._partial_event = bytearray(chunk[end:])
        return events


class StreamProgress:
    """The events of a streamed response that were relayed to the caller.

    Attributes
    ----------
    done : bool
        Whether the final event was relayed.
    size : int
        Bytes of the relayed events.
    """

    __slots__ = ("_events", "_relayed_chunks", "done", "size")

    def __init__(self):
        self._events = EventBuffer()
        self._relayed_chunks = []
        self.done = False
        self.size = 0

    @property
    def has_relayed_event(self):
        """Whether any event was relayed."""
        return bool(self._relayed_chunks)

    def feed(self, chunk):
        """Record the events that `chunk` completes, of a response in one piece."""
        events = self._events.feed(chunk)
        if events:
            self.record(events)

    def record(self, events):
        """Record complete events, as `EventBuffer` returns them, as relayed."""
        self._relayed_chunks.append(events)
        self.size += len(events)
        if events.endswith(DONE_EVENT):
            self.done = True

    def position(self):
        """Return the `StreamPosition` after all relayed events."""
        position = StreamPosition()
        for data in self._relayed_chunks:
            for event in data.split(EVENT_END):
                if event.startswith(_DATA):
                    position.count_event(event[len(_DATA) :])
        return position


class StreamPosition:
    """Exact position in a response: number and text of the relayed tokens.

    Attributes
    ----------
    tokens : int
    text_parts : list of str
        Texts of the events, in order.
    finished : bool
        Whether an event with a finish reason was relayed.
    has_usage : bool
        Whether an event with the token usage was relayed.
    """

    __slots__ = ("finished", "has_usage", "text_parts", "tokens")

    def __init__(self):
        self.tokens = 0
        self.text_parts = []
        self.finished = False
        self.has_usage = False

    @property
    def text(self):
        """Text of the relayed tokens."""
        return "".join(self.text_parts)

    def count_event(self, payload):
        """Count the tokens of one event and add its text."""
        if payload == b"[DONE]":
            return
        event = msgspec.json.decode(payload, type=StreamEvent)
        self.has_usage = self.has_usage or event.usage is not None
        for choice in event.choices:
            self.tokens += 1
            delta = choice.delta.content if choice.delta else None
            self.text_parts.append(choice.text or delta or "")
            self.finished = self.finished or choice.finish_reason is not None


def corrected_usage(data, position):
    """Return events of a continuation with the token usage of the complete response.

    The prompt of a continuation includes the tokens already relayed, so they are moved
    from the prompt's count to the completion's.

    Parameters
    ----------
    data : bytes
        Complete events.
    position : StreamPosition
        Position at which the continuation started.
    """
    if b'"usage"' not in data:
        return data
    events = []
    for event in data.split(EVENT_END):
        if event.startswith(_DATA) and b'"usage"' in event:
            document = msgspec.json.decode(event[len(_DATA) :])
            usage = document.get("usage")
            if usage:
                usage["prompt_tokens"] -= position.tokens
                usage["completion_tokens"] += position.tokens
            event = _DATA + msgspec.json.encode(document)
        events.append(event)
    return EVENT_END.join(events)
