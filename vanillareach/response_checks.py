"""Checks of what clients of httpcore read, which httpcore doesn't make."""

import httpcore

from vanillareach.response_heads import MalformedHeadError, ResponseHeadChecker
from vanillareach.wrapped_streams import WrappingBackend, WrappingStream


class ResponseCheckBackend(WrappingBackend):
    """Network backend whose connections hide no reset and pass on no malformed head."""

    def __init__(self):
        super().__init__(httpcore.TrioBackend())

    def wrap(self, stream):
        """Return a stream that checks what it reads."""
        return _CheckedStream(stream)


class _CheckedStream(WrappingStream):
    def __init__(self, inner):
        super().__init__(inner)
        self._write_error = None
        self._head_checker = ResponseHeadChecker()
        self._has_read = False

    async def read(self, max_bytes, timeout=None):
        data = await super().read(max_bytes, timeout)
        if not data and self._write_error is not None:
            # httpcore passes over errors of writing and reads the response. The kernel
            # reports a reset only once: to the writer here.
            raise httpcore.ReadError(
                "connection lost while the request was sent"
            ) from self._write_error
        self._has_read = True
        try:
            self._head_checker.feed(data)
        except MalformedHeadError as error:
            raise httpcore.RemoteProtocolError(str(error)) from error
        return data

    async def write(self, buffer, timeout=None):
        if self._has_read:
            # A request is written whole before its response is read.
            self._head_checker, self._has_read = ResponseHeadChecker(), False
        try:
            await super().write(buffer, timeout)
        except httpcore.WriteError as error:
            self._write_error = error
            raise
