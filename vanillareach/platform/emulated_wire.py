"""Headers, bodies and store objects of emulated callers, endpoints and operators."""

import msgspec

from vanillareach.platform import names
from vanillareach.platform.documents import (
    DRAINING_STATE,
    KINDS_BY_ROUTE_TYPE,
    MS_PER_SECOND,
    READY_STATE,
    ConfigurationDocument,
    EndpointDocument,
    EngineDocument,
    LimitsDocument,
    RouteDocument,
    ServiceDocument,
    TeamDocument,
)

ROUTE_TYPES_BY_KIND = {
    kind: route_type for route_type, kind in KINDS_BY_ROUTE_TYPE.items()
}


class EndpointRequest(msgspec.Struct):
    """Fields that an endpoint decodes from the headers of a request.

    Attributes
    ----------
    attempt_id : str
    target : str or None
        Id of the endpoint to which the request is addressed.
    helpers : tuple of (str, str)
        Address and reservation id of each helper; the reservation id may be empty.
    last_event_id : int
        Event after which a stream continues; 0 for a new stream.
    prompt_tokens, answer_tokens, priority : int
    """

    attempt_id: str
    target: str | None
    helpers: tuple[tuple[str, str], ...]
    last_event_id: int
    prompt_tokens: int
    answer_tokens: int
    priority: int


class ReservationRequest(msgspec.Struct):
    """A reservation or release of memory; `hold_ms` and `tokens` are 0 in a release."""

    id: str
    operation: str
    tokens: int = 0
    hold_ms: int = 0

    @property
    def is_reservation(self):
        """Whether memory is to be reserved, not released."""
        return self.operation == "reserve"


def is_reservation_request(request):
    """Return whether a request reserves or releases memory."""
    return request.path == names.MEMORY_ORDER_PATH


def read_reservation_request(body):
    """Decode the `ReservationRequest` in a request's body."""
    return msgspec.json.decode(body, type=ReservationRequest)


def read_endpoint_request(headers):
    """Decode the `EndpointRequest` in a list of (name, value) headers."""
    value_by_name = {name.lower(): value.decode("latin-1") for name, value in headers}
    prompt, _, answer = value_by_name.get(names.TOKEN_USAGE, "0,0").partition(",")
    helper_list = value_by_name.get(names.HELPERS, "")
    helpers = [part.partition("/") for part in helper_list.split(",") if part]
    return EndpointRequest(
        attempt_id=value_by_name.get(names.ATTEMPT_ID, ""),
        target=value_by_name.get(names.TARGET_INSTANCE),
        helpers=tuple(
            (address, reservation_id) for address, _, reservation_id in helpers
        ),
        last_event_id=int(value_by_name.get(names.LAST_EVENT_ID, "0")),
        prompt_tokens=int(prompt),
        answer_tokens=int(answer or 0),
        priority=int(value_by_name.get(names.PRIORITY, "0")),
    )


def signed_response_headers(attempt_id):
    """Return the headers of a response that the endpoint itself produced."""
    return [
        (names.ATTEMPT_ID.title(), attempt_id.encode()),
        (names.SIGNATURE.title(), b"emulated"),
    ]


def not_executed_headers():
    """Return the headers of a response to a request that was not started."""
    return [(names.NOT_EXECUTED.title(), b"1")]


def leaving_headers():
    """Return the headers of any response of an endpoint that leaves."""
    return [(names.SERVER_LEAVING.title(), b"1")]


def quiet_headers(duration_s):
    """Return the headers by which a 503 asks for no request for a time."""
    return [(names.RETRY_AFTER.title(), f"{duration_s:.3f}".encode())]


def misdirected_headers(own_id):
    """Return the headers of a response to a misdirected request."""
    return [(names.INSTANCE_ID.title(), own_id.encode())]


def caller_headers(attempt_id, key, deadline_ms, prompt_tokens=0, answer_tokens=0):
    """Return the headers of a caller's request."""
    headers = [
        (names.ATTEMPT_ID.title(), attempt_id.encode()),
        (names.DEADLINE_MS.title(), str(int(deadline_ms)).encode()),
        (names.AUTHORIZATION.title(), b"Bearer " + key.encode()),
    ]
    if prompt_tokens:
        usage = f"{prompt_tokens},{answer_tokens}"
        headers.append((names.TOKEN_USAGE.title(), usage.encode()))
    return headers


def retry_after_ms(headers):
    """Return the delay that a response asks of its caller, or None."""
    for name, value in headers:
        if name.lower() == names.RETRY_AFTER:
            return float(value) * 1000
    return None


def write_configuration(store, configuration, keys_by_team):
    """Write a `RouteTable` to a `StandinStore`, as the operator does.

    Parameters
    ----------
    store : StandinStore
    configuration : RouteTable
    keys_by_team : dict of str to list of str
    """
    limits = configuration.limits
    document = ConfigurationDocument(
        version=configuration.version,
        routes=[
            _route(route)
            for routes in configuration.routes_by_host.values()
            for route in routes
        ],
        backends=[_service(x) for x in configuration.services_by_name.values()],
        limits=LimitsDocument(
            limits.header_bytes, limits.body_bytes, limits.header_ms, limits.idle_ms
        ),
        tenants=[TeamDocument(team, keys) for team, keys in keys_by_team.items()],
    )
    kind, name = names.CONFIGURATION_KIND, names.CONFIGURATION_NAME
    store.put(kind, name, msgspec.to_builtins(document))


def put_endpoint(store, endpoint, sequence):
    """Write a `ListedEndpoint` to a `StandinStore`, as the endpoint itself does."""
    document = EndpointDocument(
        backend=endpoint.service,
        address=endpoint.address,
        zone=endpoint.domain,
        version="1",
        slots=endpoint.slots,
        state=DRAINING_STATE if endpoint.is_leaving else READY_STATE,
        cold_remaining_ms=0.0,
        sequence=sequence,
        born=endpoint.incarnation,
    )
    store.put(names.ENDPOINT_KIND, endpoint.id, msgspec.to_builtins(document))


def remove_endpoint(store, endpoint_id):
    """Remove an endpoint's entry from a `StandinStore`."""
    store.delete(names.ENDPOINT_KIND, endpoint_id)


def _route(route):
    return RouteDocument(
        name=route.name,
        hostname=route.host,
        path_prefix=route.prefix,
        route_type=ROUTE_TYPES_BY_KIND[route.kind],
        timeout_ms=route.timeout_ms,
        max_attempts=route.max_attempts,
        target_latency_ms=route.objective_ms,
        priority=route.priority,
        backend=route.weights_by_service[0][0],
        session_affinity=route.is_generation,
        resumable=route.is_resumable,
        gap_target_ms=route.pause_limit_ms,
    )


def _service(service):
    figures = service.engine
    engine = figures and EngineDocument(
        slots=figures.slots,
        kv_tokens=figures.memory_tokens,
        step_ms=figures.step_ms,
        per_seq_ms=figures.step_ms_per_writer,
        context_per_k=figures.step_ms_per_1k_context,
        read_per_s=figures.read_tokens_per_ms * MS_PER_SECOND,
        pairs_per_m=figures.attention_ms_per_1m_pairs,
        chunk=figures.chunk_tokens,
        stride=figures.steps_per_pass,
        hop_ms=figures.hop_ms,
    )
    return ServiceDocument(service.name, service.max_connections, engine)
