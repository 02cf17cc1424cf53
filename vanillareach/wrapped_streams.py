"""Base classes of network backends of httpcore that wrap the connections of another."""

from abc import ABC, abstractmethod

import httpcore


class WrappingBackend(httpcore.AsyncNetworkBackend, ABC):
    """Network backend that wraps each connection of another one.

    Parameters
    ----------
    inner : httpcore.AsyncNetworkBackend
    """

    def __init__(self, inner):
        self._inner = inner

    @abstractmethod
    def wrap(self, stream):
        """Return the `WrappingStream` of a new connection."""

    async def connect_tcp(
        self, host, port, timeout=None, local_address=None, socket_options=None
    ):
        """Connect and wrap the stream."""
        stream = await self._inner.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return self.wrap(stream)

    async def sleep(self, seconds):
        """Suspend the calling task."""
        await self._inner.sleep(seconds)


class WrappingStream(httpcore.AsyncNetworkStream):
    """Stream that passes everything on to another one, unless a subclass differs.

    Parameters
    ----------
    inner : httpcore.AsyncNetworkStream
    """

    def __init__(self, inner):
        self._inner = inner

    async def read(self, max_bytes, timeout=None):
        """Return received bytes; b"" at the end of the connection."""
        return await self._inner.read(max_bytes, timeout)

    async def write(self, buffer, timeout=None):
        """Send all bytes of a buffer."""
        await self._inner.write(buffer, timeout)

    async def aclose(self):
        """Close the connection."""
        await self._inner.aclose()

    def get_extra_info(self, info):
        """Return what httpcore asks about the connection, such as "is_readable"."""
        return self._inner.get_extra_info(info)
