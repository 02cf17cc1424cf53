"""Messages between instances.

Each is a tagged struct encoded as an array, so field names take no bytes. Any message
may be received twice without harm.
"""

import math
import zlib
from enum import IntEnum

import msgspec

from vanillareach.core.configuration import ConfigurationObject
from vanillareach.core.crash_news import CrashNews
from vanillareach.core.directory import LoadReport
from vanillareach.core.endpoint_list import ListedEndpoint
from vanillareach.core.ledger import Claim, ClaimRecord, Settle
from vanillareach.core.load_state import InFlightRequest
from vanillareach.core.placement_types import GenerationRequest, Placement
from vanillareach.core.priorities import UNKNOWN_PRIORITY
from vanillareach.core.routing import RouteTable

# An unpacked configuration; 10,000 routes with 1 KiB each, with room to spare.
MAX_CONFIGURATION_BYTES = 16 * 1024 * 1024


class MemberState(IntEnum):
    """State of an instance as its peers see it; higher values override lower ones."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    GONE = 3


class Wire(msgspec.Struct, array_like=True, frozen=True):
    """Base of all structs sent between instances."""


class MemberRecord(Wire, frozen=True):
    """State of one instance, as exchanged between members.

    Attributes
    ----------
    name, domain, address : str
        Identity, failure domain and peer address.
    incarnation : int
        Raised only by the instance itself, at each start and to refute a suspicion.
    state : MemberState
    """

    name: str
    domain: str
    address: str
    incarnation: int
    state: MemberState = MemberState.ALIVE


class Ping(Wire, tag=1, frozen=True):
    """Heartbeat: probes the receiver and carries changed member records.

    Attributes
    ----------
    sender : MemberRecord
    records : tuple of MemberRecord
    digest : int
        Digest of the sender's objects; see `VersionedStore`.
    """

    sender: MemberRecord
    records: tuple[MemberRecord, ...]
    digest: int


class Ack(Wire, tag=2, frozen=True):
    """Acknowledgement of a heartbeat; its fields are those of `Ping`."""

    sender: MemberRecord
    records: tuple[MemberRecord, ...]
    digest: int


class ProbeRequest(Wire, tag=3, frozen=True):
    """Asks the receiver to ping a member that did not respond to the sender."""

    sender: MemberRecord
    target: str
    address: str


class Nack(Wire, tag=4, frozen=True):
    """The receiver got no response either, or cannot handle the request."""


class Join(Wire, tag=5, frozen=True):
    """Asks for all members; the sender is new or was partitioned.

    Attributes
    ----------
    sender : MemberRecord
    records : tuple of MemberRecord
        Known records of members at the receiver's address, which let the receiver
        refute that it is gone.
    """

    sender: MemberRecord
    records: tuple[MemberRecord, ...]


class Members(Wire, tag=6, frozen=True):
    """All members that the sender knows as alive or leaving; answers a `Join`."""

    sender: MemberRecord
    records: tuple[MemberRecord, ...]


class LossNotice(Wire, frozen=True):
    """An endpoint was lost while it ran a request.

    Attributes
    ----------
    fingerprint : str
        Digest of the request.
    endpoint, domain : str
        The lost endpoint and its failure domain.
    age_ms : int
        Time since the loss, when the message was sent.
    """

    fingerprint: str
    endpoint: str
    domain: str
    age_ms: int


class IsolationNotice(Wire, frozen=True):
    """An endpoint is reserved for one suspect request.

    Attributes
    ----------
    endpoint : str
    attempt : str
        Attempt of the request for which the endpoint is reserved.
    remaining_ms : int
        Time after which the reservation ends at the latest.
    fingerprint : str
        Digest of the request.
    """

    endpoint: str
    attempt: str
    remaining_ms: int
    fingerprint: str = ""


class Push(Wire, tag=7, frozen=True):
    """Changes spread from peer to peer: objects, losses, isolations."""

    items: tuple[ConfigurationObject, ...]
    losses: tuple[LossNotice, ...] = ()
    isolations: tuple[IsolationNotice, ...] = ()


class PushAck(Wire, tag=8, frozen=True):
    """Acknowledgement of a push or another one-way message.

    Attributes
    ----------
    losses : tuple of LossNotice
        Known losses of the requests for which the push isolates endpoints.
    """

    losses: tuple[LossNotice, ...] = ()


class Sync(Wire, tag=9, frozen=True):
    """Asks for all objects newer than the sender's versions."""

    versions_by_key: dict[str, int]


