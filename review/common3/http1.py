"""The parts of HTTP/1.1 that the stand-ins need."""

import asyncio

READ_BYTES = 64 * 1024
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 421: "Misdirected Request"}


class Message:
    """Head and body of a request or response.

    Attributes
    ----------
    start : list of str
        The three parts of the first line.
    headers : dict of str to str
        By name in lower case.
    body : bytes
    """

    def __init__(self, start, headers):
        self.start = start
        self.headers = headers
        self.body = b""

    @property
    def method(self):
        """Method of a request."""
        return self.start[0]

    @property
    def target(self):
        """Path of a request, with its query."""
        return self.start[1]

    @property
    def status(self):
        """Status of a response."""
        return int(self.start[1])


async def read_head(reader):
    """Return a `Message` without its body, or None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    pairs = [line.partition(":") for line in lines[1:] if line]
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    return Message(lines[0].split(" ", 2), headers)


async def read_body(reader, headers, on_data=None, ends_by_close=False):
    """Return a body and whether it is complete.

    Parameters
    ----------
    reader : asyncio.StreamReader
    headers : dict of str to str
    on_data : callable or None
        Called with each part that arrives.
    ends_by_close : bool
        Whether a body without a length ends with its connection.
    """
    parts = []
    try:
        async for data in _body_parts(reader, headers, ends_by_close):
            parts.append(data)
            if on_data is not None:
                on_data(data)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return b"".join(parts), False
    return b"".join(parts), True


async def _body_parts(reader, headers, ends_by_close):
    """Yield the parts of a body as they arrive."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return
            yield data[:-2]
    if "content-length" in headers:
        left = int(headers["content-length"])
        while left:
            data = await reader.read(min(left, READ_BYTES))
            if not data:
                raise asyncio.IncompleteReadError(b"", left)
            left -= len(data)
            yield data
        return
    while ends_by_close and (data := await reader.read(READ_BYTES)):
        yield data


def encode_response(status, headers, body=b""):
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def encode_request(method, target, headers, body=None):
    """Return a request; one with a body gets its length."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + (body or b"")
