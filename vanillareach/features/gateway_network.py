"""Gateways that exchange messages in memory, on a mock clock.

Only what takes part in placement is built: gossip, state, placement. There are no
callers' connections, endpoints or store.
"""

import random
from collections import deque
from contextvars import ContextVar
from dataclasses import replace
from types import SimpleNamespace

import msgspec
import trio
import trio.testing

from vanillareach.clock import TrioClock
from vanillareach.control.object_api import PlatformGoneError, PlatformUnavailableError
from vanillareach.core.dispatching import Dispatcher
from vanillareach.core.endpoint_list import ListedEndpoint
from vanillareach.core.engine_policies import DEFAULT_POLICY, POLICIES_BY_NAME
from vanillareach.core.ordered_placing import OrderedPlacement
from vanillareach.features.users_platform.stage import HOST, configuration
from vanillareach.gateway.exchange import GatewayExchange
from vanillareach.gateway.following import StoreFollower
from vanillareach.gateway.gossip import Gossip
from vanillareach.gateway.placing import PlacementClient, PlacementServer
from vanillareach.gateway.ports import (
    CallerFields,
    DeploymentStore,
    EndpointSignals,
    StoreListing,
    StorePosition,
)
from vanillareach.gateway.settings import GatewaySettings
from vanillareach.gateway.stalls import StallDetector
from vanillareach.gateway.state import GatewayState
from vanillareach.peers.link import PeerLink, PeerUnresponsiveError
from vanillareach.platform.documents import decode_configuration

LATENCY_MS = 1.0
STORE_LATENCY_MS = 4.0
STORE_CALL_TIMEOUT_MS = 700.0
FAST_CORES, SLOW_CORES = 4.0, 1.0
FAST_INSTANCES_PER_DOMAIN = 3
ENGINES_PER_DOMAIN = 4
CALLER_TIMEOUT_MS = 10_000.0
# Objectives of the first deployment, after which callers here leave.
PATIENCE_MS, LONG_PATIENCE_MS = 300.0, 8_000.0
LONG_PROMPT_TOKENS = 100_000


class MemoryNetwork:
    """Datagrams and calls between the instances of a `MemoryFleet`.

    Attributes
    ----------
    received_by_name : dict of str to int
        Datagrams that arrived at each instance.
    is_cut : callable
        Whether what one instance sends to another is lost, by their names.
    """

    def __init__(self):
        self.sockets_by_address = {}
        self.handlers_by_address = {}
        self.received_by_name = {}
        self.is_cut = lambda sender, receiver: False
        self._in_transit = deque()
        self._sent_event = trio.Event()

    async def run(self):
        """Deliver datagrams after the network's latency until cancelled."""
        while True:
            if not self._in_transit:
                self._sent_event = trio.Event()
                await self._sent_event.wait()
            arrival_s, receiver, data = self._in_transit.popleft()
            await trio.sleep_until(arrival_s)
            receiver.deliver(data)

    def send(self, receiver, data):
        """Send a datagram to a socket."""
        arrival_s = trio.current_time() + LATENCY_MS / 1000
        self._in_transit.append((arrival_s, receiver, data))
        self._sent_event.set()

    def open_socket(self, address):
        """Return a `MemorySocket` at an address."""
        self.sockets_by_address[address] = MemorySocket(self, address)
        return self.sockets_by_address[address]


class MemorySocket:
    """Stands in for `DatagramSocket`; its address is the name of its instance."""

    def __init__(self, network, address):
        self.address = address
        self._network = network
        self._datagrams = []
        self._arrival = trio.Event()
        self.is_frozen = False

    def close(self):
        """Take the socket out of the network."""
        if self._network.sockets_by_address.get(self.address) is self:
            del self._network.sockets_by_address[self.address]

    def send_to_all(self, data, addresses):
        """Send a datagram to each address."""
        for address in addresses:
            receiver = self._network.sockets_by_address.get(address)
            if receiver is None or self._network.is_cut(self.address, address):
                continue
            self._network.received_by_name[address] = (
                self._network.received_by_name.get(address, 0) + 1
            )
            self._network.send(receiver, data)
        return {}

    def deliver(self, data):
        """Store a datagram that has arrived until the next `receive`."""
        self._datagrams.append(data)
        if not self.is_frozen:
            self._arrival.set()

    async def receive(self):
        """Wait until a datagram has arrived, and return those that have."""
        while not self._datagrams or self.is_frozen:
            self._arrival = trio.Event()
            await self._arrival.wait()
        await trio.lowlevel.checkpoint()
        datagrams, self._datagrams = self._datagrams, []
        return datagrams

    def thaw(self):
        """Handle again what arrives, and what arrived meanwhile."""
        self.is_frozen = False
        self._arrival.set()


