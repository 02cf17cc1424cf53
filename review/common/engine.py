"""Stand-in of an engine or a plain service, and of its entry in the store."""

import asyncio
import json
import time

from common.http import Server, encode_response

HEARTBEAT_S = 1.2
NEARLY_FULL_SHARE = 0.75


class Arrival:
    """A request that has reached an engine.

    Attributes
    ----------
    attempt_id : str
    at_s : float
        Monotonic time.
    end : str
        "running", "done" or "dropped".
    ended_s : float or None
    """

    def __init__(self, attempt_id, at_s, request):
        self.attempt_id = attempt_id
        self.at_s = at_s
        self.request = request
        self.end = "running"
        self.ended_s = None


class Engine:
    """One lifetime of an engine.

    Parameters
    ----------
    store : Store
    name : str
        Its id.
    service : str
    zone : str
    work_s : float
        Time that a plain request takes.
    events : int
        Number of events of a stream; 0 for plain answers.
    event_s : float
        Time between two events, at a pace of 1.
    slots : int
    pace : float
        Factor by which the engine is slower than its published figures.

    Attributes
    ----------
    full_pace : float
        Pace while three quarters of its slots are taken.
    begun_ids : set of str
        Ids of the requests of which the head has arrived.
    on_event : callable
        Called with the request and the number of its events that were sent.
    """

    def __init__(
        self,
        store,
        name,
        service,
        zone,
        work_s=0.03,
        events=0,
        event_s=0.25,
        slots=8,
        pace=1.0,
    ):
        self.name = name
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.events = events
        self.event_s = event_s
        self.slots = slots
        self.pace = pace
        self.full_pace = pace
        self.arrivals = []
        self.is_leaving = False
        self.on_event = lambda request, count: None
        self.born = int(time.time() * 1000)
        self._store = store
        self._sequence = 0
        self._heart = None
        self._return = None
        self.begun_ids = set()
        self._server = Server(self._handle)
        self._server.on_head = self._note_head

    @property
    def address(self):
        """Address as ``host:port``."""
        return self._server.address

    async def start(self):
        """Listen, write the entry and keep it up to date."""
        await self._server.start()
        self._write_entry()
        self._heart = asyncio.ensure_future(self._beat())

    def crash(self, down_s):
        """End at once, with all channels; start again after a time, as a new lifetime.

        The entry in the store stays until then, as for a crash.
        """
        self._heart.cancel()
        self._server.stop()
        self._return = asyncio.ensure_future(self._start_again(down_s))

    async def _start_again(self, down_s):
        await asyncio.sleep(down_s)
        self.born = int(time.time() * 1000)
        await self._server.start(*self._host_and_port())
        self._write_entry()
        self._heart = asyncio.ensure_future(self._beat())

    def _host_and_port(self):
        host, port = self.address.rsplit(":", 1)
        return host, int(port)

    def _note_head(self, values):
        self.begun_ids.add(values.get("vanillareach-attempt-id", ""))

    def current_pace(self):
        """Return the pace at the present load."""
        running = sum(arrival.end == "running" for arrival in self.arrivals)
        is_nearly_full = running >= NEARLY_FULL_SHARE * self.slots
        return self.full_pace if is_nearly_full else self.pace

    def read_slowly(self, bytes_per_s):
        """Read the bodies of requests at a rate."""
        self._server.bytes_per_s = bytes_per_s

    def drain(self):
        """Report that the engine is leaving; it goes on serving."""
        self.is_leaving = True
        self._write_entry()

    def stop(self, is_entry_removed=True):
        """End the engine."""
        for task in (self._heart, self._return):
            if task is not None:
                task.cancel()
        self._server.stop()
        if is_entry_removed:
            self._store.delete("servers", self.name)

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self._write_entry()

    def _write_entry(self):
        self._sequence += 1
        self._store.put(
            "servers",
            self.name,
            {
                "backend": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "1",
                "slots": self.slots,
                "state": "draining" if self.is_leaving else "ready",
                "cold_remaining_ms": 0,
                "sequence": self._sequence,
                "born": self.born,
            },
        )

    def _headers(self, attempt_id):
        running = sum(arrival.end == "running" for arrival in self.arrivals)
        headers = [
            ("Vanillareach-Attempt-Id", attempt_id),
            ("Vanillareach-Server-Load", f"{running},0,{self.slots}"),
            ("Vanillareach-Instance-Id", self.name),
        ]
        return headers + ([("Server-Leaving", "1")] if self.is_leaving else [])

    async def _handle(self, request, writer):
        if request.path == "/health":
            status = 503 if self.is_leaving else 200
            return writer.write(encode_response(status, self._headers(""), b""))
        if request.path == "/api/report":
            return writer.write(encode_response(200, [], self._report()))
        attempt_id = request.value("Vanillareach-Attempt-Id")
        if request.value("Vanillareach-Target-Instance", self.name) != self.name:
            headers = [("Vanillareach-Instance-Id", self.name)]
            return writer.write(encode_response(421, headers, b""))
        arrival = Arrival(attempt_id, time.monotonic(), request)
        self.arrivals.append(arrival)
        try:
            await self._run(attempt_id, request, writer)
            arrival.end = "done"
        except (asyncio.CancelledError, ConnectionError):
            arrival.end = "dropped"
            raise
        finally:
            arrival.ended_s = time.monotonic()

    def _report(self):
        running = sum(arrival.end == "running" for arrival in self.arrivals)
        report = {
            "phase": "colocated",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "waiting": 0,
            "running": running,
            "kv_used": 0,
            "kv_total": 405_000,
            "handles": 0,
            "pace": self.current_pace(),
            "tickets": [],
        }
        return json.dumps(report).encode()

    async def _run(self, attempt_id, request, writer):
        signature = ("Vanillareach-Response-Signature", f"{self.name}.{attempt_id}")
        headers = [*self._headers(attempt_id), signature]
        if not self.events:
            await asyncio.sleep(self.work_s)
            body = f"answer of {self.name} to {attempt_id}".encode()
            writer.write(encode_response(200, headers, body))
            return await writer.drain()
        headers += [("Content-Type", "text/event-stream")]
        headers += [("Transfer-Encoding", "chunked")]
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in headers)]
        first = int(request.value("Last-Event-Id", "0")) + 1
        await asyncio.sleep(self.work_s)
        writer.write("\r\n".join([*lines, "", ""]).encode())
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            self.on_event(request, number - first + 1)
            await asyncio.sleep(self.event_s * self.current_pace())
        writer.write(b"0\r\n\r\n")
        return await writer.drain()
