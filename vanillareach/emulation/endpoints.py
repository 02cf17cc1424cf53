"""Emulated engines and plain services behind the platform's wire."""

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
    """What engines and plain services have in common.

    Parameters
    ----------
    name : str
    slots : int

    Attributes
    ----------
    fault : str
        Empty, "silent", "refuse" or "fail".
    pace : float
        Factor by which it is slower.
    ran : int
        Requests that it began.
    """

    def __init__(self, name, slots):
        self.name = name
        self.slots = slots
        self.fault = ""
        self.pace = 1.0
        self.ran = 0
        self._recovered = trio.Event()

    def fall(self, fault):
        """Begin a fault."""
        self.fault = fault

    def recover(self):
        """End all faults."""
        self.fault = ""
        self.pace = 1.0
        self._recovered.set()
        self._recovered = trio.Event()

    async def handle(self, request, responder):
        """Answer one request."""
        if emulated_wire.is_memory_order(request):
            return await self._answer_order(request, responder)
        fields = emulated_wire.read_endpoint_request(request.headers)
        if fields.target not in (None, self.name):
            headers = emulated_wire.other_instance_headers(self.name)
            return await responder.answer(421, headers, b"")
        if self.fault == "refuse" or not self._has_capacity(fields):
            return await responder.answer(
                503, emulated_wire.not_executed_headers(), b""
            )
        if self.fault == "silent":
            await self._recovered.wait()
        self.ran += 1
        if self.fault == "fail":
            headers = emulated_wire.answer_headers(fields.attempt_id)
            return await responder.answer(500, headers, b"emulated failure")
        return await self._run(fields, responder)

    @abstractmethod
    def _has_capacity(self, fields):
        """Return whether a request can begin."""

    @abstractmethod
    async def _run(self, fields, responder):
        """Run a request and answer it."""

    async def _answer_order(self, request, responder):
        await responder.answer(404, [], b"")


class EmulatedService(EmulatedEndpoint):
    """A plain service whose answers take a random time.

    Parameters
    ----------
    name : str
    slots : int
    work_ms : float
        Mean time of a request.
    random : random.Random
    """

    def __init__(self, name, slots, work_ms, random):
        super().__init__(name, slots)
        self._work_ms = work_ms
        self._random = random
        self._running = 0

    def _has_capacity(self, fields):
        return self._running < self.slots

    async def _run(self, fields, responder):
        self._running += 1
        try:
            shape = 0.5 + 0.5 * self._random.expovariate(1.0)
            await trio.sleep(self.pace * shape * self._work_ms / MS_PER_SECOND)
        finally:
            self._running -= 1
        headers = emulated_wire.answer_headers(fields.attempt_id)
        await responder.answer(200, headers, fields.attempt_id.encode())


class EmulatedEngine(EmulatedEndpoint):
    """A model engine that works in passes.

    Parameters
    ----------
    name : str
    figures : EngineFigures
    engines_by_address : dict of str to EmulatedEngine
        All engines, which may be asked to read parts.
    """

    def __init__(self, name, figures, engines_by_address):
        super().__init__(name, figures.slots)
        self.passes = EnginePasses(figures)
        self._engines_by_address = engines_by_address
        self._wake = trio.Event()
        self._queues_by_run = {}
        self._tokens_by_ticket = {}

    async def work(self):
        """Make passes for ever."""
        while True:
            if self.fault == "silent":
                await self._recovered.wait()
            if self.passes.is_idle:
                await self._wake.wait()
                continue
            self.passes.pace = self.pace
            done = self.passes.next_pass()
            await trio.sleep(done.duration_ms / MS_PER_SECOND)
            for part in done.finished_parts:
                self._note_read(part.run)
            for run in done.decoded_requests:
                self._write(run)

    def add_prefill_part(self, run, part_count):
        """Read one part of a prompt, for itself or another engine."""
        self.passes.add_prefill_part(run, part_count)
        self.wake()

    def wake(self):
        """Look for work."""
        self._wake.set()
        self._wake = trio.Event()

    def _note_read(self, run):
        run.remaining_parts -= 1
        if not run.remaining_parts:
            for engine in self._engines_by_address.values():
                engine.wake()

    def _write(self, run):
        run.remaining_events -= 1
        queue = self._queues_by_run.get(run)
        if queue is not None:
            queue.send_nowait(run.remaining_events)

    def _has_capacity(self, fields):
        own_tokens = fields.prompt_tokens // (len(fields.helpers) + 1)
        return self.passes.has_capacity(own_tokens, fields.answer_tokens)

    async def _run(self, fields, responder):
        helpers = [
            self._engines_by_address[address]
            for address, _ in fields.helpers
            if address in self._engines_by_address
        ]
        readers = [self, *helpers]
        run = self.passes.start(
            fields.prompt_tokens,
            fields.answer_tokens,
            len(readers),
            fields.last_event_id,
            fields.priority,
        )
        sending, receiving = trio.open_memory_channel(run.remaining_events + 1)
        self._queues_by_run[run] = sending
        for engine in readers:
            engine.add_prefill_part(run, len(readers))
        try:
            await self._stream(fields, run, receiving, responder)
        finally:
            del self._queues_by_run[run]
            for engine in readers:
                engine.passes.remove(run)

    async def _stream(self, fields, run, receiving, responder):
        headers = emulated_wire.answer_headers(fields.attempt_id)
        number, left = fields.last_event_id, run.remaining_events
        is_started = False
        while left:
            left = await receiving.receive()
            if self.fault == "fail":
                raise ResponseAbortedError("emulated failure")
            if not is_started:
                await responder.start(200, [*headers, *STREAM_HEADERS])
                is_started = True
            number += 1
            await responder.send(f"id: {number}\ndata: token\n\n".encode())
        if not is_started:
            await responder.start(200, [*headers, *STREAM_HEADERS])
        await responder.finish()

    async def _answer_order(self, request, responder):
        order = emulated_wire.read_memory_order(request.body)
        self._tokens_by_ticket.pop(order.id, None)
        if not order.is_reservation:
            return await responder.answer(200, [], b"{}")
        held = sum(self._tokens_by_ticket.values())
        if not self.passes.has_capacity(held + order.tokens, 0):
            return await responder.answer(409, [], b"{}")
        self._tokens_by_ticket[order.id] = order.tokens
        return await responder.answer(200, [], b"{}")
