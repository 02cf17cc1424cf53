"""Steps about messages of peers that exceed a limit."""

import struct
from contextlib import suppress

import trio
from behave import given, then, when

from vanillareach.core.messages import PushAck, StateQuery
from vanillareach.features.users_platform.stage import free_address
from vanillareach.peers.link import NngLink, PeerError
from vanillareach.traffic import ControlTraffic
from vanillareach.utils import split_address

KEY = "peer-key"
REQUESTER, REPLIER = 0x30, 0x31
HANDSHAKE_BYTES = 8
CALL_TIMEOUT_MS = 2_000.0
TEST_TIMEOUT_S = 30.0
QUERY = StateQuery(True, True)


def handshake(protocol):
    """Return the first bytes of an nng connection over TCP."""
    return b"\0SP\0" + struct.pack(">HH", protocol, 0)


def announced(size):
    """Return the length with which an nng message over TCP starts."""
    return struct.pack(">Q", size)


async def acknowledge(message):
    """Reply to any message."""
    return PushAck()


@given("an instance that serves its peers")
def step_serving_instance(context):
    context.peer_address = free_address()


@when("a peer announces a message of {size:d} bytes")
def step_announce_message(context, size):
    context.reply = context.received_after = None

    async def announce():
        stream = await trio.open_tcp_stream(*split_address(context.peer_address))
        async with stream:
            await stream.send_all(handshake(REQUESTER))
            received = b""
            while len(received) < HANDSHAKE_BYTES:
                received += await stream.receive_some(HANDSHAKE_BYTES - len(received))
            await stream.send_all(announced(size) + bytes(65_536))
            try:
                context.received_after = await stream.receive_some(1)
            except trio.BrokenResourceError:
                context.received_after = b""

    async def main():
        server = NngLink(context.peer_address, KEY, ControlTraffic())
        client = NngLink(free_address(), KEY, ControlTraffic())
        with trio.fail_after(TEST_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(server.serve, acknowledge)
                context.reply = await client.call(
                    context.peer_address, QUERY, CALL_TIMEOUT_MS
                )
                await announce()
                context.reply = await client.call(
                    context.peer_address, QUERY, CALL_TIMEOUT_MS
                )
                nursery.cancel_scope.cancel()
        client.close()

    trio.run(main)


@then("the peer is disconnected")
def step_disconnected(context):
    assert context.received_after == b"", context.received_after


@then("a call of another peer gets a reply")
def step_other_peer(context):
    assert isinstance(context.reply, PushAck), context.reply


@given("a peer that announces a reply of {size:d} bytes")
def step_announcing_peer(context, size):
    async def serve(stream):
        with suppress(trio.BrokenResourceError):
            await stream.send_all(handshake(REPLIER))
            received = b""
            # The length of the request, a request id and a message.
            while len(received) <= 2 * HANDSHAKE_BYTES:
                data = await stream.receive_some(65_536)
                if not data:
                    return
                received += data
            request_id = received[2 * HANDSHAKE_BYTES :][:4]
            await stream.send_all(announced(size) + request_id)
            await stream.send_all(bytes(size))
        await stream.aclose()

    context.serve_peer = serve


@then("a call of this peer fails with {name}")
def step_call_fails(context, name):
    errors = []

    async def main():
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        client = NngLink(free_address(), KEY, ControlTraffic())
        with trio.fail_after(TEST_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, context.serve_peer, listeners)
                try:
                    await client.call(f"127.0.0.1:{port}", QUERY, CALL_TIMEOUT_MS)
                except PeerError as error:
                    errors.append(type(error).__name__)
                nursery.cancel_scope.cancel()
        client.close()

    trio.run(main)
    assert errors == [name], errors
