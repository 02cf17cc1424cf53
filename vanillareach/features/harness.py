"""Runs entries, engines, services and a platform in one process on a mock clock."""

import random

import msgspec
import trio
import trio.testing

from vanillareach.clock import TrioClock
from vanillareach.core.configuration import ConfigurationObject
from vanillareach.core.objects import EndpointSpec, InstanceSpec
from vanillareach.invariants import (
    AnswerObservation,
    MemoryObservation,
    Observations,
    VersionObservation,
)
from vanillareach.node import Ports, build_node
from vanillareach.settings import Settings
from vanillareach.standins.engine import EngineApp
from vanillareach.standins.engine_model import EngineProfile
from vanillareach.standins.memory import (
    MemoryCall,
    MemoryEndpoints,
    MemoryLink,
    MemoryPlatform,
    PeerNetwork,
)
from vanillareach.standins.platform import ObjectStore
from vanillareach.standins.service import ServiceApp
from vanillareach.utils import sha256_hex

TEAM_TOKEN = "team-token"
OPERATOR_TOKEN = "operator-token"
WALL_OFFSET_MS = 1_800_000_000_000
FIRST_PEER_PORT = 20_000
PEER_SEED_COUNT = 3
DEFAULT_TIME_LIMIT_MS = 600_000
VERSION_SAMPLE_INTERVAL_S = 0.1


class Answer:
    """Response as received by a caller.

    Attributes
    ----------
    request : str
        Name of the request in reports of the invariant checks.
    started_ms, first_byte_ms, finished_ms : float or None
        Loop time at which the request was sent, and at which the first byte and the end
        of the response body were received.
    answer_count : int
        Number of complete responses received; more than one violates an invariant.
    caller_disconnected : bool
        Whether the connection was lost, so that no complete response is expected.
    """

    def __init__(self):
        self.status = None
        self.headers_by_name = {}
        self.body = b""
        self.first_byte_ms = None
        self.finished_ms = None
        self.request = ""
        self.time_limit_ms = DEFAULT_TIME_LIMIT_MS
        self.answer_count = 0
        self.caller_disconnected = False
        self.started_ms = trio.current_time() * 1000

    @property
    def duration_ms(self):
        """Time in ms from sending the request to the end of the response."""
        return self.finished_ms - self.started_ms

    def json(self):
        """Return the decoded body."""
        return msgspec.json.decode(self.body)

    def record_event(self, event):
        """Record one ASGI event of the response."""
        now_ms = trio.current_time() * 1000
        if event["type"] == "http.response.start":
            self.status = event["status"]
            self.headers_by_name = {
                name.decode(): value.decode() for name, value in event["headers"]
            }
            return
        if event.get("body") and self.first_byte_ms is None:
            self.first_byte_ms = now_ms
        self.body += event.get("body", b"")
        if not event.get("more_body"):
            self.answer_count += 1
            self.finished_ms = now_ms

    def observation(self):
        """Return the response as an observation for the invariant checks."""
        return AnswerObservation(
            self.request,
            self.started_ms,
            self.time_limit_ms,
            self.answer_count,
            self.finished_ms,
            self.caller_disconnected,
        )


def _time_limit_from_headers(headers):
    value = dict(headers).get("x-time-limit-ms", "")
    return int(value) if value.isdigit() else DEFAULT_TIME_LIMIT_MS