class SyncReply(Wire, tag=10, frozen=True):
    """Answer to a `Sync`.

    Attributes
    ----------
    items : tuple of ConfigurationObject
        Objects newer than the requested versions.
    wanted_keys : tuple of str
        Keys of which the answering instance has an older version or none.
    has_full_copy : bool
        Whether the answering instance has received a full copy of the objects.
    """

    items: tuple[ConfigurationObject, ...]
    wanted_keys: tuple[str, ...]
    has_full_copy: bool = True


class InForceQuery(Wire, tag=11, frozen=True):
    """Asks whether a version of an object, or a later one, is in force."""

    key: str
    version: int


class InForceReply(Wire, tag=12, frozen=True):
    """Answer to an `InForceQuery`."""

    in_force: bool


class ClaimRequest(Wire, tag=13, frozen=True):
    """Asks a shard's preferred writer to make a claim durable."""

    claim: Claim
    remaining_ms: int


class ClaimReply(Wire, tag=14, frozen=True):
    """Result of a claim: granted, the recorded outcome, or a refusal."""

    granted: bool = False
    record: ClaimRecord | None = None
    reason: str = ""
    detail: str = ""
    outcome: str = ""
    retry_after_ms: float | None = None


class SettleRequest(Wire, tag=15, frozen=True):
    """Asks a shard's preferred writer to record how a call ended."""

    settle: Settle


class EngineLoadReport(Wire, frozen=True):
    """Load report of one engine, and the report's age at the time of sending."""

    engine: str
    report: LoadReport
    age_ms: int


class LoadReportBatch(Wire, tag=16, frozen=True):
    """Load reports sent to the domain's collector, or by the collector to others."""

    loads: tuple[EngineLoadReport, ...]
    is_from_collector: bool


class ShareRequest(Wire, tag=17, frozen=True):
    """Asks a team's home instance for a fraction of the domain's limits.

    Attributes
    ----------
    team, instance : str
    demand : float
        Fraction of the limits that the sending instance could use.
    """

    team: str
    instance: str
    demand: float


class ShareReply(Wire, tag=18, frozen=True):
    """Fraction of the domain's limits, granted for a short time."""

    fraction: float


class RequestLimit(Wire, frozen=True):
    """Limit of the requests that an endpoint takes from all instances together.

    Attributes
    ----------
    endpoint : str
    incarnation : int
    version : int
        Raised by each instance that learns of a change from an answer.
    per_s : float or None
        Requests a second; None if the endpoint names no limit any more.
    """

    endpoint: str
    incarnation: int
    version: int
    per_s: float | None

    @property
    def key(self):
        """Id and incarnation of the endpoint."""
        return (self.endpoint, self.incarnation)

    @property
    def effective_per_s(self):
        """Limit in requests a second, infinite without one."""
        return math.inf if self.per_s is None else self.per_s

    @property
    def order(self):
        """Order by age; of two changes learned at once the lower limit is later."""
        return (self.version, -self.effective_per_s)


class EvacuationNews(Wire, frozen=True):
    """Evacuated failure domains as the sender knows them; see `Evacuations`.

    Attributes
    ----------
    era, revision : int
        Position of the store that listed them; -1 if the sender knows of no list.
    domains : tuple of str
    age_ms : int
        Time since the store confirmed the set; -1 if it never did.
    stamp : int
        Identity of that confirmation; see `Freshness`.
    """

    era: int = -1
    revision: int = -1
    domains: tuple[str, ...] = ()
    age_ms: int = -1
    stamp: int = 0


