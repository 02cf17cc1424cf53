"""Report about the state of one gateway instance, for operators.

Served as JSON at the metrics address; ``vanillareach gateways`` shows it.
"""

import math

import msgspec

from vanillareach.clock import MS_PER_SECOND
from vanillareach.core.load_state import EngineLoad

STATE_PATH = "/state"
EMPTY_LOAD = EngineLoad()


class EndpointReport(msgspec.Struct):
    """State of an endpoint, and why it gets fewer requests or none.

    Attributes
    ----------
    id, service, domain, address : str
    standing : str
        "usable", "leaving", "leaving (said by an answer)", "quiet for N s",
        "evacuated", "unreachable", "shunned", "cold for N s" or "limited to N/s".
    failure_share : float
        Share of the recent attempts that failed, 0 to 1.
    pace : float
        Factor by which it is slower than its published figures.
    running : int
        Requests of all instances that are in flight there.
    reading_ms : float
        Predicted time of its pending prefill.
    cold_ms : float
        For how long it is cold, in which it gets few requests; 0 if it isn't.
    """

    id: str
    service: str
    domain: str
    address: str
    standing: str
    failure_share: float
    pace: float
    running: int
    reading_ms: float
    cold_ms: float = 0.0


class PeerReport(msgspec.Struct):
    """A peer of the instance; `heard_ms_ago` is -1 if it was never heard."""

    name: str
    domain: str
    heard_ms_ago: float


class InstanceReport(msgspec.Struct):
    """State of one instance, of its endpoints and its peers.

    Attributes
    ----------
    configuration_version : int
        -1 without a configuration.
    configuration_age_ms, list_age_ms : float
        Time since the store confirmed configuration and endpoints; -1 if never.
    flights, reservations : int
        Own requests in flight at endpoints, and active memory reservations.
    retries_left_by_service : dict of str to int
        Retries that this instance may send now.
    is_placer : bool
        Whether it places the requests of its failure domain.
    store_era : int
        Highest era of the store that it has heard of; -1 for none.
    evacuated_domains : list of str
    evacuations_age_ms : float
        Time since the store confirmed them; -1 if it never did.
    waiting_by_service : dict of str to dict of int to int
        Requests in its queue, by priority; without services that have none.
    """

    name: str
    domain: str
    is_ready: bool
    is_stopping: bool
    configuration_version: int
    configuration_age_ms: float
    list_age_ms: float
    flights: int
    reservations: int
    retries_left_by_service: dict[str, int]
    endpoints: list[EndpointReport]
    peers: list[PeerReport]
    is_placer: bool = False
    store_era: int = 0
    evacuated_domains: list[str] = []
    evacuations_age_ms: float = -1.0
    waiting_by_service: dict[str, dict[int, int]] = {}


def build_report(settings, state, gossip, reservations, now_ms, waiting_by_service):
    """Return the `InstanceReport` of this instance.

    Parameters
    ----------
    settings : GatewaySettings
    state : GatewayState
    gossip : Gossip
    reservations : ReservationManager
    now_ms : float
    waiting_by_service : dict
        See `InstanceReport`.
    """
    configuration = state.configuration
    loads = state.load_state.loads_by_engine(now_ms)
    return InstanceReport(
        name=settings.name,
        domain=settings.domain,
        is_ready=state.is_ready,
        is_stopping=state.is_stopping,
        configuration_version=configuration.version if configuration else -1,
        configuration_age_ms=state.configuration_age_ms(),
        list_age_ms=state.endpoints_age_ms(),
        flights=state.load_state.own_flight_count,
        reservations=reservations.active_count,
        retries_left_by_service={
            service: state.retry_share(service).remaining(state.instance_count, now_ms)
            for service in (configuration.services_by_name if configuration else ())
        },
        endpoints=[
            _build_endpoint_report(
                state, endpoint, loads.get(endpoint.id, EMPTY_LOAD), now_ms
            )
            for endpoint in state.endpoints.by_id.values()
        ],
        peers=[
            PeerReport(name, domain, round(heard_ms_ago))
            for name, domain, heard_ms_ago in gossip.peers.time_since_heard()
        ],
        is_placer=state.is_placer,
        store_era=state.store_era,
        evacuated_domains=sorted(state.evacuations.domains),
        evacuations_age_ms=state.evacuations_age_ms(),
        waiting_by_service=waiting_by_service,
    )


def _build_endpoint_report(state, endpoint, load, now_ms):
    health = state.health
    failure_share = health.failure_share(endpoint.key, now_ms)
    quiet_ms = state.quiet_periods.remaining_ms(endpoint.key, now_ms)
    cold_ms = state.limits.cold_remaining_ms(endpoint.key, now_ms)
    standing = "usable"
    if endpoint.is_leaving:
        standing = "leaving"
    elif state.endpoints.is_leaving(endpoint):
        standing = "leaving (said by an answer)"
    elif quiet_ms > 0:
        standing = f"quiet for {math.ceil(quiet_ms / MS_PER_SECOND)} s"
    elif state.evacuations.is_evacuated(endpoint.domain):
        standing = "evacuated"
    elif endpoint.key in health.unreachable_by_key:
        standing = "unreachable"
    elif health.is_outlier(endpoint.key, now_ms):
        standing = "shunned"
    elif cold_ms > 0:
        standing = f"cold for {math.ceil(cold_ms / MS_PER_SECOND)} s"
    elif state.limits.is_limited(endpoint.key):
        standing = f"limited to {state.limits.limit_per_s(endpoint.key):g}/s"
    return EndpointReport(
        id=endpoint.id,
        service=endpoint.service,
        domain=endpoint.domain,
        address=endpoint.address,
        standing=standing,
        failure_share=round(failure_share, 3),
        pace=round(state.paces.pace(endpoint.id, now_ms), 2),
        running=load.running,
        reading_ms=round(load.pending_prefill_ms),
        cold_ms=round(cold_ms),
    )
