"""Roles of an instance that are measured on the core alone."""

import math
import random
from abc import ABC, abstractmethod

import msgspec

from bench.capacity import target
from bench.capacity.fit import fit_line
from bench.capacity.timing import measure_allocated_bytes, min_cpu_ms
from vanillareach.core.admission import AdmissionController
from vanillareach.core.configuration import (
    ConfigurationObject,
    ConfigurationView,
    VersionedStore,
)
from vanillareach.core.directory import Directory
from vanillareach.core.ledger import (
    CLAIM_RETENTION_MS,
    SEGMENT_LIMIT_BYTES,
    SEGMENTS_PER_SHARD,
    WRITE_INTERVAL_MS,
    Claim,
    ClaimRecord,
    ClaimState,
    Settle,
    ShardWriter,
    claim_key,
)
from vanillareach.core.messages import (
    ClaimReply,
    ClaimRequest,
    PushAck,
    SettleRequest,
    encode_message,
)
from vanillareach.core.objects import EndpointSpec
from vanillareach.core.placement import PlacementRequest, PredictedTimePolicy
from vanillareach.core.prefixes import BLOCK_BYTES, PrefixCacheEstimate, block_hashes
from vanillareach.core.work import WorkEstimate
from vanillareach.settings import SETTINGS_BY_NAME

SEED = 1
FRAME_OVERHEAD_BYTES = 80  # TCP, IP and nng headers and the digest of one message


class Cost(msgspec.Struct):
    """Cost of one role on one node at the target size.

    Attributes
    ----------
    state : str
        State that the role keeps.
    mechanism : str
        Mechanism that bounds its cost.
    breaks : str
        First limit that is reached, and at what size.
    failure_day : str
        Behaviour on a day of failures.
    cpu_percent, memory_mb, bytes_per_second, messages_per_second : float
    platform_reads, platform_writes : float
        Calls per second of the whole fleet.
    is_control : bool
        Whether it counts against the bounds for control.
    duty : str
        Roles with the same duty never run on one node; the most expensive one counts.
    """

    role: str
    state: str
    mechanism: str
    breaks: str
    failure_day: str
    cpu_percent: float = 0.0
    memory_mb: float = 0.0
    bytes_per_second: float = 0.0
    messages_per_second: float = 0.0
    platform_reads: float = 0.0
    platform_writes: float = 0.0
    is_control: bool = True
    duty: str = ""


class Role(ABC):
    """One role of an instance."""

    name = ""

    @abstractmethod
    def measure(self):
        """Return the list of `FittedLine` of this role."""

    @abstractmethod
    def cost(self, lines_by_quantity):
        """Return the `Cost` at the target size.

        Parameters
        ----------
        lines_by_quantity : dict of str to FittedLine
        """


def core_percent(ms_per_run, runs_per_second):
    """Return the percentage of one core that runs at the given rate use."""
    return ms_per_run * runs_per_second / 10


def to_megabytes(size):
    """Return a number of bytes in megabytes of 2**20 bytes."""
    return size / 1_048_576


def build_directory(engines, now_ms=0.0, blocks=0):
    """Return a directory with engines spread over ten domains."""
    directory = Directory()
    rng = random.Random(SEED)
    specs = [
        EndpointSpec(
            name=f"engine-{index}",
            service="pool",
            address=f"127.0.0.1:{10_000 + index}",
            domain=f"domain-{index % target.DOMAINS}",
        )
        for index in range(engines)
    ]
    directory.replace_all(specs, now_ms)
    for state in directory.endpoints_by_id.values():
        state.cached_prefixes.record_blocks(
            [rng.getrandbits(64) for _ in range(blocks)], now_ms
        )
    return directory


