"""A stand-in for the platform's metadata store, as PROTOCOL.md tells it."""

import asyncio
from collections.abc import Iterator
import contextlib
import json
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import unquote
from urllib.parse import urlsplit

from standins.http import ClosedError
from standins.http import Message
from standins.http import read_message
from standins.http import write_message

__all__ = ["Store"]

_PREFIX = "/v1/objects/"
_PAGE = 500


class Store:
    """Objects by kind and name, with one revision counter and watches.

    :ivar address: where it listens, after :meth:`start`.
    """

    def __init__(self) -> None:
        self.address = ""
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._events: list[tuple[int, str, bool, dict[str, Any]]] = []
        self._revision = 100
        self._changed = asyncio.Event()
        self._channels: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()

    def silence_channels(self) -> None:
        """Let all open channels go silent for good; new ones work."""
        self._silent |= self._channels

    async def start(self, host: str) -> None:
        """Listen on a free port of an address."""
        server = await asyncio.start_server(self._serve, host, 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def write(self, kind: str, name: str, spec: Any) -> int:
        """Create or replace an object; return its revision."""
        items = self._objects.setdefault(kind, {})
        old = items.get(name)
        if old is not None and _compare(kind, old["spec"], spec):
            old["spec"] = spec
            return int(old["metadata"]["revision"])
        self._revision += 1
        created = old["metadata"]["created"] if old else self._revision
        items[name] = {
            "metadata": {
                "name": name,
                "revision": self._revision,
                "created": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self._note(kind, False, items[name])
        return self._revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        old = self._objects.get(kind, {}).pop(name, None)
        if old is not None:
            self._revision += 1
            meta = {**old["metadata"], "revision": self._revision}
            self._note(kind, True, {**old, "metadata": meta})

    def _note(self, kind: str, removed: bool, item: dict[str, Any]) -> None:
        self._events.append((self._revision, kind, removed, item))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._channels.add(writer)
        with contextlib.suppress(
            ClosedError, ConnectionError, asyncio.CancelledError
        ):
            while True:
                request = await read_message(reader)
                if writer in self._silent:
                    continue
                status, data = await self._answer(request)
                if writer in self._silent:
                    continue
                body = json.dumps(data).encode()
                headers = {"Content-Type": "application/json"}
                await write_message(writer, status, headers, body)
        self._channels.discard(writer)
        writer.close()

    async def _answer(self, request: Message) -> tuple[int, Any]:
        method, target = request.first[0], request.first[1]
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        if not parts.path.startswith(_PREFIX):
            return 404, {}
        kind, _, name = parts.path.removeprefix(_PREFIX).partition("/")
        name = unquote(name)
        if method == "GET" and not name:
            if "watch" in query:
                return await self._watch(kind, query)
            return 200, self._list(kind, query.get("after", ""))
        data = json.loads(request.body) if request.body else {}
        items = self._objects.setdefault(kind, {})
        name = name or data["metadata"]["name"]
        present = items.get(name)
        if method == "POST":
            if present is not None:
                return 409, present
            self.write(kind, name, data.get("spec"))
            return 201, items[name]
        if present is None:
            return 404, {}
        if method == "GET":
            return 200, present
        wanted = data.get("metadata", {}).get("revision")
        if "revision" in query:
            wanted = int(query["revision"])
        if wanted not in (None, present["metadata"]["revision"]):
            return 409, present
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        self.write(kind, name, data.get("spec"))
        return 200, items[name]

    def _list(self, kind: str, after: str) -> dict[str, Any]:
        items = self._objects.get(kind, {})
        names = sorted(name for name in items if name > after)
        return {
            "items": [items[name] for name in names[:_PAGE]],
            "has_more": len(names) > _PAGE,
            "as_of": self._revision,
        }

    async def _watch(
        self, kind: str, query: dict[str, str]
    ) -> tuple[int, Any]:
        after = int(query["watch"])
        wait = min(int(query.get("wait_ms", 0)), 30_000) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait):
                while not any(self._find(kind, after)):
                    await self._changed.wait()
        events = list(self._find(kind, after))
        return 200, {"events": events, "as_of": self._revision}

    def _find(self, kind: str, after: int) -> Iterator[dict[str, Any]]:
        for revision, of, removed, item in self._events:
            if of == kind and revision > after:
                yield {"removed": removed, "object": item}


def _compare(kind: str, old: Any, new: Any) -> bool:
    """Return whether a write changes nothing.

    A server's entry changes when more than its ``sequence`` changes.
    """
    if kind != "servers":
        return bool(old == new)
    return bool({**old, "sequence": 0} == {**new, "sequence": 0})
