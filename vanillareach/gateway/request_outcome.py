"""How a request ended, as it is counted."""

from typing import NamedTuple


class RequestOutcome(NamedTuple):
    """What the response tells its caller.

    Attributes
    ----------
    name : str
        "done", "failed" by an error response of an endpoint, "not_run", "unknown", or
        "aborted" if the caller wasn't given a complete response.
    reason : str
        Why it isn't "done".
    """

    name: str = "done"
    reason: str = ""