class MemoryLink(PeerLink):
    """Calls between instances that are answered at once."""

    def __init__(self, network, name):
        self._network = network
        self._name = name
        self._handlers_by_address = network.handlers_by_address

    async def call(self, address, message, timeout_ms):
        """Call a peer; see `PeerLink.call`."""
        handler = self._handlers_by_address.get(address)
        if handler is None or self._network.is_cut(self._name, address):
            raise PeerUnresponsiveError(address)
        return await handler(message)

    async def serve(self, handler):
        """Serve until cancelled; see `PeerLink.serve`."""
        self._handlers_by_address[self._name] = handler
        try:
            await trio.sleep_forever()
        finally:
            del self._handlers_by_address[self._name]


class MemoryStore(DeploymentStore):
    """The store as one instance reaches it.

    Parameters
    ----------
    shared : SharedStore
    name : str
        Name of the instance.
    """

    def __init__(self, shared, name):
        self._shared = shared
        self._name = name

    async def read_configuration(self):
        """Read the configuration; see `DeploymentStore`."""
        shared = self._shared
        await shared.call()
        shared.configuration_reads += 1
        return StorePosition(
            shared.era, shared.configuration_revision
        ), shared.configuration

    async def wait_for_configuration(self, position, wait_ms):
        """Wait for a change; see `DeploymentStore`."""
        shared = self._shared
        await shared.call()
        with trio.move_on_after(wait_ms / 1000):
            while shared.configuration_revision <= position.revision:
                await shared.change_event.wait()
        if position.era != shared.era:
            raise PlatformGoneError("era")
        if shared.configuration_revision <= position.revision:
            return position, None
        return StorePosition(
            shared.era, shared.configuration_revision
        ), shared.configuration

    async def list_endpoints(self):
        """List the endpoints; see `DeploymentStore`."""
        await self._shared.call()
        return StoreListing(StorePosition(self._shared.era, 1), self._shared.listed())

    async def list_evacuations(self):
        """List the evacuated domains; see `DeploymentStore`."""
        shared = self._shared
        await self._call_for_evacuations("list")
        position = StorePosition(shared.era, shared.revision)
        return StoreListing(position, list(shared.evacuated))

    async def wait_for_evacuations(self, position, wait_ms):
        """Watch the evacuated domains; see `DeploymentStore`."""
        shared, before = self._shared, None
        await self._call_for_evacuations("watch")
        if position.era == shared.era:
            before = shared.evacuated_by_revision.get(position.revision)
        if before is None:
            raise PlatformGoneError("history")
        with trio.move_on_after(wait_ms / 1000):
            while shared.evacuated == before or self._name in shared.hanging_names:
                await trio.sleep(STORE_LATENCY_MS / 1000)
                self._check_access()
        await self._fail_if_hanging()
        if position.era != shared.era:
            raise PlatformGoneError("era")
        changed = shared.evacuated ^ before
        return StorePosition(shared.era, shared.revision), {
            domain: domain in shared.evacuated for domain in changed
        }

    async def _call_for_evacuations(self, kind):
        now_ms = trio.current_time() * 1000
        self._shared.evacuation_calls.append((self._name, kind, now_ms))
        await self._shared.call()
        if kind == "list":
            await self._fail_if_hanging()
        self._check_access()

    async def _fail_if_hanging(self):
        if self._name in self._shared.hanging_names:
            await trio.sleep(STORE_CALL_TIMEOUT_MS / 1000)
            raise PlatformUnavailableError("no answer")

    def _check_access(self):
        if self._name in self._shared.rejected_names:
            raise PlatformUnavailableError("rejected")

    async def list_instances(self, may_be_stale=False):
        """List the instances; see `DeploymentStore`."""
        shared = self._shared
        await shared.call()
        position = StorePosition(shared.era, shared.revision)
        return StoreListing(position, list(shared.instances_by_name.values()))

    async def register_instance(self, instance):
        """Register an instance; see `DeploymentStore`."""
        await self._shared.call()
        self._shared.instances_by_name[instance.name] = instance

    async def remove_instance(self, name):
        """Remove an instance; see `DeploymentStore`."""
        await self._shared.call()
        del self._shared.instances_by_name[name]


