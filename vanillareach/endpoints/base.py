"""Ports to endpoints and the errors of this layer."""

from abc import ABC, abstractmethod


class EndpointError(Exception):
    """Base of errors of this layer."""


class EndpointUnreachableError(EndpointError):
    """No connection was made, so no byte of the request can have arrived."""


class EndpointBrokenError(EndpointError):
    """The connection broke or fell silent after bytes may have left."""


class EndpointResponse:
    """Head of an endpoint's answer and the iterator over its body.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list of tuple of bytes
        Headers fit to be passed on.
    chunks : async iterator of bytes
        Body as it arrives. When it breaks off, the context manager that yielded
        the response turns the error to `EndpointBrokenError`.
    """

    __slots__ = ("chunks", "headers", "status")

    def __init__(self, status, headers, chunks):
        self.status = status
        self.headers = headers
        self.chunks = chunks

    async def read(self):
        """Return the whole body."""
        return b"".join([chunk async for chunk in self.chunks])


class EndpointCall:
    """One attempt to be made at one endpoint.

    Parameters
    ----------
    method : str
    address : str
        ``host:port``.
    path : str
        Path with query.
    headers : list of tuple of bytes
    body : bytes
    gap_limit_ms : float
        Longest silence allowed while waiting for the head or between chunks.
    can_reuse_connection : bool
        Whether the call may share a kept-alive connection. A call that must not run
        twice gets a fresh one, so that a stale connection cannot make it uncertain.
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
        can_reuse_connection=True,
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
            If no connection was made.
        EndpointBrokenError
            If the attempt broke off later.
        """
