"""Receives signals until the process ends."""

import math
import signal

import trio


class ProcessSignals:
    """Signals of the process as an asynchronous iterator.

    Unlike `trio.open_signal_receiver`, it never restores the earlier handlers: a signal
    that arrives late doesn't end the process by its default action. `install` and
    `ignore` have to be called in the main thread.

    Parameters
    ----------
    *numbers : signal.Signals
    """

    __slots__ = ("_arrived", "_numbers", "_sender", "_token")

    def __init__(self, *numbers):
        self._numbers = numbers
        self._sender, self._arrived = trio.open_memory_channel(math.inf)
        self._token = None

    def install(self):
        """Receive the signals from now on in the running loop."""
        self._token = trio.lowlevel.current_trio_token()
        for number in self._numbers:
            signal.signal(number, self._handle)

    def ignore(self):
        """Ignore the signals until the process ends."""
        # The interpreter restores the default action of other handlers as it exits.
        for number in self._numbers:
            signal.signal(number, signal.SIG_IGN)

    def __aiter__(self):
        return self._arrived

    def _handle(self, number, frame):
        try:
            self._token.run_sync_soon(self._sender.send_nowait, signal.Signals(number))
        except trio.RunFinishedError:
            return
