"""In-memory platform, endpoints and peer links, with switches for faults.

The stand-ins' applications are called without sockets, so that a complete deployment
runs in one process and on a mock clock.
"""

from contextlib import asynccontextmanager

import msgspec
import trio

from vanillareach.control.object_api import (
    Platform,
    PlatformAmbiguousError,
    PlatformConflictError,
    PlatformUnavailableError,
)
from vanillareach.endpoints.base import (
    EndpointBrokenError,
    EndpointPort,
    EndpointResponse,
    EndpointUnreachableError,
)
from vanillareach.invariants import DispatchObservation
from vanillareach.peers.link import (
    MessageAuthenticator,
    PeerLink,
    PeerUnresponsiveError,
)
from vanillareach.traffic import ControlTraffic

# Time after which a platform call without a response fails.
CALL_TIMEOUT_S = 2.0


class MemoryPlatform(Platform):
    """In-memory platform with switches for its faults.

    Attributes
    ----------
    down : bool
        Calls fail immediately.
    hang : bool
        Calls time out.
    delay_ms : float
        Duration of each call.
    lose_write_answers : int
        Number of further writes that take effect but whose response is lost.
    drop_writes : int
        Number of further writes that are lost: no effect and no response.
    """

    def __init__(self, store):
        self.store = store
        self.down = False
        self.hang = False
        self.delay_ms = 2.0
        self.lose_write_answers = 0
        self.drop_writes = 0
        self.write_count = 0
        self.read_count = 0

    async def read(self, collection, name):
        """Read one object."""
        self.read_count += 1
        await self._apply_faults()
        return self.store.read(collection, name)

    async def list(self, collection):
        """Read a collection."""
        self.read_count += 1
        await self._apply_faults()
        return self.store.list(collection)

    async def write(self, collection, name, spec, base_version):
        """Write an object if its version is still `base_version`."""
        self.write_count += 1
        await self._apply_faults()
        if self.drop_writes:
            self.drop_writes -= 1
            await trio.sleep(CALL_TIMEOUT_S)
            raise PlatformAmbiguousError("no answer")
        spec_copy = msgspec.json.decode(msgspec.json.encode(spec))
        stored = self.store.write(collection, name, spec_copy, base_version)
        if stored is not None and self.lose_write_answers:
            self.lose_write_answers -= 1
            await trio.sleep(CALL_TIMEOUT_S)
            raise PlatformAmbiguousError("no answer")
        if stored is None:
            raise PlatformConflictError(name)
        return stored.metadata.resourceVersion

    async def watch(self, collection, version):
        """Yield the changes of a collection after a version."""
        await self._apply_faults()
        version = int(version)
        while True:
            changed = self.store.changed
            for event_version, event in self.store.events_since(collection, version):
                version = event_version
                await self._apply_faults()
                yield event
            with trio.move_on_after(1):
                await changed.wait()
            await self._apply_faults()

    async def _apply_faults(self):
        await trio.sleep(self.delay_ms / 1000)
        if self.hang:
            await trio.sleep(CALL_TIMEOUT_S)
            raise PlatformUnavailableError("no answer")
        if self.down:
            raise PlatformUnavailableError("outage")


class MemoryCall:
    """One in-memory ASGI call."""

    def __init__(self, method, path, headers, body):
        raw_path, _, query = path.partition("?")
        self.scope = {
            "type": "http",
            "method": method,
            "path": raw_path,
            "query_string": query.encode(),
            "headers": headers,
        }
        self._body = body
        self._body_sent = False
        self.disconnected = trio.Event()
        self._send, self.messages = trio.open_memory_channel(10_000)

    async def receive(self):
        """Return the request body; on later calls, wait for the caller's disconnect."""
        if not self._body_sent:
            self._body_sent = True
            return {
                "type": "http.request",
                "body": self._body,
                "more_body": False,
            }
        await self.disconnected.wait()
        return {"type": "http.disconnect"}

    async def send(self, message):
        """Queue a message that the application sends."""
        await trio.lowlevel.checkpoint()
        if not self.disconnected.is_set():
            self._send.send_nowait(message)
        if message["type"] == "http.response.body" and not message.get("more_body"):
            # An ASGI server reports a disconnect after the complete response too.
            self.disconnected.set()

    async def run(self, app):
        """Run the application on this call."""
        try:
            await app(self.scope, self.receive, self.send)
        except* ConnectionError:
            # The stand-in raises this to emulate a broken connection.
            pass
        finally:
            self._send.close()


