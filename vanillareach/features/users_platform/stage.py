"""Test stage: store, endpoints and gateways in one process, over loopback sockets."""

import itertools
import os
import socket
import threading

import h11
import trio

from vanillareach.clock import TrioClock
from vanillareach.core.routing import CallerLimits
from vanillareach.features.raw_server import open_raw_server
from vanillareach.features.users_platform.endpoint import StandinEndpoint
from vanillareach.features.users_platform.endpoint_links import (
    EndpointLinks,
    current_gateway,
)
from vanillareach.gateway.app import GatewayApplication
from vanillareach.gateway.listener import CallerListener
from vanillareach.gateway.settings import GatewaySettings
from vanillareach.log import BoundedWriter
from vanillareach.platform.calls import PlatformProtocol
from vanillareach.platform.orders import PlatformReservationProtocol
from vanillareach.platform.standin_store import StandinStore
from vanillareach.platform.store import PlatformStore
from vanillareach.utils import split_address

KEY = "team-key"
HOST = "calls.example"
CONDITION_TIMEOUT_S = 20
# Connections that fill a listen queue of length 0, with some to spare.
QUEUE_FILLER_COUNT = 4
# Below the ports that the kernel gives to outgoing connections.
FIRST_PORT = 10_000
ENGINE_PARAMETERS = {
    "slots": 8,
    "kv_tokens": 100_000,
    "step_ms": 1.0,
    "per_seq_ms": 0.001,
    "context_per_k": 0.002,
    "read_per_s": 150_000.0,
    "pairs_per_m": 0.1,
    "chunk": 2048,
    "stride": 30,
}


def process_host():
    """Return a loopback host that no other process uses: it is made of the process id.

    Outgoing connections have 127.0.0.1 as their source, so they take no port of it.
    """
    process_id = os.getpid()
    high, middle, low = process_id >> 16, process_id >> 8 & 255, process_id & 255
    return f"127.{64 + high}.{middle}.{low}"


_ports = itertools.count(FIRST_PORT)


def free_address():
    """Return a loopback address that nothing else uses, each time another one."""
    return f"{process_host()}:{next(_ports)}"


def unresponsive_address():
    """Return the sockets that keep a listen queue full, and its address.

    A connection to the address is neither made nor refused.
    """
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    host, port = listener.getsockname()
    callers = [listener]
    for _ in range(QUEUE_FILLER_COUNT):
        caller = socket.socket()
        caller.setblocking(False)
        caller.connect_ex((host, port))
        callers.append(caller)
    return callers, f"{host}:{port}"


def route(name, kind, service, **values):
    """Return a route as the operator writes it."""
    return {
        "name": name,
        "hostname": HOST,
        "path_prefix": f"/{name}/",
        "route_type": kind,
        "backend": service,
        "timeout_ms": 5_000,
        "target_latency_ms": 300,
        "max_attempts": 2,
        **values,
    }