class Placement(Role):
    """Choice of an engine for a request."""

    name = "placement"

    def measure(self):
        """Time decisions over pools of several sizes."""
        points = []
        for engines in (18, 75, 150, 300, 600):
            directory = build_directory(engines)
            request = PlacementRequest(
                WorkEstimate(8_000, 200), block_hashes(b"x" * 32_000), "domain-1"
            )
            policy = PredictedTimePolicy()
            rng = random.Random(SEED)

            def decide(directory=directory, request=request, rng=rng):
                states = directory.usable("pool", 1.0)
                return policy.choose(request, states, 1.0, rng)  # noqa: B023

            points.append((engines, min_cpu_ms(decide, 200)))
        return [fit_line(self.name, "decision", "ms", "engines in the pool", points)]

    def cost(self, lines_by_quantity):
        """Return the cost of deciding for a node's share of requests."""
        decision = lines_by_quantity["decision"].value_at(target.ENGINES)
        return Cost(
            self.name,
            "none of its own",
            "few sampled candidates and the holders of the prefix",
            f"{decision:.2f} ms a decision at 600 engines, bound 1 ms",
            "engines that vanish drop out of the directory",
            cpu_percent=core_percent(decision, target.REQUESTS_PER_SECOND_PER_NODE),
            is_control=False,
        )


class DirectoryState(Role):
    """State that a node keeps of each engine."""

    name = "directory"

    def measure(self):
        """Measure the memory of directories of several sizes."""
        points = [
            (engines, measure_allocated_bytes(lambda n=engines: build_directory(n))[1])
            for engines in (18, 150, 300, 600)
        ]
        return [fit_line(self.name, "memory", "B", "engines", points)]

    def cost(self, lines_by_quantity):
        """Return the memory of all engines."""
        return Cost(
            self.name,
            "address, load, own dispatches and breaker of every engine",
            "one state a known engine, forgotten with the platform's list",
            "linear in engines; 10 times the target is a few MB",
            "a dead domain's engines stay listed until the platform drops them",
            memory_mb=to_megabytes(
                lines_by_quantity["memory"].value_at(target.ENGINES)
            ),
        )


class PrefixCaching(Role):
    """Estimate of the prefix blocks that engines cache."""

    name = "prefix belief"
    blocks_per_engine = 512

    def measure(self):
        """Measure the memory of the estimate and the time of hashing prompts."""

        def build(blocks):
            cached_prefixes = PrefixCacheEstimate(limit=100_000)
            rng = random.Random(SEED)
            cached_prefixes.record_blocks(
                [rng.getrandbits(64) for _ in range(blocks)], 0.0
            )
            return cached_prefixes

        memory = [
            (blocks, measure_allocated_bytes(lambda n=blocks: build(n))[1])
            for blocks in (1_000, 4_000, 16_000, 64_000)
        ]
        hashing = []
        for blocks in (16, 128, 512, 2048):
            prompt = b"x" * (blocks * BLOCK_BYTES)
            hashing.append((blocks, min_cpu_ms(lambda p=prompt: block_hashes(p), 20)))
        return [
            fit_line(self.name, "memory", "B", "blocks", memory),
            fit_line(self.name, "hashing", "ms", "blocks of the prompt", hashing),
        ]

    def cost(self, lines_by_quantity):
        """Return the memory of the own domain's estimates and the hashing time."""
        blocks = target.ENGINES_PER_DOMAIN * self.blocks_per_engine
        mean_blocks = 12_000 * 4 / BLOCK_BYTES
        hashing = lines_by_quantity["hashing"].value_at(mean_blocks)
        return Cost(
            self.name,
            f"{self.blocks_per_engine} blocks for each of the own domain's engines",
            "learned from own dispatches; bounded per engine, oldest dropped",
            "at 4096 blocks an engine over 600 engines: "
            f"{to_megabytes(lines_by_quantity['memory'].value_at(600 * 4096)):.0f} MB",
            "a replaced node starts without beliefs and learns them in minutes",
            cpu_percent=core_percent(hashing, target.REQUESTS_PER_SECOND_PER_NODE),
            memory_mb=to_megabytes(lines_by_quantity["memory"].value_at(blocks)),
        )


