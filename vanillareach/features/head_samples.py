"""Heads of responses, malformed and unusual, and a server that sends them."""

from vanillareach.features.raw_server import answer_fields, read_on, receive_head

# A list in the store and in the object API.
BODY = b'{"items": [], "at": 1, "metadata": {"name": "", "resourceVersion": "1"}}'
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
# Status line and a further line of the head.
HEADS = {
    "the status 000": (b"HTTP/1.1 000 Unknown\r\n", b""),
    "the status 001": (b"HTTP/1.1 001 Unknown\r\n", b""),
    "the status 099": (b"HTTP/1.1 099 Unknown\r\n", b""),
    "the status 00": (b"HTTP/1.1 00 Unknown\r\n", b""),
    "the status 0200": (b"HTTP/1.1 0200 OK\r\n", b""),
    "the status 600": (b"HTTP/1.1 600 Unknown\r\n", b""),
    "the status 999": (b"HTTP/1.1 999 Unknown\r\n", b""),
    "a control byte in the reason": (b"HTTP/1.1 200 O\x01K\r\n", b""),
    "another major version": (b"HTTP/2.0 200 OK\r\n", b""),
    "a blank in a name": (STATUS_LINE, b"X y: z\r\n"),
    "a blank after a name": (STATUS_LINE, b"X-Y : z\r\n"),
    "a tab after a name": (STATUS_LINE, b"X-Y\t: z\r\n"),
    "a control byte in a name": (STATUS_LINE, b"X-\x01Y: z\r\n"),
    "an empty name": (STATUS_LINE, b": z\r\n"),
    "no colon": (STATUS_LINE, b"X-Y\r\n"),
    "a line that begins with a blank": (STATUS_LINE, b" X-Y: z\r\n"),
    "a line that begins with a tab": (STATUS_LINE, b"\tX-Y: z\r\n"),
    "a length after a blank": (STATUS_LINE, b" Content-Length: 2\r\n"),
    "a NUL in a value": (STATUS_LINE, b"X-Y: a\0b\r\n"),
    "a control byte in a value": (STATUS_LINE, b"X-Y: a\x01b\r\n"),
    "a DEL in a value": (STATUS_LINE, b"X-Y: a\x7fb\r\n"),
    "a lone CR in a value": (STATUS_LINE, b"X-Y: a\rb\r\n"),
    "an interim head with a folded line": (
        b"HTTP/1.1 103 Early Hints\r\nX-Y: a\r\n b\r\n\r\n" + STATUS_LINE,
        b"",
    ),
    "a tab in a value": (STATUS_LINE, b"X-Y: a\tb \t\r\n"),
    "an empty value": (STATUS_LINE, b"X-Y:\r\n"),
    "bytes over 127 in a value": (STATUS_LINE, b"X-Y: \xc3\xa9\xff\r\n"),
    "no reason": (b"HTTP/1.1 200\r\n", b""),
    "an older version": (b"HTTP/1.0 200 OK\r\n", b""),
    "lines that end with LF": (b"HTTP/1.1 200 OK\n", b"X-Y: z\n"),
    "an interim head": (b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + STATUS_LINE, b""),
}


def make_head_server(name):
    """Return a function that answers one request with one of `HEADS`."""
    status_line, line = HEADS[name]

    async def serve(stream):
        fields = answer_fields(await receive_head(stream)) + line
        fields += b"Content-Length: %d\r\n" % len(BODY)
        await stream.send_all(status_line + fields + b"\r\n" + BODY)
        await read_on(stream)

    return serve
