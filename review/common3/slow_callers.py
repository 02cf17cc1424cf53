"""Requesters that keep their channels and may read slowly."""

import asyncio
import socket

from review.common3.callers import Channel
from review.common3.scenario import CaseError

RECEIVE_BUFFER_BYTES = 65_536


async def open_kept_channel(address, path, deadline_ms):
    """Return a `Channel` that has served a request at `path` already."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, address)
    channel = Channel()
    channel.reader, channel.writer = await asyncio.open_connection(
        sock=sock, limit=RECEIVE_BUFFER_BYTES
    )
    attempt = await channel.send("GET", path, deadline_ms)
    await channel.receive(attempt)
    if not attempt.is_complete:
        raise CaseError("no answer before the disruption")
    return channel


async def read_after(channel, method, path, deadline_ms, pause_s, body=None):
    """Send a request, read its answer after a pause, and return the `Attempt`."""
    transport = channel.writer.transport
    if pause_s:
        transport.pause_reading()
    attempt = await channel.send(method, path, deadline_ms, body=body)
    if pause_s:
        await asyncio.sleep(pause_s)
        if not transport.is_closing():
            transport.resume_reading()
    return await channel.receive(attempt)