class EntryNode:
    """One entry that runs without sockets.

    Parameters
    ----------
    stage : Stage
    name, domain : str
    """

    def __init__(self, stage, name, domain, **settings):
        self.stage = stage
        self.scope = trio.CancelScope()
        self.platform = MemoryPlatform(stage.store)
        self.settings = Settings(
            name=name,
            domain=domain,
            peer_listen=stage.next_peer_address(),
            peer_seeds=stage.peer_seeds,
            operator_token_sha256=sha256_hex(OPERATOR_TOKEN),
            **settings,
        )
        self.clock = TrioClock(WALL_OFFSET_MS)
        self.started = trio.Event()
        self.killed = False

    async def run(self):
        """Run the entry's tasks until it is killed."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                endpoints = self.stage.endpoints
                self.link = MemoryLink(self.stage.network, self.settings)
                node = build_node(
                    self.settings,
                    self.clock,
                    random.Random(f"{self.stage.seed}/{self.settings.name}"),
                    nursery,
                    Ports(self.platform, endpoints, endpoints, self.link),
                )
                self.components = node.components
                self.fleet = node.fleet
                self.follower = node.follower
                self.reconciler = node.reconciler
                self.app = node.app
                nursery.start_soon(node.run)
                self.started.set()
                await trio.sleep_forever()

    def kill(self):
        """Stop the entry abruptly, as a crash does."""
        self.killed = True
        # Clean-up that is shielded from cancellation must not reach any endpoint.
        self.components.endpoints = MemoryEndpoints({}, self.stage.nursery)
        self.scope.cancel()
        self.stage.network.disconnect(self.settings.peer_listen)

    async def call(self, method, path, document=None, headers=(), body=None):
        """Make one call and return its `Answer`.

        Parameters
        ----------
        method, path : str
        document : object
            Sent as JSON, unless `body` is given.
        headers : iterable of tuple of str
        body : bytes or None
        """
        answer = Answer()
        self.stage.answers.append(answer)
        answer.request = f"{method} {path} via {self.settings.name}"
        answer.time_limit_ms = _time_limit_from_headers(headers)
        content = msgspec.json.encode(document) if body is None else body
        encoded_headers = [(name.encode(), value.encode()) for name, value in headers]
        memory_call = MemoryCall(method, path, encoded_headers, content)
        self.nursery.start_soon(memory_call.run, self.app)
        async for event in memory_call.messages:
            answer.record_event(event)
        answer.caller_disconnected = self.killed
        return answer

    async def team_call(self, method, path, document=None, **headers):
        """Make one call with the sample team's token.

        Further arguments are headers, with underscores in place of hyphens.
        """
        named_headers = [
            (name.replace("_", "-"), value) for name, value in headers.items()
        ]
        authorization = [("authorization", f"Bearer {TEAM_TOKEN}")]
        return await self.call(method, path, document, authorization + named_headers)

    async def team_call_until_cancelled(self, method, path, document, key):
        """Make one keyed call, and disconnect when this coroutine is cancelled.

        The response is not read.
        """
        headers = [("authorization", f"Bearer {TEAM_TOKEN}"), ("idempotency-key", key)]
        encoded_headers = [(name.encode(), value.encode()) for name, value in headers]
        memory_call = MemoryCall(
            method, path, encoded_headers, msgspec.json.encode(document)
        )
        self.nursery.start_soon(memory_call.run, self.app)
        try:
            await trio.sleep_forever()
        finally:
            memory_call.disconnected.set()

    async def operator_call(self, method, path, document=None, **headers):
        """Make one call with the operators' token.

        Further arguments are headers, with underscores in place of hyphens.
        """
        named_headers = [
            (name.replace("_", "-"), value) for name, value in headers.items()
        ]
        authorization = [("authorization", f"Bearer {OPERATOR_TOKEN}")]
        return await self.call(
            method, f"/operators/v1/{path}", document, authorization + named_headers
        )


class Stage:
    """A fleet in memory: entries, engines, plain services and a platform.

    Parameters
    ----------
    nursery : trio.Nursery
        Nursery that runs all tasks.
    seed : int
        Seed of all random number generators.
    """

    def __init__(self, nursery, seed=1):
        self.nursery = nursery
        self.seed = seed
        self.store = ObjectStore()
        self.apps_by_address = {}
        self.endpoints = MemoryEndpoints(self.apps_by_address, nursery)
        self.network = PeerNetwork()
        self.entries_by_name = {}
        self.peer_seeds = ""
        self._peer_port = FIRST_PEER_PORT
        self.answers = []
        self.versions = []
        self.leaving_since_by_endpoint = {}
        nursery.start_soon(self._sample_versions)

    def observations(self):
        """Return the observations so far, for the invariant checks."""
        observations = Observations()
        now_ms = trio.current_time() * 1000
        observations.answers = [answer.observation() for answer in self.answers]
        observations.dispatches = self.endpoints.dispatches
        observations.leaving_since_by_endpoint = self.leaving_since_by_endpoint
        observations.versions = self.versions
        for name, app in self.apps_by_address.items():
            if isinstance(app, EngineApp):
                if name in self.endpoints.unreachable_addresses:
                    continue  # the memory of a crashed engine was freed with it
                tokens = app.engine.kv_used_tokens
                observations.memory.append(MemoryObservation(name, tokens, now_ms))
            else:
                for key, runs in app.runs_by_key.items():
                    if key:
                        observations.runs_by_key[key] = (
                            observations.runs_by_key.get(key, 0) + runs
                        )
        return observations

    def record_leaving(self, endpoint):
        """Record the time at which an endpoint was first marked as leaving."""
        now_ms = trio.current_time() * 1000
        self.leaving_since_by_endpoint.setdefault(endpoint, now_ms)

    async def _sample_versions(self):
        """Record each change of the version in force of any object at any entry."""
        last_versions = {}
        while True:
            await trio.sleep(VERSION_SAMPLE_INTERVAL_S)
            now_ms = trio.current_time() * 1000
            for name, entry in self.entries_by_name.items():
                if entry.killed or not entry.started.is_set():
                    continue
                instance_id = f"{name}@{entry.settings.peer_listen}"
                for key, stored in entry.components.store.objects_by_key.items():
                    if last_versions.get((instance_id, key)) != stored.version:
                        last_versions[(instance_id, key)] = stored.version
                        observation = VersionObservation(
                            instance_id, key, stored.version, now_ms
                        )
                        self.versions.append(observation)

    def next_peer_address(self):
        """Return an unused peer address."""
        self._peer_port += 1
        return f"127.0.0.1:{self._peer_port}"

    def add_engine(self, name, domain="domain-a", profile=None, service="model-pool"):
        """Add one engine and register it at the platform."""
        app = EngineApp(profile or EngineProfile(), "model")
        self.apps_by_address[name] = app
        app.crash = lambda: self.endpoints.kill(name)
        self.nursery.start_soon(app.run)
        self._register_endpoint(
            EndpointSpec(name=name, service=service, address=name, domain=domain)
        )
        return app

    def add_service(self, name, domain="domain-a", service="desk"):
        """Add one instance of a plain service and register it at the platform."""
        app = ServiceApp()
        self.apps_by_address[name] = app
        self._register_endpoint(
            EndpointSpec(name=name, service=service, address=name, domain=domain)
        )
        return app

    def mark_leaving(self, name):
        """Mark an endpoint as leaving at the platform."""
        stored = self.store.read("endpoints", name)
        spec = {**stored.spec, "leaving": True}
        self.store.write("endpoints", name, spec, stored.metadata.resourceVersion)

    async def add_entry(self, name, domain="domain-a", **settings):
        """Start one entry and wait until its tasks are running."""
        entry = EntryNode(self, name, domain, **settings)
        if len(self.entries_by_name) < PEER_SEED_COUNT:
            peer_seeds = [
                *filter(None, self.peer_seeds.split(",")),
                entry.settings.peer_listen,
            ]
            self.peer_seeds = ",".join(peer_seeds)
        spec = InstanceSpec(
            name=name, domain=domain, peer_address=entry.settings.peer_listen
        )
        stored = self.store.read("instances", name)
        version = stored.metadata.resourceVersion if stored else ""
        self.store.write("instances", name, msgspec.to_builtins(spec), version)
        self.entries_by_name[name] = entry
        self.nursery.start_soon(entry.run)
        await entry.started.wait()
        return entry

    def put_configuration(self, *documents):
        """Store configuration objects as (kind, document) pairs."""
        for kind, document in documents:
            item = ConfigurationObject(
                kind, document["name"], 1, f"seed-{document['name']}", spec=document
            )
            spec = {"item": msgspec.to_builtins(item)}
            self.store.write("configurations", item.key, spec, "")

    def _register_endpoint(self, spec):
        self.store.write("endpoints", spec.name, msgspec.to_builtins(spec), "")


SERVICE_DOCUMENTS = (
    ("service", {"name": "model-pool", "kind": "engine", "model": "model"}),
    (
        "service",
        {
            "name": "desk",
            "kind": "plain",
            "time_limit_ms": 10_000,
            "operations": [{"method": "POST", "path": "/search", "repeatable": True}],
        },
    ),
)
TEMPLATE_DOCUMENT = {
    "name": "standard",
    "services": ["model-pool", "desk"],
    "parameters": {
        "rate": {"type": "number", "default": 1000, "minimum": 1, "maximum": 5000}
    },
    "limits": {"requests_per_second": "${rate}", "requests_in_flight": 1000},
}
TEAM_DOCUMENT = {
    "name": "masons",
    "template": "standard",
    "token_sha256": [sha256_hex(TEAM_TOKEN)],
}
STANDARD_CONFIGURATION = (
    *SERVICE_DOCUMENTS,
    ("template", TEMPLATE_DOCUMENT),
    ("team", TEAM_DOCUMENT),
)


def run_staged(scenario, seed=1):
    """Run a coroutine function on a stage with a mock clock.

    Parameters
    ----------
    scenario : callable
        Coroutine function that takes the `Stage`.
    seed : int
    """

    async def main():
        async with trio.open_nursery() as nursery:
            stage = Stage(nursery, seed)
            try:
                return await scenario(stage)
            finally:
                nursery.cancel_scope.cancel()

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
