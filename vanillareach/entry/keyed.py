"""Calls with an idempotency key, which run at most once.

A call is claimed in the ledger before it runs, and settled with its outcome afterwards.
"""

import trio

from vanillareach.core.hashing import hash128_hex
from vanillareach.core.ledger import (
    MAX_ANSWER_BYTES,
    Claim,
    ClaimGranted,
    ClaimRecord,
    ClaimState,
    Settle,
    claim_key,
)
from vanillareach.core.outcomes import Outcome
from vanillareach.utils import new_id

MAX_KEY_LENGTH = 255
SETTLE_TIMEOUT_MS = 2000
STATE_BY_OUTCOME = {
    Outcome.DONE: ClaimState.DONE,
    Outcome.FAILED: ClaimState.FAILED,
    Outcome.NOT_RUN: ClaimState.NOT_RUN,
    Outcome.UNKNOWN: ClaimState.UNKNOWN,
}


class KeyedCall:
    """One call with an idempotency key.

    Parameters
    ----------
    components : EntryComponents
    exchange : Exchange
    service : str
    key : str
        Idempotency key that the caller sent.
    body : bytes
        Body of the call; part of the fingerprint that a repeated call must match.
    """

    def __init__(self, components, exchange, service, key, body):
        self._components = components
        self._exchange = exchange
        self._key = claim_key(exchange.team.name, service, key)
        self._attempt_id = new_id("a")
        request = exchange.request
        signature = f"{request.method} {request.path}?{request.query}\n".encode()
        self._fingerprint = hash128_hex(signature + body)
        self.answer_status = 0
        self.answer_body = b""
        self.answer_content_type = b""

    async def claim(self):
        """Store the claim durably.

        Returns
        -------
        ClaimGranted, RecordedAnswer or Refusal
            The call may be dispatched only after `ClaimGranted`.
        """
        components = self._components
        exchange = self._exchange
        remaining_ms = exchange.deadline_ms - components.clock.now_ms()
        record = ClaimRecord(
            self._attempt_id,
            self._fingerprint,
            components.owner,
            int(components.clock.wall_ms() + remaining_ms),
        )
        span = components.traces.start_child_span("ledger.claim", exchange.span)
        try:
            result = await components.ledger.claim(
                Claim(self._key, record), exchange.deadline_ms
            )
            span.set_attribute("result", type(result).__name__)
            if isinstance(result, ClaimGranted):
                self._attempt_id = result.attempt
            return result
        finally:
            span.end()

    def record_answer(self, status, body, content_type):
        """Keep the response for `settle`, without its body if that is too large.

        A later call with the same key is answered from it.
        """
        self.answer_status = status
        self.answer_content_type = content_type
        if len(body) <= MAX_ANSWER_BYTES:
            self.answer_body = body

    async def settle(self):
        """Record the outcome in the ledger.

        Shielded, since it must also run while the instance is being stopped.
        """
        exchange = self._exchange
        outcome = exchange.outcome or exchange.outcome_if_unanswered
        settle = Settle(
            self._key,
            self._attempt_id,
            STATE_BY_OUTCOME[outcome],
            self.answer_status,
            self.answer_body.decode("utf-8", "replace"),
            self.answer_content_type.decode("latin-1"),
        )
        with (
            trio.CancelScope(shield=True),
            trio.move_on_after(SETTLE_TIMEOUT_MS / 1000),
        ):
            await self._components.ledger.settle(settle)


async def send_recorded_answer(exchange, record):
    """Answer a repeated key with the recorded response of its only run."""
    headers = ((b"x-replayed", b"1"),)
    status = record.status or (200 if record.state is ClaimState.DONE else 502)
    await exchange.answer(
        status, record.answer.encode(), record.content_type.encode(), headers
    )
