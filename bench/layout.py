"""Layouts of processes for the demos, the benchmarks and the process tests.

``python -m bench.layout NAME`` prints one command a line; ``bench/fleet.sh`` starts
them. Nothing here starts a process.
"""

import os
import sys
from dataclasses import dataclass

from vanillareach.core.objects import EndpointSpec, InstanceSpec
from vanillareach.utils import sha256_hex

# Loopback address of all processes; another one lets several fleets run side by side.
HOST = os.environ.get("FLEET_HOST", "127.0.0.1")
PLATFORM_ADDRESS = f"{HOST}:18001"
FIRST_ENTRY_PORT = 18100
FIRST_PEER_PORT = 18200
FIRST_ENGINE_PORT = 18300
FIRST_SERVICE_PORT = 18500
BARE_RELAY_ADDRESS = f"{HOST}:18090"
OPERATOR_TOKEN = "operator-sample-token"
TOKENS_BY_TEAM = {
    "utrecht": "utrecht-sample-token",
    "bulgan": "bulgan-sample-token",
}
DOMAINS = ("domain-a", "domain-b", "domain-c")
PEER_SEED_COUNT = 3
EXECUTABLE = "vanillareach"


@dataclass(slots=True, frozen=True)
class EnginePool:
    """Engines of one service."""

    service: str
    model: str
    count: int
    prefill_tokens_per_ms: float = 20.0
    step_ms: float = 20.0
    kv_tokens: int = 400_000


@dataclass(slots=True, frozen=True)
class ServicePool:
    """Instances of one plain service."""

    service: str
    count: int


@dataclass(slots=True, frozen=True)
class Layout:
    """Numbers and kinds of the processes of one fleet."""

    entries: int
    engine_pools: tuple[EnginePool, ...]
    service_pools: tuple[ServicePool, ...]
    trace_folder: str = ""
    has_bare_relay: bool = False


LAYOUTS_BY_NAME = {
    "demo": Layout(
        3,
        (
            EnginePool("juror-model", "juror", 3, 60.0),
            EnginePool("aeration-model", "aeration", 3, 60.0),
        ),
        (ServicePool("registration", 2), ServicePool("fan-control", 2)),
        "build/traces",
    ),
    "relay": Layout(
        1,
        (EnginePool("juror-model", "juror", 2, 1000.0, 5.0, 4_000_000),),
        (),
        has_bare_relay=True,
    ),
    "nine": Layout(
        9,
        (EnginePool("juror-model", "juror", 3, 100.0, 10.0),),
        (ServicePool("registration", 2),),
    ),
}


def domain_of(index):
    """Return the failure domain of the process with this index in its pool."""
    return DOMAINS[index % len(DOMAINS)]


def entry_address(index):
    """Return the address of one entry for callers."""
    return f"{HOST}:{FIRST_ENTRY_PORT + index}"


def peer_address(index):
    """Return the address of one entry for its peers."""
    return f"{HOST}:{FIRST_PEER_PORT + index}"


def engine_endpoints(layout):
    """Return the `EndpointSpec` of every engine with its pool."""
    port = FIRST_ENGINE_PORT
    for pool in layout.engine_pools:
        for index in range(pool.count):
            spec = EndpointSpec(
                name=f"{pool.service}-{index}",
                service=pool.service,
                address=f"{HOST}:{port}",
                domain=domain_of(index),
                kv_capacity_tokens=pool.kv_tokens,
            )
            yield pool, spec
            port += 1


def service_endpoints(layout):
    """Return the `EndpointSpec` of every plain service instance."""
    port = FIRST_SERVICE_PORT
    for pool in layout.service_pools:
        for index in range(pool.count):
            yield EndpointSpec(
                name=f"{pool.service}-{index}",
                service=pool.service,
                address=f"{HOST}:{port}",
                domain=domain_of(index),
            )
            port += 1


def instances(layout):
    """Return the `InstanceSpec` of every entry."""
    return [
        InstanceSpec(
            name=f"entry-{index}",
            domain=domain_of(index),
            peer_address=peer_address(index),
        )
        for index in range(layout.entries)
    ]


