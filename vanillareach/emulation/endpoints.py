"""Emulated engines and plain services that speak the platform's protocol."""

from abc import ABC, abstractmethod

import trio

from vanillareach.clock import MS_PER_SECOND
from vanillareach.emulation.passes import EnginePasses
from vanillareach.gateway.connections import ResponseAbortedError
from vanillareach.platform import emulated_wire

STREAM_HEADERS = [
    (b"Content-Type", b"text/event-stream"),
    (b"Transfer-Encoding", b"chunked"),
]


class EmulatedEndpoint(ABC):
    """Base class of emulated engines and plain services.

    Parameters
    ----------
    name : str
    slots : int

    Attributes
    ----------
    fault : str
        Fault in force: "silent", "refuse", "quiet" or "fail"; empty for none.
    is_leaving : bool
        Whether all responses say that the endpoint leaves.
    pace : float
        Slowdown factor.
    started_count : int
        Number of requests that were started.
    """

    def __init__(self, name, slots):
        self.name = name
        self.slots = slots
        self.fault = ""
        self.is_leaving = False
        self.pace = 1.0
        self.started_count = 0
        self._quiet_until_s = 0.0
        self._faults_ended = trio.Event()

    def start_fault(self, fault):
        """Put a fault into force."""
        self.fault = fault

    def start_quiet(self, duration_s):
        """Refuse all requests, and ask for none for the rest of a time."""
        self.fault = "quiet"
        self._quiet_until_s = trio.current_time() + duration_s

    def end_faults(self):
        """End all faults, the slowdown included."""
        self.fault = ""
        self.pace = 1.0
        self._faults_ended.set()
        self._faults_ended = trio.Event()

    async def handle(self, request, responder):
        """Handle one request."""
        if emulated_wire.is_reservation_request(request):
            return await self._answer_reservation_request(request, responder)
        fields = emulated_wire.read_endpoint_request(request.headers)
        if fields.target not in (None, self.name):
            headers = emulated_wire.misdirected_headers(self.name)
            return await responder.answer(421, headers, b"")
        if self.fault in ("refuse", "quiet") or not self._has_capacity(fields):
            return await responder.answer(503, self._refusal_headers(), b"")
        if self.fault == "silent":
            await self._faults_ended.wait()
        self.started_count += 1
        if self.fault == "fail":
            headers = self._response_headers(fields)
            return await responder.answer(500, headers, b"emulated failure")
        return await self._run_request(fields, responder)

    def _response_headers(self, fields):
        """Return the headers of a response to a request that was run."""
        headers = emulated_wire.signed_response_headers(fields.attempt_id)
        return headers + self._leaving_headers()

    def _refusal_headers(self):
        """Return the headers of a 503."""
        headers = emulated_wire.not_executed_headers() + self._leaving_headers()
        if self.fault == "quiet":
            remaining_s = max(0.0, self._quiet_until_s - trio.current_time())
            headers += emulated_wire.quiet_headers(remaining_s)
        return headers

    def _leaving_headers(self):
        return emulated_wire.leaving_headers() if self.is_leaving else []

    @abstractmethod
    def _has_capacity(self, fields):
        """Return whether a request can start."""

    @abstractmethod
    async def _run_request(self, fields, responder):
        """Run a request and send its response."""

    async def _answer_reservation_request(self, request, responder):
        await responder.answer(404, [], b"")


class EmulatedService(EmulatedEndpoint):
    """A plain service with random processing times.

    Parameters
    ----------
    name : str
    slots : int
    work_ms : float
        Mean processing time of a request.
    random : random.Random
    """

    def __init__(self, name, slots, work_ms, random):
        super().__init__(name, slots)
        self._work_ms = work_ms
        self._random = random
        self._running_count = 0

    def _has_capacity(self, fields):
        return self._running_count < self.slots

    async def _run_request(self, fields, responder):
        self._running_count += 1
        try:
            duration_factor = 0.5 + 0.5 * self._random.expovariate(1.0)
            await trio.sleep(
                self.pace * duration_factor * self._work_ms / MS_PER_SECOND
            )
        finally:
            self._running_count -= 1
        headers = self._response_headers(fields)
        await responder.answer(200, headers, fields.attempt_id.encode())


