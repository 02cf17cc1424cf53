"""Roles that grow with the fleet: membership with its objects, load reports."""

import time

import trio

from bench.capacity import target
from bench.capacity.fit import fit_line
from bench.capacity.roles import Cost, Role, core_percent, to_megabytes
from bench.scale import (
    FRAME_OVERHEAD_BYTES,
    memory_per_node,
    run_on_mock_clock,
    run_steady_fleet,
)
from vanillareach.core.directory import LoadReport
from vanillareach.core.loadtree import FANOUT, interval_factor
from vanillareach.core.messages import (
    EngineLoadReport,
    LoadReportBatch,
    PushAck,
    encode_message,
)
from vanillareach.core.spreading import WATCHERS_PER_DOMAIN
from vanillareach.peers.link import NngLink
from vanillareach.settings import SETTINGS_BY_NAME
from vanillareach.traffic import ControlTraffic

PEER_CALL_COUNT = 1000
WATCHED_COLLECTIONS = 3
LINK_ADDRESS = "127.0.0.1:18290"
FLEET_SIZES = ((10, 3), (40, 10), (80, 10), (120, 10))


class Membership(Role):
    """Probes between members, the member records and the objects that they spread."""

    name = "membership"

    def measure(self):
        """Run fleets of several sizes in memory."""
        traffic, messages, memory = [], [], []
        for nodes, domains in FLEET_SIZES:
            steady_state = run_on_mock_clock(run_steady_fleet, nodes, domains)
            traffic.append((nodes, steady_state.bytes_per_second))
            messages.append((nodes, steady_state.messages_per_second))
            memory.append((nodes, run_on_mock_clock(memory_per_node, nodes, domains)))
        return [
            fit_line(self.name, "traffic", "B/s", "nodes", traffic),
            fit_line(self.name, "messages", "1/s", "nodes", messages),
            fit_line(self.name, "memory", "B", "nodes", memory),
            fit_line(self.name, "peer call", "ms", "calls", _peer_call_points()),
        ]

    def cost(self, lines_by_quantity):
        """Return the cost at the target's nodes and changes."""
        messages = lines_by_quantity["messages"].value_at(target.NODES)
        call = lines_by_quantity["peer call"].slope
        watches = WATCHED_COLLECTIONS * WATCHERS_PER_DOMAIN * target.DOMAINS
        return Cost(
            self.name,
            "one record of every node, dead ones for an hour; all objects",
            "one probe a second in shuffled order, news on probes, digests of objects; "
            "two watchers of the platform a domain",
            "records of all nodes in one join answer: 20 kB at 340, "
            "1 MB at some 17,000 nodes",
            "373 changes of members a day are 4 news a quarter of an hour; a domain "
            "that returns is taken back by one exchange a node",
            cpu_percent=core_percent(call, messages / 2),
            memory_mb=to_megabytes(lines_by_quantity["memory"].value_at(target.NODES)),
            bytes_per_second=lines_by_quantity["traffic"].value_at(target.NODES),
            messages_per_second=messages,
            platform_reads=watches,
        )


class LoadReports(Role):
    """Distribution of engines' load reports within a failure domain."""

    name = "load reports"

    def measure(self):
        """Measure the size of batches of several numbers of engines."""
        points = []
        for engines in (6, 20, 40, 60):
            loads = tuple(
                EngineLoadReport(
                    f"engine-{index:03d}",
                    LoadReport(120_000, 30, 4, 280_000, 400_000),
                    700,
                )
                for index in range(engines)
            )
            size = (
                len(encode_message(LoadReportBatch(loads, True))) + FRAME_OVERHEAD_BYTES
            )
            points.append((engines, size))
        return [fit_line(self.name, "batch", "B", "engines in the domain", points)]

    def cost(self, lines_by_quantity):
        """Return the cost of the collector, the most expensive node of the tree."""
        nodes, engines = target.NODES_PER_DOMAIN, target.ENGINES_PER_DOMAIN
        interval_ms = SETTINGS_BY_NAME["load_interval_ms"].default
        rate = 1000 / (interval_ms * interval_factor(engines))
        domain_report_bytes = lines_by_quantity["batch"].value_at(engines)
        own_report_bytes = lines_by_quantity["batch"].value_at(engines / nodes)
        sent_bytes_per_second = (
            FANOUT * (domain_report_bytes + FRAME_OVERHEAD_BYTES) * rate
        )
        received_bytes_per_second = (
            nodes * (own_report_bytes + FRAME_OVERHEAD_BYTES) * rate
        )
        messages = (FANOUT + nodes) * rate
        return Cost(
            self.name,
            "newest report of each engine of the domain",
            "each engine read by one node; a tree below a collector; reports rarer in "
            "large domains",
            "the age of reports: "
            f"{interval_ms * interval_factor(engines) / 1000:g} s at "
            f"{engines:g} engines a domain, growing with them",
            "a dead collector is replaced once it is taken as gone, 6 s at most; "
            "meanwhile own dispatches are counted",
            cpu_percent=core_percent(_peer_call_ms(), messages),
            bytes_per_second=sent_bytes_per_second + received_bytes_per_second,
            messages_per_second=2 * messages,
            duty=target.EXCLUSIVE_DUTY,
        )


def _peer_call_points():
    points = []
    for calls in (PEER_CALL_COUNT // 4, PEER_CALL_COUNT // 2, PEER_CALL_COUNT):
        points.append((calls, trio.run(_peer_call_cpu_s, calls) * 1000))
    return points


def _peer_call_ms():
    return trio.run(_peer_call_cpu_s, PEER_CALL_COUNT) * 1000 / PEER_CALL_COUNT


async def _peer_call_cpu_s(calls):
    """Return the processor seconds that one side spends on calls over sockets."""

    async def handle_message(message):
        return PushAck()

    server = NngLink(LINK_ADDRESS, "key", ControlTraffic())
    client = NngLink("127.0.0.1:18291", "key", ControlTraffic())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.serve, handle_message)
        await trio.sleep(0.1)
        await client.call(LINK_ADDRESS, PushAck(), 2000)
        started = time.process_time()
        for _ in range(calls):
            await client.call(LINK_ADDRESS, PushAck(), 2000)
        both_sides_cpu_s = time.process_time() - started
        nursery.cancel_scope.cancel()
    client.close()
    return both_sides_cpu_s / 2


FLEET_ROLES = (Membership(), LoadReports())
