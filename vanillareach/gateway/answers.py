"""Answers in one piece: read to their end, within limits."""

from vanillareach.endpoints.base import EndpointBrokenError

# Responses other than event streams are buffered until complete, up to this size.
MAX_ANSWER_BYTES = 4 * 1024 * 1024


class AnswerProgress:
    """Extends the idle timeout of an attempt as its answer arrives.

    Bytes are progress if at their pace the answer is complete by the deadline.

    Parameters
    ----------
    attempt : Attempt
    idle_timeout_ms : float
    clock : Clock
    """

    __slots__ = ("_attempt", "_begin_ms", "_clock", "_idle_timeout_ms")

    def __init__(self, attempt, idle_timeout_ms, clock):
        self._attempt = attempt
        self._idle_timeout_ms = idle_timeout_ms
        self._clock = clock
        self._begin_ms = clock.now_ms()

    def record(self, received_bytes, length):
        """Record that some of the `length` announced bytes have been received."""
        now_ms = self._clock.now_ms()
        remaining_share = (length - received_bytes) / received_bytes
        end_ms = now_ms + (now_ms - self._begin_ms) * remaining_share
        if end_ms < self._attempt.exchange.deadline_ms:
            self._attempt.idle_timeout.extend_to_latest(now_ms + self._idle_timeout_ms)


async def read_answer(response, share, progress):
    """Return the complete body of an answer in one piece.

    Parameters
    ----------
    response : UpstreamResponse
    share : BufferShare
    progress : AnswerProgress

    Raises
    ------
    EndpointBrokenError
        If the body is aborted, longer than `MAX_ANSWER_BYTES`, or must make room.
    """
    body, length = bytearray(), response.content_length
    _check_size(length or 0)
    while (data := await share.next_data(response, len(body))) is not None:
        body += data
        _check_size(len(body))
        if length is not None:
            progress.record(len(body), length)
    return bytes(body)


def _check_size(size):
    if size > MAX_ANSWER_BYTES:
        raise EndpointBrokenError(f"response body exceeds {MAX_ANSWER_BYTES} bytes")
