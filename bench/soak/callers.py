"""Callers of a soak: they send requests to the gateways and record what they get."""

import h11
import trio

from bench.soak.observations import Attempt
from bench.soak.processes import process_of
from vanillareach.features.users_platform.stage import Caller
from vanillareach.utils import split_address

REQUEST_KINDS = ("read", "book", "ask")
CALLER_COUNT = 12
CONNECT_TIMEOUT_S = 1.0
# Longer than the deadline that the requests carry.
CALL_TIMEOUT_S = 8.0
MAX_REQUEST_PAUSE_S = 0.05


async def send_requests_forever(environment):
    """Send requests one after another, reusing the connection while possible."""
    caller = None
    while True:
        if caller is None:
            caller = await connect(environment)
        if caller is not None:
            can_reuse_connection = await send_request(environment, caller)
            if not can_reuse_connection:
                await caller._stream.aclose()
                caller = None
        await trio.sleep(MAX_REQUEST_PAUSE_S * environment.caller_random.random())


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
    caller = Caller(environment.stage, stream)
    caller.process = process
    return caller


async def send_request(environment, caller, kind=None):
    """Send a request, record its `Attempt`, return whether to keep the connection."""
    kind = kind or environment.caller_random.choice(REQUEST_KINDS)
    attempt = Attempt(environment.next_id(), kind, trio.current_time())
    attempt.process = caller.process
    environment.attempts.append(attempt)
    header_values = {"Vanillareach_Attempt_Id": attempt.id}
    if kind == "ask":
        tokens = environment.caller_random.choice((900, 30_000, 120_000))
        header_values["Vanillareach_Token_Usage"] = f"{tokens},100"
    if caller._connection.our_state is h11.DONE:
        caller._connection.start_next_cycle()
    response = None
    with trio.move_on_after(CALL_TIMEOUT_S):
        try:
            await caller.send(f"/{kind}/x", **header_values)
            attempt.sent_s = trio.current_time()
            response = await caller.receive()
        except (OSError, trio.BrokenResourceError, h11.ProtocolError):
            return False
    if response is None:
        return False
    attempt.ended_s = trio.current_time()
    attempt.status, attempt.is_complete = response.status, response.is_complete
    attempt.body = response.body
    will_close = response.values_by_name.get(b"connection") == b"close"
    return response.is_complete and not will_close
