"""Stand-ins for the instances of one service: the line protocol, replication and promotions."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from typing import Any

# One way between two instances, in seconds.
NETWORK_S = 0.008
# After this time an old primary that reaches the new one becomes a replica, in seconds.
FOLLOW_S = 1.0
# An entry in the store lapses this long after its instance has crashed, in seconds.
EXPIRY_S = 3.6
LINE_LIMIT = 1 << 21


async def _ignore_order(holder: str) -> None:
    """Do nothing after an order."""


@dataclass(frozen=True)
class Entry:
    """One commit in a log."""

    term: int
    number: int
    request: str
    writes: tuple[tuple[str, str], ...]


@dataclass
class Instance:
    """One instance."""

    id: str
    zone: str
    host: str
    port: int = 0
    role: str = "replica"
    term: int = 1
    born: int = 1_790_000_000_000
    state: str = "ready"
    alive: bool = True
    # True while it receives no commits.
    deaf: bool = False
    # Seconds that each read, write or commit takes.
    work_s: float = 0.005
    slots: int = 5
    running: int = 0
    log: list[Entry] = field(default_factory=list)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    @property
    def position(self) -> tuple[int, int]:
        """The end of its log."""
        return (self.log[-1].term, self.log[-1].number) if self.log else (1, 0)

    @property
    def position_text(self) -> str:
        """The end of its log as on the wire."""
        return f"{self.position[0]}.{self.position[1]}"

    def read(self, item: str) -> str:
        """The value of an item."""
        for entry in reversed(self.log):
            for name, value in reversed(entry.writes):
                if name == item:
                    return value
        return "empty"


class Group:
    """One service: an instance leads, the others follow."""

    def __init__(
        self, service: str, instances: list[Instance], sync: int, log: Callable[[str], None]
    ) -> None:
        self.service = service
        self.instances = {item.id: item for item in instances}
        self.sync = sync
        self.promote_s = 0.3
        self.max_connections = 33
        self._log = log
        # Instance that leads after the latest promotion, and when the promotion took effect.
        self.leader = instances[0]
        instances[0].role = "primary"
        self.orders: list[tuple[str, int, str]] = []
        # Called with each instance that says something new of itself.
        self.on_change: Callable[[Instance], None] = lambda instance: None
        # Called with the holder when an order was accepted.
        self.on_order: Callable[[str], Awaitable[None]] = _ignore_order
        # Called with the instance when a promotion takes effect.
        self.on_promoted: Callable[[Instance], None] = lambda instance: None
        # Called with instance, request and position when a commit is in the log.
        self.on_commit: Callable[[Instance, Entry], None] = lambda instance, entry: None
        # Called with instance, request id and text when an instance runs a request.
        self.on_run: Callable[[Instance, str, str], None] = lambda instance, request, text: None
        # Pairs of instance ids that do not reach each other.
        self.cut_pairs: set[frozenset[str]] = set()
        self._servers: dict[str, asyncio.Server] = {}
        self._tasks: set[asyncio.Task[Any]] = set()

    def run(self, coroutine: Any) -> None:
        """Run a coroutine beside the others."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def reaches(self, one: Instance, other: Instance) -> bool:
        """Whether two instances reach each other."""
        return one.alive and other.alive and frozenset((one.id, other.id)) not in self.cut_pairs

    # Replication.

    async def commit(self, instance: Instance, request: str, writes: Any) -> Entry:
        """Append a commit at a primary, and return it once enough replicas have received it."""
        entry = Entry(instance.term, instance.position[1] + 1, request, tuple(writes))
        instance.log.append(entry)
        self._log(f"{instance.id} committed {request} at {entry.term}.{entry.number}")
        self.on_commit(instance, entry)
        received = asyncio.Event()
        for replica in self.instances.values():
            if replica is not instance:
                self.run(self._replicate(instance, replica, received))
        if self.sync:
            await received.wait()
        return entry

    async def _replicate(
        self, source: Instance, replica: Instance, received: asyncio.Event
    ) -> None:
        await asyncio.sleep(NETWORK_S)
        if replica.deaf or replica.role != "replica" or not self.reaches(source, replica):
            return
        if source.role != "primary" or source.term < replica.term:
            return
        self._copy_log(source, replica)
        await asyncio.sleep(NETWORK_S)
        received.set()

    def _copy_log(self, source: Instance, replica: Instance) -> None:
        """Bring a replica to the source's log; entries that the source lacks are rolled back."""
        replica.term = max(replica.term, source.term)
        if len(replica.log) > len(source.log) or replica.log != source.log[: len(replica.log)]:
            replica.log = []
        replica.log += source.log[len(replica.log) :]

    def catch_up(self, replica: Instance) -> None:
        """Let a replica that is not deaf any longer receive what it lacks."""
        replica.deaf = False
        if replica.role == "replica" and self.reaches(self.leader, replica):
            self._copy_log(self.leader, replica)

    # Promotions.

    def order(self, holder: str, token: int, target: str) -> int:
        """Take an order to promote an instance; return the HTTP code."""
        self.orders.append((holder, token, target))
        self._log(f"platform: {holder} orders {target} with token {token}")
        instance = self.instances.get(target)
        if instance is None or not instance.alive:
            return 409
        if instance is not self.leader:
            self.run(self._promote(instance))
        return 200

    async def _promote(self, instance: Instance) -> None:
        await asyncio.sleep(self.promote_s)
        if not instance.alive or instance is self.leader:
            return
        old = self.leader
        instance.term = max(item.term for item in self.instances.values()) + 1
        instance.role, instance.deaf = "primary", False
        self.leader = instance
        self._log(f"{instance.id} leads term {instance.term} from {instance.position_text}")
        self.on_promoted(instance)
        self.on_change(instance)
        for item in self.instances.values():
            if item is not instance and item is not old:
                self.catch_up(item)
        self.run(self._follow(old, instance.term))

    async def _follow(self, old: Instance, term: int) -> None:
        await asyncio.sleep(FOLLOW_S)
        while old.role == "primary" and self.leader is not old:
            if self.reaches(old, self.leader):
                self.step_down(old, term)
                return
            await asyncio.sleep(0.05)

    def step_down(self, instance: Instance, term: int) -> None:
        """Make a primary of a lower term a replica."""
        if instance.role == "primary" and instance.term < term:
            instance.role = "replica"
            self._log(f"{instance.id} steps down for term {term}")
            self.catch_up(instance)
            self.on_change(instance)

    # Crashes.

    def crash(self, instance: Instance) -> None:
        """Crash an instance: its connections are reset."""
        self._log(f"{instance.id} crashes at {instance.position_text}")
        instance.alive = False
        self.run(self._expire(instance))
        for writer in list(instance.writers):
            writer.transport.abort()

    async def _expire(self, instance: Instance) -> None:
        """Let the entry lapse after three heartbeat intervals of silence."""
        await asyncio.sleep(EXPIRY_S)
        if not instance.alive:
            self.on_change(instance)

    def restart(self, instance: Instance) -> None:
        """Start a crashed instance again, with its log; a replica if another one leads."""
        instance.alive = True
        instance.born += 1000
        if self.leader is not instance:
            instance.role = "replica"
            self.catch_up(instance)
        self._log(f"{instance.id} starts again as {instance.role} at {instance.position_text}")
        self.on_change(instance)

    async def restart_as_new(self, crashed: Instance) -> Instance:
        """Start a crashed instance again under a new id, with its log and at its address."""
        new = replace(crashed, id=f"i-{random.getrandbits(36):09x}", alive=True, running=0)
        new.born, new.writers, new.log = crashed.born + 1000, set(), list(crashed.log)
        del self.instances[crashed.id]
        self.instances[new.id] = new
        self._servers[crashed.id].close()
        if self.leader is crashed:
            self.leader = new
        else:
            new.role = "replica"
            self.catch_up(new)
        await self.listen(new)
        self._log(f"{crashed.id} starts again as {new.id}, a {new.role} at {new.position_text}")
        self.on_change(new)
        return new

    # The line protocol.

    async def listen(self, instance: Instance) -> None:
        """Serve an instance's connections, on a free port if it has none."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if not instance.alive:
                writer.transport.abort()
                return
            instance.writers.add(writer)
            try:
                await _Connection(self, instance, reader, writer).serve()
            except (ConnectionError, asyncio.IncompleteReadError, ValueError):
                pass
            finally:
                instance.writers.discard(writer)
                writer.close()

        server = await asyncio.start_server(
            serve, instance.host, instance.port, limit=LINE_LIMIT, reuse_address=True
        )
        self._servers[instance.id] = server
        instance.port = server.sockets[0].getsockname()[1]


class _Connection:
    """One connection to an instance."""

    def __init__(self, group: Group, instance: Instance, reader: Any, writer: Any) -> None:
        self._group, self._instance = group, instance
        self._reader, self._writer = reader, writer
        self._state = "I"
        self._plain = False
        self._writes: list[tuple[str, str]] = []
        self._prepared: dict[str, str] = {}

    async def serve(self) -> None:
        """Serve messages until the connection ends."""
        while line := await self._reader.readline():
            word, _, rest = line.decode("latin-1").rstrip("\r\n").partition(" ")
            if word == "STARTUP":
                if not await self._start(rest):
                    return
            elif word == "QUERY":
                request, _, text = rest.partition(" ")
                await self._answer(request, text)
            else:
                return

    async def _start(self, rest: str) -> bool:
        names = rest.split(" ")
        wrong = names[0] != self._group.service or names[2:] not in ([], [self._instance.id])
        full = len(self._instance.writers) > self._group.max_connections
        if wrong or full:
            self._send(f"ERROR {'WRONGNODE' if wrong else 'CONNLIMIT'} {self._instance.id}")
            return False
        await asyncio.sleep(0.012)
        self._send(f"READY I {self._instance.position_text}")
        return True

    def _send(self, *lines: str) -> None:
        if self._instance.alive:
            self._writer.write("".join(f"{line}\r\n" for line in lines).encode("latin-1"))

    def _end(self, *lines: str) -> None:
        self._send(*lines, f"READY {self._state} {self._instance.position_text}")

    def _fail(self, code: str, text: str = "") -> None:
        if self._state == "T":
            self._state = "E"
        self._end(f"ERROR {code} {text or self._instance.id}")

    async def _answer(self, request: str, text: str) -> None:
        verb, _, rest = text.partition(" ")
        if verb == "AFTERLSN":
            wanted, _, text = rest.partition(" ")
            term, _, number = wanted.partition(".")
            if self._instance.position < (int(term), int(number)):
                self._fail("LAGGING")
                return
            verb, _, rest = text.partition(" ")
        if verb in ("STATUS", "READ", "WRITE", "EXECUTE", "COMMIT"):
            if self._instance.running >= self._instance.slots:
                self._fail_busy()
                return
            self._instance.running += 1
            try:
                await self._run(request, verb, rest)
            finally:
                self._instance.running -= 1
        else:
            self._control(verb, rest)

    def _fail_busy(self) -> None:
        self._end(f"ERROR BUSY {self._instance.id}")

    def _control(self, verb: str, rest: str) -> None:
        if verb == "BEGIN":
            self._plain = rest != "READ"
            if self._plain and self._instance.role != "primary":
                self._fail("READONLY")
                return
            self._state, self._writes = "T", []
        elif verb == "ROLLBACK":
            self._state, self._writes = "I", []
        elif verb == "PREPARE":
            name, mode, _ = rest.split(" ", 2)
            self._prepared[name] = mode
        elif verb == "RESET":
            self._prepared = {}
        elif verb == "STEPDOWN":
            self._group.step_down(self._instance, int(rest))
        self._end("COMPLETE -")

    async def _run(self, request: str, verb: str, rest: str) -> None:
        instance = self._instance
        if verb == "STATUS":
            connections = len(instance.writers)
            row = f"{instance.role} {instance.term} {instance.position_text} 0 0"
            self._end(f"DATAROW {row} {instance.running - 1} {connections}", "COMPLETE -")
            return
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self._prepared:
                self._fail("NOSTMT")
                return
            verb = self._prepared[name]
        if self._state == "E":
            self._fail("MALFORMED")
            return
        writes = verb == "WRITE" or (verb == "COMMIT" and bool(self._writes))
        if instance.role != "primary" and (writes or (self._state == "T" and self._plain)):
            self._fail("READONLY")
            return
        self._group.on_run(instance, request, f"{verb} {rest}")
        await asyncio.sleep(instance.work_s)
        if not instance.alive:
            return
        signature = f"{instance.term}.{instance.id}.{request}"
        if verb == "READ":
            self._end(f"DATAROW {instance.read(rest)}", f"COMPLETE {signature}")
        elif verb == "WRITE" and self._state == "T":
            item, _, value = rest.partition(" ")
            self._writes.append((item, value))
            self._end(f"COMPLETE {signature}")
        elif verb == "WRITE":
            item, _, value = rest.partition(" ")
            await self._group.commit(instance, request, [(item, value)])
            self._end(f"COMPLETE {signature}")
        else:
            writes_to_commit, self._writes, self._state = self._writes, [], "I"
            if writes_to_commit:
                await self._group.commit(instance, request, writes_to_commit)
            self._end(f"COMPLETE {signature}")
