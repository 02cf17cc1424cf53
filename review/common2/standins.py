"""Stand-ins of the platform's store, the engines and the callers of a small fleet.

Only the standard library is used. All addresses are loopback addresses.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
# Loopback address; another one lets several scripts run side by side.
HOST = os.environ.get("REVIEW_HOST", "127.0.0.1")
# Below the usual range of the ports of outgoing channels.
PORTS = (20_000, 32_000)
SIGNATURE = "Vanillareach-Response-Signature"

_used_ports = set()


def now_s():
    """Return the steady time in seconds."""
    return time.monotonic()


def free_port():
    """Return a port that is free now and that no outgoing channel gets by chance."""
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        if port not in _used_ports:
            _used_ports.add(port)
            return port


class Record:
    """Lines of what was sent, answered and run, with the time since the start."""

    def __init__(self):
        self.started_s = now_s()
        self.lines = []

    def add(self, text):
        """Add a line."""
        self.lines.append(f"{now_s() - self.started_s:8.3f} {text}")

    def write(self, path):
        """Write all lines to a file."""
        Path(path).write_text("\n".join(self.lines) + "\n")


class HttpRequest:
    """A request or response as it was received.

    Attributes
    ----------
    start : str
        First line.
    headers : dict of str to str
        Values by lower-case name.
    body : bytes
    is_complete : bool
        Whether the body has the announced end.
    """

    def __init__(self, start, headers, body=b"", is_complete=True):
        self.start = start
        self.headers = headers
        self.body = body
        self.is_complete = is_complete


async def read_head(reader):
    """Return an `HttpRequest` without its body, or None at the end of the channel."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    start, *lines = data.decode("latin-1").split("\r\n")[:-2]
    pairs = (line.split(":", 1) for line in lines)
    return HttpRequest(start, {n.strip().lower(): v.strip() for n, v in pairs})


async def read_body(reader, message, on_data=None):
    """Read the body of a message into it; `on_data` gets each piece."""
    parts = []

    def add(data):
        parts.append(data)
        if on_data is not None:
            on_data(data)

    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int(await reader.readline() or b"x", 16):
                add((await reader.readexactly(size + 2))[:-2])
            await reader.readline()
        else:
            left = int(message.headers.get("content-length", 0))
            while left:
                data = await reader.read(left)
                if not data:
                    raise ConnectionError
                left -= len(data)
                add(data)
    except (ValueError, asyncio.IncompleteReadError, ConnectionError, OSError):
        message.is_complete = False
    message.body = b"".join(parts)


def encode_response(status, headers, body):
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} X", *(f"{n}: {v}" for n, v in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def close_hard(writer):
    """Close a channel with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Store:
    """The platform's store: objects by kind and name, lists and watches.

    Attributes
    ----------
    is_down : bool
        Whether all channels are reset.
    """

    def __init__(self):
        self.objects = {}
        self.revision = 100
        self.events = []
        self.is_down = False
        self._changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Write an object."""
        self.revision += 1
        item = {"metadata": {"name": name, "rev": self.revision}, "spec": spec}
        self.objects.setdefault(kind, {})[name] = item
        self._note(kind, item, False)

    def delete(self, kind, name):
        """Remove an object, if present."""
        item = self.objects.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            self._note(kind, item, True)

    def _note(self, kind, item, deleted):
        event = {"object": item, "deleted": deleted}
        self.events.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, address_of=None):
        """Serve at a free port; return the address.

        `address_of`, if given, maps the address of an entry for those who read here.
        """
        port = free_port()

        async def on_channel(reader, writer):
            while (request := await read_head(reader)) is not None:
                if self.is_down:
                    close_hard(writer)
                    return
                await read_body(reader, request)
                status, document = await self._answer(request, address_of)
                data = encode_response(
                    status,
                    [("Content-Type", "application/json")],
                    json.dumps(document).encode(),
                )
                if self.is_down:
                    close_hard(writer)
                    return
                writer.write(data)

        await asyncio.start_server(on_channel, HOST, port)
        return f"{HOST}:{port}"

    async def _answer(self, request, address_of):
        method, target, _ = request.start.split(" ")
        path, _, query = target.partition("?")
        values = dict(part.split("=") for part in query.split("&") if "=" in part)
        kind, _, name = path.removeprefix("/api/objects/").partition("/")
        objects = self.objects.setdefault(kind, {})
        if method == "GET" and "watch" in values:
            since, wait_s = int(values["watch"]), int(values["wait_ms"]) / 1000
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    while not self._since(kind, since):
                        await self._changed.wait()
            found = [event for _, event in self._since(kind, since)]
            return 200, {"events": found, "at": self.revision}
        if method == "GET" and not name:
            items = [objects[key] for key in sorted(objects)]
            if kind == "servers" and address_of is not None:
                items = [self._mapped(item, address_of) for item in items]
            return 200, {"items": items, "more": False, "at": self.revision}
        if method == "GET":
            return (200, objects[name]) if name in objects else (404, {})
        if method == "DELETE":
            self.delete(kind, name)
            return 200, {}
        document = json.loads(request.body)
        name = name or document["metadata"]["name"]
        if method == "POST" and name in objects:
            return 409, objects[name]
        self.put(kind, name, document["spec"])
        return 200, objects[name]

    def _since(self, kind, since):
        return [e for e in self.events if e[0] > since and e[1] == kind]

    @staticmethod
    def _mapped(item, address_of):
        spec = dict(item["spec"], address=address_of(item["spec"]["address"]))
        return dict(item, spec=spec)


