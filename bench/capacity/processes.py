"""Roles measured on real processes: an idle entry and the relay."""

import time

import trio

from bench.capacity import target
from bench.capacity.fit import fit_line
from bench.capacity.roles import Cost, Role, core_percent
from bench.layout import LAYOUTS_BY_NAME, entry_address
from bench.processes import cpu_seconds, pid_of, resident_mb
from bench.relay import measure_first_token_ms, run_concurrent_streams
from bench.stage import (
    apply_document,
    apply_samples,
    is_in_force_on,
    is_ready,
    register_layout,
    wait_until,
)

IDLE_MEASUREMENT_S = 10


class IdleProcess(Role):
    """An entry process with its configuration, without requests."""

    name = "process"

    def measure(self):
        """Measure memory and idle processor share with a growing number of teams."""
        address = entry_address(0)
        register_layout(LAYOUTS_BY_NAME["relay"])
        wait_until(lambda: is_ready(address), "entry ready")
        apply_samples(address, ["metselvak"])
        pid = pid_of("vanillareach entry")
        # Memory includes the garbage that requests leave until it is collected.
        trio.run(measure_first_token_ms, address, 1)
        memory, idle_cpu_percent = [], []
        applied = 1
        for teams in (1, 40, 80, 160):
            for index in range(applied, teams):
                apply_document(address, "team", _team(index))
            applied = max(applied, teams)
            wait_until(
                lambda n=applied: is_in_force_on(address, _last_key(n), 1),
                "teams in force",
            )
            time.sleep(1)
            before = cpu_seconds(pid)
            time.sleep(IDLE_MEASUREMENT_S)
            idle_cpu_percent.append(
                (teams, (cpu_seconds(pid) - before) / IDLE_MEASUREMENT_S * 100)
            )
            memory.append((teams, resident_mb(pid)))
        return [
            fit_line(self.name, "memory", "MB", "teams", memory),
            fit_line(self.name, "idle share", "%", "teams", idle_cpu_percent),
        ]

    def cost(self, lines_by_quantity):
        """Return memory and idle share with one team.

        The roles of the configuration and of the team limits count the memory of more.
        """
        return Cost(
            self.name,
            "interpreter and libraries, and the reading of two engines' load",
            "imports kept few; collector frozen after start-up",
            "memory: libraries alone are most of the bound",
            "360 replacements a day are one start every 4 minutes in the fleet",
            cpu_percent=lines_by_quantity["idle share"].value_at(1),
            memory_mb=lines_by_quantity["memory"].value_at(1),
        )


def _team(index):
    return {
        "name": f"team-{index}",
        "template": "guild",
        "token_sha256": [f"{index:064x}"],
        "parameters": {"rate": 5 + index % 50},
    }


def _last_key(teams):
    return f"team.team-{teams - 1}" if teams > 1 else "team.utrecht"


class Relay(Role):
    """Streams through an entry."""

    name = "relay"

    def measure(self):
        """Relay streams of growing length and measure processor time."""
        address = entry_address(0)
        pid = pid_of("vanillareach entry")
        points = []
        for tokens in (50, 100, 200, 400):
            before = cpu_seconds(pid)
            trio.run(run_concurrent_streams, address, tokens)
            trio.run(run_concurrent_streams, address, tokens)
            # 32 streams: two runs of bench.relay.STREAM_COUNT each.
            points.append((tokens, (cpu_seconds(pid) - before) * 1000 / 32))
        return [fit_line(self.name, "stream", "ms", "tokens of a stream", points)]

    def cost(self, lines_by_quantity):
        """Return the processor share of a node's tokens and requests."""
        stream = lines_by_quantity["stream"]
        tokens = core_percent(stream.slope, target.TOKENS_PER_SECOND_PER_NODE)
        requests = core_percent(stream.intercept, target.REQUESTS_PER_SECOND_PER_NODE)
        max_tokens_per_second = 1000 / stream.slope
        return Cost(
            self.name,
            "events of running streams, kept until they end",
            "events pass as bytes, parsed only after a break; what arrived together "
            "leaves together",
            f"one core relays {max_tokens_per_second:.0f} tokens/s; the target needs "
            f"{target.TOKENS_PER_SECOND_PER_NODE:.0f} a node",
            "streams of a dead node break; callers send again",
            cpu_percent=tokens + max(0.0, requests),
            is_control=False,
        )


PROCESS_ROLES = (IdleProcess(), Relay())
