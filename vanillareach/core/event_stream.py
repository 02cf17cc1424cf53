"""Complete events of a ``text/event-stream`` and their ids."""

import re

ID_LINE = re.compile(rb"^id:[ ]?(\d+)\s*$", re.MULTILINE)
# Length of the longest delimiter that `EVENT_END` matches.
EVENT_END_BYTES = 4
EVENT_END = re.compile(rb"\r?\n\r?\n")


class EventSplitter:
    """Splits a stream into complete events and checks that their ids have no gap.

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

    __slots__ = ("_partial_event", "last_id")

    def __init__(self, last_id=None):
        self._partial_event = b""
        self.last_id = last_id

    def feed(self, data):
        """Return the events that `data` completes, as bytes.

        Events before a gap are returned first; the next call then raises.

        Raises
        ------
        EventGapError
            If the next event's id is greater than `last_id` + 1.
        """
        search_start = max(0, len(self._partial_event) - EVENT_END_BYTES)
        buffered = self._partial_event + data
        complete, start = [], 0
        for match in EVENT_END.finditer(buffered, search_start):
            event = buffered[start : match.end()]
            event_id = _id_of(event)
            if self._is_gap(event_id):
                if not complete:
                    raise EventGapError(f"event {event_id} follows {self.last_id}")
                break
            start = match.end()
            if event_id is None or self.last_id is None or event_id > self.last_id:
                complete.append(event)
                self.last_id = self.last_id if event_id is None else event_id
        self._partial_event = buffered[start:]
        return b"".join(complete)

    @property
    def is_at_event_boundary(self):
        """Whether no event is incomplete."""
        return not self._partial_event.strip()

    def _is_gap(self, event_id):
        if event_id is None or self.last_id is None:
            return False
        return event_id > self.last_id + 1


def _id_of(event):
    match = ID_LINE.search(event)
    return int(match.group(1)) if match else None


class EventGapError(Exception):
    """A stream lacks an event."""