class SharedStore:
    """What all instances of a `MemoryFleet` see in the store.

    Attributes
    ----------
    calls, configuration_reads : int
        Number of calls of all instances, and of reads of the configuration.
    era, revision : int
    configuration_revision : int
    engines : LimitedEngines
    is_down : bool
    evacuated : frozenset of str
        Failure domains with an object of the kind of evacuations.
    evacuation_calls : list of (str, str, float)
        Instance, "list" or "watch", and time in ms, of each call about them.
    rejected_names, hanging_names : set of str
        Instances whose calls about evacuations fail, at once or by a time-out.
    """

    def __init__(self, endpoints, engines):
        self.engines = engines
        self.configuration = decode_configuration(msgspec.json.encode(configuration(1)))
        self.endpoints = endpoints
        self.instances_by_name = {}
        self.calls = 0
        self.configuration_reads = 0
        self.era = 1
        self.revision = 1
        self.configuration_revision = 1
        self.change_event = trio.Event()
        self.is_down = False
        self.evacuated = frozenset()
        self.evacuated_by_revision = {1: self.evacuated}
        self.evacuation_calls = []
        self.rejected_names = set()
        self.hanging_names = set()

    def evacuate(self, *domains):
        """Write the objects of all evacuated domains; the others are removed."""
        self.revision += 1
        self.evacuated = frozenset(domains)
        self.evacuated_by_revision[self.revision] = self.evacuated

    def restore(self, *domains):
        """Come back from an older copy in which domains are evacuated."""
        self.era, self.revision = self.era + 1, 1
        self.evacuated = frozenset(domains)
        self.evacuated_by_revision = {1: self.evacuated}

    def write_configuration(self, version):
        """Write the configuration under another version."""
        document = msgspec.json.encode(configuration(version))
        self.configuration = decode_configuration(document)
        self.configuration_revision += 1
        self.change_event.set()
        self.change_event = trio.Event()

    def listed(self):
        """Return the entries, which tell for how long endpoints are cold."""
        return [
            replace(endpoint, cold_ms=self.engines.cold_ms(endpoint.id))
            for endpoint in self.endpoints
        ]

    async def call(self):
        """Count a call and take the time of one."""
        self.calls += 1
        await trio.sleep(STORE_LATENCY_MS / 1000)
        if self.is_down:
            raise PlatformUnavailableError("down")


# The `MemoryGateway` whose task is running.
current_gateway = ContextVar("current_gateway", default=None)


class WakeCounter(trio.abc.Instrument):
    """Records at how many moments each instance's tasks have run.

    Attributes
    ----------
    moments_by_name : dict of str to set of float
    """

    def __init__(self):
        self.moments_by_name = {}

    def before_task_step(self, task):
        """Record a step of a task."""
        gateway = task.context.get(current_gateway)
        if gateway is not None:
            moments = self.moments_by_name.setdefault(gateway.settings.name, set())
            moments.add(trio.current_time())