class Proxy:
    """TCP proxy of one path.

    Attributes
    ----------
    mode : {"pass", "refuse", "silent"}
        "silent" swallows what comes from either side, and answers nothing.
    """

    def __init__(self, target):
        self.target = target
        self.mode = "pass"
        self.address = ""
        self._server = None
        self._writers = set()
        self._silenced = set()

    async def serve(self):
        """Serve at a free port; return the address."""
        port = free_port()
        self.address = f"{HOST}:{port}"
        await self._listen()
        return self.address

    def silence_open(self):
        """Let all open channels go silent for good; new ones work."""
        self._silenced |= self._writers

    async def cut(self, mode):
        """Change the mode; "refuse" resets open channels and refuses new ones."""
        self.mode = mode
        if mode == "refuse" and self._server is not None:
            self._server.close()
            self._server = None
            for writer in list(self._writers):
                close_hard(writer)
        if mode != "refuse" and self._server is None:
            await self._listen()

    async def _listen(self):
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(self._on_channel, host, int(port))

    async def _on_channel(self, reader, writer):
        host, port = self.target.split(":")
        try:
            there, back = await asyncio.open_connection(host, int(port))
        except OSError:
            close_hard(writer)
            return
        pair = {writer, back}
        self._writers |= pair
        await asyncio.gather(
            self._pump(reader, back, writer), self._pump(there, writer, back)
        )
        self._writers -= pair

    async def _pump(self, reader, writer, other):
        try:
            while data := await reader.read(65536):
                if await self._is_swallowed(writer):
                    continue
                writer.write(data)
                await writer.drain()
            if not await self._is_swallowed(writer):
                writer.close()
        except (ConnectionError, OSError):
            close_hard(other)

    async def _is_swallowed(self, writer):
        """Return whether a channel is silent for good; wait while all are."""
        while self.mode == "silent" and writer not in self._silenced:
            await asyncio.sleep(0.02)
        return writer in self._silenced


class Run:
    """One run of a request at an engine."""

    def __init__(self, attempt_id, engine, headers, size):
        self.attempt_id = attempt_id
        self.engine = engine
        self.headers = headers
        self.size = size
        self.begin_s = now_s()
        self.end_s = None


