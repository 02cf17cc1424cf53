"""Stand-in for a plain service that counts the runs of each idempotency key."""

from collections import Counter

import msgspec
import trio

from vanillareach.asgi import HttpRequest, answer_lifespan, send_json


class ServiceBehaviour(msgspec.Struct):
    """Delay and faults that the service shows.

    Attributes
    ----------
    delay_ms : float
        Time between running a call and responding to it.
    lose_answers : int
        Number of further calls that run but get no response.
    refuse : bool
        Whether calls are refused with 503 before they run.
    """

    delay_ms: float = 0.0
    lose_answers: int = 0
    refuse: bool = False


class ServiceApp:
    """ASGI application that runs a call on any path; ``/runs`` returns the counts."""

    def __init__(self):
        self.runs_by_key = Counter()
        self.behaviour = ServiceBehaviour()

    async def __call__(self, scope, receive, send):
        """Handle one ASGI connection."""
        if scope["type"] == "lifespan":
            return await answer_lifespan(receive, send)
        request = HttpRequest(scope, receive)
        if request.path == "/runs":
            return await send_json(send, 200, dict(self.runs_by_key))
        if request.path == "/behaviour":
            body = await request.body()
            self.behaviour = msgspec.json.decode(body, type=ServiceBehaviour)
            return await send_json(send, 200, self.behaviour)
        return await self._run(request, send)

    async def _run(self, request, send):
        body = await request.body()
        if self.behaviour.refuse:
            return await send_json(send, 503, {"error": "refused"})
        key = request.header("idempotency-key", "")
        self.runs_by_key[key] += 1
        await trio.sleep(self.behaviour.delay_ms / 1000)
        if self.behaviour.lose_answers > 0:
            self.behaviour.lose_answers -= 1
            await trio.sleep(3600)
        response = {
            "path": request.path,
            "method": request.method,
            "bytes": len(body),
            "run": self.runs_by_key[key],
        }
        return await send_json(send, 201, response)
