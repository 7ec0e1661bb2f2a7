"""A stand-in for the platform's object store over HTTP, as the protocol page describes it."""

from __future__ import annotations

import asyncio
import copy
import json
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = "/orioleplank/objects/"
# How a connection of a stand-in may end.
ENDS = (ConnectionError, asyncio.CancelledError)
PAGE_ITEMS = 500
# Seconds that the copies go back from which the store can be restored.
KEPT_COPIES_S = 60.0


class Store:
    """The objects by kind and name, with one revision counter, watches and restores."""

    def __init__(self) -> None:
        self.revision = 10
        self.era = 0
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        # Revision, kind, object and whether it was deleted, of each change of the era.
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.copies: list[tuple[float, int, dict[str, dict[str, dict[str, Any]]]]] = []
        self.oldest = 0
        self.is_down = False
        # Hosts of callers that get no answer.
        self.cut_off: set[str] = set()
        # Kinds of which writes are done and not answered, and how many more.
        self.lose_answers = 0
        # Called with caller, method, path and body of each call that is done.
        self.on_call: Callable[[str, str, str, Any], None] = lambda *_: None
        self._changed = asyncio.Event()

    # Objects.

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object without a condition, as the operator and the instances do."""
        known = self.objects.setdefault(kind, {}).get(name)
        if known is not None and known["spec"] == spec:
            return known
        self._keep_copy()
        self.revision += 1
        created = known["meta"]["created"] if known else self.revision
        meta = {
            "name": name,
            "revision": self.revision,
            "created": created,
            "finalizers": [],
            "deleting": False,
        }
        found = {"meta": meta, "spec": copy.deepcopy(spec), "status": None}
        self.objects[kind][name] = found
        self._record(kind, found, False)
        return found

    def delete(self, kind: str, name: str) -> None:
        """Remove an object, if there is one."""
        found = self.objects.get(kind, {}).get(name)
        if found is None:
            return
        self._keep_copy()
        del self.objects[kind][name]
        self.revision += 1
        self._record(kind, found, True)

    def restore(self, seconds: float) -> None:
        """Come back from the copy that is `seconds` old; a later era begins."""
        limit = time.monotonic() - seconds
        self._keep_copy()
        older = [kept for kept in self.copies if kept[0] <= limit] or self.copies[:1]
        following = self.copies[len(older)] if len(older) < len(self.copies) else None
        _, self.revision, objects = following or older[-1]
        self.objects = copy.deepcopy(objects)
        self.era += 1
        self.history, self.oldest = [], self.revision
        self._wake()

    def _keep_copy(self) -> None:
        """Keep the state from before a change."""
        now = time.monotonic()
        self.copies.append((now, self.revision, copy.deepcopy(self.objects)))
        while self.copies[0][0] < now - KEPT_COPIES_S:
            self.copies.pop(0)

    def _record(self, kind: str, found: dict[str, Any], deleted: bool) -> None:
        self.history.append((self.revision, kind, copy.deepcopy(found), deleted))
        self._wake()

    def _wake(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    # HTTP.

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        caller = writer.get_extra_info("peername")[0]
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = {
                    name.strip().lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in lines[1:] if line)
                }
                data = await reader.readexactly(int(headers.get("content-length", "0")))
                if caller in self.cut_off or self.is_down:
                    await asyncio.sleep(30)
                    break
                code, body = await self._answer(caller, method, target, data)
                if method != "GET" and self.lose_answers > 0:
                    self.lose_answers -= 1
                    await asyncio.sleep(30)
                    break
                content = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {code} -\r\nContent-Type: application/json\r\n"
                    f"Store-Era: {self.era}\r\nContent-Length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ValueError, *ENDS):
            pass
        finally:
            writer.close()

    async def _answer(
        self, caller: str, method: str, target: str, data: bytes
    ) -> tuple[int, dict[str, Any]]:
        await asyncio.sleep(0.004)
        parts = urlsplit(target)
        query = {name: values[-1] for name, values in parse_qs(parts.query).items()}
        if not parts.path.startswith(ROOT):
            return 404, {}
        kind, _, name = unquote(parts.path.removeprefix(ROOT)).partition("/")
        body = json.loads(data) if data else {}
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query.get("waitMs", "0")))
        self.on_call(caller, method, parts.path, body)
        if method == "GET":
            return self._read(kind, name, query)
        return self._write(method, kind, name, query, body)

    def _read(self, kind: str, name: str, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        known = self.objects.get(kind, {})
        if name:
            return (200, known[name]) if name in known else (404, {})
        names = sorted(known)
        if "after" in query:
            names = [each for each in names if each > query["after"]]
        items = [known[each] for each in names[:PAGE_ITEMS]]
        return 200, {"items": items, "hasMore": len(names) > PAGE_ITEMS, "at": self.revision}

    async def _watch(self, kind: str, revision: int, wait_ms: int) -> tuple[int, dict[str, Any]]:
        deadline, era = time.monotonic() + wait_ms / 1000, self.era
        while True:
            if self.era != era or not self.oldest <= revision <= self.revision:
                return 410, {}
            events = [
                {"deleted": deleted, "object": found}
                for changed_at, changed, found, deleted in self.history
                if changed_at > revision and changed == kind
            ]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                pass

    def _write(
        self, method: str, kind: str, name: str, query: dict[str, str], body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        meta = body.get("meta") or {}
        name = name or str(meta.get("name", ""))
        known = self.objects.get(kind, {}).get(name)
        if method == "POST":
            if known is not None:
                return 409, known
            return 201, self.put(kind, name, body.get("spec"))
        if known is None:
            return 404, {}
        expected = int(query.get("revision") or meta.get("revision") or 0)
        if expected and expected != known["meta"]["revision"]:
            return 409, known
        if method == "DELETE":
            self.delete(kind, name)
            return 200, known
        return 200, self.put(kind, name, body.get("spec"))