class Beacon(Wire, tag=19, frozen=True):
    """Full state of a gateway instance in one datagram.

    A later beacon replaces an earlier one, so a lost one need not be sent again.

    Attributes
    ----------
    name, domain, address : str
        Identity, failure domain and peer address of the sender.
    incarnation, sequence : int
        Order of the beacons of one name.
    is_leaving : bool
    configuration_version : int
        -1 without a configuration.
    configuration_age_ms, endpoints_age_ms : float
        Time since the store confirmed the sender's copy; -1 if it never did.
    endpoints_revision, endpoints_digest : int
    flights : tuple of InFlightRequest
        Requests of the sender that are in flight at endpoints.
    losses : tuple of (str, str, str)
        Not used; keeps the places of the later fields.
    paces : tuple of (str, float)
        Engines that the sender measured as slow, with the slowdown factor.
    configuration_stamp, endpoints_stamp : int
        Identities of the confirmations; see `Freshness`.
    capacity : float
        Relative processing capacity of the sender's machine.
    is_placer : bool
        Whether the sender places requests for its domain; see `PlacerElection`.
    store_era, endpoints_era : int
        Highest era of the store that the sender has heard of, and that of its list.
    leaving : tuple of (str, int)
        Id and incarnation of endpoints that are leaving unlike their entries in the
        sender's list.
    crash_news : CrashNews
    limits : tuple of RequestLimit
        Limits of listed endpoints, also of those that name none any more.
    forward_address : str
        Address for requests that peers hand on; empty in that of an older version.
    has_lost_links : bool
        Whether the sender reaches no endpoints.
    evacuations : EvacuationNews
    cold : tuple of (str, int, float)
        Id and incarnation of endpoints that are cold as their answers or entries say,
        and for how many ms.
    costs : bytes
        Summary of what the sender has learned of the costs of requests, in some of its
        beacons; see `CostExchange`.
    configuration_schema : int
        `RouteTable.schema` of the sender's configuration; 0 from an older version.
    """

    name: str
    domain: str
    address: str
    incarnation: int
    sequence: int
    is_leaving: bool
    configuration_version: int
    configuration_age_ms: float
    endpoints_revision: int
    endpoints_digest: int
    endpoints_age_ms: float
    flights: tuple[InFlightRequest, ...]
    losses: tuple[tuple[str, str, str], ...] = ()
    paces: tuple[tuple[str, float], ...] = ()
    configuration_stamp: int = 0
    endpoints_stamp: int = 0
    capacity: float = 0.0
    is_placer: bool = False
    store_era: int = 0
    endpoints_era: int = 0
    leaving: tuple[tuple[str, int], ...] = ()
    crash_news: CrashNews = CrashNews()
    limits: tuple[RequestLimit, ...] = ()
    forward_address: str = ""
    has_lost_links: bool = False
    evacuations: EvacuationNews = EvacuationNews()
    cold: tuple[tuple[str, int, float], ...] = ()
    costs: bytes = b""
    configuration_schema: int = 0


class RelayedDatagram(Wire, tag=23, frozen=True):
    """An authenticated datagram, to be handled and forwarded within the domain."""

    datagram: bytes


class EndpointFault(IntEnum):
    """How an attempt showed that an endpoint is not to be used now."""

    # The attempt failed, or the endpoint did not run it.
    FAILED = 1
    # The endpoint refuses all work.
    REFUSED = 2
    UNREACHABLE = 3
    LEAVING = 4


class FlightUpdate(Wire, tag=22, frozen=True):
    """Changes of the sender's in-flight requests since its last message.

    If one is lost, the next `Beacon` brings all in-flight requests.

    Attributes
    ----------
    name : str
    incarnation, sequence : int
        Order of the messages of one name.
    begun : tuple of InFlightRequest
        Requests sent to endpoints.
    decoding, ended : tuple of int
        Ids of the requests that began to decode, and that ended.
    faults : tuple of (str, int, EndpointFault)
        Id and incarnation of each endpoint at which an attempt failed.
    """

    name: str
    incarnation: int
    sequence: int
    begun: tuple[InFlightRequest, ...]
    decoding: tuple[int, ...]
    ended: tuple[int, ...]
    faults: tuple[tuple[str, int, EndpointFault], ...] = ()


class PlacementQuery(Wire, tag=24, frozen=True):
    """Asks a placer where to send the next attempt of a request.

    Attributes
    ----------
    id : int
        Unique among the queries of the sender.
    sender, address : str
        Name of the sending instance, and the address that gets the reply.
    service : str
    generation : GenerationRequest or None
        None for a call of a plain service.
    excluded : tuple of str
        Ids of endpoints that are not to be used.
    may_be_refused : bool
        Whether the request is refused if it would be answered too late.
    flight : InFlightRequest
        The request as the sender will report it; the endpoints are not known yet.
    priority : int
        Of the team or route; unknown in a query of an older version.
    team : str
        Name of the team; empty without one.
    digest : int
        Sent by instances of older versions, whose placers read it; otherwise 0.
    waiting_id : int
        The same in all queries for one request, unique at the sender; 0 in a query of
        an older version.
    """

    id: int
    sender: str
    address: str
    service: str
    generation: GenerationRequest | None
    excluded: tuple[str, ...]
    may_be_refused: bool
    flight: InFlightRequest
    priority: int = UNKNOWN_PRIORITY
    team: str = ""
    digest: int = 0
    waiting_id: int = 0


class PlacementReply(Wire, tag=25, frozen=True):
    """Answer to a `PlacementQuery`.

    Attributes
    ----------
    id : int
        Of the query.
    is_known : bool
        Whether the placer knows the service and its endpoints.
    placement : Placement or None
        None if no endpoint has room, or the request is refused.
    retry_after_ms : float
        When a refused caller should try again.
    is_final : bool
        Whether the request is refused and must not wait.
    reason : str
        Why it is refused; see `waiting.RefusalReason`.
    ask_interval_ms : float
        When a request that waits should ask again; 0 from an older version.
    """

    id: int
    is_known: bool
    placement: Placement | None
    retry_after_ms: float
    is_final: bool = False
    reason: str = ""
    ask_interval_ms: float = 0.0


