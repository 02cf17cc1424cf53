"""ASGI helpers shared by the entry and the stand-ins."""

from urllib.parse import parse_qs, unquote

import msgspec

JSON_CONTENT_TYPE = b"application/json"
MAX_BODY_BYTES = 16 * 1024 * 1024


class BodyTooLargeError(Exception):
    """A request body exceeds the size limit."""


class CallerDisconnectedError(Exception):
    """The caller disconnected before the request body was complete."""


class HttpRequest:
    """A received HTTP request.

    Parameters
    ----------
    scope : dict
        ASGI scope of type ``http``.
    receive : callable
        ASGI receive channel.
    """

    __slots__ = ("_receive", "headers_by_name", "method", "path", "query", "raw_path")

    def __init__(self, scope, receive):
        self.method = scope["method"]
        self.raw_path = scope["path"]
        self.path = unquote(scope["path"])
        self.query = scope.get("query_string", b"").decode("latin-1")
        self.headers_by_name = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in scope["headers"]
        }
        self._receive = receive

    def header(self, name, default=None):
        """Return the value of a header; `name` is in lower case."""
        return self.headers_by_name.get(name, default)

    def query_value(self, name, default=None):
        """Return the first value of one query parameter."""
        return parse_qs(self.query).get(name, [default])[0]

    async def body(self, limit=MAX_BODY_BYTES):
        """Read the complete body.

        Raises
        ------
        BodyTooLargeError
            If it exceeds `limit` bytes.
        CallerDisconnectedError
            If the caller disconnects before the end of the body.
        """
        declared = self.header("content-length", "0")
        if declared.isdigit() and int(declared) > limit:
            raise BodyTooLargeError(f"body exceeds {limit} bytes")
        chunks = []
        size = 0
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise CallerDisconnectedError
            chunk = message.get("body", b"")
            size += len(chunk)
            if size > limit:
                raise BodyTooLargeError(f"body exceeds {limit} bytes")
            chunks.append(chunk)
            if not message.get("more_body"):
                return b"".join(chunks)

    async def wait_for_disconnect(self):
        """Return once the caller has closed the connection."""
        while (await self._receive())["type"] != "http.disconnect":
            pass


async def start_response(send, status, headers):
    """Send the status and headers of a response."""
    await send({"type": "http.response.start", "status": status, "headers": headers})


async def send_chunk(send, body, more=True):
    """Send one chunk of a response body."""
    await send({"type": "http.response.body", "body": body, "more_body": more})


async def send_bytes(send, status, body, content_type=JSON_CONTENT_TYPE, headers=()):
    """Send a complete response."""
    response_headers = [
        (b"content-type", content_type),
        (b"content-length", str(len(body)).encode()),
        *headers,
    ]
    await start_response(send, status, response_headers)
    await send_chunk(send, body, more=False)


async def send_json(send, status, document, headers=()):
    """Send a complete response encoded as JSON."""
    await send_bytes(send, status, msgspec.json.encode(document), headers=headers)


async def answer_lifespan(receive, send):
    """Acknowledge the server's lifespan events.

    Start and stop are handled outside of the ASGI application.
    """
    while True:
        message = await receive()
        if message["type"] == "lifespan.startup":
            await send({"type": "lifespan.startup.complete"})
        elif message["type"] == "lifespan.shutdown":
            await send({"type": "lifespan.shutdown.complete"})
            return
