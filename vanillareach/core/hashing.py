"""Hashes that are the same on every instance."""

import xxhash


def hash64(text):
    """Return the 64-bit hash of `text` as an integer."""
    return xxhash.xxh64_intdigest(text.encode())


def hash128_hex(data):
    """Return the 128-bit hash of bytes as 32 hexadecimal digits."""
    return xxhash.xxh3_128_hexdigest(data)
