"""Stand-in of an engine that crashes by a part of a prompt."""

import trio

from vanillareach.features.users_platform.endpoint import StandinEndpoint
from vanillareach.platform import names


class CrashingEndpoint(StandinEndpoint):
    """Endpoint that crashes as it begins to answer a prompt with a deadly part.

    A crash ends all connections; new ones are refused.

    Attributes
    ----------
    deadly_part : str
    has_crashed : bool
    scope : trio.CancelScope
        Of all that the endpoint does.
    """

    deadly_part = "dead"

    def __init__(self, name):
        super().__init__(name)
        self.has_crashed = False
        self.scope = trio.CancelScope()

    async def _stream(self, received, responder, **values):
        prefix = received.values_by_name.get(names.PROMPT_PREFIX, "")
        if f"{self.deadly_part}:" in prefix:
            self.has_crashed = True
            self.scope.cancel()
        await super()._stream(received, responder, **values)


class LateCrashingEndpoint(CrashingEndpoint):
    """Endpoint that crashes after an event of the stream for one body.

    Attributes
    ----------
    deadly_body : bytes
    last_event : int
        Number of events that it sends before.
    """

    deadly_body = b"deadly"
    last_event = 1

    async def _stream(self, received, responder, **values):
        if received.body != self.deadly_body:
            return await super()._stream(received, responder, **values)
        first = int(received.values_by_name.get(names.LAST_EVENT_ID, "0")) + 1
        headers = self._response_headers(received)
        await responder.start(200, [*headers, (b"Transfer-Encoding", b"chunked")])
        for number in range(first, first + self.last_event):
            event = f"id: {number}\ndata: piece {number}\n\n"
            await responder.send(event.encode())
        self.has_crashed = True
        self.scope.cancel()
        await trio.lowlevel.checkpoint()
        return None
