"""HTTP client of the platform's store."""

from urllib.parse import quote

import httpcore
import msgspec
import trio

from vanillareach.bounded_reads import BoundedBackend
from vanillareach.clock import MS_PER_SECOND
from vanillareach.connection_reuse import ReuseCheckBackend
from vanillareach.control.object_api import (
    PlatformConflictError,
    PlatformGoneError,
    PlatformUnavailableError,
)
from vanillareach.gateway.ports import (
    DeploymentStore,
    RegisteredInstance,
    StoreListing,
    StorePosition,
)
from vanillareach.log import get_logger
from vanillareach.platform import names
from vanillareach.platform.documents import (
    UNDECODABLE,
    DocumentError,
    decode_configuration,
    decode_endpoint,
)
from vanillareach.platform.pages import (
    ObjectDocument,
    PageDocument,
    WatchDocument,
    decode_page,
)
from vanillareach.response_checks import ResponseCheckBackend
from vanillareach.utils import check_ip_address

log = get_logger("store")

JSON_HEADERS = ((b"Content-Type", b"application/json"),)
INSTANCE_KIND = "vanillareach-instances"
# Time allowed for a response, in addition to the time that a watch waits for a change.
# The store itself responds within 4 ms.
CALL_TIMEOUT_MS = 700.0
# One page, object or watch: 10,000 endpoints with 1 KiB each, with room to spare.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# All pages of a list. Endpoints must be refreshed within two seconds.
LIST_TIME_LIMIT_MS = 2_000.0
MAX_LISTED_OBJECTS = 100_000
CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    trio.TooSlowError,
)


class InstanceSpec(msgspec.Struct):
    """Entry of a gateway instance; see `RegisteredInstance`."""

    address: str
    domain: str = ""
    capacity: float = 0.0
    forward_address: str = ""


class ListedObjects:
    """Objects of one kind, from all pages that were read.

    Attributes
    ----------
    decoded : list
    unreadable : list of UnreadableItem
    position : StorePosition or None
        The earliest of the pages, since an object may have changed after its page was
        read; None before the first one.
    gap : str
        See `StoreListing`.
    """

    __slots__ = ("decoded", "gap", "position", "unreadable")

    def __init__(self):
        self.decoded = []
        self.unreadable = []
        self.position = None
        self.gap = ""

    @property
    def count(self):
        """Number of objects, unreadable ones included."""
        return len(self.decoded) + len(self.unreadable)

    def add_page(self, page, era):
        """Add the objects of a page.

        Raises
        ------
        PlatformUnavailableError
            If the store's era has changed since the last page.
        """
        if self.position is not None and self.position.era != era:
            raise PlatformUnavailableError("era changed between pages")
        # A cut page tells no revision.
        revisions = [page.at, self.position.revision] if self.position else [page.at]
        self.position = StorePosition(era, min(filter(None, revisions), default=0))
        self.decoded += page.items.decoded
        self.unreadable += page.items.unreadable


