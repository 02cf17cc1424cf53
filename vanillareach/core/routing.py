"""Routes, services and team keys of one configuration version, and their lookup."""

from dataclasses import dataclass, field
from enum import StrEnum

# Raised whenever decoding a configuration yields a new field, so that a configuration
# passed on by an older instance, which drops the field, isn't taken for complete.
CONFIGURATION_SCHEMA = 1


class RequestKind(StrEnum):
    """Kind of a route's requests: plain ones that may or may not run twice, or streams.

    Whether a stream may run twice depends on `Route.is_resumable`.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(slots=True, frozen=True)
class Route:
    """A set of request paths of a host, with the services and limits for them.

    Attributes
    ----------
    name : str
    host : str
        Lower case, without a port.
    prefix : str
        Path prefix; begins and ends with a slash.
    kind : RequestKind
    timeout_ms : float
        Time limit of a request, from its arrival to the end of its response.
    objective_ms : float
        Latency objective: time to the response, or to the first event of a stream.
    priority : int
        Rank among routes; 0 is the most urgent.
    weights_by_service : tuple of (str, float)
        Services among which requests are split, with their weights.
    max_attempts : int
        Maximum number of endpoints on which one request may run.
    is_public : bool
        Whether requests need no key.
    is_generation : bool
        Whether requests state the size of their prompt.
    is_resumable : bool
        Whether a broken stream may be continued at another engine.
    pause_limit_ms : float
        Longest pause between events of a stream that counts as in time; 0 without a
        limit.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_ms: float
    objective_ms: float
    priority: int
    weights_by_service: tuple[tuple[str, float], ...]
    max_attempts: int
    is_public: bool
    is_generation: bool
    is_resumable: bool
    pause_limit_ms: float

    @property
    def is_repeatable(self):
        """Whether a request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT

    def pick_service(self, draw):
        """Return the name of a service, chosen by the weights.

        Parameters
        ----------
        draw : float
            Uniform random number from 0 to 1.
        """
        total = sum(weight for _, weight in self.weights_by_service)
        position = draw * total
        for service, weight in self.weights_by_service:
            position -= weight
            if position < 0:
                return service
        return self.weights_by_service[-1][0]


@dataclass(slots=True, frozen=True)
class EngineFigures:
    """Speed and size of a service's engines, as the service publishes them.

    Attributes
    ----------
    slots : int
        Requests that run at once.
    memory_tokens : int
        Capacity of the KV cache of an engine, in tokens.
    step_ms, step_ms_per_writer, step_ms_per_1k_context : float
        Duration of one decode step, and what each decoding request and each 1000
        tokens of context add to it.
    read_tokens_per_ms : float
        Prefill rate.
    attention_ms_per_1m_pairs : float
        Added prefill time per million pairs of a token and an earlier one.
    chunk_tokens : int
        Maximum number of prompt tokens prefilled in one step.
    steps_per_pass : int
        Decode steps of a pass; a stream event holds the tokens of one pass.
    hop_ms : float
        Time added to a step when the KV cache of a prompt is spread over engines.
    """

    slots: int
    memory_tokens: int
    step_ms: float
    step_ms_per_writer: float
    step_ms_per_1k_context: float
    read_tokens_per_ms: float
    attention_ms_per_1m_pairs: float
    chunk_tokens: int
    steps_per_pass: int
    hop_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class RoutedService:
    """A service to which routes send requests.

    Attributes
    ----------
    name : str
    max_connections : int
        Connections that one of its endpoints accepts from all instances together.
    engine : EngineFigures or None
        None for a plain service.
    cold_per_s : float
        Requests a second that one of its endpoints takes while it is cold; 0 if none
        of them is ever cold.
    cold_start_ms : float
        Time for which an endpoint is cold after its start.
    health_path : str
        Path at which its endpoints answer health checks; empty if there is none.
    """

    name: str
    max_connections: int
    engine: EngineFigures | None
    cold_per_s: float = 0.0
    cold_start_ms: float = 0.0
    health_path: str = ""


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Limits on the size and timing of callers' requests.

    Attributes
    ----------
    header_bytes, body_bytes : int
    header_ms : float
        Timeout for receiving a request's header.
    idle_ms : float
        Time for which a persistent connection may be idle.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_ms: float = 3_000.0
    idle_ms: float = 15_000.0

    def union(self, other):
        """Return limits that allow what either of the two allows."""
        if other == self:
            return self
        return CallerLimits(
            max(self.header_bytes, other.header_bytes),
            max(self.body_bytes, other.body_bytes),
            max(self.header_ms, other.header_ms),
            max(self.idle_ms, other.idle_ms),
        )


@dataclass(slots=True, frozen=True)
class RoutedTeam:
    """A team of callers; its `priority`, if any, overrides that of the route."""

    name: str
    priority: int | None


@dataclass(slots=True, frozen=True)
class RouteTable:
    """All routes of one configuration version.

    Attributes
    ----------
    version : int
    routes_by_host : dict of str to list of Route
        Longest prefix first.
    services_by_name : dict of str to RoutedService
    teams_by_key : dict of str to RoutedTeam, or None
        None if callers need no key.
    limits : CallerLimits
    schema : int
        `CONFIGURATION_SCHEMA` of the program that decoded it from the store; 0 of one
        that passed it on without the field.
    """

    version: int
    routes_by_host: dict[str, list[Route]]
    services_by_name: dict[str, RoutedService]
    teams_by_key: dict[str, RoutedTeam] | None
    limits: CallerLimits = field(default_factory=CallerLimits)
    schema: int = 0

    @classmethod
    def build(cls, version, routes, services, teams_by_key, limits):
        """Return the table of the given lists of routes and services."""
        routes_by_host = {}
        for route in sorted(routes, key=lambda route: -len(route.prefix)):
            routes_by_host.setdefault(route.host, []).append(route)
        services_by_name = {service.name: service for service in services}
        return cls(
            version,
            routes_by_host,
            services_by_name,
            teams_by_key,
            limits,
            CONFIGURATION_SCHEMA,
        )

    @property
    def is_complete(self):
        """Whether it has all fields that this version of the program uses."""
        return self.schema >= CONFIGURATION_SCHEMA

    def replaces(self, other):
        """Return whether it is newer than another table, or the same but more complete.

        Parameters
        ----------
        other : RouteTable or None
        """
        if other is None or self.version != other.version:
            return other is None or self.version > other.version
        return self.schema > other.schema and not other.is_complete

    def match(self, host, path):
        """Return the route with the longest prefix of `path`, or None.

        Parameters
        ----------
        host : str
            Value of the Host header.
        path : str
            Path without its query.
        """
        name = host.strip().lower()
        hostname, separator, port = name.rpartition(":")
        if separator and port.isdigit():
            name = hostname
        for route in self.routes_by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None
