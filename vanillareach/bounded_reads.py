"""Limit of the bytes that an HTTP connection reads for one request."""

import httpcore


class ResponseTooLongError(httpcore.ReadError):
    """A response, its head included, exceeds the connection's limit."""


class BoundedBackend(httpcore.AsyncNetworkBackend):
    """Network backend whose connections read a limited number of bytes per request.

    Parameters
    ----------
    inner : httpcore.AsyncNetworkBackend
    max_response_bytes : int
        Bytes that may be read after the last write.
    """

    def __init__(self, inner, max_response_bytes):
        self._inner = inner
        self._max_response_bytes = max_response_bytes

    async def connect_tcp(
        self, host, port, timeout=None, local_address=None, socket_options=None
    ):
        """Connect and wrap the stream."""
        stream = await self._inner.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return _BoundedStream(stream, self._max_response_bytes)

    async def sleep(self, seconds):
        """Suspend the calling task."""
        await self._inner.sleep(seconds)


class _BoundedStream(httpcore.AsyncNetworkStream):
    def __init__(self, inner, max_response_bytes):
        self._inner = inner
        self._max_response_bytes = max_response_bytes
        self._read_bytes = 0

    async def read(self, max_bytes, timeout=None):
        data = await self._inner.read(max_bytes, timeout)
        self._read_bytes += len(data)
        if self._read_bytes > self._max_response_bytes:
            raise ResponseTooLongError(
                f"response exceeds {self._max_response_bytes} bytes"
            )
        return data

    async def write(self, buffer, timeout=None):
        self._read_bytes = 0
        await self._inner.write(buffer, timeout)

    async def aclose(self):
        await self._inner.aclose()

    def get_extra_info(self, info):
        return self._inner.get_extra_info(info)
