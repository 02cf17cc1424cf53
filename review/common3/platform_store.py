"""Stand-in of the platform's store, as PROTOCOL.md describes it."""

import asyncio
import json
from urllib.parse import parse_qs, unquote, urlsplit

from review.common3.http1 import encode_response, read_body, read_head

JSON = [("Content-Type", "application/json")]
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
PREFIX = "/api/objects/"


class StoredObject:
    """One object, with its JSON text as other writers may have written it.

    Attributes
    ----------
    revision : int
    text : str
    """

    def __init__(self, name, revision, spec_text):
        self.revision = revision
        metadata = json.dumps({"name": name, "rev": revision, "created": 1})
        self.text = f'{{"metadata":{metadata},"spec":{spec_text},"status":null}}'


class PlatformStore:
    """Objects by kind and name, with one revision counter.

    Attributes
    ----------
    address : str
    revision : int
    """

    def __init__(self):
        self.address = ""
        self.revision = 100
        self._objects_by_kind = {}
        self._events = []
        self._changed = asyncio.Event()
        self._server = None

    async def start(self, host):
        """Listen at a free port of `host`."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def put(self, kind, name, spec):
        """Write an object, as the operator or an engine does."""
        return self.put_text(kind, name, json.dumps(spec))

    def put_text(self, kind, name, spec_text):
        """Write an object whose content is given as JSON text."""
        self.revision += 1
        stored = StoredObject(name, self.revision, spec_text)
        self._objects_by_kind.setdefault(kind, {})[name] = stored
        self._notify(kind, stored, False)
        return stored

    def remove(self, kind, name):
        """Remove an object, if there is one."""
        stored = self._objects_by_kind.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            self._notify(kind, stored, True)

    def _notify(self, kind, stored, is_deleted):
        event = f'{{"object":{stored.text},"deleted":{json.dumps(is_deleted)}}}'
        self._events.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while (request := await read_head(reader)) is not None:
                request.body, _ = await read_body(reader, request.headers)
                status, answer = await self._answer(request)
                writer.write(encode_response(status, JSON, answer.encode()))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, request):
        """Return the status and body of an answer."""
        url = urlsplit(request.target)
        kind, _, name = url.path.removeprefix(PREFIX).partition("/")
        name = unquote(name).removesuffix("/status")
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        objects = self._objects_by_kind.setdefault(kind, {})
        if request.method == "GET" and name:
            return (200, objects[name].text) if name in objects else (404, "{}")
        if request.method == "GET":
            if "watch" in query:
                return 200, await self._watch(kind, query)
            return 200, self._page(objects, query.get("after", ""))
        if request.method == "DELETE":
            self.remove(kind, name)
            return 200, "{}"
        document = json.loads(request.body)
        if request.method == "POST":
            name = document["metadata"]["name"]
            if name in objects:
                return 409, objects[name].text
        elif name not in objects:
            return 404, "{}"
        return 200, self.put(kind, name, document["spec"]).text

    def _page(self, objects, after):
        names = sorted(name for name in objects if name > after)
        texts, size = [], 0
        for name in names[:PAGE_ITEMS]:
            text = objects[name].text
            if texts and size + len(text) > PAGE_BYTES:
                break
            texts.append(text)
            size += len(text)
        more = json.dumps(len(names) > len(texts))
        return f'{{"items":[{",".join(texts)}],"more":{more},"at":{self.revision}}}'

    async def _watch(self, kind, query):
        after = int(query["watch"])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query.get("wait_ms", 0)) / 1000
        while True:
            events = [e for rev, k, e in self._events if k == kind and rev > after]
            left = until - loop.time()
            if events or left <= 0:
                return f'{{"events":[{",".join(events)}],"at":{self.revision}}}'
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue
