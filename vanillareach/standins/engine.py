"""Stand-in for a model engine that serves the completions API over HTTP."""

import os
import signal

import msgspec
import trio

from vanillareach.asgi import (
    HttpRequest,
    answer_lifespan,
    send_chunk,
    send_json,
    start_response,
)
from vanillareach.standins.engine_model import EngineModel, EngineRequest

EVENT_STREAM = [(b"content-type", b"text/event-stream")]
DEFAULT_MAX_TOKENS = 16


class StreamOptions(msgspec.Struct):
    """Options of a streamed response."""

    include_usage: bool = False


class GenerateBody(msgspec.Struct):
    """Request body of completions and chat completions; ignores unknown fields."""

    model: str
    prompt: str = ""
    messages: list[dict] = []
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    stream_options: StreamOptions | None = None
    priority: int = 0
    continue_final_message: bool = False

    @property
    def token_limit(self):
        """Number of tokens to generate."""
        return self.max_tokens or self.max_completion_tokens or DEFAULT_MAX_TOKENS

    @property
    def text(self):
        """Prompt text; for a chat, rendered from the messages."""
        if not self.messages:
            return self.prompt
        text = "\n".join(f"{m['role']}: {m.get('content')}" for m in self.messages)
        return text if self.continue_final_message else f"{text}\nassistant: "


class Order(msgspec.Struct):
    """Wanted state of the engine; applying an order twice changes nothing."""

    model: str
    version: str = "1"
    adapters: list[str] = []
    role: str = "mixed"
    fencing: int = 0


class EngineBehaviour(msgspec.Struct):
    """Faults that the engine shows, and the lag of its reports.

    Attributes
    ----------
    break_at_token : int or None
        Streams are aborted once this number of tokens has been sent; None for never.
    breaks : int or None
        Number of streams to abort; None for all.
    hang_at_token : int or None
        Streams stall once this number of tokens has been sent; None for never.
    hangs : int or None
        Number of streams to stall; None for all.
    freeze_at_token : int or None
        The engine answers no call any more, of any kind, once a stream has sent this
        number of tokens; None for never.
    pause_at_token : int or None
        Streams stall for `pause_ms`, once, when this number of tokens has been sent;
        None for never.
    refuse : bool
        Requests are refused with 503.
    leaving : bool
        Requests are refused, and the load report says that the engine is leaving.
    crash_on : str
        A prompt with this text crashes the engine; empty for none.
    pause_ms : float
        Duration of the pause; unstreamed responses take longer by it too.
    load_lag_ms, event_lag_ms : float
        Age of the load report, and delay of the cache events.
    event_gap : bool
        Batches of cache events omit the first half of their events.
    """

    break_at_token: int | None = None
    breaks: int | None = None
    hang_at_token: int | None = None
    hangs: int | None = None
    freeze_at_token: int | None = None
    pause_at_token: int | None = None
    pause_ms: float = 0.0
    refuse: bool = False
    leaving: bool = False
    crash_on: str = ""
    load_lag_ms: float = 500.0
    event_lag_ms: float = 500.0
    event_gap: bool = False


