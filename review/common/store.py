"""Stand-in of the platform's store: objects with revisions, lists and watches."""

import asyncio
import json
import time
from urllib.parse import parse_qs

from common.http import Server, encode_response

PAGE_ITEMS = 500
ROOT = "/api/objects"


class Store:
    """Objects by kind and name behind the store's HTTP API.

    Each spec is kept as the JSON text that its writer sent.

    Attributes
    ----------
    revision : int
    """

    def __init__(self):
        self.revision = 100
        self._texts_by_kind = {}
        self._history = []
        self._changed = asyncio.Event()
        self._server = Server(self._handle)

    @property
    def address(self):
        """Address as ``host:port``."""
        return self._server.address

    async def start(self):
        """Listen on a free port."""
        await self._server.start()

    def stop(self):
        """End the store."""
        self._server.stop()

    def put_text(self, kind, name, text):
        """Write an object whose spec is a JSON text."""
        self.revision += 1
        metadata = json.dumps({"name": name, "rev": self.revision})
        stored = f'{{"metadata":{metadata},"spec":{text},"status":null}}'
        self._texts_by_kind.setdefault(kind, {})[name] = stored
        self._record(kind, stored, False)

    def put(self, kind, name, spec):
        """Write an object."""
        self.put_text(kind, name, json.dumps(spec))

    def delete(self, kind, name):
        """Remove an object."""
        stored = self._texts_by_kind[kind].pop(name)
        self.revision += 1
        self._record(kind, stored, True)

    def _record(self, kind, stored, is_deleted):
        self._history.append((self.revision, kind, stored, is_deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request, writer):
        kind, _, name = request.path.removeprefix(ROOT).strip("/").partition("/")
        query = parse_qs(request.target.partition("?")[2])
        if request.method == "GET" and "watch" in query:
            return await self._watch(kind, query, writer)
        objects = self._texts_by_kind.setdefault(kind, {})
        if request.method == "GET" and not name:
            return _answer(writer, 200, self._page(objects, query))
        if request.method == "GET":
            return _answer(writer, 200 if name in objects else 404, objects.get(name))
        if request.method == "DELETE":
            if name not in objects:
                return _answer(writer, 404, None)
            self.delete(kind, name)
            return _answer(writer, 200, "{}")
        document = json.loads(request.body)
        if request.method == "POST":
            name = document["metadata"]["name"]
            if name in objects:
                return _answer(writer, 409, objects[name])
        self.put(kind, name, document["spec"])
        return _answer(writer, 200, objects[name])

    def _page(self, objects, query):
        after = query.get("after", [""])[0]
        names = sorted(name for name in objects if name > after)
        items = ",".join(objects[name] for name in names[:PAGE_ITEMS])
        more = json.dumps(len(names) > PAGE_ITEMS)
        return f'{{"items":[{items}],"more":{more},"at":{self.revision}}}'

    async def _watch(self, kind, query, writer):
        since, wait_ms = int(query["watch"][0]), int(query["wait_ms"][0])
        end_s = time.monotonic() + min(30_000, wait_ms) / 1000
        while True:
            changed = self._changed
            events = [
                f'{{"object":{stored},"deleted":{json.dumps(is_deleted)}}}'
                for revision, event_kind, stored, is_deleted in self._history
                if event_kind == kind and revision > since
            ]
            remaining_s = end_s - time.monotonic()
            if events or remaining_s <= 0:
                page = f'{{"events":[{",".join(events)}],"at":{self.revision}}}'
                return _answer(writer, 200, page)
            try:
                await asyncio.wait_for(changed.wait(), remaining_s)
            except TimeoutError:
                continue


def _answer(writer, status, text):
    headers = [("Content-Type", "application/json"), ("Store-Era", "1")]
    writer.write(encode_response(status, headers, (text or "{}").encode()))
