"""Stand-in for the platform's store, with objects by kind, revisions and watches."""

from copy import deepcopy
from urllib.parse import parse_qs, unquote

import msgspec
import trio

from vanillareach.gateway.connections import ResponseAbortedError
from vanillareach.platform import names

MAX_WATCH_WAIT_S = 30.0


class StandinStore:
    """In-memory objects behind the HTTP API of the platform's store.

    Attributes
    ----------
    era : int
        Rises with each `restore`.
    failure : str
        Empty, "busy" (responds with 503) or "lost" (closes the connection).
    calls : int
        Number of requests handled, including failed ones.
    page_size : int or None
        Most objects of one page of a list; None for all.
    on_page : callable
        Called with the kind after a page that isn't the last one was read.
    """

    def __init__(self):
        self.objects_by_kind = {}
        self.era = 1
        self.revision = 10
        self.history = []
        self.history_start = 0
        self.failure = ""
        self.calls = 0
        self.page_size = None
        self.on_page = lambda kind: None
        self._changed = trio.Event()

    def put(self, kind, name, spec):
        """Write an object, as an operator or an endpoint does."""
        self.revision += 1
        stored = {"metadata": {"name": name, "rev": self.revision}, "spec": spec}
        self.objects_by_kind.setdefault(kind, {})[name] = stored
        self._record_event(kind, {"object": stored, "deleted": False})

    def delete(self, kind, name):
        """Remove an object."""
        self.revision += 1
        stored = self.objects_by_kind[kind].pop(name)
        self._record_event(kind, {"object": stored, "deleted": True})

    def copy(self):
        """Return a copy of all objects, for `restore`."""
        return deepcopy(self.objects_by_kind), self.revision

    def restore(self, copy):
        """Come back from an older copy: what was written since is lost."""
        objects_by_kind, self.revision = copy
        self.objects_by_kind = deepcopy(objects_by_kind)
        self.era += 1
        self.discard_history()

    def discard_history(self):
        """Discard the history of changes, as the platform may at any time."""
        self.history = []
        self.history_start = self.revision
        self._notify_watches()

    async def handle(self, request, responder):
        """Handle one request."""
        self.calls += 1
        if self.failure == "busy":
            return await self._answer(responder, 503, {})
        if self.failure == "lost":
            raise ResponseAbortedError("the store is unavailable")
        rest = request.path.removeprefix(names.OBJECTS_PATH).strip("/")
        kind, _, name = rest.partition("/")
        name = unquote(name)
        query = parse_qs(request.target.decode().partition("?")[2])
        if request.method == b"GET" and "watch" in query:
            return await self._watch(kind, query, responder)
        if request.method == b"GET":
            return await self._read(kind, name, query, responder)
        return await self._write(request, kind, name, responder)

    async def _read(self, kind, name, query, responder):
        objects = self.objects_by_kind.get(kind, {})
        if not name:
            after = query.get("after", [""])[0]
            listed = [objects[name] for name in sorted(objects) if name > after]
            items = listed[: self.page_size]
            is_partial = len(items) < len(listed)
            page = {"items": items, "more": is_partial, "at": self.revision}
            await self._answer(responder, 200, page)
            return self.on_page(kind) if is_partial else None
        if name not in objects:
            return await self._answer(responder, 404, {})
        return await self._answer(responder, 200, objects[name])

    async def _write(self, request, kind, name, responder):
        objects = self.objects_by_kind.setdefault(kind, {})
        if request.method == b"DELETE":
            if name in objects:
                self.delete(kind, name)
            return await self._answer(responder, 200, {})
        document = msgspec.json.decode(request.body)
        name = name or document["metadata"]["name"]
        if request.method == b"POST" and name in objects:
            return await self._answer(responder, 409, objects[name])
        self.put(kind, name, document["spec"])
        return await self._answer(responder, 200, objects[name])

    async def _watch(self, kind, query, responder):
        since = int(query["watch"][0])
        wait_s = min(MAX_WATCH_WAIT_S, int(query["wait_ms"][0]) / 1000)
        if since < self.history_start or since > self.revision:
            return await self._answer(responder, 410, {})
        with trio.move_on_after(wait_s):
            while not self._events(kind, since):
                if since < self.history_start or since > self.revision:
                    return await self._answer(responder, 410, {})
                await self._changed.wait()
        events = [event for _, event in self._events(kind, since)]
        return await self._answer(
            responder, 200, {"events": events, "at": self.revision}
        )

    def _events(self, kind, since):
        return [
            (revision, event)
            for revision, event_kind, event in self.history
            if event_kind == kind and revision > since
        ]

    def _record_event(self, kind, event):
        self.history.append((self.revision, kind, event))
        self._notify_watches()

    def _notify_watches(self):
        self._changed.set()
        self._changed = trio.Event()

    async def _answer(self, responder, status, document):
        headers = [
            (b"Content-Type", b"application/json"),
            (names.STORE_ERA_HEADER, str(self.era).encode()),
        ]
        await responder.answer(status, headers, msgspec.json.encode(document))