class EngineApp:
    """ASGI application of one engine.

    Parameters
    ----------
    profile : EngineProfile
        Speed and memory.
    model : str
        Model loaded at the start.
    checks_fencing : bool
        Whether orders with an outdated fencing number are refused.
    """

    def __init__(self, profile, model, checks_fencing=True):
        self.engine = EngineModel(profile)
        self.order = Order(model)
        self.checks_fencing = checks_fencing
        self.behaviour = EngineBehaviour()
        self.requests_by_id = {}
        self.cancel_count = 0
        self.answered_ids = set()
        self._paused_until_s = None
        self._is_frozen = False
        self.load_history = [(float("-inf"), self._current_load())]
        self._step_finished = trio.Event()
        self._request_submitted = trio.Event()

    def crash(self):
        """Kill this process.

        The test harness overrides this, since its engines share one process.
        """
        os.kill(os.getpid(), signal.SIGKILL)

    async def run(self):
        """Advance the engine until cancelled."""
        while True:
            if self.engine.is_idle:
                self._record_load()
                await self._request_submitted.wait()
            duration_ms, _ = self.engine.step()
            self._record_load()
            await trio.sleep(duration_ms / 1000)
            self._step_finished.set()
            self._step_finished = trio.Event()

    async def __call__(self, scope, receive, send):
        """Handle one ASGI connection."""
        if scope["type"] == "lifespan":
            return await answer_lifespan(receive, send)
        await self._block_if_frozen()
        request = HttpRequest(scope, receive)
        parts = request.path.strip("/").split("/")
        route = _ROUTES.get((request.method, parts[0], parts[1] if parts[1:] else ""))
        if route is None:
            return await send_json(send, 404, {"error": {"message": request.path}})
        return await route(self, request, send)

    async def _generate(self, request, send):
        body = msgspec.json.decode(await request.body(), type=GenerateBody)
        if self.behaviour.crash_on and self.behaviour.crash_on in body.text:
            self.crash()
            await trio.sleep_forever()
        is_refusing = self.behaviour.refuse or self.behaviour.leaving
        if is_refusing or body.model != self.order.model:
            return await send_json(send, 503, {"error": {"message": "not serving"}})
        request_id = (
            request.header("x-request-id")
            or f"req-{len(self.requests_by_id)}-{trio.current_time()}"
        )
        engine_request = EngineRequest(
            request_id,
            body.text.encode(),
            body.token_limit,
            body.priority,
            request.header("x-owner", ""),
            int(request.header("x-deadline-ms", "0")),
        )
        if not self.engine.submit(engine_request):
            message = "prompt exceeds the KV cache of this engine"
            return await send_json(send, 400, {"error": {"message": message}})
        self.requests_by_id[request_id] = (engine_request, body, request.path)
        self._request_submitted.set()
        self._request_submitted = trio.Event()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_on_disconnect, request, nursery)
                await self._respond(request_id, send, 0)
                nursery.cancel_scope.cancel()
        finally:
            if request_id in self.answered_ids or not self._may_resume(request):
                self._discard_request(request_id)

    def _may_resume(self, request):
        return request.header("x-keep-on-disconnect") == "1"

    def _discard_request(self, request_id):
        self.engine.cancel(request_id)
        self.requests_by_id.pop(request_id, None)
        self.answered_ids.discard(request_id)

    async def _respond(self, request_id, send, offset):
        engine_request, body, path = self.requests_by_id[request_id]
        if body.stream:
            await self._stream(engine_request, body, path, send, offset)
            return
        while not engine_request.is_finished:
            await self._step_finished.wait()
        await self._pause_at_token(len(engine_request.words))
        is_chat = path.startswith("/v1/chat")
        self.answered_ids.add(request_id)
        await send_json(send, 200, _completion(engine_request, body, is_chat))

    async def _stream(self, engine_request, body, path, send, offset):
        is_chat = path.startswith("/v1/chat")
        await start_response(send, 200, EVENT_STREAM)
        while True:
            await self._pause_at_token(offset)
            step_finished = self._step_finished
            if offset < len(engine_request.words):
                events = b"".join(
                    _token_event(engine_request, body, is_chat, index)
                    for index in range(offset, len(engine_request.words))
                )
                offset = len(engine_request.words)
                await send_chunk(send, events)
            self._break_stream_at_token(offset)
            freeze_at_token = self.behaviour.freeze_at_token
            self._is_frozen |= freeze_at_token is not None and offset >= freeze_at_token
            await self._block_if_frozen()
            await self._hang_at_token(offset)
            if engine_request.is_finished:
                break
            await step_finished.wait()
        if body.stream_options and body.stream_options.include_usage:
            await send_chunk(send, _usage_event(engine_request, body, is_chat))
        self.answered_ids.add(engine_request.request_id)
        await send_chunk(send, b"data: [DONE]\n\n", more=False)

    def _break_stream_at_token(self, offset):
        behaviour = self.behaviour
        if behaviour.break_at_token is None or offset < behaviour.break_at_token:
            return
        if behaviour.breaks is not None:
            behaviour.breaks -= 1
            if behaviour.breaks <= 0:
                behaviour.break_at_token = None
        raise ConnectionError("stream broken by an injected fault")

    async def _hang_at_token(self, offset):
        behaviour = self.behaviour
        if behaviour.hang_at_token is None or offset < behaviour.hang_at_token:
            return
        if behaviour.hangs is not None:
            behaviour.hangs -= 1
            if behaviour.hangs <= 0:
                behaviour.hang_at_token = None
        await trio.sleep_forever()

    async def _block_if_frozen(self):
        if self._is_frozen:
            await trio.sleep_forever()

    async def _pause_at_token(self, offset):
        behaviour = self.behaviour
        if behaviour.pause_at_token is None or offset < behaviour.pause_at_token:
            return
        now_s = trio.current_time()
        if self._paused_until_s is None:
            self._paused_until_s = now_s + behaviour.pause_ms / 1000
        await trio.sleep(max(0.0, self._paused_until_s - now_s))

    async def _resume(self, request, send):
        request_id = request.path.rsplit("/", 1)[-1]
        if request_id not in self.requests_by_id:
            return await send_json(send, 404, {"error": {"message": request_id}})
        offset = int(request.query_value("offset", "0"))
        await self._respond(request_id, send, offset)
        return self._discard_request(request_id)

    async def _cancel(self, request, send):
        request_id = request.path.rsplit("/", 1)[-1]
        found = request_id in self.requests_by_id
        self.cancel_count += 1
        self._discard_request(request_id)
        return await send_json(send, 200 if found else 404, {"cancelled": found})

    async def _list_requests(self, request, send):
        requests = [
            {
                "request_id": engine_request.request_id,
                "owner": engine_request.owner,
                "deadline_ms": engine_request.deadline_wall_ms,
                "kv_tokens": engine_request.kv_tokens,
                "finished": engine_request.is_finished,
            }
            for engine_request, _, _ in self.requests_by_id.values()
        ]
        return await send_json(send, 200, requests)

    def _current_load(self):
        return {
            "prefill_waiting_tokens": int(self.engine.prefill_waiting_tokens),
            "running": len(self.engine.running_by_id),
            "waiting": len(self.engine.waiting),
            "kv_used_tokens": self.engine.kv_used_tokens,
            "kv_capacity_tokens": self.engine.profile.kv_capacity_tokens,
            "prefill_urgent_tokens": int(self.engine.urgent_prefill_tokens),
            "urgent_prefill_ms": self.engine.urgent_prefill_ms,
            "prefill_ms": self.engine.prefill_ms,
        }

    def _record_load(self):
        self.load_history.append((trio.current_time(), self._current_load()))
        oldest = trio.current_time() - 10
        while len(self.load_history) > 1 and self.load_history[1][0] < oldest:
            self.load_history.pop(0)

    async def _load(self, request, send):
        visible_until_s = trio.current_time() - self.behaviour.load_lag_ms / 1000
        visible_reports = [
            load
            for reported_s, load in self.load_history
            if reported_s <= visible_until_s
        ]
        report = visible_reports[-1] if visible_reports else self.load_history[0][1]
        report = {**report, "leaving": self.behaviour.leaving}
        return await send_json(send, 200, report)

    async def _cache_events(self, request, send):
        after = int(request.query_value("after", "0"))
        events = self.engine.cache_events[after : after + 1000]
        start = after + len(events) // 2 if self.behaviour.event_gap else after
        batch = {
            "first": start + 1,
            "stored": [
                block_hash for stored, block_hash in events[start - after :] if stored
            ],
            "removed": [
                block_hash
                for stored, block_hash in events[start - after :]
                if not stored
            ],
        }
        await trio.sleep(self.behaviour.event_lag_ms / 1000)
        return await send_json(send, 200, batch)

    async def _apply_order(self, request, send):
        order = msgspec.json.decode(await request.body(), type=Order)
        if self.checks_fencing and order.fencing < self.order.fencing:
            return await send_json(send, 409, {"error": {"message": "old fencing"}})
        self.order = order
        return await send_json(send, 200, order)

    async def _read_order(self, request, send):
        return await send_json(send, 200, self.order)

    async def _set_behaviour(self, request, send):
        self.behaviour = msgspec.json.decode(await request.body(), type=EngineBehaviour)
        return await send_json(send, 200, self.behaviour)

    async def _health(self, request, send):
        return await send_json(send, 200, {"model": self.order.model})


