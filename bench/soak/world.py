"""Stand-ins, proxies and callers of a soak."""

import random
import re
from dataclasses import dataclass, field

import trio

from bench.layout import GATEWAYS_BY_LAYOUT
from bench.soak.configurations import COLD_START_S, ConfigurationVariant
from bench.soak.endpoint import EVENT_COUNT, SoakEndpoint
from bench.soak.observations import Observations
from bench.soak.proxy import FaultProxy
from vanillareach.features.users_platform.endpoint import HEALTH_PATH, response_body
from vanillareach.features.users_platform.stage import (
    PlatformStage,
    free_address,
)

ENGINE_NAMES = ("m0", "m1", "m2", "m3")
DESK_NAMES = ("d0", "d1", "d2")
# Endpoints of services that versions of the configuration take away and put back.
SCANNER_NAMES = ("s0", "s1")
TALKER_NAMES = ("t0", "t1")
EVACUATED_ZONE = "zone-b"
# Endpoints in the domain that is evacuated: a part of each service.
EVACUATED_NAMES = ("m1", "m3", "d1", "s1", "t1")
SERVICES_BY_PREFIX = {"m": "model", "d": "desk", "s": "scanner", "t": "talker"}
ENGINE_SERVICES = ("model", "talker")
SERVICES_BY_KIND = {
    "read": ("desk",),
    "book": ("desk",),
    "ask": ("model",),
    "scan": ("scanner", "desk"),
    "talk": ("talker",),
}
STREAM_KINDS = ("ask", "talk")
# Each is more than the number of versions, revisions or eras of one seed.
VERSION_STRIDE_PER_SEED = 10_000
REVISION_STRIDE_PER_SEED = 100_000
ERA_STRIDE_PER_SEED = 1_000
INCARNATION_STRIDE_PER_SEED = 1_000


@dataclass(slots=True)
class SoakEnvironment:
    """Stand-ins, proxies and recorded requests around the gateways of a soak.

    Attributes
    ----------
    stage : PlatformStage
    gateways : tuple of bench.layout.Gateway
    store_proxies : list of FaultProxy
    endpoint_proxies : dict of FaultProxy by endpoint name
    caller_random : random.Random
        Draws for the callers, so that these don't change the faults of a seed.
    observations : Observations
    id_prefix : str
        Common start of the attempt ids of a seed.
    has_health_paths : bool
        Whether configurations name the path of health checks.
    version : int
        Version of the newest configuration that the operator has written.
    variant : ConfigurationVariant
        What that configuration says.
    prompts : PromptParts or None
        Draws the parts of prompts; None if prompts are sent without parts.
    withdrawn_names : set of str
        Endpoints that leave, ask for quiet or have crashed.
    cold_per_s : float
        Requests a second that endpoints take while they are cold; 0 if none is.
    lost_entries, restored_entries : dict
        Entries of endpoints before and after the last restore, by name.
    """

    stage: PlatformStage
    gateways: tuple
    random: random.Random
    caller_random: random.Random = field(default_factory=random.Random)
    observations: Observations = field(default_factory=Observations)
    id_prefix: str = ""
    store_proxies: list = field(default_factory=list)
    endpoint_proxies: dict = field(default_factory=dict)
    has_health_paths: bool = False
    version: int = 1
    variant: ConfigurationVariant = ConfigurationVariant()
    prompts: object = None
    withdrawn_names: set = field(default_factory=set)
    cold_per_s: float = 0.0
    lost_entries: dict = field(default_factory=dict)
    restored_entries: dict = field(default_factory=dict)

    @property
    def attempts(self):
        """Attempts of the callers."""
        return self.observations.attempts

    @property
    def endpoints_by_name(self):
        """Stand-in endpoints by name."""
        return self.stage.endpoints_by_name

    def next_id(self):
        """Return an attempt id that no other seed uses."""
        return f"{self.id_prefix}-{self.stage.next_id()}"

    def service_of(self, name):
        """Return the service of an endpoint."""
        return SERVICES_BY_PREFIX[name[0]]

    def write_configuration(self):
        """Write the configuration with a higher version."""
        self.version += self.random.randint(1, 4)
        self._put_configuration()

    def change_configuration(self, variant):
        """Write a variant of the configuration."""
        self.variant = variant
        self.version += 1
        self._put_configuration()

    def _put_configuration(self):
        document = self.variant.document(self.version)
        if self.cold_per_s:
            for service in document["backends"]:
                service["cold_per_s"] = self.cold_per_s
                service["cold_start_s"] = COLD_START_S
        if self.has_health_paths:
            for backend in document["backends"]:
                backend["health_path"] = HEALTH_PATH
        timeouts = {route["name"]: route["timeout_ms"] for route in document["routes"]}
        self.observations.timeouts_ms.append((trio.current_time(), timeouts))
        self.stage.store.put("config", "main", document)

    def restore_store(self, copy):
        """Let the store come back from an older copy."""
        store = self.stage.store
        self.lost_entries = dict(store.objects_by_kind["servers"])
        evacuations = store.objects_by_kind.get("evacuations", {})
        store.restore(copy)
        # Operators see to it that the store still has their evacuations.
        store.objects_by_kind["evacuations"] = evacuations
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
        self._put_configuration()


async def open_environment(nursery, layout, seed, seed_index):
    """Start all stand-ins and proxies and return the `SoakEnvironment`.

    The same gateways serve all seeds, so versions, revisions and incarnations rise
    from seed to seed.
    """
    stage = PlatformStage(nursery)
    stage.store.revision += seed_index * REVISION_STRIDE_PER_SEED
    stage.store.era += seed_index * ERA_STRIDE_PER_SEED
    gateways = GATEWAYS_BY_LAYOUT[layout]
    environment = SoakEnvironment(
        stage, gateways, random.Random(seed), random.Random(f"callers {seed}")
    )
    environment.id_prefix = f"seed-{seed}"
    environment.version += seed_index * VERSION_STRIDE_PER_SEED
    endpoint_names = (*ENGINE_NAMES, *DESK_NAMES, *SCANNER_NAMES, *TALKER_NAMES)
    services = {name: environment.service_of(name) for name in endpoint_names}
    incarnation = 1 + seed_index * INCARNATION_STRIDE_PER_SEED
    await stage.open(services, lambda name: SoakEndpoint(name, seed, incarnation))
    for gateway in gateways:
        proxy = FaultProxy(gateway.address("store"), stage.store_address)
        await nursery.start(proxy.run)
        environment.store_proxies.append(proxy)
    for name, endpoint in environment.endpoints_by_name.items():
        endpoint.default_step = (
            "stream" if services[name] in ENGINE_SERVICES else "answer"
        )
        proxy = FaultProxy(free_address(), endpoint.address)
        await nursery.start(proxy.run)
        environment.endpoint_proxies[name] = proxy
        endpoint.address = proxy.listen
        endpoint.zone = EVACUATED_ZONE if name in EVACUATED_NAMES else endpoint.zone
        stage.put_endpoint(name, services[name])
    environment.write_configuration()
    return environment


def expected_body(attempt):
    """Return the body that a successful response to an attempt must have."""
    if attempt.kind not in STREAM_KINDS:
        return response_body(attempt.id).encode()
    return b"".join(
        f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, EVENT_COUNT + 1)
    )


def event_ids(body):
    """Return the ids of the events in a body."""
    return [int(number) for number in re.findall(rb"id: (\d+)\n", body)]
