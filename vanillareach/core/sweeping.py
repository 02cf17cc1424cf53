"""Which of the requests that an engine holds are held for nobody."""

EXPIRY_GRACE_MS = 1000


def expired_requests(requests, wall_ms):
    """Return the held requests whose deadline plus a grace has passed.

    Parameters
    ----------
    requests : list of ResidentRequest
        Requests that occupy memory, each tagged with its deadline.
    wall_ms : int
        Present wall time.
    """
    return [
        request
        for request in requests
        if request.deadline_ms and request.deadline_ms + EXPIRY_GRACE_MS < wall_ms
    ]
