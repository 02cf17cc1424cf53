"""Limits of what an endpoint may send in response to one request."""

from contextvars import ContextVar

import httpcore
import trio

from vanillareach.clock import MS_PER_SECOND
from vanillareach.endpoints.base import EndpointLimitError
from vanillareach.wrapped_streams import WrappingBackend, WrappingStream

# Interim responses and head together; common servers allow 8 to 64 KiB for a head.
MAX_HEAD_BYTES = 65_536
# A head is sent at once, in a few packets.
HEAD_TIME_LIMIT_MS = 5_000.0
# Load, residents and cache events of one engine.
MAX_CONTROL_ANSWER_BYTES = 8 * 1024 * 1024
# A refusal holds a short message.
MAX_REFUSAL_BYTES = 65_536
REFUSAL_TIME_LIMIT_MS = 2_000.0
# A buffered answer: 131,072 tokens with 128 bytes each, or a document of a service.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# A buffered answer is sent once it is complete; at 20 Mbit/s the longest takes 7 s.
ANSWER_TIME_LIMIT_MS = 10_000.0
# Events of 131,072 tokens with 512 bytes each.
MAX_STREAM_BYTES = 64 * 1024 * 1024

HEAD_END = b"\r\n\r\n"

_head_limit = ContextVar("head_limit", default=None)


class HeadLimit:
    """Size and time limits of the head of one response, from its first byte.

    Used as a context manager by the task that reads the head.
    """

    __slots__ = ("_reset_token", "_size", "_tail", "_timeout_at_s")

    def __init__(self):
        self._reset_token = None
        self._size = 0
        self._tail = b""
        self._timeout_at_s = None

    def __enter__(self):
        self._reset_token = _head_limit.set(self)
        return self

    def __exit__(self, *exception):
        _head_limit.reset(self._reset_token)

    def remaining_s(self, timeout_s):
        """Return the timeout in s of the next read, at most `timeout_s`."""
        if self._timeout_at_s is None:
            return timeout_s
        remaining_s = max(0.0, self._timeout_at_s - trio.current_time())
        return remaining_s if timeout_s is None else min(timeout_s, remaining_s)

    def check_time(self):
        """Raise `EndpointLimitError` if the head has taken too long."""
        if self._timeout_at_s is not None and trio.current_time() >= self._timeout_at_s:
            raise EndpointLimitError(
                f"response head incomplete after {HEAD_TIME_LIMIT_MS:.0f} ms"
            )

    def record(self, data):
        """Count received bytes; raise `EndpointLimitError` beyond the limits."""
        self.check_time()
        self._size += len(data)
        self._tail = (self._tail + data[-len(HEAD_END) :])[-len(HEAD_END) :]
        if self._tail == HEAD_END:
            # An interim response is complete; the next head may take its time.
            self._timeout_at_s = None
        elif self._timeout_at_s is None:
            limit_s = HEAD_TIME_LIMIT_MS / MS_PER_SECOND
            self._timeout_at_s = trio.current_time() + limit_s
        # The last read may hold the beginning of the body too.
        if self._size - len(data) > MAX_HEAD_BYTES:
            raise EndpointLimitError(f"response head exceeds {MAX_HEAD_BYTES} bytes")


class HeadLimitBackend(WrappingBackend):
    """Network backend that applies the `HeadLimit` of the reading task.

    Parameters
    ----------
    inner : httpcore.AsyncNetworkBackend
    """

    def wrap(self, stream):
        """Return a stream that applies the limit to what it reads."""
        return _HeadLimitStream(stream)


class _HeadLimitStream(WrappingStream):
    async def read(self, max_bytes, timeout=None):
        limit = _head_limit.get()
        if limit is None:
            return await super().read(max_bytes, timeout)
        try:
            data = await super().read(max_bytes, limit.remaining_s(timeout))
        except httpcore.ReadTimeout:
            limit.check_time()
            raise
        limit.record(data)
        return data


async def read_answer(chunks, on_data, time_limit_ms):
    """Return a complete answer.

    Parameters
    ----------
    chunks : async iterator of bytes
    on_data : callable
        Called at each chunk.
    time_limit_ms : float
        Time from the first byte to the last.

    Raises
    ------
    EndpointLimitError
        If the answer exceeds `MAX_ANSWER_BYTES` or `time_limit_ms`.
    """
    body = bytearray()
    with trio.CancelScope() as scope:
        async for chunk in chunks:
            if not body:
                scope.deadline = trio.current_time() + time_limit_ms / MS_PER_SECOND
            on_data()
            body += chunk
            if len(body) > MAX_ANSWER_BYTES:
                raise EndpointLimitError(f"answer exceeds {MAX_ANSWER_BYTES} bytes")
        return bytes(body)
    raise EndpointLimitError(f"answer incomplete after {time_limit_ms:.0f} ms")
