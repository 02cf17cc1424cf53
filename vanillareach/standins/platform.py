"""Stand-in for the platform's object API: versions, conditional writes, watches.

``/faults`` makes it unavailable or slow, or lets it lose responses to writes.
"""

from collections import Counter, deque

import msgspec
import trio

from vanillareach.asgi import (
    HttpRequest,
    answer_lifespan,
    send_bytes,
    send_chunk,
    send_json,
    start_response,
)
from vanillareach.control.object_api import (
    API_PREFIX,
    Metadata,
    ObjectList,
    StoredObject,
    WatchEvent,
)

MAX_HISTORY_EVENTS = 10_000
MAX_VALUE_BYTES = 1024 * 1024
BOOKMARK_INTERVAL_S = 20


class PlatformFaults(msgspec.Struct):
    """Faults that the object API shows.

    Attributes
    ----------
    down : bool
        Every call gets a 503; open watches end at their next event or bookmark.
    hang : bool
        Calls get no response.
    delay_ms : float
        Delay added to each call.
    lose_answers : int
        Number of further writes that are processed but get no response.
    """

    down: bool = False
    hang: bool = False
    delay_ms: float = 0.0
    lose_answers: int = 0


class ObjectStore:
    """In-memory store of versioned objects, with a history for watches."""

    def __init__(self):
        self.objects_by_name_by_collection = {}
        self.version = 0
        self.history = deque(maxlen=MAX_HISTORY_EVENTS)
        self.changed = trio.Event()

    def read(self, collection, name):
        """Return an object, or None if it is missing."""
        return self.objects_by_name_by_collection.get(collection, {}).get(name)

    def list(self, collection):
        """Return all objects of a collection."""
        items = self.objects_by_name_by_collection.get(collection, {})
        return ObjectList(Metadata(collection, str(self.version)), list(items.values()))

    def write(self, collection, name, spec, base_version):
        """Write an object if its version is still `base_version`.

        Returns
        -------
        StoredObject or None
            None on a conflict.
        """
        current = self.read(collection, name)
        if (current.metadata.resourceVersion if current else "") != base_version:
            return None
        self.version += 1
        stored = StoredObject(Metadata(name, str(self.version)), spec)
        self.objects_by_name_by_collection.setdefault(collection, {})[name] = stored
        kind = "MODIFIED" if current else "ADDED"
        self.history.append((self.version, collection, WatchEvent(kind, stored)))
        self.changed.set()
        self.changed = trio.Event()
        return stored

    def events_since(self, collection, version):
        """Return (version, event) pairs of a collection after `version`, in order."""
        return [
            (event_version, event)
            for event_version, event_collection, event in self.history
            if event_version > version and event_collection == collection
        ]


class PlatformApp:
    """ASGI application of the object API."""

    def __init__(self):
        self.store = ObjectStore()
        self.faults = PlatformFaults()
        self.calls_by_kind = Counter()
        self.open_watches = 0

    async def __call__(self, scope, receive, send):
        """Handle one ASGI connection."""
        if scope["type"] == "lifespan":
            return await answer_lifespan(receive, send)
        request = HttpRequest(scope, receive)
        if request.path == "/faults":
            self.faults = msgspec.json.decode(await request.body(), type=PlatformFaults)
            return await send_json(send, 200, self.faults)
        if request.path == "/calls":
            calls = {**self.calls_by_kind, "watches": self.open_watches}
            return await send_json(send, 200, calls)
        if self.faults.hang:
            await trio.sleep(3600)
        if self.faults.delay_ms:
            await trio.sleep(self.faults.delay_ms / 1000)
        if self.faults.down:
            return await send_json(send, 503, {"message": "outage"})
        return await self._handle_call(request, send)

    async def _handle_call(self, request, send):
        parts = request.path.removeprefix(API_PREFIX).strip("/").split("/")
        collection = parts[0]
        name = parts[1] if len(parts) > 1 else None
        if request.method in ("POST", "PUT"):
            return await self._write(request, send, collection, name)
        if request.query_value("watch"):
            return await self._watch(request, send, collection)
        self.calls_by_kind["read"] += 1
        if name is None:
            return await send_json(send, 200, self.store.list(collection))
        stored = self.store.read(collection, name)
        if stored is None:
            return await send_json(send, 404, {"message": f"no {name}"})
        return await send_json(send, 200, stored)

    async def _write(self, request, send, collection, name):
        self.calls_by_kind["write"] += 1
        body = await request.body(2 * MAX_VALUE_BYTES)
        if len(body) > MAX_VALUE_BYTES:
            return await send_json(send, 413, {"message": "value is too large"})
        requested = msgspec.json.decode(body, type=StoredObject)
        metadata = requested.metadata
        stored = self.store.write(
            collection, name or metadata.name, requested.spec, metadata.resourceVersion
        )
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            await trio.sleep(3600)
        if stored is None:
            return await send_json(send, 409, {"message": "another version"})
        return await send_json(send, 200, stored)

    async def _watch(self, request, send, collection):
        version = int(request.query_value("resourceVersion", "0"))
        oldest = self.store.history[0][0] if self.store.history else 0
        if len(self.store.history) == MAX_HISTORY_EVENTS and version < oldest - 1:
            return await send_bytes(send, 410, b"{}")
        self.calls_by_kind["watch"] += 1
        self.open_watches += 1
        try:
            await start_response(send, 200, [(b"content-type", b"application/json")])
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._cancel_on_disconnect, request, nursery)
                await self._stream_events(send, collection, version)
        finally:
            self.open_watches -= 1

    async def _cancel_on_disconnect(self, request, nursery):
        await request.wait_for_disconnect()
        nursery.cancel_scope.cancel()

    async def _stream_events(self, send, collection, version):
        while not self.faults.down:
            changed = self.store.changed
            for event_version, event in self.store.events_since(collection, version):
                version = event_version
                await send_chunk(send, msgspec.json.encode(event) + b"\n")
            with trio.move_on_after(BOOKMARK_INTERVAL_S) as scope:
                await changed.wait()
            if scope.cancelled_caught:
                bookmark = WatchEvent(
                    "BOOKMARK", StoredObject(Metadata("", str(version)))
                )
                await send_chunk(send, msgspec.json.encode(bookmark) + b"\n")
        await send_chunk(send, b"", more=False)
