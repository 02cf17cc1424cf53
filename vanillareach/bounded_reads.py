"""Limit of the bytes that an HTTP connection reads for one request."""

import httpcore

from vanillareach.wrapped_streams import WrappingBackend, WrappingStream


class ResponseTooLongError(httpcore.ReadError):
    """A response, its head included, exceeds the connection's limit."""


class BoundedBackend(WrappingBackend):
    """Network backend whose connections read a limited number of bytes per request.

    Parameters
    ----------
    inner : httpcore.AsyncNetworkBackend
    max_response_bytes : int
        Bytes that may be read after the last write.
    """

    def __init__(self, inner, max_response_bytes):
        super().__init__(inner)
        self._max_response_bytes = max_response_bytes

    def wrap(self, stream):
        """Return a stream that counts the bytes read for each request."""
        return _BoundedStream(stream, self._max_response_bytes)


class _BoundedStream(WrappingStream):
    def __init__(self, inner, max_response_bytes):
        super().__init__(inner)
        self._max_response_bytes = max_response_bytes
        self._read_bytes = 0

    async def read(self, max_bytes, timeout=None):
        data = await super().read(max_bytes, timeout)
        self._read_bytes += len(data)
        if self._read_bytes > self._max_response_bytes:
            raise ResponseTooLongError(
                f"response exceeds {self._max_response_bytes} bytes"
            )
        return data

    async def write(self, buffer, timeout=None):
        self._read_bytes = 0
        await super().write(buffer, timeout)
