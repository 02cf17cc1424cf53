"""Requesters as PROTOCOL.md describes them."""

import asyncio
import secrets
import time

from review.common3.http1 import encode_request, read_body, read_head

HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"


class Attempt:
    """One requester attempt and what came back.

    Attributes
    ----------
    id : str
    status : int or None
        None without an answer.
    headers : dict of str to str
    body : bytes
    is_complete : bool
        Whether the whole answer came.
    sent_s, ended_s : float
        By the monotonic clock.
    """

    def __init__(self):
        self.id = secrets.token_hex(8)
        self.status = None
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self.sent_s = None
        self.ended_s = None

    def describe(self, zero_s):
        """Return a line for the record."""
        sent = "never" if self.sent_s is None else f"{self.sent_s - zero_s:.3f} s"
        ended = "never" if self.ended_s is None else f"{self.ended_s - zero_s:.3f} s"
        return (
            f"{self.id} sent {sent} status {self.status} bytes {len(self.body)} "
            f"complete {self.is_complete} ended {ended}"
        )


class Channel:
    """One connection of a requester to a gateway."""

    def __init__(self):
        self.reader = None
        self.writer = None

    async def open(self, address):
        """Connect."""
        self.reader, self.writer = await asyncio.open_connection(*address)
        return self

    async def send(
        self, method, path, deadline_ms, headers=(), body=None, attempt=None
    ):
        """Send a request and return its `Attempt`."""
        attempt = attempt or Attempt()
        fields = [
            ("Host", HOST),
            ("Vanillareach-Attempt-Id", attempt.id),
            ("Vanillareach-Deadline-Ms", str(deadline_ms)),
            ("Authorization", f"Bearer {KEY}"),
            *headers,
        ]
        try:
            self.writer.write(encode_request(method, path, fields, body))
            await self.writer.drain()
            attempt.sent_s = time.monotonic()
        except ConnectionError:
            # The answer may have arrived before; otherwise there is none.
            pass
        return attempt

    async def receive(self, attempt, on_data=None):
        """Read the answer of an attempt."""
        head = await read_head(self.reader)
        if head is not None:
            attempt.status, attempt.headers = head.status, head.headers
            attempt.body, attempt.is_complete = await read_body(
                self.reader, head.headers, on_data, ends_by_close=True
            )
        attempt.ended_s = time.monotonic()
        return attempt

    def close(self):
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()


async def request(address, method, path, deadline_ms, headers=(), body=None):
    """Send one request on a new channel, and return its ended `Attempt`."""
    attempt, channel = Attempt(), Channel()
    try:
        await channel.open(address)
        await channel.send(method, path, deadline_ms, headers, body, attempt)
        async with asyncio.timeout(deadline_ms / 1000):
            await channel.receive(attempt)
    except (OSError, TimeoutError):
        attempt.ended_s = time.monotonic()
    finally:
        channel.close()
    return attempt
