"""Stand-in of an engine that streams at a pace of its own, slower when nearly full."""

import trio

from vanillareach.core.engine_time import decode_ms, pass_ms
from vanillareach.core.routing import EngineFigures
from vanillareach.features.users_platform.endpoint import StandinEndpoint
from vanillareach.platform import names

# Stands for the length of an answer that callers don't declare.
UNDECLARED_USAGE = b"x-token-usage"


class PacedEndpoint(StandinEndpoint):
    """Stand-in whose streams have as many events as their request allows.

    Attributes
    ----------
    figures : EngineFigures or None
        Published figures, by which it makes events at pace 1.
    full_pace : float
        Factor by which it is slower while `busy_count` requests run.
    busy_count : int
    silence_s : float
        Time without an event after the first one.
    running_count : int
    """

    figures: EngineFigures | None = None
    full_pace = 1.0
    busy_count = 1
    silence_s = 0.0

    def __init__(self, name):
        super().__init__(name)
        self.default_step = "paced_stream"
        self.running_count = 0

    def _gap_s(self):
        pace = self.full_pace if self.running_count >= self.busy_count else 1.0
        return pace * pass_ms(self.figures, self.running_count, 0) / 1000

    async def _paced_stream(self, received, responder):
        values = received.values_by_name
        usage = values.get(names.TOKEN_USAGE) or values[UNDECLARED_USAGE]
        tokens = int(usage.split(",")[1])
        first = int(received.values_by_name.get(names.LAST_EVENT_ID, "0")) + 1
        headers = self._response_headers(received)
        self.running_count += 1
        try:
            await responder.start(200, [*headers, (b"Transfer-Encoding", b"chunked")])
            for number in range(first, tokens // self.figures.steps_per_pass + 1):
                await trio.sleep(self._gap_s())
                event = f"id: {number}\ndata: piece {number}\n\n"
                await responder.send(event.encode())
                if number == first:
                    await trio.sleep(self.silence_s)
            await responder.finish()
        finally:
            self.running_count -= 1


def answer_tokens(figures, duration_ms):
    """Return the length of an answer that takes so long at pace 1 on an idle engine."""
    gap_ms = pass_ms(figures, 1, 0)
    tokens = round(duration_ms / gap_ms) * figures.steps_per_pass
    assert decode_ms(figures, tokens, 1, 0) <= duration_ms
    return tokens