class MemoryGateway:
    """One instance of a `MemoryFleet`."""

    def __init__(self, name, domain, cores, network, store, seed, evacuation_ms=0.0):
        self.clock = TrioClock(wall_offset_ms=1_000_000)
        self.settings = GatewaySettings(
            name=name,
            domain=domain,
            peer_listen="127.0.0.1:1",
            processor_cores=cores,
            evacuation_ms=evacuation_ms,
        )
        # The network knows instances by name.
        self.settings.peer_listen = name
        self.state = GatewayState(self.settings, self.clock)
        link = MemoryLink(network, name)
        self.gossip = Gossip(
            self.settings, self.state, link, self.clock, network.open_socket
        )
        self.gossip._random = random.Random(seed)
        self.dispatcher = Dispatcher(
            self.state, domain, random.Random(seed), POLICIES_BY_NAME[DEFAULT_POLICY]()
        )
        self.ordered = OrderedPlacement(self.state, self.dispatcher)
        placing = (self.state, self.dispatcher, self.gossip, self.clock, self.ordered)
        self.client = PlacementClient(*placing)
        server = PlacementServer(*placing)
        self.gossip.answer_query = server.answer
        self.follower = StoreFollower(
            MemoryStore(store, name), self.state, self.gossip, self.clock
        )
        self.scope = trio.CancelScope()
        self.engines = None

    async def run(self):
        """Follow the store and exchange messages until the instance is killed."""
        current_gateway.set(self)
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.gossip.run)
                nursery.start_soon(self.follower.run)
                detector = StallDetector(self.state, self.clock, self.clock.now_ms)
                nursery.start_soon(detector.run)

    @property
    def running_count(self):
        """Number of requests at engines that the instance knows of."""
        loads = self.state.load_state.loads_by_engine(self.clock.now_ms())
        return sum(load.running for load in loads.values())

    def exchange(self, prompt_tokens=1_000):
        """Return the `GatewayExchange` of a new request for a generation."""
        now_ms = self.clock.now_ms()
        fields = CallerFields(
            attempt_id=f"{self.settings.name}-{now_ms:.3f}",
            timeout_ms=CALLER_TIMEOUT_MS,
            key=None,
            prompt_tokens=prompt_tokens,
            answer_tokens=300,
            last_event_id=None,
        )
        request = SimpleNamespace(received_ms=now_ms)
        route = self.state.configuration.match(HOST, "/ask/a")
        service = self.state.configuration.services_by_name["model"]
        return GatewayExchange(
            request, fields, route, service, None, self.state.configuration
        )

    async def run_request(self, duration_ms, prompt_tokens=1_000, waits=False):
        """Place a request and let it run; return its `Placement` or None.

        With `waits` it asks again like the forwarder, but leaves after a while.
        """
        exchange = self.exchange(prompt_tokens)
        decision = await self.client.choose(exchange)
        while decision.placement is None:
            now_ms = self.clock.now_ms()
            is_long = prompt_tokens >= LONG_PROMPT_TOKENS
            patience_ms = LONG_PATIENCE_MS if is_long else PATIENCE_MS
            is_leaving = now_ms - exchange.request.received_ms > patience_ms
            may_wait = self.dispatcher.may_wait(exchange, now_ms)
            if not waits or decision.is_final or is_leaving or not may_wait:
                return None
            await self.clock.sleep_ms(decision.ask_interval_ms)
            decision = await self.client.choose(exchange)
        sent_ms = self.clock.now_ms()
        flight = self.dispatcher.record_dispatch(exchange, decision.placement, sent_ms)
        await self.clock.sleep_ms(LATENCY_MS)
        endpoint = decision.placement.endpoint
        if endpoint.incarnation != self.engines.incarnations_by_id.get(endpoint.id, 1):
            # Answered with 421.
            self.dispatcher.record_end(flight)
            return None
        limit_per_s = self.engines.answer(endpoint.id)
        signals = EndpointSignals(cold_ms=self.engines.cold_ms(endpoint.id))
        await self.clock.sleep_ms(LATENCY_MS)
        self.state.record_signals(endpoint, signals)
        self.state.record_limit(endpoint, limit_per_s, sent_ms)
        await self.clock.sleep_ms(duration_ms / 2)
        self.dispatcher.record_first_event(flight, self.clock.now_ms())
        await self.clock.sleep_ms(duration_ms / 2)
        self.dispatcher.record_end(flight)
        return decision.placement


