"""Control calls to model engines, and the request bodies that engines accept."""

import msgspec
import trio

from vanillareach.clock import MS_PER_SECOND
from vanillareach.core.directory import LoadReport
from vanillareach.endpoints.base import EndpointBrokenError, EndpointCall, EndpointError
from vanillareach.endpoints.limits import MAX_CONTROL_ANSWER_BYTES

JSON_HEADERS = [(b"content-type", b"application/json")]
# Time limit of a whole call; an engine answers from memory.
CONTROL_CALL_TIMEOUT_MS = 2000
PRIORITY_FIELD = "priority"


class StreamOptions(msgspec.Struct):
    """Options of a streamed response."""

    include_usage: bool = False


class ChatMessage(msgspec.Struct):
    """One message of a chat; content parts other than text are ignored."""

    role: str
    content: str | list[dict] | None = None

    @property
    def text(self):
        """Text of the message."""
        if isinstance(self.content, list):
            return "".join(part.get("text", "") for part in self.content)
        return self.content or ""


class GenerateRequest(msgspec.Struct):
    """Fields of a completions or chat completions request that the entry reads."""

    model: str
    prompt: str | None = None
    messages: list[ChatMessage] | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    stream_options: StreamOptions | None = None
    n: int | None = None

    @property
    def max_answer_tokens(self):
        """Maximum number of tokens to generate, or None if the caller set no limit."""
        return self.max_tokens or self.max_completion_tokens

    @property
    def includes_usage(self):
        """Whether the stream ends with an event that reports token usage."""
        return self.stream_options is not None and self.stream_options.include_usage

    def prompt_text(self):
        """Return the prompt as the engine renders it, for estimates and prefixes."""
        if self.messages is None:
            return self.prompt or ""
        lines = [f"{message.role}: {message.text}" for message in self.messages]
        return "\n".join(lines) + "\nassistant: "


class LoadResponse(LoadReport, frozen=True, array_like=False):
    """Load report as engines encode it: a JSON object keyed by field name."""


class ResidentRequest(msgspec.Struct):
    """A request that occupies memory on an engine, with its owner and deadline."""

    request_id: str
    owner: str
    deadline_ms: int
    kv_tokens: int
    finished: bool = False


class CacheEvents(msgspec.Struct):
    """A batch of prefix cache events; `first` is the sequence number of the first."""

    first: int
    stored: list[int] = []
    removed: list[int] = []


class EngineOrder(msgspec.Struct):
    """Desired state of an engine, with the fencing number of the lease holder."""

    model: str
    version: str = "1"
    adapters: tuple[str, ...] = ()
    role: str = "mixed"
    fencing: int = 0


class OrderRefusedError(EndpointError):
    """The engine refused an order because of an outdated fencing number."""


def replace_json_fields(body, **fields):
    """Return the JSON object `body` with top-level fields replaced.

    The other fields are copied as bytes, without being parsed.
    """
    raw_values_by_field = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    for name, value in fields.items():
        raw_values_by_field[name] = msgspec.Raw(msgspec.json.encode(value))
    return msgspec.json.encode(raw_values_by_field)


def is_json(body):
    """Return whether `body` is one complete JSON document."""
    try:
        msgspec.json.decode(body, type=msgspec.Raw)
    except msgspec.DecodeError:
        return False
    return True


class EngineClient:
    """Control calls to engines.

    Parameters
    ----------
    port : EndpointPort
    """

    def __init__(self, port):
        self._port = port

    async def read_load(self, address):
        """Return the engine's `LoadReport`."""
        response = await self._call("GET", address, "/load", LoadResponse)
        return LoadReport(*msgspec.structs.astuple(response))

    async def list_requests(self, address):
        """Return the requests that occupy memory on the engine."""
        return await self._call("GET", address, "/v1/requests", list[ResidentRequest])

    async def cache_events(self, address, after):
        """Return the cache events with a sequence number above `after`."""
        path = f"/cache_events?after={after}"
        return await self._call("GET", address, path, CacheEvents)

    async def cancel(self, address, request_id):
        """Cancel a request on the engine, which frees its memory."""
        await self._call("DELETE", address, f"/v1/requests/{request_id}", dict)

    async def read_order(self, address):
        """Return the engine's current state as an `EngineOrder`."""
        return await self._call("GET", address, "/orders", EngineOrder)

    async def send_order(self, address, order):
        """Send an order.

        Raises
        ------
        OrderRefusedError
            If the engine has seen a newer fencing number.
        """
        body = msgspec.json.encode(order)
        return await self._call("PUT", address, "/orders", EngineOrder, body)

    async def _call(self, method, address, path, expected_type, body=b""):
        call = EndpointCall(
            method,
            address,
            path,
            JSON_HEADERS,
            body,
            CONTROL_CALL_TIMEOUT_MS,
            can_reuse_connection=True,
        )
        try:
            with trio.fail_after(CONTROL_CALL_TIMEOUT_MS / MS_PER_SECOND):
                async with self._port.open(call) as response:
                    content = await response.read(MAX_CONTROL_ANSWER_BYTES)
        except trio.TooSlowError as error:
            raise EndpointBrokenError(
                f"{address}{path}: incomplete after {CONTROL_CALL_TIMEOUT_MS} ms"
            ) from error
        if response.status == 409:
            raise OrderRefusedError(address)
        if response.status not in (200, 404):
            raise EndpointBrokenError(f"{address}{path}: status {response.status}")
        try:
            return msgspec.json.decode(content, type=expected_type)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            raise EndpointBrokenError(f"{address}{path}: {error}") from error
