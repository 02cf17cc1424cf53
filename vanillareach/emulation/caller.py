"""Callers of a scenario: each request, its second try, and what it got."""

from dataclasses import dataclass
from enum import StrEnum

import trio

from vanillareach.clock import MS_PER_SECOND, TrioClock
from vanillareach.emulation.scenario import HOST, KEY
from vanillareach.endpoints.base import EndpointBrokenError, EndpointUnreachableError
from vanillareach.gateway.upstream import UpstreamRequest, open_upstream
from vanillareach.platform import emulated_wire

# Tries of a caller, the first included.
MAX_TRIES = 2
EVENT_END = b"\n\n"
# Bytes of a failure's body that are read.
FAILURE_BYTES = 1_048_576
REFUSALS = frozenset((429, 503))


class Outcome(StrEnum):
    """What became of a request."""

    IN_TIME = "in_time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class CallRecord:
    """One request and what its caller saw.

    Attributes
    ----------
    kind : str
    at_s : float
        When it was sent first, from the start.
    first_ms : float or None
        From the first try to the first event, or to the answer of a plain service.
    longest_pause_ms : float
    tries : int
    outcome : Outcome
    """

    kind: str
    at_s: float
    first_ms: float | None = None
    longest_pause_ms: float = 0.0
    tries: int = 0
    outcome: Outcome = Outcome.FAILED


class EmulatedCaller:
    """Sends the requests of a scenario to gateways.

    Parameters
    ----------
    scenario : Scenario
    targets : list of str
        Addresses of gateways.
    random : random.Random
        Chooses the gateway of a try.
    """

    def __init__(self, scenario, targets, random):
        self._scenario = scenario
        self._targets = targets
        self._random = random
        self._clock = TrioClock()
        self.records = []
        self.sent = 0

    async def run(self, arrivals):
        """Send all arrivals at their times and wait for their answers."""
        began_ms = self._clock.now_ms()
        async with trio.open_nursery() as nursery:
            for arrival in arrivals:
                elapsed_ms = self._clock.now_ms() - began_ms
                wait_ms = arrival.at_s * MS_PER_SECOND - elapsed_ms
                await self._clock.sleep_ms(max(0.0, wait_ms))
                self.sent += 1
                nursery.start_soon(self._call, arrival)

    async def _call(self, arrival):
        record = CallRecord(arrival.kind.name, arrival.at_s)
        began_ms = self._clock.now_ms()
        with trio.move_on_after(arrival.kind.deadline_ms / MS_PER_SECOND):
            await self._try_until_answered(arrival, record, began_ms)
        self.records.append(record)

    async def _try_until_answered(self, arrival, record, began_ms):
        while True:
            record.tries += 1
            try:
                status, wait_ms = await self._try(arrival, record, began_ms)
            except EndpointUnreachableError:
                status, wait_ms = None, 0.0
            except EndpointBrokenError:
                status, wait_ms = None, None
            record.outcome = self._outcome(arrival, record, status)
            may_return = wait_ms is not None or arrival.kind.repeatable
            if status == 200 or not may_return or record.tries == MAX_TRIES:
                return
            await self._clock.sleep_ms(wait_ms or 0.0)

    def _outcome(self, arrival, record, status):
        if status in REFUSALS:
            return Outcome.REFUSED
        if status != 200:
            return Outcome.FAILED
        kind = arrival.kind
        in_time = record.first_ms <= self._scenario.objective_ms(kind)
        if kind.pause_ms:
            in_time = in_time and record.longest_pause_ms <= kind.pause_ms
        return Outcome.IN_TIME if in_time else Outcome.LATE

    async def _try(self, arrival, record, began_ms):
        """Send once; return the status, and how long to wait before the next try."""
        elapsed_ms = self._clock.now_ms() - began_ms
        request = self._request(arrival, record.tries, elapsed_ms)
        async with open_upstream(request, lambda: None) as answer:
            if answer.status != 200:
                await answer.read(FAILURE_BYTES)
                return answer.status, emulated_wire.retry_after_ms(answer.headers)
            await self._read(arrival, answer, record, began_ms)
            return answer.status, None

    def _request(self, arrival, tries, elapsed_ms):
        kind = arrival.kind
        headers = emulated_wire.caller_headers(
            f"emulated-{arrival.number}-{tries}",
            KEY,
            max(1.0, kind.deadline_ms - elapsed_ms),
            arrival.prompt_tokens,
            arrival.answer_tokens,
        )
        return UpstreamRequest(
            address=self._random.choice(self._targets),
            method=b"POST",
            target=f"/{kind.name}/{arrival.number}".encode(),
            headers=headers,
            host=HOST.encode(),
            body=b"emulated",
        )

    async def _read(self, arrival, answer, record, began_ms):
        is_stream = self._scenario.is_generation(arrival.kind)
        last_ms, data = None, b""
        while (part := await answer.next_data()) is not None:
            now_ms = self._clock.now_ms()
            data += part
            if not is_stream or EVENT_END not in data:
                continue
            if last_ms is None:
                record.first_ms = now_ms - began_ms
            else:
                pause_ms = now_ms - last_ms
                record.longest_pause_ms = max(record.longest_pause_ms, pause_ms)
            last_ms, data = now_ms, data.rpartition(EVENT_END)[2]
        if record.first_ms is None:
            record.first_ms = self._clock.now_ms() - began_ms