class LimitedEngines:
    """The engines of a fleet as far as they name limits or are cold.

    Attributes
    ----------
    limits_by_id : dict of str to float
        Requests a second that an engine names in its answers.
    arrivals_by_id : dict of str to list of float
        Times of the requests that each engine got, in s.
    incarnations_by_id : dict of str to int
        Of the engines that have started again.
    cold_until_s_by_id : dict of str to float
    """

    def __init__(self):
        self.incarnations_by_id = {}
        self.cold_until_s_by_id = {}
        self.limits_by_id = {}
        self.arrivals_by_id = {}

    def cold_ms(self, engine):
        """Return for how long an engine says it is cold."""
        until_s = self.cold_until_s_by_id.get(engine, 0.0)
        return max(0.0, 1000 * (until_s - trio.current_time()))

    def answer(self, engine):
        """Record a request; return the limit in the head of its answer, or None."""
        self.arrivals_by_id.setdefault(engine, []).append(trio.current_time())
        return self.limits_by_id.get(engine)


def endpoints_of(domains, count=ENGINES_PER_DOMAIN):
    """Return the engines of a fleet, as listed endpoints."""
    return [
        ListedEndpoint(f"m-{domain}{n}", 1, "model", f"10.0.0.{n}:80", domain, 8, False)
        for domain in domains
        for n in range(count)
    ]


class MemoryFleet:
    """Instances spread evenly over domains, that start at once.

    Parameters
    ----------
    nursery : trio.Nursery
    instance_count : int
    domains : str
        Name of each domain, one letter each.
    evacuation_ms : float
        Setting of all instances.
    """

    def __init__(self, nursery, instance_count, domains, evacuation_ms=0.0):
        self.evacuation_ms = evacuation_ms
        self.network = MemoryNetwork()
        self.engines = LimitedEngines()
        self.store = SharedStore(endpoints_of(domains), self.engines)
        self.gateways_by_name = {}
        self._nursery = nursery
        nursery.start_soon(self.network.run)
        for number in range(instance_count):
            domain = domains[number % len(domains)]
            rank = number // len(domains)
            cores = FAST_CORES if rank < FAST_INSTANCES_PER_DOMAIN else SLOW_CORES
            self._build(f"{domain}{rank}", domain, cores, number)
        for gateway in self.gateways_by_name.values():
            self._start(gateway)

    def _build(self, name, domain, cores, seed):
        gateway = MemoryGateway(
            name, domain, cores, self.network, self.store, seed, self.evacuation_ms
        )
        gateway.engines = self.engines
        self.gateways_by_name[name] = gateway

    def _start(self, gateway):
        self._nursery.start_soon(gateway.run)

    def kill(self, name):
        """End an instance at once."""
        self.gateways_by_name.pop(name).scope.cancel()

    def restart(self, name):
        """Start a killed instance again, with nothing but what the store has."""
        cores = FAST_CORES if int(name[1:]) < FAST_INSTANCES_PER_DOMAIN else SLOW_CORES
        self._build(name, name[0], cores, seed=1)
        self._start(self.gateways_by_name[name])

    def placer_names(self, domain):
        """Return the names of the instances that believe they place for a domain."""
        return sorted(
            name
            for name, gateway in self.gateways_by_name.items()
            if name[0] == domain and gateway.gossip.audience.is_placer
        )

    def members(self, domain=None):
        """Return the instances that place no requests for others."""
        return [
            gateway
            for name, gateway in self.gateways_by_name.items()
            if not gateway.gossip.audience.is_placer and domain in (None, name[0])
        ]


def run_fleet(instance_count, domains, scenario, seed=1, evacuation_ms=0.0):
    """Run a coroutine function of a `MemoryFleet` on a mock clock."""

    async def main():
        async with trio.open_nursery() as nursery:
            fleet = MemoryFleet(nursery, instance_count, domains, evacuation_ms)
            result = await scenario(fleet)
            nursery.cancel_scope.cancel()
        return result

    # Seeds trio's scheduler, which otherwise runs tasks in random order.
    trio._core._run._r.seed(seed)
    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