def configuration_objects(teams):
    """Return the configuration objects of a fleet with this number of teams."""
    objects = [
        ConfigurationObject(
            "service",
            f"pool-{index}",
            1,
            "c",
            spec={"name": f"pool-{index}", "kind": "engine", "model": f"m-{index}"},
        )
        for index in range(target.MODELS)
    ]
    services = [f"pool-{index}" for index in range(target.MODELS)]
    objects.append(
        ConfigurationObject(
            "template",
            "standard",
            1,
            "c",
            spec={
                "name": "standard",
                "services": services,
                "parameters": {"rate": {"type": "number", "default": 10}},
                "limits": {"requests_per_second": "${rate}"},
            },
        )
    )
    objects += [
        ConfigurationObject(
            "team",
            f"team-{index}",
            1,
            "c",
            spec={
                "name": f"team-{index}",
                "template": "standard",
                "token_sha256": [f"{index:064x}"],
                "parameters": {"rate": 5 + index % 50},
            },
        )
        for index in range(teams)
    ]
    return objects


class Configuration(Role):
    """Configuration objects and their indexes."""

    name = "configuration"

    def measure(self):
        """Measure memory and the time to rebuild the view."""
        memory, rebuild = [], []
        for teams in (10, 80, 160, 320):

            def build(teams=teams):
                store = VersionedStore()
                for item in configuration_objects(teams):
                    store.merge(item)
                return store, ConfigurationView(store.objects_by_key.values())

            built, size = measure_allocated_bytes(build)
            memory.append((teams, size))
            objects = list(built[0].objects_by_key.values())
            rebuild.append(
                (teams, min_cpu_ms(lambda items=objects: ConfigurationView(items), 5))
            )
        return [
            fit_line(self.name, "memory", "B", "teams", memory),
            fit_line(self.name, "view rebuild", "ms", "teams", rebuild),
        ]

    def cost(self, lines_by_quantity):
        """Return memory and rebuild time at the target's changes a day."""
        rebuild = lines_by_quantity["view rebuild"].value_at(target.TEAMS)
        rate = target.CHANGES_PER_DAY / target.SECONDS_PER_DAY
        return Cost(
            self.name,
            "all services, templates and teams, with indexes",
            "whole view rebuilt after a change",
            f"{rebuild:.0f} ms a rebuild; incremental above some 3000 teams",
            "a new node takes all from a peer or the platform in one exchange",
            cpu_percent=core_percent(rebuild, rate),
            memory_mb=to_megabytes(lines_by_quantity["memory"].value_at(target.TEAMS)),
        )


class Admission(Role):
    """Team limits."""

    name = "team limits"

    def measure(self):
        """Measure memory by number of teams and the time of an admission."""
        memory, admit = [], []
        for teams in (10, 80, 160, 320):
            store = VersionedStore()
            for item in configuration_objects(teams):
                store.merge(item)
            view = ConfigurationView(store.objects_by_key.values())

            def build(view=view):
                controller = AdmissionController()
                for team in view.teams_by_name.values():
                    permit = controller.admit(
                        team.name, team.limits, WorkEstimate(1, 1), 0.0
                    )
                    controller.release(permit)
                return controller

            controller, size = measure_allocated_bytes(build)
            memory.append((teams, size))
            team = next(iter(view.teams_by_name.values()))
            clock = iter(range(0, 10**9, 1000))

            def admit_one(controller=controller, team=team, clock=clock):
                permit = controller.admit(
                    team.name, team.limits, WorkEstimate(1, 1), next(clock)
                )
                controller.release(permit)

            admit.append((teams, min_cpu_ms(admit_one, 500)))
        return [
            fit_line(self.name, "memory", "B", "teams", memory),
            fit_line(self.name, "admission", "ms", "teams", admit),
        ]

    def cost(self, lines_by_quantity):
        """Return the cost of admitting a node's share of requests."""
        admit = lines_by_quantity["admission"].value_at(target.TEAMS)
        return Cost(
            self.name,
            "usage and rate of every team seen",
            "one usage record a team, one step a request",
            "constant time a request; memory linear in teams",
            "a restarted node starts with empty buckets at full burst",
            cpu_percent=core_percent(admit, target.REQUESTS_PER_SECOND_PER_NODE),
            memory_mb=to_megabytes(lines_by_quantity["memory"].value_at(target.TEAMS)),
        )