class LoadQuery(Wire, tag=26, frozen=True):
    """Asks a placer for the load of engines."""

    id: int
    sender: str
    address: str
    engines: tuple[str, ...]


class LoadSummary(Wire, frozen=True):
    """Load of one engine; see `EngineLoad`."""

    engine: str
    decoding_count: int
    context_tokens: int
    pending_prefill_ms: float


class LoadReply(Wire, tag=27, frozen=True):
    """Answer to a `LoadQuery`; engines without load are left out."""

    id: int
    loads: tuple[LoadSummary, ...]


class PermitQuery(Wire, tag=28, frozen=True):
    """Asks whether the sender may send a request to an endpoint that has a limit.

    Attributes
    ----------
    id : int
        Unique among the queries of the sender.
    sender, address : str
        Name of the instance that sends the request, and the address for the reply.
    limit : RequestLimit
        Limit of the endpoint as the sender knows it; of version 0 if it names none.
    is_forwarded : bool
        Whether a placer has passed the query on to the endpoint's coordinator.
    cold_ms : float
        For how long the endpoint is cold; 0 if it isn't.
    """

    id: int
    sender: str
    address: str
    limit: RequestLimit
    is_forwarded: bool = False
    cold_ms: float = 0.0


class PermitReply(Wire, tag=29, frozen=True):
    """Answer to a `PermitQuery`, with the time until the next request is taken."""

    id: int
    is_granted: bool
    wait_ms: float


class ForwardedRequest(Wire, tag=30, frozen=True):
    """A caller's request that an instance without links to endpoints hands on.

    Attributes
    ----------
    method, target : bytes
    headers : tuple of (bytes, bytes)
        As the caller sent them.
    body : bytes or None
    waited_ms : float
        Time since the request arrived at the sender.
    last_event_id : int or None
        Event after which a stream is to be resumed.
    weights_version : int or None
        Version of the weights that made the first event.
    possible_runs : int
        Attempts of the sender that may have run the request.
    configuration_version : int
        Version that admitted the request.
    """

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes | None
    waited_ms: float
    last_event_id: int | None
    weights_version: int | None
    possible_runs: int
    configuration_version: int


class StateQuery(Wire, tag=20, frozen=True):
    """Asks a peer for its configuration, its list of endpoints, or both."""

    wants_configuration: bool
    wants_endpoints: bool


class StateReply(Wire, tag=21, frozen=True):
    """A peer's copies, with the time since the store confirmed them.

    Attributes
    ----------
    configuration : bytes or None
        Packed `RouteTable`; see `pack_configuration`.
    """

    configuration: bytes | None
    configuration_age_ms: float
    endpoints: tuple[ListedEndpoint, ...] | None
    endpoints_revision: int
    endpoints_age_ms: float
    configuration_stamp: int = 0
    endpoints_stamp: int = 0
    endpoints_era: int = 0


Message = (
    Ping
    | Ack
    | ProbeRequest
    | Nack
    | Join
    | Members
    | Push
    | PushAck
    | Sync
    | SyncReply
    | InForceQuery
    | InForceReply
    | ClaimRequest
    | ClaimReply
    | SettleRequest
    | LoadReportBatch
    | ShareRequest
    | ShareReply
    | Beacon
    | RelayedDatagram
    | StateQuery
    | StateReply
    | FlightUpdate
    | PlacementQuery
    | PlacementReply
    | LoadQuery
    | LoadReply
    | PermitQuery
    | PermitReply
    | ForwardedRequest
)


def pack_configuration(configuration):
    """Return a `RouteTable` in the binary format, compressed."""
    return zlib.compress(_encoder.encode(configuration), 1)


def unpack_configuration(data):
    """Return the `RouteTable` in packed bytes.

    Raises
    ------
    MessageError
        If the bytes are not a packed `RouteTable`.
    """
    try:
        decompressor = zlib.decompressobj()
        unpacked = decompressor.decompress(data, MAX_CONFIGURATION_BYTES)
        if not decompressor.eof:
            raise MessageError(
                f"configuration truncated or over {MAX_CONFIGURATION_BYTES} bytes"
            )
        return _table_decoder.decode(unpacked)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise MessageError(str(error)) from error


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)
_table_decoder = msgspec.msgpack.Decoder(RouteTable)


class MessageError(ValueError):
    """Received bytes are not a message."""


def encode_message(message):
    """Return a message as bytes."""
    return _encoder.encode(message)


def decode_message(data):
    """Return the message in `data`.

    Raises
    ------
    MessageError
        If the bytes are not a message.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise MessageError(str(error)) from error
