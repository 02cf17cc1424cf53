"""Checks the heads of responses, for all clients, more strictly than h11 does.

h11 takes any three digits from 200 on for a status, joins folded lines, and passes on
control characters. See RFC 9110, sections 5.5 and 15, and RFC 9112, sections 4 and 5.2.
"""

import re

HEAD_END = re.compile(rb"\n\r?\n")
HEAD = re.compile(
    rb"HTTP/1\.[0-9] (?P<status>[1-5][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*)?"
    # Name, colon and value of each field.
    rb"(?:\r?\n[-!#$%&'*+.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*)*"
    rb"\r?\n\r?\n"
)
FIRST_FINAL_STATUS = 200
# Of a malformed head that is described.
MAX_DESCRIBED_BYTES = 80


class MalformedHeadError(ValueError):
    """Bytes received are no head of a response."""


class ResponseHeadChecker:
    """Checks the head of a response, and the informational ones before it.

    The caller limits how many bytes a head may have.
    """

    __slots__ = ("_has_final_head", "_unchecked")

    def __init__(self):
        self._has_final_head = False
        self._unchecked = bytearray()

    def feed(self, data):
        """Check received bytes; those after the final head may be anything.

        Raises
        ------
        MalformedHeadError
            If a head is complete and malformed.
        """
        if self._has_final_head:
            return
        # The end of a head may be cut by the end of a read.
        search_start = max(0, len(self._unchecked) - 2)
        self._unchecked += data
        while end := _find_head_end(self._unchecked, search_start):
            status = _check_head(self._unchecked[:end])
            if status >= FIRST_FINAL_STATUS:
                self._has_final_head = True
                self._unchecked.clear()
                return
            del self._unchecked[:end]
            search_start = 0


def _find_head_end(data, start):
    """Return the position after the blank line that ends a head; 0 without one."""
    match = HEAD_END.search(data, start)
    return match.end() if match else 0


def _check_head(head):
    """Return the status of a complete head."""
    match = HEAD.fullmatch(head)
    if match is None:
        beginning = bytes(head[:MAX_DESCRIBED_BYTES])
        raise MalformedHeadError(f"malformed head: {beginning!r}")
    return int(match["status"])