class MemoryEndpoints(EndpointPort):
    """Endpoint port that calls the endpoints' applications in memory.

    Attributes
    ----------
    unreachable_addresses : set of str
        Addresses that refuse connections.
    dispatches : list of DispatchObservation
        POST requests sent to endpoints; only these start work.
    call_counts_by_address : dict of str to int
        Number of calls of any method.
    """

    def __init__(self, apps_by_address, nursery):
        self._apps_by_address = apps_by_address
        self._nursery = nursery
        self.unreachable_addresses = set()
        self.call_counts_by_address = {}
        self.dispatches = []
        self._cancel_scopes_by_address = {}

    def kill(self, address):
        """Abort all running calls of an endpoint and refuse further ones."""
        self.unreachable_addresses.add(address)
        for scope in self._cancel_scopes_by_address.pop(address, []):
            scope.cancel()

    @asynccontextmanager
    async def open(self, call):
        """Call an endpoint; yield its response."""
        await trio.sleep(0.0005)
        if (
            call.address in self.unreachable_addresses
            or call.address not in self._apps_by_address
        ):
            raise EndpointUnreachableError(call.address)
        if call.method == "POST":
            now_ms = trio.current_time() * 1000
            self.dispatches.append(DispatchObservation(call.address, now_ms))
        memory_call = MemoryCall(call.method, call.path, call.headers, call.body)
        scope = trio.CancelScope()
        self._cancel_scopes_by_address.setdefault(call.address, []).append(scope)
        count = self.call_counts_by_address.get(call.address, 0)
        self.call_counts_by_address[call.address] = count + 1
        self._nursery.start_soon(self._run_call, memory_call, call.address, scope)
        try:
            response_start = await _next_message(memory_call, call.gap_limit_ms)
            yield EndpointResponse(
                response_start["status"],
                response_start["headers"],
                _body_chunks(memory_call, call.gap_limit_ms),
            )
            # Emulates the time that a client takes to return a connection to its pool.
            await trio.sleep(0.0005)
        finally:
            memory_call.disconnected.set()

    async def _run_call(self, memory_call, address, scope):
        with scope:
            await memory_call.run(self._apps_by_address[address])


async def _next_message(memory_call, gap_limit_ms):
    try:
        with trio.fail_after(gap_limit_ms / 1000):
            return await memory_call.messages.receive()
    except trio.EndOfChannel as error:
        raise EndpointBrokenError("connection lost") from error
    except trio.TooSlowError as error:
        raise EndpointBrokenError("no data within the gap limit") from error


async def _body_chunks(memory_call, gap_limit_ms):
    while True:
        event = await _next_message(memory_call, gap_limit_ms)
        if event.get("body"):
            yield event["body"]
        if not event.get("more_body"):
            return


class PeerNetwork:
    """Network between the peer links of a stage, which can be partitioned.

    Attributes
    ----------
    partitions : set of frozenset of str
        Pairs of failure domains that cannot reach each other.
    paused_addresses : set of str
        Addresses of paused instances, which neither send nor answer.
    delay_ms : float
        One-way latency of a message.
    """

    def __init__(self):
        self.partitions = set()
        self.paused_addresses = set()
        self.delay_ms = 0.5
        self._handlers_by_address = {}
        self._domains_by_address = {}

    def connect(self, address, domain, handler):
        """Register the handler and the failure domain of an instance."""
        self._handlers_by_address[address] = handler
        self._domains_by_address[address] = domain

    def disconnect(self, address):
        """Remove the handler of an instance."""
        self._handlers_by_address.pop(address, None)

    def partition(self, domain, other_domain):
        """Partition two failure domains from each other."""
        self.partitions.add(frozenset((domain, other_domain)))

    def remove_partitions(self):
        """Remove all partitions."""
        self.partitions.clear()

    def reachable_handler(self, domain, address):
        """Return the handler at an address, or None if it is unreachable."""
        other_domain = self._domains_by_address.get(address)
        if (
            frozenset((domain, other_domain)) in self.partitions
            or address in self.paused_addresses
        ):
            return None
        return self._handlers_by_address.get(address)


class MemoryLink(PeerLink):
    """In-memory peer link that encodes messages and counts their bytes."""

    def __init__(self, network, settings):
        self._network = network
        self._address = settings.peer_listen
        self._domain = settings.domain
        self._authenticator = MessageAuthenticator(settings.peer_key)
        self.traffic = ControlTraffic()

    async def call(self, address, message, timeout_ms):
        """Send a message to a peer and return its reply."""
        data = self._authenticator.encode(message)
        self.traffic.count_sent(len(data))
        with trio.move_on_after(timeout_ms / 1000):
            await trio.sleep(self._network.delay_ms / 1000)
            handler = self._network.reachable_handler(self._domain, address)
            if handler is None or self._address in self._network.paused_addresses:
                await trio.sleep_forever()
            encoded_reply = await handler(data)
            await trio.sleep(self._network.delay_ms / 1000)
            if self._network.reachable_handler(self._domain, address) is None:
                await trio.sleep_forever()
            self.traffic.count_received(len(encoded_reply))
            return self._authenticator.decode(encoded_reply)
        raise PeerUnresponsiveError(address)

    async def serve(self, handler):
        """Handle messages until cancelled."""

        async def handle_data(data):
            self.traffic.count_received(len(data))
            encoded_reply = self._authenticator.encode(
                await handler(self._authenticator.decode(data))
            )
            self.traffic.count_sent(len(encoded_reply))
            return encoded_reply

        self._network.connect(self._address, self._domain, handle_data)
        await trio.sleep_forever()
