"""Callers of a scenario: send requests, repeat them once, record the outcomes."""

from dataclasses import dataclass
from enum import StrEnum

import trio

from vanillareach.clock import MS_PER_SECOND, TrioClock
from vanillareach.emulation.scenario import API_KEY, ROUTE_HOST
from vanillareach.endpoints.base import EndpointBrokenError, EndpointUnreachableError
from vanillareach.gateway.upstream import UpstreamRequest, open_upstream
from vanillareach.platform import emulated_wire

# Including the first try.
MAX_TRIES = 2
EVENT_END = b"\n\n"
# Bytes of the body of an unsuccessful response that are read at most.
MAX_FAILURE_BODY_BYTES = 1_048_576
REFUSAL_STATUSES = frozenset((429, 503))


class Outcome(StrEnum):
    """Result of a request from its caller's point of view."""

    IN_TIME = "in_time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class CallRecord:
    """One request and its measured result.

    Attributes
    ----------
    kind : str
    at_s : float
        Time of the first try since the start of the run.
    time_to_first_event_ms : float or None
        From the first try to the first event, or to the response of a plain service.
    longest_pause_ms : float
        Longest time between two events.
    try_count : int
    outcome : Outcome
    """

    kind: str
    at_s: float
    time_to_first_event_ms: float | None = None
    longest_pause_ms: float = 0.0
    try_count: int = 0
    outcome: Outcome = Outcome.FAILED


class EmulatedCaller:
    """Sends the requests of a scenario to gateways and records their results.

    Parameters
    ----------
    scenario : Scenario
    targets : list of str
        Addresses of gateways.
    random : random.Random
        Chooses the gateway of each try.

    Attributes
    ----------
    records : list of CallRecord
        Requests that are over, in the order of their ends.
    sent_count : int
        Requests that were sent at least once.
    """

    def __init__(self, scenario, targets, random):
        self._scenario = scenario
        self._targets = targets
        self._random = random
        self._clock = TrioClock()
        self.records = []
        self.sent_count = 0

    async def run(self, arrivals):
        """Send all requests at their arrival times and wait for their responses."""
        start_ms = self._clock.now_ms()
        async with trio.open_nursery() as nursery:
            for arrival in arrivals:
                elapsed_ms = self._clock.now_ms() - start_ms
                wait_ms = arrival.at_s * MS_PER_SECOND - elapsed_ms
                await self._clock.sleep_ms(max(0.0, wait_ms))
                self.sent_count += 1
                nursery.start_soon(self._call, arrival)

    async def _call(self, arrival):
        record = CallRecord(arrival.kind.name, arrival.at_s)
        start_ms = self._clock.now_ms()
        with trio.move_on_after(arrival.kind.deadline_ms / MS_PER_SECOND):
            await self._send_with_retries(arrival, record, start_ms)
        self.records.append(record)

    async def _send_with_retries(self, arrival, record, start_ms):
        while True:
            record.try_count += 1
            try:
                status, wait_ms = await self._send_once(arrival, record, start_ms)
            except EndpointUnreachableError:
                status, wait_ms = None, 0.0
            except EndpointBrokenError:
                status, wait_ms = None, None
            record.outcome = self._classify(arrival, record, status)
            # A request that isn't repeatable is sent again only if no connection was
            # made or the response asks for another try.
            may_retry = wait_ms is not None or arrival.kind.repeatable
            if status == 200 or not may_retry or record.try_count == MAX_TRIES:
                return
            await self._clock.sleep_ms(wait_ms or 0.0)

    def _classify(self, arrival, record, status):
        if status in REFUSAL_STATUSES:
            return Outcome.REFUSED
        if status != 200:
            return Outcome.FAILED
        kind = arrival.kind
        in_time = record.time_to_first_event_ms <= self._scenario.objective_ms(kind)
        if kind.pause_ms:
            in_time = in_time and record.longest_pause_ms <= kind.pause_ms
        return Outcome.IN_TIME if in_time else Outcome.LATE

    async def _send_once(self, arrival, record, start_ms):
        """Send one try.

        Returns
        -------
        status : int
        wait_ms : float or None
            Delay before another try that the response asks for; None if it asks for
            none.
        """
        elapsed_ms = self._clock.now_ms() - start_ms
        request = self._build_request(arrival, record.try_count, elapsed_ms)
        async with open_upstream(request, lambda: None) as response:
            if response.status != 200:
                await response.read(MAX_FAILURE_BODY_BYTES)
                return response.status, emulated_wire.retry_after_ms(response.headers)
            await self._read_response(arrival, response, record, start_ms)
            return response.status, None

    def _build_request(self, arrival, try_count, elapsed_ms):
        kind = arrival.kind
        headers = emulated_wire.caller_headers(
            f"emulated-{arrival.number}-{try_count}",
            API_KEY,
            max(1.0, kind.deadline_ms - elapsed_ms),
            arrival.prompt_tokens,
            arrival.answer_tokens,
        )
        return UpstreamRequest(
            address=self._random.choice(self._targets),
            method=b"POST",
            target=f"/{kind.name}/{arrival.number}".encode(),
            headers=headers,
            host=ROUTE_HOST.encode(),
            body=b"emulated",
        )

    async def _read_response(self, arrival, response, record, start_ms):
        is_stream = self._scenario.is_generation(arrival.kind)
        last_event_ms, unparsed = None, b""
        while (chunk := await response.next_data()) is not None:
            now_ms = self._clock.now_ms()
            unparsed += chunk
            if not is_stream or EVENT_END not in unparsed:
                continue
            if last_event_ms is None:
                record.time_to_first_event_ms = now_ms - start_ms
            else:
                pause_ms = now_ms - last_event_ms
                record.longest_pause_ms = max(record.longest_pause_ms, pause_ms)
            last_event_ms, unparsed = now_ms, unparsed.rpartition(EVENT_END)[2]
        if record.time_to_first_event_ms is None:
            record.time_to_first_event_ms = self._clock.now_ms() - start_ms