class Engine:
    """Stand-in of one engine, or of one server of a plain service.

    Parameters
    ----------
    name, service : str
    record : Record
    """

    def __init__(self, name, service, record, slots=6, queue=24):
        self.name = name
        self.service = service
        self.record = record
        self.slots = slots
        self.queue = queue
        self.work_s = 0.045
        self.event_count = 20
        self.event_gap_s = 0.05
        self.id_step = 1
        self.weights = 1
        self.runs = []
        self.address = ""
        self.zone = "zone-a"
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self._waiting = 0
        self._slots = asyncio.Semaphore(slots)

    async def serve(self):
        """Serve at a free port; return the address."""
        port = free_port()
        await self._listen(port)
        self.address = f"{HOST}:{port}"
        return self.address

    async def _listen(self, port):
        await asyncio.start_server(self._on_channel, HOST, port)

    def entry(self):
        """Return the spec of its entry."""
        self.sequence += 1
        return {
            "backend": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def _on_channel(self, reader, writer):
        try:
            while (request := await read_head(reader)) is not None:
                if not await self._handle(request, reader, writer):
                    break
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def _handle(self, request, reader, writer):
        method, target, _ = request.start.split(" ")
        attempt_id = request.headers.get("vanillareach-attempt-id", "")
        if target == "/health":
            writer.write(
                encode_response(200, [("Vanillareach-Instance-Id", self.name)], b"")
            )
            return True
        await read_body(reader, request)
        if target == "/api/order":
            writer.write(encode_response(200, [], b'{"free": 100000}'))
            return True
        echo = [("Vanillareach-Attempt-Id", attempt_id)]
        if request.headers.get("vanillareach-target-instance", self.name) != self.name:
            writer.write(encode_response(421, echo, b""))
            return True
        expected = request.headers.get("vanillareach-expect-version")
        if expected is not None and int(expected) != self.weights:
            # Weights of another version than those that the request expects.
            own = [*echo, ("Vanillareach-Instance-Id", self.name)]
            self.record.add(f"{self.name} has other weights than {attempt_id} expects")
            writer.write(encode_response(421, own, b""))
            return True
        if self._slots.locked() and self._waiting >= self.queue:
            refusal = [*echo, ("Vanillareach-Not-Executed", "1")]
            writer.write(encode_response(503, refusal, b"full"))
            return True
        self._waiting += 1
        watch = asyncio.create_task(reader.read(1))
        work = asyncio.create_task(
            self._run(request, method, target, attempt_id, echo, writer)
        )
        done, _ = await asyncio.wait({watch, work}, return_when=asyncio.FIRST_COMPLETED)
        if work not in done:
            work.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await work
            return False
        watch.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            if await watch:
                return False
        return work.result()

    async def _run(self, request, method, target, attempt_id, echo, writer):
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        run = Run(attempt_id, self.name, request.headers, len(request.body))
        self.runs.append(run)
        self.record.add(f"{self.name} runs {attempt_id} {method} {target}")
        try:
            headers = [*echo, (SIGNATURE, f"{self.name}.{attempt_id}")]
            if "vanillareach-token-usage" in request.headers:
                return await self._stream(request, headers, writer, attempt_id)
            await asyncio.sleep(self.work_s)
            body = f"answer to {attempt_id}".encode()
            writer.write(encode_response(200, headers, body))
            await writer.drain()
            return True
        finally:
            run.end_s = now_s()
            self.record.add(f"{self.name} ends {attempt_id}")
            self._slots.release()

    async def _stream(self, request, headers, writer, attempt_id):
        step, version = self.id_step, self.weights
        first = int(request.headers.get("last-event-id", "0")) // step + 1
        headers = [*headers, ("Content-Type", "text/event-stream")]
        headers.append(("Vanillareach-Weight-Versions", version))
        lines = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in headers)]
        lines += ["Transfer-Encoding: chunked", "", ""]
        writer.write("\r\n".join(lines).encode())
        for number in range(first, self.event_count + 1):
            event = f"id: {number * step}\ndata: {attempt_id} {number}\n\n".encode()
            if version != self.weights:
                version = self.weights
                event = b"vanillareach-weight-versions: %d\n%s" % (version, event)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Gateway:
    """One process of the gateway, started as the deploy file does.

    Parameters
    ----------
    name, zone, store : str
        The last is the address of the store that it uses.
    """

    def __init__(self, name, zone, store, folder, retry_slack="106"):
        self.name = name
        self.zone = zone
        ports = [free_port() for _ in range(5)]
        self.front, self.ready, self.metrics, self.peer, self.forward = (
            f"{HOST}:{port}" for port in ports
        )
        self.folder = Path(folder)
        self.process = None
        self.environment = {
            "PATH": os.environ.get("PATH", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "VANILLAREACH_NAME": name,
            "VANILLAREACH_DOMAIN": zone,
            "VANILLAREACH_FRONT_LISTEN": self.front,
            "VANILLAREACH_READY_LISTEN": self.ready,
            "VANILLAREACH_METRICS_LISTEN": self.metrics,
            "VANILLAREACH_PEER_LISTEN": self.peer,
            "VANILLAREACH_FORWARD_LISTEN": self.forward,
            "VANILLAREACH_STORE": store,
            "VANILLAREACH_PROCESSOR_CORES": "0.537",
            "VANILLAREACH_PROCESSOR_SPEED": "02",
            "VANILLAREACH_MEMORY_MB": "0300",
            "VANILLAREACH_LINK_MBPS": "01000.0",
            "VANILLAREACH_GRACE_S": "8",
            "VANILLAREACH_RETRY_RATIO": "0.2",
            "VANILLAREACH_RETRY_SLACK": retry_slack,
            "VANILLAREACH_RETRY_WINDOW_S": "10",
            "VANILLAREACH_OTHER_DOMAIN_COST": "0.15",
            "VANILLAREACH_EVACUATION_MS": "0",
        }

    async def start(self):
        """Start the process and wait until it is ready."""
        log = open(self.folder / f"{self.name}.log", "ab")  # noqa: SIM115
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-S",
            "-m",
            "vanillareach.gateway",
            cwd=ROOT,
            env=self.environment,
            stdout=log,
            stderr=log,
        )
        log.close()

    async def is_ready(self):
        """Return whether it answers the platform's readiness check with 200."""
        host, port = self.ready.split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        try:
            writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: r\r\n\r\n")
            async with asyncio.timeout(1):
                head = await read_head(reader)
            return head is not None and " 200 " in head.start
        except (TimeoutError, OSError):
            return False
        finally:
            writer.close()

    async def wait_ready(self, timeout_s=20):
        """Wait until it is ready."""
        end_s = now_s() + timeout_s
        while not await self.is_ready():
            if now_s() > end_s:
                raise RuntimeError(f"{self.name} isn't ready")
            await asyncio.sleep(0.1)

    def send(self, number):
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        """End the process for good."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class Answer:
    """What a caller got.

    Attributes
    ----------
    status : int
        0 if the channel ended before the head of an answer.
    """

    def __init__(self, status=0, headers=None, body=b"", is_complete=False):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.is_complete = is_complete
        self.sent_s = 0.0
        self.ended_s = 0.0


class Channel:
    """A caller's kept channel to a gateway."""

    def __init__(self, address):
        self.address = address
        self._streams = None

    async def ask(self, method, path, attempt_id, headers=(), body=None, host="a.test"):
        """Send one request; return the `Answer`."""
        answer = Answer()
        answer.sent_s = answer.ended_s = now_s()
        try:
            if self._streams is None:
                name, port = self.address.split(":")
                async with asyncio.timeout(1):
                    self._streams = await asyncio.open_connection(name, int(port))
            reader, writer = self._streams
            lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
            lines.append(f"Vanillareach-Attempt-Id: {attempt_id}")
            lines += [f"{n}: {v}" for n, v in headers]
            if body is not None:
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode() + (body or b""))
            await writer.drain()
            answer.sent_s = now_s()
            head = await read_head(reader)
            if head is not None:
                await read_body(reader, head)
                answer.status = int(head.start.split(" ")[1])
                answer.headers = head.headers
                answer.body, answer.is_complete = head.body, head.is_complete
        except (OSError, TimeoutError):
            self.close()
        answer.ended_s = now_s()
        if not answer.is_complete or answer.headers.get("connection") == "close":
            self.close()
        return answer

    def close(self):
        """Close the channel."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


def configuration(version, services, routes, limits=None):
    """Return a config without tenants."""
    return {
        "version": version,
        "routes": routes,
        "backends": services,
        "limits": limits
        or {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def route(name, prefix, service, route_type, timeout_ms, **more):
    """Return a route of the host ``a.test``."""
    return {
        "name": name,
        "hostname": "a.test",
        "path_prefix": prefix,
        "route_type": route_type,
        "timeout_ms": timeout_ms,
        "max_attempts": 2,
        "target_latency_ms": 200,
        "priority": 1,
        "backend": service,
        **more,
    }


ENGINE_FIGURES = {
    "slots": 16,
    "kv_tokens": 405000,
    "step_ms": 1.31,
    "per_seq_ms": 0.000917,
    "context_per_k": 0.00213,
    "read_per_s": 154000,
    "pairs_per_m": 0.162,
    "chunk": 2048,
    "stride": 34,
    "hop_ms": 0.1,
}


def temporary_folder():
    """Return a new temporary folder for the logs of the processes."""
    return tempfile.mkdtemp(prefix="review-")
