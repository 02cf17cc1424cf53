"""Reads JSON text value by value, without decoding what may be unreadable."""

import re

STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
SPACE = re.compile(rb"\s*+")
STRING_TOKEN = re.compile(STRING, re.DOTALL)
# The next bracket outside of strings.
BRACKET_TOKEN = re.compile(rb'(?:[^"\[\]{}]++|' + STRING + rb")*+([\[\]{}])", re.DOTALL)
# A number, a literal, or bytes that are no value.
SCALAR_TOKEN = re.compile(rb'[^\s,:"\[\]{}]++')
OPENING = (b"{", b"[")


class JsonTextError(ValueError):
    """The text is no JSON, as far as its values have to be told apart."""


class JsonBudgetError(JsonTextError):
    """The text has more brackets than the reader accepts."""


class JsonReader:
    """Reads the members and elements of a JSON text in turn.

    The caller reads or enters each value before it asks for the next one.

    Parameters
    ----------
    text : bytes
    max_value_tokens : int
        Most brackets of one value that is read; limits the time that it takes.

    Attributes
    ----------
    position : int
        Where in the text the next value begins.
    token_count : int
        Values and brackets read so far.
    """

    __slots__ = ("_max_value_tokens", "_text", "position", "token_count")

    def __init__(self, text, max_value_tokens):
        self._text = text
        self._max_value_tokens = max_value_tokens
        self.position = 0
        self.token_count = 0
        self._skip_space()

    def members(self):
        """Yield the text of each key of the object that begins here, quotes included.

        Raises
        ------
        JsonTextError
        """
        for _ in self._parts(b"{", b"}"):
            key = self._read(STRING_TOKEN)
            self._take(b":")
            yield key

    def elements(self):
        """Yield before each element of the array that begins here.

        Raises
        ------
        JsonTextError
        """
        yield from self._parts(b"[", b"]")

    def read_value(self):
        """Return the text of the next value.

        Raises
        ------
        JsonTextError
        """
        self.token_count += 1
        first = self._peek()
        if first == b'"':
            return self._read(STRING_TOKEN)
        if first not in OPENING:
            return self._read(SCALAR_TOKEN)
        begin, depth = self.position, 0
        last_token = self.token_count + self._max_value_tokens
        while True:
            match = BRACKET_TOKEN.match(self._text, self.position)
            if match is None:
                raise JsonTextError("a value isn't closed")
            self.position = match.end()
            depth += 1 if match.group(1) in OPENING else -1
            if depth == 0:
                break
            self.token_count += 1
            if self.token_count >= last_token:
                raise JsonBudgetError(f"too many brackets from byte {begin} on")
        value = self._text[begin : self.position]
        self._skip_space()
        return value

    def _parts(self, opening, closing):
        self._take(opening)
        if self._peek() == closing:
            self._take(closing)
            return
        while True:
            yield
            if self._peek() == closing:
                self._take(closing)
                return
            self._take(b",")

    def _peek(self):
        return self._text[self.position : self.position + 1]

    def _take(self, token):
        if self._peek() != token:
            raise JsonTextError(f"{token.decode()} expected at byte {self.position}")
        self.position += 1
        self._skip_space()

    def _read(self, pattern):
        match = pattern.match(self._text, self.position)
        if match is None:
            raise JsonTextError(f"value expected at byte {self.position}")
        self.position = match.end()
        self._skip_space()
        return match.group()

    def _skip_space(self):
        self.position = SPACE.match(self._text, self.position).end()


def find_value(text, path, max_value_tokens):
    """Return the text of the value at a path of keys; None if it can't be found.

    Parameters
    ----------
    text : bytes
        It may end early; only what comes before the value is read.
    path : iterable of bytes
        Keys from the outermost object on, each with its quotes.
    max_value_tokens : int
        Of the values before it and of its own.
    """
    reader = JsonReader(text, max_value_tokens)
    try:
        for key in path:
            for member in reader.members():
                if member == key:
                    break
                reader.read_value()
            else:
                return None
        return reader.read_value()
    except JsonTextError:
        return None