class EmulatedEngine(EmulatedEndpoint):
    """A model engine that runs passes, as `EnginePasses` models them.

    Parameters
    ----------
    name : str
    figures : EngineFigures
    engines_by_address : dict of str to EmulatedEngine
        All engines, any of which may prefill parts for another.
    """

    def __init__(self, name, figures, engines_by_address):
        super().__init__(name, figures.slots)
        self.passes = EnginePasses(figures)
        self._engines_by_address = engines_by_address
        self._work_added = trio.Event()
        self._event_channels_by_run = {}
        self._tokens_by_reservation_id = {}

    def end_faults(self):
        """End all faults; see `EmulatedEndpoint`."""
        if self.fault == "quiet":
            # Nobody has renewed or released them meanwhile.
            self._tokens_by_reservation_id.clear()
        super().end_faults()

    async def run_passes(self):
        """Run passes until cancelled."""
        while True:
            if self.fault == "silent":
                await self._faults_ended.wait()
            if self.passes.is_idle:
                await self._work_added.wait()
                continue
            self.passes.pace = self.pace
            finished_pass = self.passes.next_pass()
            await trio.sleep(finished_pass.duration_ms / MS_PER_SECOND)
            for part in finished_pass.finished_parts:
                self._record_part_finished(part.run)
            for run in finished_pass.decoded_requests:
                self._send_event(run)

    def add_prefill_part(self, run, part_count):
        """Queue the prefill of one part of a prompt, possibly for another engine."""
        self.passes.add_prefill_part(run, part_count)
        self.wake()

    def wake(self):
        """Wake `run_passes` when it waits for work."""
        self._work_added.set()
        self._work_added = trio.Event()

    def _record_part_finished(self, run):
        run.remaining_parts -= 1
        if not run.remaining_parts:
            # The engine that now decodes may be another one, and it may be idle.
            for engine in self._engines_by_address.values():
                engine.wake()

    def _send_event(self, run):
        run.remaining_events -= 1
        channel = self._event_channels_by_run.get(run)
        if channel is not None:
            channel.send_nowait(run.remaining_events)

    def _has_capacity(self, fields):
        own_prompt_tokens = fields.prompt_tokens // (len(fields.helpers) + 1)
        return self.passes.has_capacity(own_prompt_tokens, fields.answer_tokens)

    async def _run_request(self, fields, responder):
        helpers = [
            self._engines_by_address[address]
            for address, _ in fields.helpers
            if address in self._engines_by_address
        ]
        prefilling_engines = [self, *helpers]
        run = self.passes.start(
            fields.prompt_tokens,
            fields.answer_tokens,
            len(prefilling_engines),
            fields.last_event_id,
            fields.priority,
        )
        send_channel, receive_channel = trio.open_memory_channel(
            run.remaining_events + 1
        )
        self._event_channels_by_run[run] = send_channel
        for engine in prefilling_engines:
            engine.add_prefill_part(run, len(prefilling_engines))
        try:
            await self._stream(fields, run, receive_channel, responder)
        finally:
            del self._event_channels_by_run[run]
            for engine in prefilling_engines:
                engine.passes.remove(run)

    async def _stream(self, fields, run, receive_channel, responder):
        headers = self._response_headers(fields)
        event_id, remaining_events = fields.last_event_id, run.remaining_events
        is_started = False
        while remaining_events:
            remaining_events = await receive_channel.receive()
            if self.fault == "fail":
                raise ResponseAbortedError("emulated failure")
            if not is_started:
                await responder.start(200, [*headers, *STREAM_HEADERS])
                is_started = True
            event_id += 1
            await responder.send(f"id: {event_id}\ndata: token\n\n".encode())
        if not is_started:
            await responder.start(200, [*headers, *STREAM_HEADERS])
        await responder.finish()

    async def _answer_reservation_request(self, request, responder):
        headers = self._leaving_headers()
        if self.fault == "quiet":
            return await responder.answer(503, self._refusal_headers(), b"{}")
        reservation = emulated_wire.read_reservation_request(request.body)
        self._tokens_by_reservation_id.pop(reservation.id, None)
        if not reservation.is_reservation:
            return await responder.answer(200, headers, b"{}")
        reserved_tokens = sum(self._tokens_by_reservation_id.values())
        if not self.passes.has_capacity(reserved_tokens + reservation.tokens, 0):
            return await responder.answer(409, headers, b"{}")
        self._tokens_by_reservation_id[reservation.id] = reservation.tokens
        return await responder.answer(200, headers, b"{}")
