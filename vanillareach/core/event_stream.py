"""Complete events of a ``text/event-stream`` and their ids."""

import re

ID_LINE = re.compile(rb"^id:[ ]?(\d+)\s*$", re.MULTILINE)
# Length of the longest delimiter that `EVENT_END` matches. A carriage return before the
# first newline makes no difference to where the event ends.
EVENT_END_BYTES = 3
EVENT_END = re.compile(rb"\n\r?\n")


class EventSplitter:
    """Splits a stream into complete events and checks that their ids have no gap.

    The time that it takes grows linearly with the bytes fed.

    Parameters
    ----------
    last_id : int or None
        Id of the last event that was returned before, by an earlier attempt. Events up
        to it are dropped.

    Attributes
    ----------
    last_id : int or None
        Id of the last event that was returned.
    """

    __slots__ = ("_error", "_partial_event", "last_id")

    def __init__(self, last_id=None):
        self._partial_event = bytearray()
        self._error = None
        self.last_id = last_id

    def feed(self, data):
        """Return the events that `data` completes, as bytes.

        Events before a gap are returned first; the next call then raises.

        Raises
        ------
        EventGapError
            If the next event's id is greater than `last_id` + 1.
        """
        complete = []
        if self._error is None:
            try:
                self._split(data, complete)
            except EventGapError as error:
                self._error = error
        if self._error is not None and not complete:
            raise self._error
        return b"".join(complete)

    def _split(self, data, complete):
        """Add the events that `data` completes to `complete`."""
        buffer = self._partial_event
        # All but the end of what has come before was searched then.
        position = max(0, len(buffer) - EVENT_END_BYTES + 1)
        buffer += data
        start = 0
        while match := EVENT_END.search(buffer, position):
            position = match.end()
            event = bytes(buffer[start:position])
            start = position
            if self._is_new(event):
                complete.append(event)
        del buffer[:start]

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
        return self._error is None and not self._partial_event.strip()


def _id_of(event):
    match = ID_LINE.search(event)
    return int(match.group(1)) if match else None


class EventGapError(Exception):
    """A stream lacks an event."""
