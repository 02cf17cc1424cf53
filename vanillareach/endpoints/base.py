"""Port for calls to endpoints, and its errors."""

from abc import ABC, abstractmethod


class EndpointError(Exception):
    """Base class of errors of calls to endpoints."""


class EndpointUnreachableError(EndpointError):
    """No connection was established, so the endpoint received nothing."""


class EndpointBrokenError(EndpointError):
    """The call failed or timed out after parts of it may have been sent."""


class EndpointConnectionLostError(EndpointBrokenError):
    """The connection was reset or closed before the response was complete."""


class EndpointLimitError(EndpointBrokenError):
    """The response exceeded a limit of its size or time and was broken off."""


class EndpointResponse:
    """Status and headers of an endpoint's response, and an iterator over its body.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list of tuple of bytes
        End-to-end headers, which may be forwarded.
    chunks : async iterator of bytes
        Body as it arrives. If it is cut off, the context manager that yielded the
        response converts the error to `EndpointBrokenError`.
    """

    __slots__ = ("chunks", "headers", "status")

    def __init__(self, status, headers, chunks):
        self.status = status
        self.headers = headers
        self.chunks = chunks

    async def read(self, max_bytes):
        """Read the entire body.

        Raises
        ------
        EndpointLimitError
            If it is longer than `max_bytes`.
        """
        body = bytearray()
        async for chunk in self.chunks:
            body += chunk
            if len(body) > max_bytes:
                raise EndpointLimitError(f"response body exceeds {max_bytes} bytes")
        return bytes(body)


class EndpointCall:
    """One attempt of a request at one endpoint.

    Parameters
    ----------
    method : str
    address : str
        ``host:port``.
    path : str
        Path, including the query.
    headers : list of tuple of bytes
    body : bytes
    gap_limit_ms : float
        Idle timeout while waiting for the response headers or between chunks.
    can_reuse_connection : bool
        Whether the call may use a kept-alive connection. A caller's request gets a new
        one: an answer that arrives late on a kept-alive one can't be told from its own,
        and if that turns out to be closed, it is unknown whether the request ran.
    """

    __slots__ = (
        "address",
        "body",
        "gap_limit_ms",
        "headers",
        "can_reuse_connection",
        "method",
        "path",
    )

    def __init__(
        self,
        method,
        address,
        path,
        headers,
        body,
        gap_limit_ms,
        can_reuse_connection=False,
    ):
        self.method = method
        self.address = address
        self.path = path
        self.headers = headers
        self.body = body
        self.gap_limit_ms = gap_limit_ms
        self.can_reuse_connection = can_reuse_connection


class EndpointPort(ABC):
    """Makes calls to endpoints."""

    @abstractmethod
    def open(self, call):
        """Return an async context manager that yields an `EndpointResponse`.

        Raises
        ------
        EndpointUnreachableError
            If no connection was established.
        EndpointBrokenError
            If the attempt failed after that.
        """
