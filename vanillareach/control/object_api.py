"""Client of the platform's object API.

The wire format is that of the Kubernetes API: collections under
``/apis/vanillareach/v1``, ``metadata.resourceVersion`` for conditional updates, and
watches as JSON lines. All calls of an instance go through one client, which
limits the call rate and the duration of each call.
"""

from abc import ABC, abstractmethod
from contextlib import AsyncExitStack

import httpcore
import msgspec
import trio

from vanillareach.bounded_reads import BoundedBackend
from vanillareach.clock import MS_PER_SECOND
from vanillareach.connection_reuse import ReuseCheckBackend
from vanillareach.core.buckets import TokenBucket
from vanillareach.traffic import ControlTraffic, CountingBackend

API_PREFIX = "/apis/vanillareach/v1"
JSON_HEADERS = ((b"content-type", b"application/json"),)
# A whole collection: 10,000 objects with 3 KiB each.
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
# One object; the store of such an API takes objects of at most 1.5 MiB.
MAX_WATCH_EVENT_BYTES = 2 * 1024 * 1024
# Time in which a watch has to yield the next event, which may be a bookmark.
WATCH_EVENT_TIMEOUT_MS = 60_000.0


class PlatformError(Exception):
    """Base class of object API errors."""


class PlatformUnavailableError(PlatformError):
    """No call was made, or a read got no response; nothing was written."""


class PlatformConflictError(PlatformError):
    """The object's version differs from the one the write was based on."""


class PlatformAmbiguousError(PlatformError):
    """A write got no response or a server error; it may have taken effect."""


class PlatformGoneError(PlatformError):
    """A watch requested changes that the platform no longer retains."""


class Metadata(msgspec.Struct):
    """Identity and version of a stored object; the version is opaque."""

    name: str
    resourceVersion: str = ""  # noqa: N815


class StoredObject(msgspec.Struct):
    """An object as stored at the platform."""

    metadata: Metadata
    spec: dict = {}


class ObjectList(msgspec.Struct):
    """A collection and the version from which a watch can start."""

    metadata: Metadata
    items: list[StoredObject] = []


class WatchEvent(msgspec.Struct):
    """One event of a watch: ADDED, MODIFIED, DELETED or BOOKMARK."""

    type: str
    object: StoredObject


class Platform(ABC):
    """Port to the object API."""

    @abstractmethod
    async def read(self, collection, name):
        """Return the stored object, or None if it does not exist."""

    @abstractmethod
    async def list(self, collection):
        """Return all objects of a collection as an `ObjectList`."""

    @abstractmethod
    async def write(self, collection, name, spec, base_version):
        """Create (`base_version` empty) or replace an object conditionally.

        Returns
        -------
        str
            New version.

        Raises
        ------
        PlatformConflictError
            If the stored version differs.
        PlatformAmbiguousError
            If it is unknown whether the write took effect.
        PlatformUnavailableError
            If nothing was written.
        """

    @abstractmethod
    def watch(self, collection, version):
        """Return an asynchronous generator of `WatchEvent` after `version`."""


