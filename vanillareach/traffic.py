"""Counters of the control traffic of an instance."""

from vanillareach.response_checks import ResponseCheckBackend
from vanillareach.wrapped_streams import WrappingBackend, WrappingStream


class ControlTraffic:
    """Bytes and messages received and sent.

    Attributes
    ----------
    bytes_in, bytes_out : int
    messages_in, messages_out : int
        Peer messages, and reads and writes on HTTP connections.
    """

    __slots__ = ("bytes_in", "bytes_out", "messages_in", "messages_out")

    def __init__(self):
        self.bytes_in = 0
        self.bytes_out = 0
        self.messages_in = 0
        self.messages_out = 0

    def count_received(self, size):
        """Count one received message or read."""
        self.bytes_in += size
        self.messages_in += 1

    def count_sent(self, size):
        """Count one sent message or write."""
        self.bytes_out += size
        self.messages_out += 1

    @property
    def total_bytes(self):
        """Bytes in both directions."""
        return self.bytes_in + self.bytes_out


class CountingBackend(WrappingBackend):
    """Network backend that counts the bytes read and written on its connections.

    Parameters
    ----------
    traffic : ControlTraffic
    """

    def __init__(self, traffic):
        super().__init__(ResponseCheckBackend())
        self._traffic = traffic

    def wrap(self, stream):
        """Return a stream that counts its traffic."""
        return _CountingStream(stream, self._traffic)


class _CountingStream(WrappingStream):
    def __init__(self, inner, traffic):
        super().__init__(inner)
        self._traffic = traffic

    async def read(self, max_bytes, timeout=None):
        data = await super().read(max_bytes, timeout)
        self._traffic.count_received(len(data))
        return data

    async def write(self, buffer, timeout=None):
        self._traffic.count_sent(len(buffer))
        await super().write(buffer, timeout)

    async def start_tls(self, ssl_context, server_hostname=None, timeout=None):
        stream = await self._inner.start_tls(ssl_context, server_hostname, timeout)
        return _CountingStream(stream, self._traffic)