class PlatformStore(DeploymentStore):
    """Client of the store over HTTP.

    Parameters
    ----------
    address : str
        ``host:port``.
    """

    def __init__(self, address):
        self._base_url = f"http://{address}{names.OBJECTS_PATH}"
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=8,
            max_keepalive_connections=3,
            keepalive_expiry=20,
            network_backend=ReuseCheckBackend(
                BoundedBackend(ResponseCheckBackend(), MAX_RESPONSE_BYTES)
            ),
        )
        self.calls = 0
        self._era = 0

    async def close(self):
        """Close all connections."""
        await self._pool.aclose()

    async def read_configuration(self):
        """Read the configuration; see `DeploymentStore`."""
        path = f"{names.CONFIGURATION_KIND}/{names.CONFIGURATION_NAME}"
        response = await self._call("GET", path)
        if response.status == 404:
            return None
        stored = _decode(response, ObjectDocument)
        position = StorePosition(_read_era(response), stored.metadata.rev)
        return position, _decode_route_table(stored)

    async def wait_for_configuration(self, position, wait_ms):
        """Watch the configuration; see `DeploymentStore`."""
        kind, revision = names.CONFIGURATION_KIND, position.revision
        path = f"{kind}?watch={revision}&wait_ms={int(wait_ms)}"
        response = await self._call("GET", path, CALL_TIMEOUT_MS + wait_ms)
        # In another era the same revision stands for another state.
        if response.status == 410 or _read_era(response) != position.era:
            raise PlatformGoneError(
                "the store no longer has the history of the configuration"
            )
        page = _decode_page(response, WatchDocument)
        if page.items.is_cut or any(
            item.name in (None, names.CONFIGURATION_NAME)
            for item in page.items.unreadable
        ):
            raise PlatformGoneError("a change of the configuration can't be read")
        configuration = None
        for event in page.items.decoded:
            stored = event.object
            if event.deleted or stored.metadata.name != names.CONFIGURATION_NAME:
                continue
            configuration = _decode_route_table(stored)
        return StorePosition(position.era, page.at), configuration

    async def list_endpoints(self):
        """List the endpoints; see `DeploymentStore`."""
        objects = await self._list(names.ENDPOINT_KIND)
        endpoints = []
        unreadable = [item.description for item in objects.unreadable]
        for item in objects.decoded:
            try:
                endpoints.append(decode_endpoint(item))
            except DocumentError as error:
                unreadable.append(str(error))
        return StoreListing(objects.position, endpoints, unreadable, objects.gap)

    async def list_evacuations(self):
        """List the evacuated domains; see `DeploymentStore`."""
        objects = await self._list(names.EVACUATION_KIND)
        domains = [item.object_name for item in objects.decoded]
        unreadable = []
        for item in objects.unreadable:
            # Only the name matters, which may be readable all the same.
            if item.name is None:
                unreadable.append(item.description)
            else:
                domains.append(item.name)
        return StoreListing(objects.position, domains, unreadable, objects.gap)

    async def wait_for_evacuations(self, position, wait_ms):
        """Watch the evacuated domains; see `DeploymentStore`."""
        path = f"{names.EVACUATION_KIND}?watch={position.revision}"
        path += f"&wait_ms={int(wait_ms)}"
        response = await self._call("GET", path, CALL_TIMEOUT_MS + wait_ms)
        if response.status == 410 or _read_era(response) != position.era:
            raise PlatformGoneError(
                "the store no longer has the history of the evacuations"
            )
        page = _decode_page(response, WatchDocument)
        if page.items.is_cut or any(
            item.name is None or item.is_deleted is None
            for item in page.items.unreadable
        ):
            raise PlatformGoneError("a change of the evacuations can't be read")
        is_evacuated_by_domain = {
            event.object_name: not event.deleted for event in page.items.decoded
        }
        for item in page.items.unreadable:
            is_evacuated_by_domain[item.name] = not item.is_deleted
        return StorePosition(position.era, page.at), is_evacuated_by_domain

    async def list_instances(self, may_be_stale=False):
        """List the instances; see `DeploymentStore`."""
        objects = await self._list(INSTANCE_KIND, may_be_stale)
        unreadable = [item.description for item in objects.unreadable]
        instances = []
        for item in objects.decoded:
            try:
                spec = msgspec.json.decode(item.spec, type=InstanceSpec)
                check_ip_address(spec.address)
                if spec.forward_address:
                    check_ip_address(spec.forward_address)
            except ValueError as error:
                # An entry of another writer names no instance to contact.
                unreadable.append(f"{item.metadata.name}: {error}")
                continue
            instances.append(
                RegisteredInstance(
                    item.metadata.name,
                    spec.address,
                    spec.domain,
                    spec.capacity,
                    spec.forward_address,
                )
            )
        return StoreListing(objects.position, instances, unreadable, objects.gap)

    async def register_instance(self, instance):
        """Write this instance's entry; see `DeploymentStore`."""
        name = instance.name
        spec = InstanceSpec(
            instance.address,
            instance.domain,
            instance.capacity,
            instance.forward_address,
        )
        body = {"metadata": {"name": name}, "spec": msgspec.to_builtins(spec)}
        response = await self._call("POST", INSTANCE_KIND, body=body)
        if response.status == 409:
            response = await self._call("PUT", _instance_path(name), body=body)
        _raise_for_status(response)

    async def remove_instance(self, name):
        """Remove an instance's entry; see `DeploymentStore`."""
        response = await self._call("DELETE", _instance_path(name))
        if response.status != 404:
            _raise_for_status(response)

    async def _list(self, kind, may_be_stale=False):
        try:
            with trio.fail_after(LIST_TIME_LIMIT_MS / MS_PER_SECOND):
                return await self._list_pages(kind, may_be_stale)
        except trio.TooSlowError as error:
            raise PlatformUnavailableError(
                f"{kind}: list incomplete after {LIST_TIME_LIMIT_MS:.0f} ms"
            ) from error

    async def _list_pages(self, kind, may_be_stale):
        objects = ListedObjects()
        query = "allow_stale=1" if may_be_stale else ""
        path = f"{kind}?{query}" if query else kind
        earlier_cursors, has_guessed = set(), False
        while True:
            response = await self._call("GET", path)
            page = _decode_page(response, PageDocument)
            objects.add_page(page, _read_era(response))
            if objects.count > MAX_LISTED_OBJECTS:
                raise PlatformUnavailableError(
                    f"{kind}: more than {MAX_LISTED_OBJECTS} objects"
                )
            if not page.more:
                return objects
            cursor = page.items.cursor
            if cursor is None or cursor in earlier_cursors:
                if cursor is not None and not has_guessed:
                    raise PlatformUnavailableError(f"{kind}: {cursor!r} ends two pages")
                objects.gap = f"{kind}: no name of a page can be read"
                return objects
            earlier_cursors.add(cursor)
            # How the store orders a name that can't be read isn't known.
            has_guessed |= isinstance(cursor, bytes)
            path = f"{kind}?after={_escape(cursor)}"
            if query:
                path += f"&{query}"

    async def _call(self, method, path, timeout_ms=CALL_TIMEOUT_MS, body=None):
        self.calls += 1
        try:
            with trio.fail_after(timeout_ms / MS_PER_SECOND):
                response = await self._pool.request(
                    method,
                    f"{self._base_url}/{path}",
                    headers=JSON_HEADERS if body is not None else None,
                    content=msgspec.json.encode(body) if body is not None else None,
                )
        except CONNECTION_ERRORS as error:
            raise PlatformUnavailableError(f"{method} {path}: {error!r}") from error
        era = _read_era(response)
        if era < self._era:
            raise PlatformUnavailableError(
                f"{method} {path}: response of era {era}, the store is in {self._era}"
            )
        self._era = era
        return response


