"""Checks of what clients of httpcore read, which httpcore doesn't make."""

import httpcore

from vanillareach.wrapped_streams import WrappingBackend, WrappingStream


class ResponseCheckBackend(WrappingBackend):
    """Network backend whose connections don't hide that they were reset.

    Parameters
    ----------
    inner : httpcore.AsyncNetworkBackend or None
        None for connections of trio.
    """

    def __init__(self, inner=None):
        super().__init__(inner or httpcore.TrioBackend())

    def wrap(self, stream):
        """Return a stream that checks what it reads."""
        return _CheckedStream(stream)


class _CheckedStream(WrappingStream):
    def __init__(self, inner):
        super().__init__(inner)
        self._write_error = None

    async def read(self, max_bytes, timeout=None):
        data = await super().read(max_bytes, timeout)
        if not data and self._write_error is not None:
            # httpcore passes over errors of writing and reads the response. The kernel
            # reports a reset only once: to the writer here.
            raise httpcore.ReadError(
                "connection lost while the request was sent"
            ) from self._write_error
        return data

    async def write(self, buffer, timeout=None):
        try:
            await super().write(buffer, timeout)
        except httpcore.WriteError as error:
            self._write_error = error
            raise
