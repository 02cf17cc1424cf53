"""Decodes the objects of the platform's store into the types of the core."""

import json
import re
from typing import Annotated, Any, ClassVar

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
from vanillareach.platform.json_text import JsonBudgetError, JsonReader, find_value
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
# Of an object that can't be read.
MAX_DESCRIBED_BYTES = 80
# Brackets of one object, and values and brackets of a page, that are read in one go. A
# page of 500 entries has some 7,000.
MAX_ITEM_TOKENS = 10_000
MAX_PAGE_TOKENS = 20_000
# Of names in the addresses of calls.
MAX_NAME_BYTES = 4_096


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


class MetadataDocument(msgspec.Struct):
    """Identity and revision of an object."""

    name: str
    rev: Int64 = 0


class ObjectDocument(msgspec.Struct):
    """An object, whose `spec` is decoded later according to its kind."""

    metadata: MetadataDocument
    spec: msgspec.Raw = msgspec.Raw(b"null")

    @property
    def object_name(self):
        """Name of the object."""
        return self.metadata.name


class PageDocument(msgspec.Struct):
    """One page of a list; `at` is the store's revision, `more` that one follows."""

    ITEM_TYPE: ClassVar = ObjectDocument
    # Keys that lead from an item to its object.
    OBJECT_PATH: ClassVar = ()

    items: list[ObjectDocument]
    more: bool = False
    at: Int64 = 0


class EventDocument(msgspec.Struct):
    """One change to an object of a watched kind."""

    object: ObjectDocument
    deleted: bool = False

    @property
    def object_name(self):
        """Name of the object."""
        return self.object.metadata.name


class WatchDocument(msgspec.Struct):
    """Response to a watch; the next watch starts from revision `at`."""

    ITEM_TYPE: ClassVar = EventDocument
    OBJECT_PATH: ClassVar = (b'"object"',)

    events: list[EventDocument]
    at: Int64


class NameDocument(msgspec.Struct):
    """Name of an object."""

    name: str


class NamedDocument(msgspec.Struct):
    """An object of which only the name matters, whatever else it says."""

    metadata: NameDocument

    @property
    def object_name(self):
        """Name of the object."""
        return self.metadata.name


class NamedPageDocument(msgspec.Struct):
    """One page of a list of which only the names matter; see `PageDocument`."""

    ITEM_TYPE: ClassVar = NamedDocument
    OBJECT_PATH: ClassVar = ()

    items: list[NamedDocument]
    at: Int64
    more: bool = False


class NamedEventDocument(msgspec.Struct):
    """One change to an object of which only the name matters."""

    object: NamedDocument
    deleted: bool = False

    @property
    def object_name(self):
        """Name of the object."""
        return self.object.metadata.name


class NamedWatchDocument(msgspec.Struct):
    """Response to a watch of which only the names matter; see `WatchDocument`."""

    ITEM_TYPE: ClassVar = NamedEventDocument
    OBJECT_PATH: ClassVar = (b'"object"',)

    events: list[NamedEventDocument]
    at: Int64


class UnreadableItem:
    """Item of a list or watch that can't be decoded.

    Attributes
    ----------
    name : str or None
        Name of its object; None if that can't be read either.
    raw_name : bytes or None
        Text of the name as the store sent it; None if there is none.
    is_deleted : bool or None
        Whether the item says that the object was deleted; None if it doesn't.
    description : str
    """

    __slots__ = ("description", "is_deleted", "name", "raw_name")

    def __init__(self, text, object_path, cause):
        self.raw_name = find_value(
            text, (*object_path, b'"metadata"', b'"name"'), MAX_ITEM_TOKENS
        )
        self.name = _decode_or_none(self.raw_name, str)
        is_deleted = find_value(text, (b'"deleted"',), MAX_ITEM_TOKENS)
        self.is_deleted = _decode_or_none(is_deleted, bool)
        beginning = text[:MAX_DESCRIBED_BYTES].decode("utf-8", "replace")
        self.description = f"{beginning}: {cause}"

    @property
    def raw_position(self):
        """Position of the name in the order of the list, as bytes; None if unknown."""
        raw = self.raw_name
        if raw is None or len(raw) > MAX_NAME_BYTES:
            return None
        if not raw.startswith(b'"'):
            return raw
        if b"\\" not in raw:
            return raw[1:-1]
        try:
            name = json.loads(raw.decode("utf-8", "surrogateescape"), strict=False)
        except ValueError:
            return None
        return name.encode("utf-8", "surrogatepass")


