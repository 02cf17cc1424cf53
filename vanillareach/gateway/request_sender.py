"""Sends a request while its response is read, and knows whether all of it was sent."""

import trio

from vanillareach.clock import MS_PER_SECOND
from vanillareach.endpoints.base import EndpointConnectionLostError

# A process that has closed its connection resets it when further bytes arrive: within a
# round trip, or after one retransmission. One that has only ceased to send doesn't.
RESET_WAIT_MS = 300.0


class RequestSender:
    """Sends one request on a connection.

    Parameters
    ----------
    stream : trio.SocketStream
    """

    __slots__ = ("_ended", "_error", "_stream")

    def __init__(self, stream):
        self._stream = stream
        self._ended = trio.Event()
        self._error = None

    async def send(self, *parts):
        """Send the parts of a request; `check` tells of a failure of the connection.

        The endpoint may have responded before it closed the connection.
        """
        try:
            for part in parts:
                await self._stream.send_all(part)
        except trio.BrokenResourceError as error:
            self._error = error
        self._ended.set()

    async def check(self):
        """Check that the connection hasn't failed, once its end was received.

        The kernel reports a reset once, to whoever sends or receives next. If that was
        the sender, the receiver sees an ordinary end of the connection.

        Raises
        ------
        EndpointConnectionLostError
            If the connection fails before the request is sent.
        """
        with trio.move_on_after(RESET_WAIT_MS / MS_PER_SECOND):
            await self._ended.wait()
        if self._error is not None:
            raise EndpointConnectionLostError(
                "connection lost while the request was sent"
            ) from self._error
