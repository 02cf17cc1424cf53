"""Hop-by-hop headers, which are not forwarded (RFC 9110, 7.6.1)."""

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