@dataclass(slots=True, frozen=True)
class Gateway:
    """Addresses and command of one gateway."""

    number: int

    def address(self, listener):
        """Return the address of a listener, a key of `FIRST_GATEWAY_PORTS`."""
        return f"{HOST}:{FIRST_GATEWAY_PORTS[listener] + self.number}"

    def command(self, domain="zone-a", store="", options=""):
        """Return the command that starts it, by default with a soak's store proxy."""
        return (
            f"{EXECUTABLE} gateway --name g{self.number} --domain {domain} --grace-s 8"
            f" --front-listen {self.address('front')}"
            f" --ready-listen {self.address('ready')}"
            f" --metrics-listen {self.address('metrics')}"
            f" --peer-listen {self.address('peer')}"
            f" --forward-listen {self.address('forward')}"
            f" --store {store or self.address('store')}{options}"
        )


FIRST_GATEWAY_PORTS = {
    "front": 19_100,
    "ready": 19_200,
    "metrics": 19_300,
    "peer": 19_400,
    "store": 19_500,
    "forward": 19_600,
}
FIRST_EMULATED_PORT = 21_000
EMULATED_GATEWAYS = tuple(Gateway(number) for number in range(3))
GATEWAYS_BY_LAYOUT = {
    "soak": tuple(Gateway(number) for number in range(4)),
    "soak-large": tuple(Gateway(number) for number in range(60)),
}


def commands(layout):
    """Yield the command of every process, the platform first."""
    yield f"{EXECUTABLE} standin platform --listen {PLATFORM_ADDRESS}"
    for pool, spec in engine_endpoints(layout):
        yield (
            f"{EXECUTABLE} standin engine --listen {spec.address} --model {pool.model} "
            f"--prefill {pool.prefill_tokens_per_ms} --step {pool.step_ms} "
            f"--kv-tokens {pool.kv_tokens}"
        )
    for spec in service_endpoints(layout):
        yield f"{EXECUTABLE} standin service --listen {spec.address}"
    if layout.has_bare_relay:
        engine = next(engine_endpoints(layout))[1].address
        yield f"python -m bench.bare_relay {BARE_RELAY_ADDRESS} {engine}"
    peer_seeds = ",".join(
        peer_address(i) for i in range(min(PEER_SEED_COUNT, layout.entries))
    )
    for index in range(layout.entries):
        yield entry_command(layout, index, peer_seeds)


def entry_command(layout, index, peer_seeds):
    """Return the command of one entry."""
    trace_option = (
        f" --trace-file {layout.trace_folder}/entry-{index}.jsonl"
        if layout.trace_folder
        else ""
    )
    return (
        f"{EXECUTABLE} entry --name entry-{index} --domain {domain_of(index)} "
        f"--listen {entry_address(index)} --peer-listen {peer_address(index)} "
        f"--peer-seeds {peer_seeds} --platform {PLATFORM_ADDRESS} --log-level warning "
        f"--operator-token-sha256 {sha256_hex(OPERATOR_TOKEN)}{trace_option}"
    )


def emulated_commands(policy):
    """Yield the commands of an emulated deployment and its gateways with a policy.

    The environment variable ``SCENARIO`` names the scenario file.
    """
    yield (
        f"{EXECUTABLE} emulate {os.environ['SCENARIO']} "
        f"--first-port {FIRST_EMULATED_PORT}"
    )
    store = f"{HOST}:{FIRST_EMULATED_PORT}"
    for gateway in EMULATED_GATEWAYS:
        options = f" --placement {policy} --log-level warning"
        yield gateway.command(domain_of(gateway.number), store, options)


def commands_of(name):
    """Yield the commands of the layout with this name."""
    if name == "emulated-targets":
        yield ",".join(gateway.address("front") for gateway in EMULATED_GATEWAYS)
        return
    if name.startswith("emulated-"):
        yield from emulated_commands(name.removeprefix("emulated-"))
        return
    if name in GATEWAYS_BY_LAYOUT:
        for gateway in GATEWAYS_BY_LAYOUT[name]:
            yield gateway.command(options=" --evacuation-ms 5000")
        return
    yield from commands(LAYOUTS_BY_NAME[name])


if __name__ == "__main__":
    for command in commands_of(sys.argv[1]):
        print(command)
