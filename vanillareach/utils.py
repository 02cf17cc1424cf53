"""Helpers without a better home."""

import gc
import hashlib
import secrets


def new_id(prefix):
    """Return a random identity with a readable prefix."""
    return f"{prefix}-{secrets.token_hex(8)}"


def sha256_hex(text):
    """Return the SHA-256 digest of `text` as 64 hexadecimal digits."""
    return hashlib.sha256(text.encode()).hexdigest()


def split_address(address):
    """Split a ``host:port`` that has been checked into its parts."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def parse_address(address):
    """Check ``host:port`` and split it into its parts.

    Raises
    ------
    ValueError
        If the port is missing or out of range.
    """
    host, separator, port = address.rpartition(":")
    if not separator or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{address!r} is not host:port")
    return host, int(port)


def freeze_startup_objects():
    """Keep the objects of the start out of all later garbage collections.

    Rarer collections let the garbage of requests grow by 13 MB, past the memory bound.
    """
    gc.collect()
    gc.freeze()
