"""Whole events of a ``text/event-stream`` and their ids."""

import re

ID_LINE = re.compile(rb"^id:[ ]?(\d+)\s*$", re.MULTILINE)
EVENT_END = re.compile(rb"\r?\n\r?\n")


class EventSplitter:
    """Cuts a stream into whole events and keeps their order over several runs.

    Attributes
    ----------
    last_id : int or None
        Id of the last whole event that was returned.
    """

    __slots__ = ("_partial", "last_id")

    def __init__(self, last_id=None):
        self._partial = b""
        self.last_id = last_id

    def feed(self, data):
        """Return the whole events that `data` completes, as bytes.

        Raises
        ------
        EventGapError
            If an event between the last one and the next is missing.
        """
        buffered = self._partial + data
        whole, start = [], 0
        for match in EVENT_END.finditer(buffered):
            event = buffered[start : match.end()]
            start = match.end()
            if self._is_next(event):
                whole.append(event)
        self._partial = buffered[start:]
        return b"".join(whole)

    def drop_partial(self):
        """Forget the beginning of an event whose stream broke off."""
        self._partial = b""

    @property
    def is_between_events(self):
        """Whether no event is incomplete."""
        return not self._partial.strip()

    def take_rest(self):
        """Return and forget what follows the last whole event."""
        rest, self._partial = self._partial, b""
        return rest

    def _is_next(self, event):
        match = ID_LINE.search(event)
        if match is None:
            return True
        event_id = int(match.group(1))
        if self.last_id is not None:
            if event_id <= self.last_id:
                return False
            if event_id > self.last_id + 1:
                raise EventGapError(f"event {event_id} follows {self.last_id}")
        self.last_id = event_id
        return True


class EventGapError(Exception):
    """A stream lacks an event."""
