"""A stand-in for the platform: its object store and its promotion call, over HTTP."""

from __future__ import annotations

import asyncio
import copy
import json
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qsl, unquote, urlsplit

# A connection on which an answer is lost stays open this long, in seconds.
SILENCE_S = 10.0
ROOT = "/orioleplank/objects/"
# A handler gets the method, the target, the headers and the body, and returns code, headers, body.
Answer = tuple[int, dict[str, str], bytes]
Handler = Callable[[str, str, dict[str, str], bytes], Awaitable[Answer | None]]


async def serve_http(host: str, handler: Handler) -> tuple[asyncio.Server, int]:
    """Serve HTTP/1.1 with kept connections on a free port; None as an answer closes at once."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await _serve_one(reader, writer, handler):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, host, 0)
    return server, server.sockets[0].getsockname()[1]


async def _serve_one(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, handler: Handler
) -> bool:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    method, target, _ = head[0].split(" ", 2)
    pairs = (line.partition(":") for line in head[1:] if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    answer = await handler(method, target, headers, body)
    if answer is None:
        return False
    code, extra, content = answer
    lines = [f"HTTP/1.1 {code} X", f"Content-Length: {len(content)}"]
    lines += ["Content-Type: application/json"]
    lines += [f"{name}: {value}" for name, value in extra.items()]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + content)
    await writer.drain()
    return headers.get("connection", "").lower() != "close"


class Store:
    """The object store: objects by kind and name, revisions, watches, outages and restores."""

    def __init__(self, log: Callable[[str], None]) -> None:
        self._log = log
        self.revision = 1
        self.era = 1
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: list[tuple[int, str, dict[str, Any], bool]] = []
        # Copies for restores, oldest first: time, revision and objects.
        self._copies: list[tuple[float, int, dict[str, dict[str, dict[str, Any]]]]] = []
        self._changed = asyncio.Condition()
        # True while the store is away: it closes each connection without an answer.
        self.is_down = False
        # Share of the writes whose answer is lost, and whether they are done seconds later.
        self.lose = 0.0
        self.late = False
        # Seconds that each answer takes longer.
        self.delay = 0.0

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object as the operator or an instance does."""
        known = self.objects.setdefault(kind, {}).get(name)
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        created = known["meta"]["created"] if known else self.revision
        meta = {"name": name, "revision": self.revision, "created": created}
        meta |= {"finalizers": [], "deleting": False}
        item = {"meta": meta, "spec": copy.deepcopy(spec), "status": None}
        self.objects[kind][name] = item
        self._note(kind, item, False)
        return item

    def delete(self, kind: str, name: str) -> None:
        """Remove an object if it exists."""
        item = self.objects.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            self._note(kind, item, True)

    def _note(self, kind: str, item: dict[str, Any], is_deleted: bool) -> None:
        self._history.append((self.revision, kind, item, is_deleted))
        self._copies.append((time.monotonic(), self.revision, copy.deepcopy(self.objects)))
        asyncio.get_running_loop().create_task(self._notify())

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    def restore(self, seconds: float) -> None:
        """Come back from a copy that is `seconds` old, with the next era."""
        limit = time.monotonic() - seconds
        older = [entry for entry in self._copies if entry[0] <= limit] or self._copies[:1]
        _, self.revision, objects = older[-1]
        self.objects = copy.deepcopy(objects)
        self._history = [entry for entry in self._history if entry[0] <= self.revision]
        self._copies = older
        self.era += 1
        self._log(f"store restored: copy {seconds} s old, era {self.era}")

    async def handle(self, method: str, target: str, headers: dict[str, str], body: bytes) -> Any:
        """Answer one call."""
        if self.is_down:
            return None
        url = urlsplit(target)
        kind, _, name = url.path.removeprefix(ROOT).partition("/")
        query = dict(parse_qsl(url.query))
        era = self.era
        if method == "GET" and "watch" in query:
            code, content = await self._watch(kind, int(query["watch"]), int(query["waitMs"]))
        elif method == "GET":
            code, content = self._read(kind, unquote(name))
        else:
            data = json.loads(body) if body else {}
            target_name = unquote(name) or data["meta"]["name"]
            is_lost = random.random() < self.lose
            if is_lost and self.late:
                await asyncio.sleep(random.uniform(1.0, 6.0))
            code, content = self._write(method, kind, target_name, data, query)
            if is_lost:
                await asyncio.sleep(SILENCE_S)
                return None
        await asyncio.sleep(self.delay)
        if self.is_down or (method == "GET" and self.era != era):
            return None
        return code, {"Store-Era": str(self.era)}, json.dumps(content).encode()

    def _read(self, kind: str, name: str) -> tuple[int, Any]:
        items = self.objects.get(kind, {})
        if name:
            return (200, items[name]) if name in items else (404, {})
        listed = [items[key] for key in sorted(items)]
        return 200, {"items": listed, "hasMore": False, "at": self.revision}

    async def _watch(self, kind: str, revision: int, wait_ms: int) -> tuple[int, Any]:
        if revision > self.revision:
            return 410, {}
        end, era = time.monotonic() + wait_ms / 1000, self.era
        while True:
            found = [entry for entry in self._history if entry[0] > revision and entry[1] == kind]
            left = end - time.monotonic()
            if found or left <= 0 or self.era != era or self.is_down:
                events = [{"object": item, "deleted": deleted} for _, _, item, deleted in found]
                return 200, {"events": events, "at": self.revision}
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), min(left, 0.05))
                except TimeoutError:
                    pass

    def _write(
        self, method: str, kind: str, name: str, data: Any, query: dict[str, str]
    ) -> tuple[int, Any]:
        known = self.objects.get(kind, {}).get(name)
        expected = int(query.get("revision") or data.get("meta", {}).get("revision") or 0)
        if method == "POST":
            return (409, known) if known else (201, self.put(kind, name, data["spec"]))
        if known is None:
            return 404, {}
        if expected and known["meta"]["revision"] != expected:
            return 409, known
        if method == "DELETE":
            self.delete(kind, name)
            return 200, {}
        return 200, self.put(kind, name, data["spec"])
