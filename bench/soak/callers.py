"""Callers of a soak: they send requests to the gateways and record what they get."""

from dataclasses import dataclass

import h11
import trio

from bench.soak.observations import Attempt
from bench.soak.processes import process_of
from bench.soak.tainted import prefix_header
from bench.soak.world import SERVICES_BY_KIND, STREAM_KINDS
from vanillareach.features.users_platform.stage import Caller
from vanillareach.utils import split_address

# Kinds of requests on routes that every version of the configuration has.
REQUEST_KINDS = ("read", "book", "ask")
CALLER_COUNT = 40
CONNECT_TIMEOUT_S = 1.0
# Longer than the deadline that the requests carry.
CALL_TIMEOUT_S = 8.0
IGNORES_CLOSE_SHARE = 0.4
LONG_PAUSE_SHARE = 0.3
LONG_PAUSE_S = 5.0
SHORT_PAUSE_S = 0.05
# Requests that are sent in two parts; the pause is shorter than the header timeout.
SLOW_SEND_SHARE = 0.1
MAX_SEND_PAUSE_S = 1.2


@dataclass(slots=True, frozen=True)
class CallerHabits:
    """How a caller uses its connection.

    Attributes
    ----------
    ignores_close : bool
        Whether it sends on a connection that the gateway said it would close, until it
        sees the end of it.
    max_pause_s : float
        Longest time between two requests.
    """

    ignores_close: bool
    max_pause_s: float


def draw_habits(generator):
    """Return random `CallerHabits`."""
    return CallerHabits(
        generator.random() < IGNORES_CLOSE_SHARE,
        LONG_PAUSE_S if generator.random() < LONG_PAUSE_SHARE else SHORT_PAUSE_S,
    )


async def send_requests_forever(environment, habits):
    """Send requests one after another, on one connection until the gateway ends it."""
    caller = None
    while True:
        if caller is None:
            caller = await connect(environment)
        if caller is not None:
            reply = await send_request(environment, caller)
            is_open = reply is not None and reply.is_complete
            if not is_open or (caller.is_closing and not habits.ignores_close):
                await caller._stream.aclose()
                caller = None
        await trio.sleep(habits.max_pause_s * environment.caller_random.random())


class SlowSendStream:
    """Stream that sends some data in two parts, with a pause at a random place.

    Parameters
    ----------
    stream : trio.SocketStream
    generator : random.Random
    """

    def __init__(self, stream, generator):
        self._stream = stream
        self._random = generator
        self.receive_some = stream.receive_some
        self.aclose = stream.aclose

    async def send_all(self, data):
        """Send `data`, a share of it slowly."""
        if self._random.random() < SLOW_SEND_SHARE:
            size = self._random.randrange(1, len(data))
            await self._stream.send_all(data[:size])
            await trio.sleep(MAX_SEND_PAUSE_S * self._random.random())
            data = data[size:]
        await self._stream.send_all(data)


async def connect(environment, gateway=None):
    """Return a `Caller` connected to a gateway, or None if it refuses."""
    gateway = gateway or environment.caller_random.choice(environment.gateways)
    address = split_address(gateway.address("front"))
    process = process_of(gateway)
    try:
        with trio.fail_after(CONNECT_TIMEOUT_S):
            stream = await trio.open_tcp_stream(*address)
    except (OSError, trio.TooSlowError):
        await trio.sleep(0.1)
        return None
    if process is None or process != process_of(gateway):
        # It isn't known which of the two processes has taken the connection.
        await stream.aclose()
        return None
    stream = SlowSendStream(stream, environment.caller_random)
    caller = Caller(environment.stage, stream)
    caller.process = process
    caller.idle_since_s, caller.is_closing = trio.current_time(), False
    return caller


async def send_request(environment, caller, kind=None):
    """Send a request, record its `Attempt`, return the response or None."""
    kind = kind or environment.caller_random.choice(tuple(SERVICES_BY_KIND))
    attempt = Attempt(environment.next_id(), kind, trio.current_time())
    attempt.process, attempt.was_close_announced = caller.process, caller.is_closing
    attempt.idle_s = attempt.started_s - caller.idle_since_s
    environment.attempts.append(attempt)
    header_values = {"Vanillareach_Attempt_Id": attempt.id}
    if kind in STREAM_KINDS:
        tokens = environment.caller_random.choice((900, 30_000, 120_000))
        header_values["Vanillareach_Token_Usage"] = f"{tokens},100"
        attempt.prompt_tokens = tokens
    body = b"body"
    if environment.prompts is not None and kind in STREAM_KINDS:
        attempt.prompt_parts = environment.prompts.draw(kind)
        header_values["Vanillareach_Prompt_Prefix"] = prefix_header(attempt)
        # Requests with the same body are taken for one that is sent again.
        body = attempt.id.encode()
    # Also after a response that announced the end of the connection.
    caller._connection = h11.Connection(h11.CLIENT)
    response = None
    with trio.move_on_after(CALL_TIMEOUT_S):
        try:
            await caller.send(f"/{kind}/x", body=body, **header_values)
            attempt.sent_s = trio.current_time()
            response = await caller.receive()
        except (OSError, trio.BrokenResourceError, h11.ProtocolError):
            return None
    if response is None:
        return None
    attempt.ended_s = trio.current_time()
    attempt.status, attempt.is_complete = response.status, response.is_complete
    attempt.body = response.body
    caller.idle_since_s = attempt.ended_s
    caller.is_closing = response.values_by_name.get(b"connection") == b"close"
    return response