class PageItems:
    """What of the items of a page, or of the response to a watch, could be read.

    Attributes
    ----------
    decoded : list
        In order.
    unreadable : list of UnreadableItem
    is_cut : bool
        Whether the rest was left out, as it would take too long to read.
    """

    __slots__ = ("_last_name", "_last_raw_position", "decoded", "is_cut", "unreadable")

    def __init__(self):
        self.decoded = []
        self.unreadable = []
        self.is_cut = False
        self._last_name = None
        self._last_raw_position = None

    @property
    def end(self):
        """Name after which the list goes on, a str, or bytes that stand for one.

        It is the last name that can be read, or else the position of the last item.
        None if that isn't known either.
        """
        return self._last_raw_position if self._last_name is None else self._last_name

    def add(self, item):
        """Add a decoded item."""
        self.decoded.append(item)
        self._last_name = item.object_name

    def add_unreadable(self, item):
        """Add an `UnreadableItem`."""
        self.unreadable.append(item)
        self._last_raw_position = item.raw_position
        if item.name is not None:
            self._last_name = item.name


class DecodedPage:
    """A page of a list, or the response to a watch.

    Attributes
    ----------
    items : PageItems
    at : int
        The store's revision; 0 if the items are cut.
    more : bool
        Whether another page follows.
    """

    __slots__ = ("at", "items", "more")

    def __init__(self, items, at, more):
        self.items = items
        self.at = at
        self.more = more


def decode_page(data, page_type):
    """Decode a page of a list, or a response to a watch, as far as it can be read.

    Another writer may have stored an object that isn't decodable, such as half of a
    surrogate pair, or values that are nested too deep. The others hold.

    Parameters
    ----------
    data : bytes
    page_type : type
        Its first field is the list, of the type `ITEM_TYPE`.

    Returns
    -------
    DecodedPage

    Raises
    ------
    DocumentError
        If it is no page.
    """
    try:
        page = msgspec.json.decode(data, type=page_type)
    except UNDECODABLE:
        pass
    else:
        items = PageItems()
        for item in getattr(page, page_type.__struct_fields__[0]):
            items.add(item)
        return DecodedPage(items, page.at, _has_more(page))
    try:
        return _decode_by_item(data, page_type)
    except (ValueError, *UNDECODABLE) as error:
        raise DocumentError(str(error)) from error


def _decode_by_item(data, page_type):
    list_key = f'"{page_type.__struct_fields__[0]}"'.encode()
    reader = JsonReader(data, MAX_ITEM_TOKENS)
    items, others = None, []
    for key in reader.members():
        if key == list_key:
            items = _read_items(reader, data, page_type)
            if items.is_cut:
                return DecodedPage(items, 0, True)
        else:
            others.append(key + b":" + reader.read_value())
    if items is None:
        raise DocumentError(f"{list_key.decode()} missing")
    head = b"{%s}" % b",".join([list_key + b":[]", *others])
    page = msgspec.json.decode(head, type=page_type)
    return DecodedPage(items, page.at, _has_more(page))


def _read_items(reader, data, page_type):
    """Return the `PageItems` of the array that begins at the reader's position."""
    items = PageItems()
    for _ in reader.elements():
        begin = reader.position
        if reader.token_count > MAX_PAGE_TOKENS:
            items.is_cut = True
            break
        try:
            text = reader.read_value()
            items.add(msgspec.json.decode(text, type=page_type.ITEM_TYPE))
        except JsonBudgetError as error:
            # Where the item ends isn't known.
            text = data[begin:]
            items.add_unreadable(UnreadableItem(text, page_type.OBJECT_PATH, error))
            items.is_cut = True
            break
        except UNDECODABLE as error:
            items.add_unreadable(UnreadableItem(text, page_type.OBJECT_PATH, error))
    return items


def _has_more(page):
    return getattr(page, "more", False)


def _decode_or_none(text, expected_type):
    if text is None or len(text) > MAX_NAME_BYTES:
        return None
    try:
        return msgspec.json.decode(text, type=expected_type)
    except UNDECODABLE:
        return None


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
