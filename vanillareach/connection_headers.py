"""Headers that concern one connection and are never passed on (RFC 9110, 7.6.1)."""

CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"content-length",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
