"""Membership and configuration of many instances, in memory on a mock clock.

Real nodes with real messages and codec; only sockets are replaced. Prints the time
until a change is in force everywhere and the load on a node and on the platform.
"""

import gc
import random
import sys
import time
import tracemalloc
from dataclasses import dataclass

import msgspec
import trio
import trio.testing

from bench.figures import Figure, report
from vanillareach.clock import TrioClock
from vanillareach.control.configurations import ConfigurationWriter
from vanillareach.core.objects import InstanceSpec
from vanillareach.core.spreading import is_watcher
from vanillareach.log import configure_logs
from vanillareach.node import Ports, build_node
from vanillareach.settings import Settings
from vanillareach.standins.memory import (
    MemoryEndpoints,
    MemoryLink,
    MemoryPlatform,
    PeerNetwork,
)
from vanillareach.standins.platform import ObjectStore

WALL_OFFSET_MS = 1_800_000_000_000
PEER_SEED_COUNT = 3
FLEET_FORMATION_S = 20
STEADY_STATE_S = 30
CHANGE_COUNT = 5
CHANGE_INTERVAL_S = 4
FRAME_OVERHEAD_BYTES = 80  # TCP, IP and nng headers of one message
IN_FORCE_TIMEOUT_S = 60
IN_FORCE_BOUNDS_S_BY_NODES = {9: 5.0, 340: 19.0}
IN_FORCE_AIM_S = 3.0
CONTROL_TRAFFIC_BOUND_BYTES_PER_S = 15_000
CPU_BOUND_PERCENT = 4.6
MEMORY_BOUND_MB = 64
PLATFORM_CALLS_BOUND_PER_S = 2000


