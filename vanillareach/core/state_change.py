"""Kinds of changes of an instance's state that its peers are told of."""

from enum import IntEnum


class ChangeKind(IntEnum):
    """What has changed; a message about a higher kind covers the lower ones."""

    # In-flight requests, and faults of endpoints.
    FLIGHTS = 1
    # The store has confirmed that configuration or endpoints are unchanged.
    CONFIRMATION = 2
    STATE = 3
