"""One request on one new connection to an endpoint.

Each attempt has a connection of its own: nothing that an earlier answer left behind can
be taken for this one's, and a connection that went stale can't leave a request in
doubt. An answer may come before the request's body has been read, so both directions
run at once.
"""

from contextlib import asynccontextmanager

import h11
import trio

from vanillareach.endpoints.base import EndpointBrokenError, EndpointUnreachableError
from vanillareach.gateway.sockets import connect

RECEIVE_BUFFER_BYTES = 65_536
# Bodies up to this size fit the socket's buffer and need no task of their own.
MAX_INLINE_BODY_BYTES = 8_192
MAX_RESPONSE_HEADER_BYTES = 65_536
# A link without loss answers in milliseconds; a lost packet is sent again after 1 s.
CONNECT_TIMEOUT_MS = 400.0


class UpstreamRequest:
    """What goes to an endpoint.

    Parameters
    ----------
    address : str
    method, target : bytes
    headers : list of (bytes, bytes)
        Without framing.
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
    """An answer as it arrives.

    Attributes
    ----------
    status : int
    reason : bytes
    headers : list of (bytes, bytes)
        Names as the endpoint wrote them.
    """

    __slots__ = ("_connection", "_stream", "headers", "reason", "status")

    def __init__(self, connection, stream, head):
        self._connection = connection
        self._stream = stream
        self.status = head.status_code
        self.reason = bytes(head.reason)
        self.headers = [(bytes(n), bytes(v)) for n, v in head.headers.raw_items()]

    async def next_data(self):
        """Return the next bytes of the body, or None after a complete one.

        Raises
        ------
        EndpointBrokenError
            If the answer breaks off or is malformed.
        """
        event = await next_event(self._connection, self._stream)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise EndpointBrokenError(f"unexpected {type(event).__name__}")

    async def read(self, max_bytes):
        """Return the whole body.

        Raises
        ------
        EndpointBrokenError
            If it breaks off or is longer than `max_bytes`.
        """
        parts, size = [], 0
        while (data := await self.next_data()) is not None:
            parts.append(data)
            size += len(data)
            if size > max_bytes:
                raise EndpointBrokenError("the answer is too long to be held")
        return b"".join(parts)


async def next_event(connection, stream):
    """Return the next h11 event of a connection to an endpoint."""
    while True:
        try:
            event = connection.next_event()
        except h11.RemoteProtocolError as error:
            raise EndpointBrokenError(f"malformed answer: {error}") from error
        if event is h11.NEED_DATA:
            try:
                connection.receive_data(await stream.receive_some(RECEIVE_BUFFER_BYTES))
            except trio.BrokenResourceError as error:
                raise EndpointBrokenError("connection reset") from error
            continue
        if isinstance(event, h11.InformationalResponse):
            continue
        if isinstance(event, h11.ConnectionClosed):
            raise EndpointBrokenError("connection closed")
        return event


@asynccontextmanager
async def open_upstream(request, on_connected):
    """Send a request and yield its `UpstreamResponse` once the head has arrived.

    Parameters
    ----------
    request : UpstreamRequest
    on_connected : callable
        Called when bytes may leave from now on.

    Raises
    ------
    EndpointUnreachableError
        If no connection was made; no byte left.
    EndpointBrokenError
        If the exchange breaks off.
    """
    try:
        stream = await connect(request.address, CONNECT_TIMEOUT_MS)
    except OSError as error:
        raise EndpointUnreachableError(f"{request.address}: {error}") from error
    try:
        connection = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEADER_BYTES
        )
        on_connected()
        body = request.body or b""
        head = _encode_head(connection, request)
        if len(body) <= MAX_INLINE_BODY_BYTES:
            await _send(stream, head + _encode_body(connection, body))
            yield await _read_head(connection, stream)
            return
        failure = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_send, stream, head + _encode_body(connection, body))
            try:
                yield await _read_head(connection, stream)
            except Exception as error:
                # Raised outside the nursery, which would wrap it in a group.
                failure = error
            # What is left of the body has no reader any more.
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure
    finally:
        # An aborted exchange must not wait for the endpoint.
        stream.socket.close()


async def _read_head(connection, stream):
    head = await next_event(connection, stream)
    if not isinstance(head, h11.Response):
        raise EndpointBrokenError(f"unexpected {type(head).__name__}")
    return UpstreamResponse(connection, stream, head)


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


async def _send(stream, data):
    try:
        await stream.send_all(data)
    except trio.BrokenResourceError:
        # The endpoint may have answered before it closed; reading tells.
        return