_ROUTES = {
    ("POST", "v1", "completions"): EngineApp._generate,
    ("POST", "v1", "chat"): EngineApp._generate,
    ("GET", "v1", "streams"): EngineApp._resume,
    ("GET", "v1", "requests"): EngineApp._list_requests,
    ("DELETE", "v1", "requests"): EngineApp._cancel,
    ("GET", "load", ""): EngineApp._load,
    ("GET", "cache_events", ""): EngineApp._cache_events,
    ("PUT", "orders", ""): EngineApp._apply_order,
    ("GET", "orders", ""): EngineApp._read_order,
    ("PUT", "behaviour", ""): EngineApp._set_behaviour,
    ("GET", "health", ""): EngineApp._health,
}


async def _cancel_on_disconnect(request, nursery):
    await request.wait_for_disconnect()
    nursery.cancel_scope.cancel()


def _common_fields(engine_request, body, is_chat, suffix=""):
    return {
        "id": f"{'chatcmpl' if is_chat else 'cmpl'}-{engine_request.request_id}",
        "object": f"chat.completion{suffix}" if is_chat else "text_completion",
        "created": int(trio.current_time()),
        "model": body.model,
    }


def _usage(engine_request):
    return {
        "prompt_tokens": engine_request.prompt_tokens,
        "completion_tokens": len(engine_request.words),
        "total_tokens": engine_request.prompt_tokens + len(engine_request.words),
    }


def _server_sent_event(document):
    return b"data: " + msgspec.json.encode(document) + b"\n\n"


def _token_event(engine_request, body, is_chat, index):
    reason = "length" if index == engine_request.max_tokens - 1 else None
    choice = {"index": 0, "finish_reason": reason, "logprobs": None}
    if is_chat:
        choice["delta"] = {"role": "assistant", "content": engine_request.words[index]}
    else:
        choice["text"] = engine_request.words[index]
    return _server_sent_event(
        {**_common_fields(engine_request, body, is_chat, ".chunk"), "choices": [choice]}
    )


def _usage_event(engine_request, body, is_chat):
    common_fields = _common_fields(engine_request, body, is_chat, ".chunk")
    return _server_sent_event(
        {**common_fields, "choices": [], "usage": _usage(engine_request)}
    )


def _completion(engine_request, body, is_chat):
    text = "".join(engine_request.words)
    choice = {"index": 0, "finish_reason": "length", "logprobs": None}
    if is_chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        **_common_fields(engine_request, body, is_chat),
        "choices": [choice],
        "usage": _usage(engine_request),
    }
