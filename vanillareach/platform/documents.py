"""Decodes the objects of the platform's store into the types of the core."""

import re
from typing import Annotated, Any

import msgspec

from vanillareach.core.endpoint_list import ListedEndpoint
from vanillareach.core.routing import (
    CallerLimits,
    EngineFigures,
    RequestKind,
    Route,
    RoutedService,
    RoutedTeam,
    RouteTable,
)
from vanillareach.utils import check_ip_address

KINDS_BY_ROUTE_TYPE = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "streaming": RequestKind.STREAM,
}
DRAINING_STATE = "draining"
READY_STATE = "ready"
MS_PER_SECOND = 1000.0
# Values of fields of requests: no control characters, no blanks around them.
FIELD_VALUE_PATTERN = re.compile(
    r"[^\x00-\x20\x7f]([^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?"
)
HEALTH_PATH_PATTERN = re.compile(r"/[!-~]*")
# Messages between instances can hold no larger numbers.
Int64 = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
# What decoding may raise. Values that are nested deep exceed the interpreter's stack.
UNDECODABLE = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


class DocumentError(ValueError):
    """An object of the store is invalid."""


class SplitDocument(msgspec.Struct):
    """Share of a route's traffic that goes to one service."""

    backend: str
    weight: float


class RouteDocument(msgspec.Struct):
    """Route as operators write it; either `backend` or `traffic_split` is set."""

    name: str
    hostname: str
    path_prefix: str
    route_type: str
    timeout_ms: float
    max_attempts: Int64
    target_latency_ms: float = 0.0
    priority: Int64 = 0
    backend: str | None = None
    traffic_split: list[SplitDocument] | None = None
    public: bool = False
    session_affinity: bool = False
    resumable: bool = False
    gap_target_ms: float = 0.0

    def route(self):
        """Return the document as a `Route`."""
        split = self.traffic_split or []
        weights = tuple((part.backend, part.weight) for part in split)
        if not weights:
            if self.backend is None:
                raise DocumentError(
                    f"route {self.name} has no backend and no traffic_split"
                )
            weights = ((self.backend, 1.0),)
        return Route(
            name=self.name,
            host=self.hostname.lower(),
            prefix=self.path_prefix,
            kind=KINDS_BY_ROUTE_TYPE.get(self.route_type, RequestKind.NON_IDEMPOTENT),
            timeout_ms=self.timeout_ms,
            objective_ms=self.target_latency_ms,
            priority=self.priority,
            weights_by_service=weights,
            max_attempts=max(1, self.max_attempts),
            is_public=self.public,
            # Requests state their prompt size on the routes with session affinity.
            is_generation=self.session_affinity,
            is_resumable=self.resumable,
            pause_limit_ms=self.gap_target_ms,
        )


class EngineDocument(msgspec.Struct):
    """Published figures of a service's engines; `read_per_s` counts prompt tokens."""

    slots: Int64
    kv_tokens: Int64
    step_ms: float
    per_seq_ms: float
    context_per_k: float
    read_per_s: float
    pairs_per_m: float
    chunk: Int64
    stride: Int64 = 1
    hop_ms: float = 0.0

    def figures(self):
        """Return the document as `EngineFigures`."""
        return EngineFigures(
            slots=self.slots,
            memory_tokens=self.kv_tokens,
            step_ms=self.step_ms,
            step_ms_per_writer=self.per_seq_ms,
            step_ms_per_1k_context=self.context_per_k,
            read_tokens_per_ms=self.read_per_s / MS_PER_SECOND,
            attention_ms_per_1m_pairs=self.pairs_per_m,
            chunk_tokens=self.chunk,
            steps_per_pass=max(1, self.stride),
            hop_ms=self.hop_ms,
        )


class ServiceDocument(msgspec.Struct):
    """Service as operators write it."""

    name: str
    max_connections: Int64 = 0
    engine: EngineDocument | None = None
    cold_per_s: float = 0.0
    cold_start_s: float = 0.0
    # Of any type, so that a useless value makes no configuration invalid.
    health_path: Any = None

    def service(self):
        """Return the document as a `RoutedService`."""
        path = self.health_path if isinstance(self.health_path, str) else ""
        return RoutedService(
            self.name,
            self.max_connections,
            self.engine.figures() if self.engine else None,
            max(0.0, self.cold_per_s),
            MS_PER_SECOND * max(0.0, self.cold_start_s),
            # A path with other characters would break the head of a request.
            path if HEALTH_PATH_PATTERN.fullmatch(path) else "",
        )


class LimitsDocument(msgspec.Struct):
    """Limits on the size and timing of callers' requests."""

    max_header_bytes: Int64
    max_body_bytes: Int64
    header_timeout_ms: float
    idle_timeout_ms: float


class TeamDocument(msgspec.Struct):
    """Team with its API keys."""

    name: str
    api_keys: list[str] = []
    priority: Int64 | None = None


class ConfigurationDocument(msgspec.Struct):
    """Complete configuration; without `tenants` callers need no key."""

    version: Int64
    routes: list[RouteDocument]
    backends: list[ServiceDocument]
    limits: LimitsDocument | None = None
    tenants: list[TeamDocument] | None = None


class EndpointDocument(msgspec.Struct):
    """Entry that an endpoint writes about itself; `born` is its start in Unix ms."""

    backend: str
    address: str
    zone: str
    version: str
    slots: Int64
    state: str
    sequence: int
    cold_remaining_ms: float | None = None
    born: Int64 = 0


def decode_configuration(data):
    """Decode a `RouteTable` from JSON `data`.

    Raises
    ------
    DocumentError
        If the data is not a valid configuration.
    """
    try:
        document = msgspec.json.decode(data, type=ConfigurationDocument)
    except UNDECODABLE as error:
        raise DocumentError(str(error)) from error
    limits = document.limits
    return RouteTable.build(
        version=document.version,
        routes=[route.route() for route in document.routes],
        services=[service.service() for service in document.backends],
        teams_by_key=_teams_by_key(document.tenants),
        limits=CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms,
            limits.idle_timeout_ms,
        )
        if limits
        else CallerLimits(),
    )


def decode_endpoint(stored):
    """Decode a `ListedEndpoint` from an object of the endpoint list.

    Raises
    ------
    DocumentError
        If the object is not a valid entry, for example because another writer stored
        it; it names no endpoint to use.
    """
    if not FIELD_VALUE_PATTERN.fullmatch(stored.metadata.name):
        raise DocumentError(f"{stored.metadata.name!r}: requests can't carry the name")
    try:
        entry = msgspec.json.decode(stored.spec, type=EndpointDocument)
    except UNDECODABLE as error:
        raise DocumentError(f"{stored.metadata.name}: {error}") from error
    if entry.state not in (DRAINING_STATE, READY_STATE):
        raise DocumentError(f"{stored.metadata.name}: state {entry.state!r}")
    try:
        check_ip_address(entry.address)
    except ValueError as error:
        raise DocumentError(f"{stored.metadata.name}: {error}") from error
    return ListedEndpoint(
        id=stored.metadata.name,
        incarnation=entry.born,
        service=entry.backend,
        address=entry.address,
        domain=entry.zone,
        slots=entry.slots,
        is_leaving=entry.state == DRAINING_STATE,
        cold_ms=entry.cold_remaining_ms,
    )


def _teams_by_key(tenants):
    if tenants is None:
        return None
    return {
        key: RoutedTeam(tenant.name, tenant.priority)
        for tenant in tenants
        for key in tenant.api_keys
    }
