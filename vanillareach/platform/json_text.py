"""Splits JSON text without decoding it: a part of it may be unreadable."""

import re

# A whole string, or a character that structures the text around it.
TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[{}\[\],:]', re.DOTALL)
# The same within parts, where only brackets matter: several strings are one token.
INNER_TOKEN = re.compile(
    rb'(?:"[^"\\]*"[^"{}\[\]]*)+|"(?:[^"\\]|\\.)*"|[{}\[\]]', re.DOTALL
)
OPENING, CLOSING = (b"{", b"["), (b"}", b"]")


def split_members(text):
    """Return the text of each value of an object, by the text of its key in quotes.

    Raises
    ------
    ValueError
        If the text isn't an object.
    """
    values_by_key = {}
    for member in _split(text, b"{"):
        match = TOKEN.match(member)
        key = match.group() if match else b""
        rest = member[len(key) :].lstrip()
        if not key.startswith(b'"') or not rest.startswith(b":"):
            raise ValueError("member without a key")
        values_by_key[key] = rest[1:].strip()
    return values_by_key


def split_elements(text):
    """Return the text of each element of an array.

    Raises
    ------
    ValueError
        If the text isn't an array.
    """
    return _split(text, b"[")


def _split(text, opening):
    """Return the parts of an object or array, which commas separate."""
    text = text.strip()
    if not text.startswith(opening):
        raise ValueError(f"{opening.decode()} expected")
    parts, depth, begin, position = [], 0, 1, 0
    while match := (INNER_TOKEN if depth > 1 else TOKEN).search(text, position):
        token, position = match.group(), match.end()
        if token in OPENING:
            depth += 1
        elif token in CLOSING:
            depth -= 1
        if depth == 0 or (depth == 1 and token == b","):
            part = text[begin : match.start()].strip()
            if part:
                parts.append(part)
            begin = position
        if depth == 0:
            break
    if depth or begin != len(text):
        raise ValueError("text isn't closed, or goes on")
    return parts
