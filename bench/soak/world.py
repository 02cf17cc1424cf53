"""Stand-ins, proxies and callers of a soak."""

import random
import re
from dataclasses import dataclass, field

import h11
import trio

from bench.layout import GATEWAYS_BY_LAYOUT
from bench.soak.proxy import FaultProxy
from vanillareach.features.users_platform.endpoint import EVENTS, response_body
from vanillareach.features.users_platform.stage import (
    Caller,
    PlatformStage,
    configuration,
    free_address,
)
from vanillareach.utils import split_address

ENGINE_NAMES = ("m0", "m1", "m2", "m3")
DESK_NAMES = ("d0", "d1", "d2")
REQUEST_KINDS = ("read", "book", "ask")
CALL_TIMEOUT_S = 8.0
CALLER_COUNT = 12
MAX_REQUEST_PAUSE_S = 0.05
# Each is more than the number of versions, revisions or eras of one seed.
VERSION_STRIDE_PER_SEED = 10_000
REVISION_STRIDE_PER_SEED = 100_000
ERA_STRIDE_PER_SEED = 1_000


@dataclass(slots=True)
class Attempt:
    """One request of a caller and the response it received."""

    id: str
    kind: str
    started_s: float
    status: int | None = None
    is_complete: bool = False
    body: bytes = b""


@dataclass(slots=True)
class LeavingEndpoint:
    """An endpoint that was listed as leaving."""

    name: str
    at_s: float
    received_count_before: int


@dataclass(slots=True)
class SoakEnvironment:
    """Stand-ins, proxies and recorded requests around the gateways of a soak.

    Attributes
    ----------
    stage : PlatformStage
    gateways : tuple of bench.layout.Gateway
    store_proxies : list of FaultProxy
    endpoint_proxies : dict of FaultProxy by endpoint name
    attempts : list of Attempt
    leaving_endpoints : list of LeavingEndpoint
    fault_intervals : list of [float, float]
        Start and end in seconds.
    version : int
        Version of the newest configuration that the operator has written.
    lost_entries, restored_entries : dict
        Entries of endpoints before and after the last restore, by name.
    """

    stage: PlatformStage
    gateways: tuple
    random: random.Random
    store_proxies: list = field(default_factory=list)
    endpoint_proxies: dict = field(default_factory=dict)
    attempts: list = field(default_factory=list)
    leaving_endpoints: list = field(default_factory=list)
    fault_intervals: list = field(default_factory=list)
    version: int = 1
    lost_entries: dict = field(default_factory=dict)
    restored_entries: dict = field(default_factory=dict)

    @property
    def endpoints_by_name(self):
        """Stand-in endpoints by name."""
        return self.stage.endpoints_by_name

    def service_of(self, name):
        """Return the service of an endpoint."""
        return "model" if name.startswith("m") else "desk"

    def write_configuration(self):
        """Write a configuration with a higher version."""
        self.version += self.random.randint(1, 4)
        self.stage.store.put("config", "main", configuration(self.version))

    def restore_store(self, copy):
        """Let the store come back from an older copy."""
        store = self.stage.store
        self.lost_entries = dict(store.objects_by_kind["servers"])
        store.restore(copy)
        self.restored_entries = dict(store.objects_by_kind["servers"])

    def write_again(self):
        """Write what the operator and the endpoints had written before the restore.

        Entries that have changed since then are newer.
        """
        store, entries = self.stage.store, self.stage.store.objects_by_kind["servers"]
        for name in {*self.lost_entries, *self.restored_entries}:
            if entries.get(name) != self.restored_entries.get(name):
                continue
            if name in self.lost_entries:
                store.put("servers", name, self.lost_entries[name]["spec"])
            else:
                store.delete("servers", name)
        store.put("config", "main", configuration(self.version))


async def open_environment(nursery, layout, seed, seed_index):
    """Start all stand-ins and proxies and return the `SoakEnvironment`.

    The same gateways serve all seeds, so versions and revisions rise from seed to seed.
    """
    stage = PlatformStage(nursery)
    stage.store.revision += seed_index * REVISION_STRIDE_PER_SEED
    stage.store.era += seed_index * ERA_STRIDE_PER_SEED
    gateways = GATEWAYS_BY_LAYOUT[layout]
    environment = SoakEnvironment(stage, gateways, random.Random(seed))
    environment.version += seed_index * VERSION_STRIDE_PER_SEED
    services = {
        name: environment.service_of(name) for name in (*ENGINE_NAMES, *DESK_NAMES)
    }
    await stage.open(services)
    for gateway in gateways:
        proxy = FaultProxy(gateway.address("store"), stage.store_address)
        await nursery.start(proxy.run)
        environment.store_proxies.append(proxy)
    for name, endpoint in environment.endpoints_by_name.items():
        endpoint.default_step = "stream" if services[name] == "model" else "answer"
        proxy = FaultProxy(free_address(), endpoint.address)
        await nursery.start(proxy.run)
        environment.endpoint_proxies[name] = proxy
        endpoint.address = proxy.listen
        stage.put_endpoint(name, services[name])
    environment.write_configuration()
    return environment


async def send_requests_forever(environment):
    """Send requests one after another, reusing the connection while possible."""
    caller = None
    while True:
        if caller is None:
            caller = await connect(environment)
        if caller is not None:
            can_reuse_connection = await send_request(environment, caller)
            if not can_reuse_connection:
                await caller._stream.aclose()
                caller = None
        await trio.sleep(MAX_REQUEST_PAUSE_S * environment.random.random())


async def connect(environment, gateway=None):
    """Return a `Caller` connected to a gateway, or None if it refuses."""
    gateway = gateway or environment.random.choice(environment.gateways)
    address = split_address(gateway.address("front"))
    try:
        with trio.fail_after(1.0):
            stream = await trio.open_tcp_stream(*address)
    except (OSError, trio.TooSlowError):
        await trio.sleep(0.1)
        return None
    return Caller(environment.stage, stream)


async def send_request(environment, caller, kind=None):
    """Send a request, record its `Attempt`, return whether to keep the connection."""
    kind = kind or environment.random.choice(REQUEST_KINDS)
    attempt = Attempt(environment.stage.next_id(), kind, trio.current_time())
    environment.attempts.append(attempt)
    header_values = {"Vanillareach_Attempt_Id": attempt.id}
    if kind == "ask":
        tokens = environment.random.choice((900, 30_000, 120_000))
        header_values["Vanillareach_Token_Usage"] = f"{tokens},100"
    if caller._connection.our_state is h11.DONE:
        caller._connection.start_next_cycle()
    response = None
    with trio.move_on_after(CALL_TIMEOUT_S):
        try:
            response = await caller.call(f"/{kind}/x", **header_values)
        except (OSError, trio.BrokenResourceError, h11.ProtocolError):
            return False
    if response is None:
        return False
    attempt.status, attempt.is_complete = response.status, response.is_complete
    attempt.body = response.body
    will_close = response.values_by_name.get(b"connection") == b"close"
    return response.is_complete and not will_close


def expected_body(attempt):
    """Return the body that a successful response to an attempt must have."""
    if attempt.kind != "ask":
        return response_body(attempt.id).encode()
    return b"".join(
        f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, EVENTS + 1)
    )


def event_ids(body):
    """Return the ids of the events in a body."""
    return [int(number) for number in re.findall(rb"id: (\d+)\n", body)]
