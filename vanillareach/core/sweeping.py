"""Detection of requests that an engine still runs after their deadline."""

# Time after its deadline in which a request may still end by itself.
EXPIRY_GRACE_MS = 1000


def expired_requests(requests, wall_ms):
    """Return the requests whose deadline plus a grace period has passed.

    Parameters
    ----------
    requests : list of ResidentRequest
        Requests that occupy memory of an engine, each with its deadline.
    wall_ms : int
        Current wall time.
    """
    return [
        request
        for request in requests
        if request.deadline_ms and request.deadline_ms + EXPIRY_GRACE_MS < wall_ms
    ]
