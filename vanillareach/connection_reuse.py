"""Keeps connections with bytes beyond a response from being used again.

httpcore asks a connection before its reuse whether the socket has something to read.
Bytes that arrived together with the end of a response have been read from the socket
already, and httpcore would take them for the beginning of the next response.
"""

import h11

from vanillareach.wrapped_streams import WrappingBackend, WrappingStream

# Size of a response head up to which httpcore reads.
MAX_HEAD_BYTES = 100 * 1024


class ReuseCheckBackend(WrappingBackend):
    """Network backend whose connections are readable if bytes beyond a response came.

    Parameters
    ----------
    inner : httpcore.AsyncNetworkBackend
    """

    def wrap(self, stream):
        """Return a stream that is readable if bytes beyond a response came."""
        return _ReuseCheckStream(stream)


class _ReuseCheckStream(WrappingStream):
    def __init__(self, inner):
        super().__init__(inner)
        self._framing = None

    async def read(self, max_bytes, timeout=None):
        data = await super().read(max_bytes, timeout)
        if self._framing is not None:
            self._framing.receive(data)
        return data

    async def write(self, buffer, timeout=None):
        # A request is written whole before its response is read.
        if self._framing is None or self._framing.has_begun:
            self._framing = _ResponseFraming(method=buffer.partition(b" ")[0])
        await super().write(buffer, timeout)

    def get_extra_info(self, info):
        has_excess = self._framing is not None and self._framing.has_excess
        if info == "is_readable" and has_excess:
            return True
        return super().get_extra_info(info)


class _ResponseFraming:
    """Finds the end of one response in the bytes received.

    Parameters
    ----------
    method : bytes
        Of the request; that to HEAD has no body whatever its headers say.

    Attributes
    ----------
    has_begun : bool
        Whether bytes were received.
    has_excess : bool
        Whether there are bytes beyond the end, or bytes that are no response.
    """

    def __init__(self, method):
        self._connection = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._connection.send(
            h11.Request(method=method, target=b"/", headers=[(b"Host", b"")])
        )
        self._connection.send(h11.EndOfMessage())
        self.has_begun = False
        self.has_excess = False

    def receive(self, data):
        """Follow received bytes; b"" is the end of the connection."""
        self.has_begun = True
        if self.has_excess:
            return
        try:
            self._connection.receive_data(data)
            event = None
            while event not in (h11.NEED_DATA, h11.PAUSED, h11.ConnectionClosed()):
                event = self._connection.next_event()
        except h11.RemoteProtocolError:
            self.has_excess = True
            return
        self.has_excess = bool(self._connection.trailing_data[0]) and (
            self._connection.their_state is h11.DONE
        )
