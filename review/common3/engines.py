"""Stand-in of one engine, or of one server of a plain service."""

import asyncio
import time

from review.common3.http1 import encode_response, read_body, read_head

BEAT_S = 1.2
SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"


class Run:
    """A request that an engine has run.

    Attributes
    ----------
    attempt_id : str
    engine : str
    begun_s, ended_s : float or None
        By the monotonic clock.
    outcome : str
    """

    def __init__(self, attempt_id, engine):
        self.attempt_id = attempt_id
        self.engine = engine
        self.begun_s = time.monotonic()
        self.ended_s = None
        self.outcome = "running"


class Engine:
    """One engine; `work` says how it runs a request.

    Parameters
    ----------
    store : PlatformStore
    name, service, zone : str
    slots : int
    work : callable
        Coroutine function of (engine, request, run, writer) that sends the answer.
    read_body : bool
        Whether the body is read before `work` is called.

    Attributes
    ----------
    runs : list of Run
    """

    def __init__(self, store, name, service, zone, slots, work, reads_body=True):
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work = work
        self.reads_body = reads_body
        self.address = ""
        self.runs = []
        self._sequence = 0
        self._beats = None
        self._server = None

    async def start(self, host):
        """Listen at a free port, and register in the store."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        self._register()
        self._beats = asyncio.create_task(self._beat())

    def _register(self):
        self._sequence += 1
        entry = {
            "backend": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "phase": "colocated",
            "models": [{"name": "m"}],
            "sequence": self._sequence,
        }
        self.store.put("servers", self.name, entry)

    async def _beat(self):
        while True:
            await asyncio.sleep(BEAT_S)
            self._register()

    def headers(self, request):
        """Return the headers of a signed answer to a request."""
        return [
            ("Vanillareach-Attempt-Id", request.headers["vanillareach-attempt-id"]),
            ("Vanillareach-Response-Signature", SIGNATURE),
        ]

    async def _serve(self, reader, writer):
        try:
            while (request := await read_head(reader)) is not None:
                if request.target == "/health":
                    headers = [("Vanillareach-Instance-Id", self.name)]
                    writer.write(encode_response(200, headers))
                    continue
                await self._run(request, reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _run(self, request, reader, writer):
        target = request.headers.get("vanillareach-target-instance", self.name)
        if target != self.name:
            headers = [("Vanillareach-Instance-Id", self.name)]
            writer.write(encode_response(421, headers))
            return
        if self.reads_body:
            request.body, _ = await read_body(reader, request.headers)
        run = Run(request.headers.get("vanillareach-attempt-id", ""), self.name)
        self.runs.append(run)
        request.reader = reader
        try:
            await self.work(self, request, run, writer)
            await writer.drain()
            run.outcome = "answered" if run.outcome == "running" else run.outcome
        except ConnectionError:
            run.outcome = "caller gone"
            raise
        finally:
            run.ended_s = time.monotonic()
