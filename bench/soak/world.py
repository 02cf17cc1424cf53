"""Store, endpoints, proxies and callers of a soak."""

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

ENGINES = ("m0", "m1", "m2", "m3")
DESKS = ("d0", "d1", "d2")
KINDS = ("read", "book", "ask")
CALL_LIMIT_S = 8.0
CALLERS = 12
PAUSE_S = 0.05
VERSIONS_PER_WORLD = 10_000
REVISIONS_PER_WORLD = 100_000


@dataclass(slots=True)
class Attempt:
    """One attempt of a caller and what it got."""

    id: str
    kind: str
    began_s: float
    status: int | None = None
    is_complete: bool = False
    body: bytes = b""


@dataclass(slots=True)
class Leaving:
    """An endpoint that was listed as leaving."""

    name: str
    at_s: float
    received_before: int


@dataclass(slots=True)
class World:
    """Everything around the gateways.

    Attributes
    ----------
    stage : PlatformStage
    gateways : tuple of bench.layout.Gateway
    store_proxies, endpoint_proxies : list of FaultProxy
    attempts : list of Attempt
    leavings : list of Leaving
    fault_spans : list of (float, float)
    """

    stage: PlatformStage
    gateways: tuple
    random: random.Random
    store_proxies: list = field(default_factory=list)
    endpoint_proxies: dict = field(default_factory=dict)
    attempts: list = field(default_factory=list)
    leavings: list = field(default_factory=list)
    fault_spans: list = field(default_factory=list)
    version: int = 1

    @property
    def endpoints_by_name(self):
        """Stand-in endpoints."""
        return self.stage.endpoints_by_name

    def service_of(self, name):
        """Return the service of an endpoint."""
        return "model" if name.startswith("m") else "desk"

    def write_configuration(self):
        """Write the next version."""
        self.version += self.random.randint(1, 4)
        self.stage.store.put("config", "main", configuration(self.version))


async def open_world(nursery, layout, seed, number):
    """Start all stand-ins and proxies and return the `World`.

    Versions and revisions rise from one world to the next, as gateways stay.
    """
    stage = PlatformStage(nursery)
    stage.store.revision += number * REVISIONS_PER_WORLD
    gateways = GATEWAYS_BY_LAYOUT[layout]
    world = World(stage, gateways, random.Random(seed))
    world.version += number * VERSIONS_PER_WORLD
    services = {name: world.service_of(name) for name in (*ENGINES, *DESKS)}
    await stage.open(services)
    for gateway in gateways:
        proxy = FaultProxy(gateway.address("store"), stage.store_address)
        await nursery.start(proxy.run)
        world.store_proxies.append(proxy)
    for name, endpoint in world.endpoints_by_name.items():
        endpoint.default_step = "stream" if services[name] == "model" else "answer"
        proxy = FaultProxy(free_address(), endpoint.address)
        await nursery.start(proxy.run)
        world.endpoint_proxies[name] = proxy
        endpoint.address = proxy.listen
        stage.list_endpoint(name, services[name])
    world.write_configuration()
    return world


async def call_for_ever(world):
    """Send requests one after the other, keeping a connection while it lasts."""
    caller = None
    while True:
        if caller is None:
            caller = await connect(world)
        if caller is not None:
            keeps = await call_once(world, caller)
            if not keeps:
                await caller._stream.aclose()
                caller = None
        await trio.sleep(PAUSE_S * world.random.random())


async def connect(world, gateway=None):
    """Return a `Caller` at a gateway, or None if it takes no connection."""
    gateway = gateway or world.random.choice(world.gateways)
    address = split_address(gateway.address("front"))
    try:
        with trio.fail_after(1.0):
            stream = await trio.open_tcp_stream(*address)
    except (OSError, trio.TooSlowError):
        await trio.sleep(0.1)
        return None
    return Caller(world.stage, stream)


async def call_once(world, caller, kind=None):
    """Send one request, record its `Attempt`, and return whether to keep on."""
    kind = kind or world.random.choice(KINDS)
    attempt = Attempt(world.stage.next_id(), kind, trio.current_time())
    world.attempts.append(attempt)
    values = {"Vanillareach_Attempt_Id": attempt.id}
    if kind == "ask":
        tokens = world.random.choice((900, 30_000, 120_000))
        values["Vanillareach_Token_Usage"] = f"{tokens},100"
    if caller._connection.our_state is h11.DONE:
        caller._connection.start_next_cycle()
    answer = None
    with trio.move_on_after(CALL_LIMIT_S):
        try:
            answer = await caller.call(f"/{kind}/x", **values)
        except (OSError, trio.BrokenResourceError, h11.ProtocolError):
            return False
    if answer is None:
        return False
    attempt.status, attempt.is_complete = answer.status, answer.is_complete
    attempt.body = answer.body
    closes = answer.values_by_name.get(b"connection") == b"close"
    return answer.is_complete and not closes


def expected_body(attempt):
    """Return the only body that an attempt's success may have."""
    if attempt.kind != "ask":
        return response_body(attempt.id).encode()
    return b"".join(
        f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, EVENTS + 1)
    )


def event_ids(body):
    """Return the ids of the events in a body."""
    return [int(number) for number in re.findall(rb"id: (\d+)\n", body)]