class HttpPlatform(Platform):
    """Object API client over HTTP.

    Parameters
    ----------
    address : str
        ``host:port`` of the object API.
    clock : Clock
        Clock of the call budget.
    calls_per_second : float
        Sustained call rate; the burst is twice the number per second.
    call_limit_ms : float
        Time limit of a call that is not a watch.
    traffic : ControlTraffic or None
        Counts the bytes of all calls, if given.
    """

    def __init__(
        self,
        address,
        clock,
        calls_per_second=20.0,
        call_limit_ms=2000.0,
        traffic=None,
    ):
        self._base_url = f"http://{address}{API_PREFIX}"
        self._clock = clock
        self._call_timeout_ms = call_limit_ms
        self._call_budget = TokenBucket(
            calls_per_second, 2 * calls_per_second, clock.now_ms()
        )
        backend = CountingBackend(traffic or ControlTraffic())
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=32,
            max_keepalive_connections=8,
            keepalive_expiry=60,
            network_backend=ReuseCheckBackend(
                BoundedBackend(backend, MAX_RESPONSE_BYTES)
            ),
        )
        # A watch goes on for as long as it yields events.
        self._watch_pool = httpcore.AsyncConnectionPool(
            max_connections=8, max_keepalive_connections=0, network_backend=backend
        )
        self.calls_by_method = {"read": 0, "list": 0, "write": 0, "watch": 0}

    async def close(self):
        """Close all connections."""
        await self._pool.aclose()
        await self._watch_pool.aclose()

    async def read(self, collection, name):
        """Read one object."""
        await self._wait_for_call_budget("read")
        response = await self._get(f"{self._base_url}/{collection}/{name}")
        if response.status == 404:
            return None
        return _decode(response, StoredObject)

    async def list(self, collection):
        """Read a whole collection."""
        await self._wait_for_call_budget("list")
        response = await self._get(f"{self._base_url}/{collection}")
        return _decode(response, ObjectList)

    async def write(self, collection, name, spec, base_version):
        """Write one object conditionally."""
        await self._wait_for_call_budget("write")
        stored = StoredObject(Metadata(name, base_version), spec)
        method = "PUT" if base_version else "POST"
        path = f"{collection}/{name}" if base_version else collection
        try:
            with trio.fail_after(self._call_timeout_ms / MS_PER_SECOND):
                response = await self._pool.request(
                    method,
                    f"{self._base_url}/{path}",
                    headers=JSON_HEADERS,
                    content=msgspec.json.encode(stored),
                )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise PlatformUnavailableError(str(error)) from error
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            *_TIMEOUT_ERRORS,
        ) as error:
            raise PlatformAmbiguousError(f"no response to {method} {path}") from error
        if response.status == 409:
            raise PlatformConflictError(
                f"{collection}/{name} does not have the base version"
            )
        if response.status in (429, 503):
            raise PlatformUnavailableError(
                f"platform responded with status {response.status}"
            )
        if response.status >= 500:
            raise PlatformAmbiguousError(
                f"platform responded with status {response.status}"
            )
        return _written_version(response, name, base_version)

    async def watch(self, collection, version):
        """Yield the changes of a collection made after `version`."""
        await self._wait_for_call_budget("watch")
        url = f"{self._base_url}/{collection}?watch=true&resourceVersion={version}"
        extensions = {"timeout": {"connect": 2.0}}
        stream = self._watch_pool.stream("GET", url, extensions=extensions)
        try:
            async with AsyncExitStack() as stack:
                with trio.fail_after(WATCH_EVENT_TIMEOUT_MS / MS_PER_SECOND):
                    response = await stack.enter_async_context(stream)
                if response.status == 410:
                    raise PlatformGoneError(collection)
                if response.status != 200:
                    raise PlatformUnavailableError(
                        f"watch got status {response.status}"
                    )
                async for line in _iter_lines(response):
                    yield _decode_json(line, WatchEvent)
        except _TRANSPORT_ERRORS as error:
            raise PlatformUnavailableError(f"watch of {collection} failed") from error

    async def _wait_for_call_budget(self, method):
        """Wait for the call budget, but no longer than the time limit of a call."""
        timeout_at_ms = self._clock.now_ms() + self._call_timeout_ms
        while not self._call_budget.try_acquire(1.0, self._clock.now_ms()):
            wait_ms = self._call_budget.wait_ms(1.0, self._clock.now_ms())
            if self._clock.now_ms() + wait_ms > timeout_at_ms:
                raise PlatformUnavailableError(
                    "call budget of this instance is exhausted"
                )
            await self._clock.sleep_ms(wait_ms)
        self.calls_by_method[method] += 1

    async def _get(self, url):
        try:
            with trio.fail_after(self._call_timeout_ms / MS_PER_SECOND):
                response = await self._pool.request("GET", url)
        except _TRANSPORT_ERRORS as error:
            raise PlatformUnavailableError(f"no response to GET {url}") from error
        if response.status not in (200, 404):
            raise PlatformUnavailableError(
                f"platform responded with status {response.status}"
            )
        return response


_TIMEOUT_ERRORS = (httpcore.TimeoutException, trio.TooSlowError)
_TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    *_TIMEOUT_ERRORS,
)


def _written_version(response, name, base_version):
    """Return the version that a response to a write names.

    Raises
    ------
    PlatformAmbiguousError
        If it isn't the response to this write, such as that to the one before, or can't
        be decoded.
    """
    try:
        metadata = _decode(response, StoredObject).metadata
    except PlatformUnavailableError as error:
        raise PlatformAmbiguousError(f"write of {name}: {error}") from error
    if metadata.name != name or metadata.resourceVersion in ("", base_version):
        raise PlatformAmbiguousError(f"write of {name}: response is of {metadata}")
    return metadata.resourceVersion


def _decode(response, expected_type):
    return _decode_json(response.content, expected_type)


def _decode_json(data, expected_type):
    try:
        return msgspec.json.decode(data, type=expected_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise PlatformUnavailableError(f"invalid response: {error}") from error


async def _iter_lines(response):
    """Yield the lines of a watch that aren't empty.

    Raises
    ------
    PlatformUnavailableError
        If a line exceeds `MAX_WATCH_EVENT_BYTES`.
    trio.TooSlowError
        If no line is complete within `WATCH_EVENT_TIMEOUT_MS`.
    """
    chunks, partial_line, size = response.aiter_stream(), bytearray(), 0
    timeout_s = WATCH_EVENT_TIMEOUT_MS / MS_PER_SECOND
    timeout_at_s = trio.current_time() + timeout_s
    while True:
        with trio.fail_at(timeout_at_s):
            chunk = await anext(chunks, None)
        if chunk is None:
            return
        size += len(chunk)
        first_end, *further_lines = chunk.split(b"\n")
        partial_line += first_end
        if further_lines:
            complete_lines = [bytes(partial_line), *further_lines[:-1]]
            partial_line = bytearray(further_lines[-1])
            for line in filter(None, complete_lines):
                yield line
                size = len(partial_line)
                timeout_at_s = trio.current_time() + timeout_s
        if size > MAX_WATCH_EVENT_BYTES:
            raise PlatformUnavailableError(
                f"watch event exceeds {MAX_WATCH_EVENT_BYTES} bytes"
            )
