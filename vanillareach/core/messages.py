"""Messages between instances.

Each is a tagged struct encoded as an array, so field names cost no bytes. All of them
may be received twice without harm.
"""

import zlib
from enum import IntEnum

import msgspec

from vanillareach.core.configuration import ConfigurationObject
from vanillareach.core.directory import LoadReport
from vanillareach.core.endpoint_list import ListedEndpoint
from vanillareach.core.ledger import Claim, ClaimRecord, Settle
from vanillareach.core.load_state import InFlightRequest
from vanillareach.core.routing import RouteTable


class MemberState(IntEnum):
    """State of an instance as its peers see it; higher values override lower ones."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    GONE = 3


class Wire(msgspec.Struct, array_like=True, frozen=True):
    """Base of everything sent between instances."""


class MemberRecord(Wire, frozen=True):
    """What is said of one instance.

    Attributes
    ----------
    name, domain, address : str
        Identity, failure domain and peer address.
    incarnation : int
        Raised by the instance itself, at each start and to refute a suspicion.
    state : MemberState
    """

    name: str
    domain: str
    address: str
    incarnation: int
    state: MemberState = MemberState.ALIVE


class Ping(Wire, tag=1, frozen=True):
    """Heartbeat: is the receiver alive? Carries news of members."""

    sender: MemberRecord
    records: tuple[MemberRecord, ...]
    digest: int


class Ack(Wire, tag=2, frozen=True):
    """Answer to a heartbeat."""

    sender: MemberRecord
    records: tuple[MemberRecord, ...]
    digest: int


class ProbeRequest(Wire, tag=3, frozen=True):
    """Ask the receiver to ping a member that did not answer the sender."""

    sender: MemberRecord
    target: str
    address: str


class Nack(Wire, tag=4, frozen=True):
    """The receiver got no answer either, or cannot do what was asked."""


class Join(Wire, tag=5, frozen=True):
    """Ask for all members; the sender may be new or was cut off."""

    sender: MemberRecord
    records: tuple[MemberRecord, ...]


class Members(Wire, tag=6, frozen=True):
    """All members the sender knows."""

    sender: MemberRecord
    records: tuple[MemberRecord, ...]


class LossNotice(Wire, frozen=True):
    """An endpoint was lost while it ran a request."""

    fingerprint: str
    endpoint: str
    domain: str
    age_ms: int


class IsolationNotice(Wire, frozen=True):
    """An endpoint runs a suspect request alone for at most this long."""

    endpoint: str
    attempt: str
    remaining_ms: int
    fingerprint: str = ""


class Push(Wire, tag=7, frozen=True):
    """News spread from peer to peer: objects, losses, isolations."""

    items: tuple[ConfigurationObject, ...]
    losses: tuple[LossNotice, ...] = ()
    isolations: tuple[IsolationNotice, ...] = ()


class PushAck(Wire, tag=8, frozen=True):
    """Answer to a push, with the losses known of the requests it isolates."""

    losses: tuple[LossNotice, ...] = ()


class Sync(Wire, tag=9, frozen=True):
    """Ask for all objects newer than the versions held."""

    versions_by_key: dict[str, int]


class SyncReply(Wire, tag=10, frozen=True):
    """Newer objects, and the keys of which the receiver holds older versions."""

    items: tuple[ConfigurationObject, ...]
    wanted_keys: tuple[str, ...]
    has_full_copy: bool = True


class InForceQuery(Wire, tag=11, frozen=True):
    """Ask whether a version is in force."""

    key: str
    version: int


class InForceReply(Wire, tag=12, frozen=True):
    """Whether the version asked for is in force."""

    in_force: bool


class ClaimRequest(Wire, tag=13, frozen=True):
    """Ask a shard's preferred writer to make a claim durable."""

    claim: Claim
    remaining_ms: int


class ClaimReply(Wire, tag=14, frozen=True):
    """Result of a claim: granted, recorded, or refused with a reason."""

    granted: bool = False
    record: ClaimRecord | None = None
    reason: str = ""
    detail: str = ""
    outcome: str = ""
    retry_after_ms: float | None = None


class SettleRequest(Wire, tag=15, frozen=True):
    """Ask a shard's preferred writer to record how a call ended."""

    settle: Settle


class EngineLoadReport(Wire, frozen=True):
    """Load report of one engine and its age when it was sent."""

    engine: str
    report: LoadReport
    age_ms: int


class LoadReportBatch(Wire, tag=16, frozen=True):
    """Load reports on their way to the collector, or a batch on its way from it."""

    loads: tuple[EngineLoadReport, ...]
    is_from_collector: bool


class ShareRequest(Wire, tag=17, frozen=True):
    """Ask a team's home for a part of the domain's share of its limits."""

    team: str
    instance: str
    demand: float


class ShareReply(Wire, tag=18, frozen=True):
    """Part of the domain's share granted for a short time."""

    fraction: float


class Beacon(Wire, tag=19, frozen=True):
    """What an instance of the gateway says of itself, whole, in one datagram.

    A later one replaces an earlier one, so a lost datagram needs no repair.

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
        Time since the store confirmed what the sender holds; -1 if it never did.
    endpoints_revision, endpoints_digest : int
    flights : tuple of InFlightRequest
        Requests that the sender has at endpoints.
    losses : tuple of (str, str, str)
        Recent crashes: fingerprint of the request, endpoint, failure domain.
    paces : tuple of (str, float)
        Engines that the sender has seen to be slow, and by which factor.
    configuration_stamp, endpoints_stamp : int
        Identities of the confirmations; see `Freshness`.
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
    losses: tuple[tuple[str, str, str], ...]
    paces: tuple[tuple[str, float], ...] = ()
    configuration_stamp: int = 0
    endpoints_stamp: int = 0


class RelayedDatagram(Wire, tag=23, frozen=True):
    """A sealed datagram that the receiver takes, and passes on to its domain."""

    datagram: bytes


class FlightUpdate(Wire, tag=22, frozen=True):
    """What changed among the sender's flights since its last message.

    A lost one is made good by the next `Beacon`, which has all flights.
    """

    name: str
    incarnation: int
    sequence: int
    begun: tuple[InFlightRequest, ...]
    decoding: tuple[int, ...]
    ended: tuple[int, ...]


class StateQuery(Wire, tag=20, frozen=True):
    """Asks a peer for what it holds."""

    wants_configuration: bool
    wants_endpoints: bool


class StateReply(Wire, tag=21, frozen=True):
    """What a peer holds, with the time since the store confirmed it.

    Attributes
    ----------
    configuration : bytes or None
        Packed `RouteTable`; see `pack_table`.
    """

    configuration: bytes | None
    configuration_age_ms: float
    endpoints: tuple[ListedEndpoint, ...] | None
    endpoints_revision: int
    endpoints_age_ms: float
    configuration_stamp: int = 0
    endpoints_stamp: int = 0


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
)


def pack_table(table):
    """Return a `RouteTable` as compressed bytes."""
    return zlib.compress(_encoder.encode(table), 1)


def unpack_table(data):
    """Return the `RouteTable` in packed bytes.

    Raises
    ------
    MessageError
        If it is not one.
    """
    try:
        return _table_decoder.decode(zlib.decompress(data))
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
        If it is not one.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise MessageError(str(error)) from error
