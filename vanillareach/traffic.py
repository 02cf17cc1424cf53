"""Counters of the control traffic of an instance."""

import httpcore


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


class CountingBackend(httpcore.AsyncNetworkBackend):
    """Network backend that counts the bytes read and written on its connections.

    Parameters
    ----------
    traffic : ControlTraffic
    """

    def __init__(self, traffic):
        self._traffic = traffic
        self._inner = httpcore.TrioBackend()

    async def connect_tcp(
        self, host, port, timeout=None, local_address=None, socket_options=None
    ):
        """Connect and wrap the stream."""
        stream = await self._inner.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return _CountingStream(stream, self._traffic)

    async def sleep(self, seconds):
        """Suspend the calling task."""
        await self._inner.sleep(seconds)


class _CountingStream(httpcore.AsyncNetworkStream):
    def __init__(self, inner, traffic):
        self._inner = inner
        self._traffic = traffic

    async def read(self, max_bytes, timeout=None):
        data = await self._inner.read(max_bytes, timeout)
        self._traffic.count_received(len(data))
        return data

    async def write(self, buffer, timeout=None):
        self._traffic.count_sent(len(buffer))
        await self._inner.write(buffer, timeout)

    async def aclose(self):
        await self._inner.aclose()

    async def start_tls(self, ssl_context, server_hostname=None, timeout=None):
        stream = await self._inner.start_tls(ssl_context, server_hostname, timeout)
        return _CountingStream(stream, self._traffic)

    def get_extra_info(self, info):
        return self._inner.get_extra_info(info)
