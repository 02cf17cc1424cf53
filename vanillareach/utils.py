"""Helpers for identifiers, digests, addresses and garbage collection."""

import gc
import hashlib
import secrets
from contextlib import asynccontextmanager
from ipaddress import IPv4Address

import trio


def new_id(prefix):
    """Return a random identifier with the given prefix."""
    return f"{prefix}-{secrets.token_hex(8)}"


def sha256_hex(text):
    """Return the SHA-256 digest of `text` as 64 hexadecimal digits."""
    return hashlib.sha256(text.encode()).hexdigest()


def split_address(address):
    """Split a validated ``host:port`` into host and port number."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def parse_address(address):
    """Validate ``host:port`` and split it into host and port number.

    Raises
    ------
    ValueError
        If the port is missing or out of range.
    """
    host, separator, port = address.rpartition(":")
    if not separator or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{address!r} is not host:port")
    return host, int(port)


def check_ip_address(address):
    """Validate ``host:port`` whose host is an IPv4 number, so that none is looked up.

    Raises
    ------
    ValueError
        If it isn't.
    """
    host, _ = parse_address(address)
    IPv4Address(host)


@asynccontextmanager
async def open_background_nursery():
    """Open a nursery whose tasks are cancelled at the end of the block.

    An exception of the block is raised as it is; a plain nursery would wrap it in an
    exception group.
    """
    failure = None
    async with trio.open_nursery() as nursery:
        try:
            yield nursery
        except Exception as error:
            failure = error
        nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure


def freeze_startup_objects():
    """Exclude the objects created at start-up from later garbage collections.

    This makes collections cheaper. Running them less often instead let the garbage of
    requests grow by 13 MB, past the memory limit.
    """
    gc.collect()
    gc.freeze()