def _escape(name):
    """Return an object's name, of any writer's choice, for an address."""
    return quote(name, safe="")


def _instance_path(name):
    return f"{INSTANCE_KIND}/{_escape(name)}"


def _read_era(response):
    """Return the store's era that a response tells; 0 without one."""
    for name, value in response.headers:
        if name.lower() == names.STORE_ERA_HEADER:
            try:
                return int(value)
            except ValueError as error:
                raise PlatformUnavailableError(f"invalid era {value!r}") from error
    return 0


def _raise_for_status(response):
    if response.status == 409:
        raise PlatformConflictError("the revision of the object has changed")
    if response.status >= 300:
        raise PlatformUnavailableError(
            f"the store responded with status {response.status}"
        )


def _decode(response, expected_type):
    _raise_for_status(response)
    try:
        return msgspec.json.decode(response.content, type=expected_type)
    except UNDECODABLE as error:
        raise PlatformUnavailableError(f"invalid response: {error}") from error


def _decode_page(response, page_type):
    """Return the `DecodedPage` of a response."""
    _raise_for_status(response)
    try:
        return decode_page(response.content, page_type)
    except DocumentError as error:
        raise PlatformUnavailableError(f"invalid response: {error}") from error


def _decode_route_table(stored):
    try:
        return decode_configuration(stored.spec)
    except DocumentError as error:
        raise PlatformUnavailableError(f"invalid configuration: {error}") from error
