"""Complete events of a ``text/event-stream`` and their ids."""

import re

ID_LINE = re.compile(rb"^id:[ ]?(\d+)\s*$", re.MULTILINE)
# Length of the longest delimiter that `EVENT_END` matches. A carriage return before the
# first newline makes no difference to where the event ends.
EVENT_END_BYTES = 3
EVENT_END = re.compile(rb"\n\r?\n")
# Start of a line that makes an event of the lines up to the next blank one.
FIELD = re.compile(rb"^(?:data|event|id|retry)(?=[:\r\n])", re.MULTILINE)
# Start of a line that is neither blank nor a comment.
CONTENT = re.compile(rb"^[^:\s]", re.MULTILINE)
# An event may be as large as an answer in one piece.
MAX_EVENT_BYTES = 4 * 1024 * 1024
# Comments and blank lines before an event. A comment a second, which keeps a connection
# open, takes some 20 KB in an hour.
MAX_COMMENT_BYTES = 64 * 1024
# Ids count the events of one stream; the largest 64-bit number has 19 digits.
MAX_ID_DIGITS = 19


class EventSplitter:
    """Splits a stream into complete events and checks that their ids have no gap.

    Lines without a field of an event, such as comments, are none; they are returned
    with the next event. The time that it takes grows linearly with the bytes fed.

    Parameters
    ----------
    last_id : int or None
        Id of the last event that was returned before, by an earlier attempt. Events up
        to it are dropped.
    max_event_bytes : int

    Attributes
    ----------
    last_id : int or None
        Id of the last event that was returned.
    """

    __slots__ = (
        "_block_start",
        "_error",
        "_max_event_bytes",
        "_partial_event",
        "last_id",
    )

    def __init__(self, last_id=None, max_event_bytes=MAX_EVENT_BYTES):
        self._max_event_bytes = max_event_bytes
        self._partial_event = bytearray()
        # Where the lines after the last blank one begin.
        self._block_start = 0
        self._error = None
        self.last_id = last_id

    def feed(self, data):
        """Return the events that `data` completes, as bytes.

        Events before an error are returned first; the next call and `check` then raise.

        Raises
        ------
        EventGapError
            If the next event's id is greater than `last_id` + 1.
        EventLimitError
            If the next event, its id or the comments before it are too long.
        """
        complete = []
        if self._error is None:
            try:
                self._split(data, complete)
            except EventStreamError as error:
                self._error = error
        if not complete:
            self.check()
        return b"".join(complete)

    def check(self):
        """Raise the error that has ended the stream, if one has; see `feed`."""
        if self._error is not None:
            raise self._error

    def _split(self, data, complete):
        """Add the events that `data` completes to `complete`."""
        buffer = self._partial_event
        # All but the end of what has come before was searched then.
        position = max(self._block_start, len(buffer) - EVENT_END_BYTES + 1)
        buffer += data
        start, block_start = 0, self._block_start
        while match := EVENT_END.search(buffer, position):
            position = match.end()
            has_field = FIELD.search(buffer, block_start, position)
            block_start = position
            if not has_field:
                continue
            self._check_size(position - start)
            event = bytes(buffer[start:position])
            start = position
            if self._is_new(event):
                complete.append(event)
        del buffer[:start]
        self._block_start = block_start - start
        self._check_size(len(buffer))
        if self._block_start > MAX_COMMENT_BYTES:
            raise EventLimitError(f"comments exceed {MAX_COMMENT_BYTES} bytes")

    def _check_size(self, size):
        if size > self._max_event_bytes:
            raise EventLimitError(f"event exceeds {self._max_event_bytes} bytes")

    def _is_new(self, event):
        """Record the id of an event and return whether it is to be returned."""
        event_id = _id_of(event)
        if event_id is None:
            return True
        if self.last_id is not None and event_id > self.last_id + 1:
            raise EventGapError(f"event {event_id} follows {self.last_id}")
        if self.last_id is not None and event_id <= self.last_id:
            return False
        self.last_id = event_id
        return True

    @property
    def is_at_event_boundary(self):
        """Whether no event is incomplete."""
        if self._error is not None:
            return False
        return CONTENT.search(self._partial_event) is None

    @property
    def remainder(self):
        """What has come after the last event, as bytes."""
        return bytes(self._partial_event)

    @property
    def buffered_bytes(self):
        """Number of bytes of the incomplete event."""
        return len(self._partial_event)


def _id_of(event):
    match = ID_LINE.search(event)
    if match is None:
        return None
    digits = match.group(1)
    if len(digits) > MAX_ID_DIGITS:
        raise EventLimitError(f"event id exceeds {MAX_ID_DIGITS} digits")
    return int(digits)


class EventStreamError(Exception):
    """A stream that can't be passed on any further."""


class EventGapError(EventStreamError):
    """A stream lacks an event."""


class EventLimitError(EventStreamError):
    """A stream exceeds a limit."""
