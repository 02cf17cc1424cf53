"""A small HTTP/1.1 server and client over asyncio streams."""

import asyncio

MAX_HEAD_BYTES = 65_536
READ_BYTES = 65_536


class Request:
    """One request as a server received it.

    Attributes
    ----------
    method, target : str
    headers : list of (str, str)
        Names in lower case.
    body : bytes
    """

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def path(self):
        """Path without the query."""
        return self.target.partition("?")[0]

    def value(self, name, default=""):
        """Return the first value of a header."""
        return next((v for n, v in self.headers if n == name.lower()), default)


def parse_head(data):
    """Return the first line and the headers of a head."""
    lines = data.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers.append((name.strip().lower(), value.strip()))
    return lines[0], headers


async def read_chunks(reader):
    """Yield the chunks of a chunked body."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return
        yield data


async def read_request(reader, bytes_per_s=None, on_head=None):
    """Return the next `Request` of a channel, or None at its end.

    Parameters
    ----------
    reader : asyncio.StreamReader
    bytes_per_s : float or None
        Rate at which the body is read; None for no limit.
    on_head : callable or None
        Called with the headers as soon as they have arrived.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, headers = parse_head(head)
    method, target, _ = first.split(" ", 2)
    values = dict(headers)
    if on_head is not None:
        on_head(values)
    if "chunked" in values.get("transfer-encoding", ""):
        body = b"".join([chunk async for chunk in read_chunks(reader)])
    else:
        length = int(values.get("content-length", 0))
        body = await _read_body(reader, length, bytes_per_s)
    return Request(method, target, headers, body)


async def _read_body(reader, length, bytes_per_s):
    if bytes_per_s is None:
        return await reader.readexactly(length)
    body = bytearray()
    while len(body) < length:
        size = min(READ_BYTES, length - len(body))
        body += await reader.readexactly(size)
        await asyncio.sleep(size / bytes_per_s)
    return bytes(body)


def encode_response(status, headers, body):
    """Return a complete response as bytes."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class Server:
    """Serves requests on a loopback address.

    Parameters
    ----------
    handle : callable
        Coroutine function of (request, writer); writes the response.

    Attributes
    ----------
    bytes_per_s : float or None
        Rate at which bodies are read; None for no limit.
    on_head : callable or None
        See `read_request`.
    """

    def __init__(self, handle):
        self._handle = handle
        self.bytes_per_s = None
        self.on_head = None
        self._server = None
        self._writers = set()
        self.address = ""

    async def start(self, host="127.0.0.1", port=0):
        """Listen; a free port is taken if none is given."""
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=MAX_HEAD_BYTES
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while request := await read_request(reader, self.bytes_per_s, self.on_head):
                work = asyncio.ensure_future(self._handle(request, writer))
                end = asyncio.ensure_future(_wait_for_end(reader))
                await asyncio.wait({work, end}, return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    # The caller has left.
                    work.cancel()
                await asyncio.gather(work, return_exceptions=True)
                end.cancel()
                await asyncio.gather(end, return_exceptions=True)
                if work.cancelled() or work.exception() or writer.is_closing():
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def stop(self):
        """Close the listener and reset all channels, as a killed process does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


async def _wait_for_end(reader):
    # Returns at the end of the channel, but consumes no byte of a next request.
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.005)


class Answer:
    """What a client saw of the answer to one request.

    Attributes
    ----------
    status : int or None
        None if the channel ended before a head came.
    headers : dict of str to str
    body : bytes
    is_complete : bool
    begun_s, ended_s : float
        Times of the loop when the head came and when the answer ended.
    """

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self.begun_s = None
        self.ended_s = None


class Channel:
    """One kept channel of a client."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address):
        """Open a channel to ``host:port``, within a second as requesters do."""
        host, port = address.rsplit(":", 1)
        opening = asyncio.open_connection(host, int(port), limit=MAX_HEAD_BYTES)
        return cls(*await asyncio.wait_for(opening, 1.0))

    async def ask(self, method, target, headers, body=b"", timeout_s=20.0):
        """Send a request and return its `Answer`, whatever comes."""
        answer, loop = Answer(), asyncio.get_running_loop()
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join([*lines, "", ""]).encode() + body
        try:
            async with asyncio.timeout(timeout_s):
                self._writer.write(data)
                await self._writer.drain()
                await self._read(answer, loop)
        except (ConnectionError, asyncio.IncompleteReadError, TimeoutError, OSError):
            pass
        answer.ended_s = loop.time()
        return answer

    async def _read(self, answer, loop):
        first, headers = parse_head(await self._reader.readuntil(b"\r\n\r\n"))
        answer.begun_s = loop.time()
        answer.status = int(first.split(" ")[1])
        answer.headers = dict(headers)
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            async for chunk in read_chunks(self._reader):
                answer.body += chunk
            answer.is_complete = True
        else:
            length = int(answer.headers.get("content-length", 0))
            answer.body = await self._reader.readexactly(length)
            answer.is_complete = True

    def close(self):
        """Close the channel."""
        self._writer.close()
