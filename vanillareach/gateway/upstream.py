"""One request on one new connection to an endpoint.

Each attempt has a connection of its own, so that leftover bytes of an earlier response
can't be taken for this one's, and a stale connection can't leave it uncertain whether a
request was run. A faulty endpoint may still write an earlier response first, which the
caller of this module tells by its headers. A response may arrive before the request
body has been read, so both directions run concurrently.
"""

from contextlib import asynccontextmanager

import h11

from vanillareach.endpoints.base import (
    EndpointBrokenError,
    EndpointConnectionLostError,
    EndpointUnreachableError,
)
from vanillareach.gateway.request_sender import RequestSender
from vanillareach.gateway.response_reader import (
    MAX_RESPONSE_HEAD_BYTES,
    ResponseReader,
)
from vanillareach.gateway.sockets import (
    ENDPOINT_UNACKED_TIMEOUT_MS,
    ENDPOINT_UNREAD_TIMEOUT_MS,
    connect,
)
from vanillareach.utils import open_background_nursery

# Bodies up to this size fit into the socket buffer and are sent without a task of their
# own.
MAX_INLINE_BODY_BYTES = 8_192
STATUSES_WITHOUT_BODY = (204, 304)
STREAM_STATUS = 200
# Responses to other requests that are skipped, and the size of their bodies.
MAX_FOREIGN_RESPONSES = 4
MAX_FOREIGN_BODY_BYTES = 64 * 1024
# Without packet loss a connection takes milliseconds. The kernel retransmits a lost
# packet only after 1 s; another endpoint is tried before that.
CONNECT_TIMEOUT_MS = 400.0


class UpstreamRequest:
    """A request to an endpoint.

    Parameters
    ----------
    address : str
    method, target : bytes
    headers : list of (bytes, bytes)
        Without framing headers.
    host : bytes
    body : bytes or None
        None for a request without a body.
    """

    __slots__ = ("address", "body", "headers", "host", "method", "target")

    def __init__(self, address, method, target, headers, host, body):
        self.address = address
        self.method = method
        self.target = target
        self.headers = headers
        self.host = host
        self.body = body


class UpstreamResponse:
    """An endpoint's response as it arrives.

    Parameters
    ----------
    head : h11.Response
    reader : ResponseReader
    method : bytes
        Of the request.

    Attributes
    ----------
    status : int
    reason : bytes
    headers : list of (bytes, bytes)
        Names in the endpoint's spelling.
    content_length : int or None
        Announced length of the body that follows.
    is_ended_by_close : bool
        Whether only the end of the connection tells where the body ends.
    is_event_stream : bool
        Whether it has the status and framing of a stream, whose end is sent.
    next_data : callable
        See `ResponseReader.next_data`.
    """

    __slots__ = (
        "content_length",
        "headers",
        "is_ended_by_close",
        "is_event_stream",
        "next_data",
        "reason",
        "status",
    )

    def __init__(self, head, reader, method):
        self.status = head.status_code
        self.reason = bytes(head.reason)
        self.headers = [(bytes(n), bytes(v)) for n, v in head.headers.raw_items()]
        # h11 has checked that the value is a number.
        lengths = [int(v) for n, v in head.headers if n == b"content-length"]
        has_body = method != b"HEAD" and self.status not in STATUSES_WITHOUT_BODY
        self.content_length = lengths[0] if lengths and has_body else None
        names = [name for name, _ in head.headers]
        is_chunked = b"transfer-encoding" in names
        is_framed = is_chunked or b"content-length" in names
        self.is_ended_by_close = has_body and not is_framed
        self.is_event_stream = self.status == STREAM_STATUS and is_chunked
        self.next_data = reader.next_data

    async def read(self, max_bytes):
        """Return the complete body.

        Raises
        ------
        EndpointBrokenError
            If it is aborted or longer than `max_bytes`.
        """
        parts, size = [], 0
        while (data := await self.next_data()) is not None:
            parts.append(data)
            size += len(data)
            if size > max_bytes:
                raise EndpointBrokenError(f"response body exceeds {max_bytes} bytes")
        return b"".join(parts)


def _is_never_foreign(response):
    return False


@asynccontextmanager
async def open_upstream(request, on_connected, is_foreign=_is_never_foreign):
    """Send a request and yield its `UpstreamResponse` once its headers have arrived.

    Parameters
    ----------
    request : UpstreamRequest
    on_connected : callable
        Called before the first byte is sent.
    is_foreign : callable
        Whether an `UpstreamResponse` is to be skipped, since it is one to another
        request and the one to this request may follow.

    Raises
    ------
    EndpointUnreachableError
        If no connection was established; nothing was sent.
    EndpointBrokenError
        If the exchange is aborted.
    """
    body = request.body or b""
    is_inline = len(body) <= MAX_INLINE_BODY_BYTES
    unacked_timeout_ms = (
        ENDPOINT_UNACKED_TIMEOUT_MS if is_inline else ENDPOINT_UNREAD_TIMEOUT_MS
    )
    try:
        stream = await connect(request.address, CONNECT_TIMEOUT_MS, unacked_timeout_ms)
    except OSError as error:
        raise EndpointUnreachableError(f"{request.address}: {error}") from error
    try:
        connection = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEAD_BYTES
        )
        on_connected()
        sender = RequestSender(stream)
        head = _encode_head(connection, request)
        if is_inline:
            await sender.send(head + _encode_body(connection, body))
            yield await _read_response(connection, stream, sender, request, is_foreign)
            return
        # At the end of the block the rest of the request body is no longer needed.
        async with open_background_nursery() as nursery:
            connection.send_with_data_passthrough(h11.Data(data=body))
            connection.send(h11.EndOfMessage())
            # A body with a length is sent as it is, so that it is held only once.
            nursery.start_soon(sender.send, head, body)
            yield await _read_response(connection, stream, sender, request, is_foreign)
    finally:
        # Closes at once: an aborted exchange must not wait for the endpoint.
        stream.socket.close()


async def _read_response(connection, stream, sender, request, is_foreign):
    """Return the first `UpstreamResponse` that isn't foreign."""
    for _ in range(MAX_FOREIGN_RESPONSES + 1):
        reader = ResponseReader(connection, stream, sender)
        response = UpstreamResponse(await reader.read_head(), reader, request.method)
        if not is_foreign(response):
            return response
        await response.read(MAX_FOREIGN_BODY_BYTES)
        connection = _next_cycle(connection, request)
    raise EndpointBrokenError(
        f"more than {MAX_FOREIGN_RESPONSES} responses to other requests"
    )


def _next_cycle(connection, request):
    """Return a connection that reads another response to a request sent already."""
    data, is_closed = connection.trailing_data
    if connection.their_state is not h11.DONE:
        raise EndpointConnectionLostError("connection closed after another's response")
    following = h11.Connection(
        h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEAD_BYTES
    )
    following.send(
        h11.Request(
            method=request.method,
            target=request.target,
            headers=[(b"Host", request.host)],
        )
    )
    following.send(h11.EndOfMessage())
    if data:
        following.receive_data(data)
    if is_closed:
        following.receive_data(b"")
    return following


def _encode_head(connection, request):
    headers = [(b"Host", request.host), *request.headers]
    if request.body is not None:
        headers.append((b"Content-Length", str(len(request.body)).encode()))
    return connection.send(
        h11.Request(method=request.method, target=request.target, headers=headers)
    )


def _encode_body(connection, body):
    data = connection.send(h11.Data(data=body)) if body else b""
    return data + connection.send(h11.EndOfMessage())
