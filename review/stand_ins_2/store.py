"""A stand-in of the platform's metadata store."""

import asyncio
import contextlib
import json
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import unquote
from urllib.parse import urlsplit

from stand_ins_2.messages import Message
from stand_ins_2.messages import read_message
from stand_ins_2.messages import write_head

__all__ = ["Store"]

_PREFIX = "/v1/objects/"
_PAGE = 500
# Seconds that an answer takes.
_DELAY = 0.004


class Store:
    """Objects by kind and name, with revisions, watches and conditions."""

    def __init__(self) -> None:
        self.host = "127.0.0.1"
        self.port = 0
        self.revision = 100
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._events: list[tuple[int, str, bool, dict[str, Any]]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def move(self) -> None:
        """Listen on another port, and on the present one no more."""
        server, writers = self._server, tuple(self._writers)
        await self.start()
        if server is not None:
            server.close()
        for writer in writers:
            writer.transport.abort()

    # What the operator and the targets do.

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object, whatever its revision is."""
        present = self._objects.setdefault(kind, {}).get(name)
        if present is not None and present["spec"] == spec:
            return
        self.revision += 1
        created = present["metadata"]["created"] if present else self.revision
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self._objects[kind][name] = item
        self._note(kind, False, item)

    def read(self, kind: str, name: str) -> Any:
        """Return what an object holds, None if there is none."""
        item = self._objects.get(kind, {}).get(name)
        return item["spec"] if item is not None else None

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self._objects.get(kind, {}).pop(name, None)
        if item is None:
            return
        self.revision += 1
        meta = {**item["metadata"], "revision": self.revision}
        self._note(kind, True, {**item, "metadata": meta})

    def _note(self, kind: str, removed: bool, item: dict[str, Any]) -> None:
        self._events.append((self.revision, kind, removed, item))
        self._changed.set()
        self._changed = asyncio.Event()

    # Calls.

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while (request := await read_message(reader)) is not None:
                await asyncio.sleep(_DELAY)
                status, data = await self._answer(request)
                body = json.dumps(data).encode()
                headers = {
                    "Content-Type": "application/json",
                    "Content-Length": str(len(body)),
                }
                writer.write(write_head(f"HTTP/1.1 {status} X", headers))
                writer.write(body)
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, request: Message) -> tuple[int, Any]:
        method, url = request.first[0], urlsplit(request.first[1])
        query = {n: v[0] for n, v in parse_qs(url.query).items()}
        path = url.path.removeprefix(_PREFIX)
        kind, _, name = path.partition("/")
        name = unquote(name)
        items = self._objects.setdefault(kind, {})
        if method == "GET" and not name:
            if "watch" in query:
                return await self._watch(kind, query)
            return 200, self._list(items, query.get("after", ""))
        if method == "GET":
            found = items.get(name)
            return (200, found) if found else (404, {"error": "none"})
        if method == "DELETE":
            return self._delete(kind, name, query.get("revision"))
        data = json.loads(request.body)
        if method == "POST":
            name = data["metadata"]["name"]
            if name in items:
                return 409, items[name]
            self.put(kind, name, data["spec"])
            return 200, items[name]
        if name not in items:
            return 404, {"error": "none"}
        wanted = data["metadata"].get("revision")
        if wanted is not None and wanted != _read_revision(items[name]):
            return 409, items[name]
        self.put(kind, name, data["spec"])
        return 200, items[name]

    def _delete(
        self, kind: str, name: str, wanted: str | None
    ) -> tuple[int, Any]:
        item = self._objects[kind].get(name)
        if item is None:
            return 404, {"error": "none"}
        if wanted is not None and int(wanted) != _read_revision(item):
            return 409, item
        self.remove(kind, name)
        return 200, {}

    def _list(self, items: dict[str, Any], after: str) -> dict[str, Any]:
        names = sorted(name for name in items if name > after)
        return {
            "items": [items[name] for name in names[:_PAGE]],
            "has_more": len(names) > _PAGE,
            "as_of": self.revision,
        }

    async def _watch(
        self, kind: str, query: dict[str, str]
    ) -> tuple[int, Any]:
        after = int(query["watch"])
        loop = asyncio.get_running_loop()
        end = loop.time() + int(query.get("wait_ms", "0")) / 1000
        while True:
            events = [
                {"removed": removed, "object": item}
                for revision, of_kind, removed, item in self._events
                if of_kind == kind and revision > after
            ]
            left = end - loop.time()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)


def _read_revision(item: dict[str, Any]) -> int:
    return int(item["metadata"]["revision"])