def configuration(version, **values):
    """Return the stage's configuration."""
    return {
        "version": version,
        "routes": [
            route("read", "idempotent", "desk"),
            route("book", "non_idempotent", "desk", timeout_ms=60_000, max_attempts=1),
            route(
                "ask",
                "streaming",
                "model",
                timeout_ms=60_000,
                session_affinity=True,
                resumable=True,
                gap_target_ms=250,
            ),
            route("once", "streaming", "model", session_affinity=True),
            route("open", "idempotent", "desk", public=True),
        ],
        "backends": [{"name": "desk"}, {"name": "model", "engine": ENGINE_PARAMETERS}],
        "limits": {
            "max_header_bytes": 4096,
            "max_body_bytes": 10_000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": "guild", "api_keys": [KEY], "priority": 1}],
        **values,
    }


class CallerResponse:
    """Response as a caller received it.

    Attributes
    ----------
    status : int or None
        None if the connection ended before the response began.
    is_complete : bool
        Whether the response was complete.
    """

    def __init__(self):
        self.status = None
        self.values_by_name = {}
        self.body = b""
        self.is_complete = False


class PlatformStage:
    """Test stage that owns all stand-ins and gateways of a scenario.

    Parameters
    ----------
    nursery : trio.Nursery
    """

    def __init__(self, nursery):
        self._nursery = nursery
        self.clock = TrioClock()
        self.store = StandinStore()
        self.store_address = free_address()
        self.endpoints_by_name = {}
        self.endpoint_listeners = []
        self.links = EndpointLinks(self.endpoints_by_name)
        self.gateways = []
        self.scopes_by_gateway = {}
        self._last_attempt_number = 0
        self._sockets = []

    async def listen(self, address, handle, scope=None):
        """Serve `handle` at an address, until a scope is cancelled if there is one."""
        listener = CallerListener(
            address, self.clock, CallerLimits, handle, lambda: False
        )

        async def run(task_status=trio.TASK_STATUS_IGNORED):
            with scope or trio.CancelScope():
                await listener.run(task_status)

        await self._nursery.start(run)
        return listener

    async def listen_raw(self, serve):
        """Let `serve` handle the streams of connections; return the address."""
        return await self._nursery.start(self._run_raw_server, serve)

    async def replace_endpoints(self, serve):
        """Let `serve` handle the streams of connections to all endpoints."""
        address = await self.listen_raw(serve)
        for endpoint in self.endpoints_by_name.values():
            endpoint.address = address
            self.put_endpoint(endpoint.name, endpoint.service)
        for gateway in self.gateways:
            listed = gateway.state.endpoints
            await self.until(
                lambda listed=listed: (
                    {endpoint.address for endpoint in listed.by_id.values()}
                    == {address}
                )
            )

    async def _run_raw_server(self, serve, task_status=trio.TASK_STATUS_IGNORED):
        async with open_raw_server(serve) as address:
            task_status.started(address)
            await trio.sleep_forever()

    async def open(self, services_by_name, make_endpoint=StandinEndpoint):
        """Start the store and one endpoint for each name, and list the endpoints."""
        await self.listen(self.store_address, self.store.handle)
        self.store.put("config", "main", configuration(1))
        for name, service in services_by_name.items():
            endpoint = make_endpoint(name)
            endpoint.address = free_address()
            self.endpoints_by_name[name] = endpoint
            scope = getattr(endpoint, "scope", None)
            self.endpoint_listeners.append(
                await self.listen(endpoint.address, endpoint.handle, scope)
            )
            self.put_endpoint(name, service)

    def put_endpoint(self, name, service, state="ready", **values):
        """Write the entry of an endpoint to the store."""
        endpoint = self.endpoints_by_name[name]
        endpoint.service = service
        entry = {
            "backend": service,
            "address": endpoint.address,
            "zone": endpoint.zone,
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": endpoint.incarnation,
            **values,
        }
        self.store.put("servers", name, entry)

    def make_endpoint_unreachable(self, name):
        """List an endpoint at an address where no connection is made."""
        endpoint = self.endpoints_by_name[name]
        sockets, endpoint.address = unresponsive_address()
        self._sockets += sockets
        self.put_endpoint(name, endpoint.service)

    async def start_gateway(self, name, domain="zone-a", **settings):
        """Start a gateway and wait until it is ready."""
        settings = GatewaySettings(
            name=name,
            domain=domain,
            front_listen=free_address(),
            ready_listen=free_address(),
            metrics_listen=free_address(),
            peer_listen=free_address(),
            forward_listen=free_address(),
            store=self.store_address,
            log_level="error",
            **settings,
        )
        gateway = GatewayApplication(
            settings,
            PlatformStore(settings.store),
            PlatformProtocol(),
            PlatformReservationProtocol(),
            BoundedWriter(os.open(os.devnull, os.O_WRONLY)),
        )
        gateway.build()
        token = current_gateway.set(name)
        await self._nursery.start(self._run_gateway, gateway)
        current_gateway.reset(token)
        self.gateways.append(gateway)
        await self.until(lambda: gateway.state.is_ready)
        return gateway

    async def _run_gateway(self, gateway, task_status=trio.TASK_STATUS_IGNORED):
        async with trio.open_nursery() as nursery:
            self.scopes_by_gateway[gateway.settings.name] = nursery.cancel_scope
            await gateway.start(nursery)
            task_status.started()
            await trio.sleep_forever()

    def kill_gateway(self, name):
        """End all tasks of a gateway at once."""
        self.scopes_by_gateway[name].cancel()

    async def until(self, condition):
        """Wait until `condition` holds."""
        with trio.fail_after(CONDITION_TIMEOUT_S):
            while not condition():
                await trio.sleep(0.02)

    async def call(self, path, gateway=0, method="POST", body=b"body", **values):
        """Send one request on a new connection and return its `CallerResponse`."""
        async with await self.connect(gateway) as caller:
            return await caller.call(path, method, body, **values)

    async def connect(self, gateway=0, buffer_bytes=None):
        """Return a `Caller` with an open connection.

        `buffer_bytes` is the size of its receive buffer if it isn't the default.
        """
        address = split_address(self.gateways[gateway].settings.front_listen)
        sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if buffer_bytes is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        await sock.connect(address)
        return Caller(self, trio.SocketStream(sock))

    def next_id(self):
        """Return a new attempt id."""
        self._last_attempt_number += 1
        return f"attempt-{self._last_attempt_number}"


class Caller:
    """A caller's connection."""

    def __init__(self, stage, stream):
        self._stage = stage
        self._stream = stream
        self._connection = h11.Connection(h11.CLIENT)

    async def __aenter__(self):
        return self

    async def __aexit__(self, *error):
        await self._stream.aclose()

    async def send(self, path, method="POST", body=b"body", **values):
        """Send a request; see `encode`."""
        await self._stream.send_all(self.encode(path, method, body, **values))

    def encode(self, path, method="POST", body=b"body", **values):
        """Return the next request; underscores in names of `values` become hyphens."""
        if self._connection.our_state is h11.DONE:
            self._connection.start_next_cycle()
        headers = {
            "Host": HOST,
            "Vanillareach-Attempt-Id": self._stage.next_id(),
            "Vanillareach-Deadline-Ms": "5000",
            "Authorization": f"Bearer {KEY}",
        }
        for name, value in values.items():
            headers[name.replace("_", "-")] = value
        if body:
            headers["Content-Length"] = str(len(body))
        header_list = [(n, v) for n, v in headers.items() if v is not None]
        connection = self._connection
        data = connection.send(
            h11.Request(method=method, target=path, headers=header_list)
        )
        if body:
            data += connection.send(h11.Data(data=body))
        return data + connection.send(h11.EndOfMessage())

    async def send_raw(self, data):
        """Send a part of an encoded request."""
        await self._stream.send_all(data)

    async def receive_raw(self):
        """Return what is received next; empty if the connection has ended."""
        try:
            return await self._stream.receive_some(65_536)
        except trio.BrokenResourceError:
            return b""

    def has_data(self):
        """Return whether data, or the end of the connection, can be received."""
        return self._stream.socket.is_readable()

    def send_nowait(self, data):
        """Send an encoded request without giving other tasks a turn."""
        os.write(self._stream.socket.fileno(), data)

    async def send_named(self, path, **values):
        """Send a request and return its attempt id; see `encode`."""
        attempt_id = self._stage.next_id()
        await self.send(path, Vanillareach_Attempt_Id=attempt_id, **values)
        return attempt_id

    def send_at_once(self, path, **values):
        """Send a request before any other task runs, and return its attempt id."""
        attempt_id = self._stage.next_id()
        data = self.encode(path, Vanillareach_Attempt_Id=attempt_id, **values)
        assert os.write(self._stream.socket.fileno(), data) == len(data)
        return attempt_id

    async def call(self, path, method="POST", body=b"body", **values):
        """Send a request and receive its response."""
        await self.send(path, method, body, **values)
        return await self.receive()

    async def receive(self):
        """Receive one response."""
        response = CallerResponse()
        while True:
            try:
                event = self._connection.next_event()
                if event is h11.NEED_DATA:
                    data = await self._stream.receive_some(65_536)
                    self._connection.receive_data(data)
                    continue
            except (h11.RemoteProtocolError, trio.BrokenResourceError):
                return response
            if isinstance(event, h11.Response):
                response.status = event.status_code
                response.values_by_name = dict(event.headers)
            elif isinstance(event, h11.Data):
                response.body += bytes(event.data)
            else:
                response.is_complete = isinstance(event, h11.EndOfMessage)
                return response


class PlatformStageRunner:
    """Runs a `PlatformStage` in a thread of its own."""

    def __init__(self):
        self._ready = threading.Event()
        self._thread = threading.Thread(target=self._main, daemon=True)
        self._thread.start()
        self._ready.wait()

    def run(self, function, *arguments):
        """Run a coroutine function on the stage's event loop; return its result."""
        return trio.from_thread.run(function, *arguments, trio_token=self._token)

    def stop(self):
        """Cancel all tasks of the stage and wait for the end of its thread."""
        self._token.run_sync_soon(self._scope.cancel)
        self._thread.join(timeout=CONDITION_TIMEOUT_S)
        assert not self._thread.is_alive(), "the stage did not stop"

    def _main(self):
        trio.run(self._serve)

    async def _serve(self):
        self._token = trio.lowlevel.current_trio_token()
        async with trio.open_nursery() as nursery:
            self._scope = nursery.cancel_scope
            self.stage = PlatformStage(nursery)
            self._ready.set()
            await trio.sleep_forever()
