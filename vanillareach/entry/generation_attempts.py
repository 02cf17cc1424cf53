"""Attempts of a completions request at engines."""

from vanillareach.entry.attempts import Attempt


class GenerationAttempt(Attempt):
    """One attempt of a completions request at one engine.

    Attributes
    ----------
    number : int
        Counts the attempts of the request from 1.
    dispatch : Dispatch or None
        Set once the attempt is sent.
    position : StreamPosition or None
        Position in the stream from which the attempt continues it.
    has_resumption : bool
        Whether a `Resumption` was made since its last event.
    """

    __slots__ = ("dispatch", "has_resumption", "number", "position")

    def __init__(self, state, attempt_id, number, idle_timeout_ms, now_ms):
        super().__init__(state, attempt_id, idle_timeout_ms, now_ms)
        self.number = number
        self.dispatch = None
        self.position = None
        self.has_resumption = False


class Resumption(GenerationAttempt):
    """Further connection to the engine of a silent attempt, to continue its stream.

    Parameters
    ----------
    source : GenerationAttempt
        The silent attempt, whose connection may be lost while its engine goes on.
    idle_timeout_ms : float
    now_ms : float
    """

    __slots__ = ()

    def __init__(self, source, idle_timeout_ms, now_ms):
        super().__init__(
            source.state, source.attempt_id, source.number, idle_timeout_ms, now_ms
        )
        self.dispatch = source.dispatch
        self.position = source.position
        self.has_resumption = True
        source.has_resumption = True