class Ledger(Role):
    """Claims of calls with an idempotency key."""

    name = "ledger"
    shards = SETTINGS_BY_NAME["ledger_shards"].default

    def measure(self):
        """Time commits and measure memory for logs with several numbers of claims."""
        commit, memory, write_bytes = [], [], []
        for claims in (250, 1000, 2500, 5000):

            def build(claims=claims):
                writer = ShardWriter()
                writer.load_segments([])
                sizes = []
                for index in range(claims):
                    writer.add(_claim(index))
                    write = writer.prepare(0)
                    sizes.append(len(msgspec.json.encode(write.content)))
                    writer.complete_write("1")
                return writer, sum(sizes) / len(sizes)

            (writer, size), allocated_bytes = measure_allocated_bytes(build)
            memory.append((claims, allocated_bytes))
            write_bytes.append((claims, size))

            def commit_one(writer=writer):
                writer.add(_claim(10**6))
                write = writer.prepare(0)
                msgspec.json.encode(write.content)
                writer.skip_write()

            commit.append((claims, min_cpu_ms(commit_one, 50)))
        return [
            fit_line(self.name, "commit", "ms", "claims in the shard", commit),
            fit_line(self.name, "memory", "B", "claims in the shard", memory),
            fit_line(self.name, "write", "B", "claims in the shard", write_bytes),
        ]

    def cost(self, lines_by_quantity):
        """Return the cost of committing the keyed share of requests."""
        keyed_calls_per_second = target.REQUESTS_PER_SECOND * target.KEYED_REQUEST_SHARE
        claims = keyed_calls_per_second * CLAIM_RETENTION_MS / 1000 / self.shards
        writes_per_shard = min(
            keyed_calls_per_second / self.shards, 1000 / WRITE_INTERVAL_MS
        )
        writes = writes_per_shard * self.shards
        owned_shards = math.ceil(self.shards / target.NODES)
        commit = lines_by_quantity["commit"].value_at(claims)
        size = lines_by_quantity["write"].value_at(claims) + target.HTTP_OVERHEAD_BYTES
        peer_bytes_per_second = _peer_bytes() * keyed_calls_per_second / self.shards
        log_bytes = SEGMENT_LIMIT_BYTES * SEGMENTS_PER_SHARD
        # A keyed call takes some 380 bytes of the log.
        log_bytes_per_second = keyed_calls_per_second / self.shards * 380
        return Cost(
            self.name,
            f"{claims:.0f} claims a shard; a node that owns {owned_shards} of "
            f"{self.shards} shards",
            "append to small log segments, group commit, owner by rendezvous",
            f"a ring of {to_megabytes(log_bytes):.0f} MB lasts "
            f"{log_bytes / log_bytes_per_second / 60:.0f} min at "
            f"{keyed_calls_per_second:.0f} keyed/s; below "
            f"{CLAIM_RETENTION_MS / 60_000:.0f} min new keys are refused",
            "another node reads the log and goes on; conditional writes decide",
            cpu_percent=core_percent(commit, writes_per_shard * owned_shards)
            + core_percent(target.HTTP_CALL_CPU_MS, writes_per_shard * owned_shards),
            memory_mb=to_megabytes(lines_by_quantity["memory"].value_at(claims))
            * owned_shards,
            bytes_per_second=(size * writes_per_shard + peer_bytes_per_second)
            * owned_shards,
            messages_per_second=writes_per_shard * owned_shards * 2,
            platform_writes=writes,
            duty=target.EXCLUSIVE_DUTY,
        )


def _peer_bytes():
    """Return the bytes of one keyed call between its entry and the shard's owner."""
    messages = (
        ClaimRequest(_claim(1), 1000),
        ClaimReply(granted=True),
        SettleRequest(
            Settle(_claim(1).key, "a" * 18, ClaimState.DONE, 201, "x" * 80, "json")
        ),
        PushAck(),
    )
    return sum(
        len(encode_message(message)) + FRAME_OVERHEAD_BYTES for message in messages
    )


def _claim(index):
    record = ClaimRecord(
        f"a-{index:016x}", f"{index:032x}", "entry-1/1796330429192", 1_796_330_429_192
    )
    return Claim(claim_key("team", "desk", str(index)), record)


CORE_ROLES = (
    Placement(),
    DirectoryState(),
    PrefixCaching(),
    Configuration(),
    Admission(),
    Ledger(),
)