class ScaleNode:
    """One instance of the fleet under measurement."""

    def __init__(self, fleet, index):
        self.fleet = fleet
        self.index = index
        self.domain = f"domain-{index % fleet.domains}"
        self.scope = trio.CancelScope()
        self.settings = Settings(
            name=f"node-{index}",
            domain=self.domain,
            peer_listen=f"127.0.0.1:{20_000 + index}",
            peer_seeds=",".join(
                f"127.0.0.1:{20_000 + n}" for n in range(PEER_SEED_COUNT)
            ),
        )
        self.link = MemoryLink(fleet.network, self.settings)
        self.platform = MemoryPlatform(fleet.store)

    async def run(self):
        """Run until `kill` is called."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                self.node = build_node(
                    self.settings,
                    TrioClock(WALL_OFFSET_MS),
                    random.Random(self.index),
                    nursery,
                    Ports(
                        self.platform,
                        self.fleet.endpoints,
                        self.fleet.endpoints,
                        self.link,
                    ),
                )
                nursery.start_soon(self.node.run)
                await trio.sleep_forever()

    def kill(self):
        """Stop at once, without a shutdown."""
        self.scope.cancel()
        self.fleet.network.disconnect(self.settings.peer_listen)

    def is_watcher(self):
        """Return whether this node watches the platform."""
        members = self.node.fleet.membership
        alive = members.alive(self.domain)
        return is_watcher(self.settings.name, self.domain, alive)

    def has_in_force(self, key, version):
        """Return whether an object is in force here with at least this version."""
        current = self.node.components.store.objects_by_key.get(key)
        return current is not None and current.version >= version


class ScaleFleet:
    """All instances and the platform."""

    def __init__(self, nursery, nodes, domains):
        self.domains = domains
        self.store = ObjectStore()
        self.network = PeerNetwork()
        self.endpoints = MemoryEndpoints({}, nursery)
        self.nodes = [ScaleNode(self, index) for index in range(nodes)]
        for node in self.nodes:
            spec = InstanceSpec(
                name=node.settings.name,
                domain=node.domain,
                peer_address=node.settings.peer_listen,
            )
            self.store.write(
                "instances", node.settings.name, msgspec.to_builtins(spec), ""
            )

    def traffic(self):
        """Return bytes, frame headers included, and messages of all nodes so far."""
        message_count = sum(
            n.link.traffic.messages_in + n.link.traffic.messages_out for n in self.nodes
        )
        traffic_bytes = sum(n.link.traffic.total_bytes for n in self.nodes)
        return traffic_bytes + message_count * FRAME_OVERHEAD_BYTES, message_count

    def platform_calls(self):
        """Return the number of platform calls so far."""
        return sum(n.platform.read_count + n.platform.write_count for n in self.nodes)


async def time_change_propagation(fleet, number, kill_watcher):
    """Accept one change and return the seconds until it is in force everywhere.

    With `kill_watcher`, one node that watches the platform is killed right after.
    """
    node = fleet.nodes[number % len(fleet.nodes)]
    writer = ConfigurationWriter(node.platform, node.node.components.store)
    name = f"pool-{number}"
    document = {"name": name, "kind": "engine", "model": f"model-{number}"}
    result = await writer.accept("service", name, document, 0)
    started = trio.current_time()
    node.node.fleet.push_accepted_change(result.item)
    if kill_watcher:
        _kill_one_watcher(fleet, node)
    live = [n for n in fleet.nodes if not n.scope.cancel_called]
    with trio.fail_after(IN_FORCE_TIMEOUT_S):
        while not all(
            n.has_in_force(result.item.key, result.item.version) for n in live
        ):
            await trio.sleep(0.01)
    return trio.current_time() - started


def _kill_one_watcher(fleet, spared_node):
    for node in fleet.nodes:
        if (
            node is not spared_node
            and not node.scope.cancel_called
            and node.is_watcher()
        ):
            node.kill()
            return


@dataclass(slots=True)
class SteadyState:
    """Load of a fleet without changes: means of a node, and all calls of the platform.

    `min_known_members` is the number of alive members that the least informed node
    knows.
    """

    min_known_members: int
    bytes_per_second: float
    messages_per_second: float
    cpu_percent: float
    platform_calls_per_second: float


async def measure_steady_state(fleet):
    """Let the fleet form, then return its `SteadyState`."""
    nodes = len(fleet.nodes)
    await trio.sleep(FLEET_FORMATION_S)
    min_known_members = min(len(n.node.fleet.membership.alive()) for n in fleet.nodes)
    traffic_bytes, message_count = fleet.traffic()
    calls = fleet.platform_calls()
    started = time.process_time()
    await trio.sleep(STEADY_STATE_S)
    cpu_percent = (time.process_time() - started) / STEADY_STATE_S / nodes * 100
    traffic_bytes_after, message_count_after = fleet.traffic()
    return SteadyState(
        min_known_members,
        (traffic_bytes_after - traffic_bytes) / STEADY_STATE_S / nodes,
        (message_count_after - message_count) / STEADY_STATE_S / nodes,
        cpu_percent,
        (fleet.platform_calls() - calls) / STEADY_STATE_S,
    )


async def run_steady_fleet(nodes, domains):
    """Start a fleet of one size and return its `SteadyState`."""
    async with trio.open_nursery() as nursery:
        fleet = ScaleFleet(nursery, nodes, domains)
        for node in fleet.nodes:
            nursery.start_soon(node.run)
        steady_state = await measure_steady_state(fleet)
        nursery.cancel_scope.cancel()
    return steady_state


async def measure(nodes, domains):
    """Return the figures for one size of fleet."""
    async with trio.open_nursery() as nursery:
        fleet = ScaleFleet(nursery, nodes, domains)
        for node in fleet.nodes:
            nursery.start_soon(node.run)
        steady_state = await measure_steady_state(fleet)
        times = []
        for number in range(CHANGE_COUNT):
            times.append(
                await time_change_propagation(fleet, number, number == CHANGE_COUNT - 1)
            )
            await trio.sleep(CHANGE_INTERVAL_S)
        watchers = sum(n.is_watcher() for n in fleet.nodes if not n.scope.cancel_called)
        nursery.cancel_scope.cancel()
    return [
        Figure(
            f"{nodes} nodes: members known by the least informed",
            steady_state.min_known_members,
            "",
        ),
        Figure(
            f"{nodes} nodes: change in force everywhere, max of {CHANGE_COUNT}",
            max(times),
            "s",
            IN_FORCE_BOUNDS_S_BY_NODES.get(nodes, 19.0),
            IN_FORCE_AIM_S,
        ),
        Figure(
            f"{nodes} nodes: control bytes a node",
            steady_state.bytes_per_second,
            "B/s",
            CONTROL_TRAFFIC_BOUND_BYTES_PER_S,
        ),
        Figure(
            f"{nodes} nodes: control messages a node",
            steady_state.messages_per_second,
            "/s",
        ),
        Figure(
            f"{nodes} nodes: processor share a node, without sockets",
            steady_state.cpu_percent,
            "%",
            CPU_BOUND_PERCENT,
        ),
        # Each watcher keeps watches of three collections open.
        Figure(
            f"{nodes} nodes: platform calls and waiting watches",
            steady_state.platform_calls_per_second + 3 * watchers,
            "/s",
            PLATFORM_CALLS_BOUND_PER_S,
        ),
    ]


async def memory_per_node(nodes, domains):
    """Return the bytes that a node of a formed fleet has allocated, on average."""
    async with trio.open_nursery() as nursery:
        fleet = ScaleFleet(nursery, nodes, domains)
        gc.collect()
        tracemalloc.start()
        for node in fleet.nodes:
            nursery.start_soon(node.run)
        await trio.sleep(FLEET_FORMATION_S)
        allocated_bytes = tracemalloc.get_traced_memory()[0] / nodes
        tracemalloc.stop()
        nursery.cancel_scope.cancel()
    return allocated_bytes


def run_on_mock_clock(function, *arguments):
    """Run a coroutine function on a mock clock."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(function, *arguments, clock=clock)


def run(sizes=((9, 3), (340, 10))):
    """Run all sizes and return the exit code."""
    configure_logs(level="error")
    figures = []
    for nodes, domains in sizes:
        figures += run_on_mock_clock(measure, nodes, domains)
    return report(figures)


if __name__ == "__main__":
    random.seed(1)
    sys.exit(run())
