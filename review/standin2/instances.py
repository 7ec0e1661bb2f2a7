"""Stand-ins for the instances of a service, and for the call that promotes one of them."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from typing import Any

from review.standin2.store import ENDS, Store

Position = tuple[int, int]
MAX_LINE_BYTES = 4 * 1024 * 1024
# Requests that wait for a slot of an instance before it answers BUSY.
QUEUE_LENGTH = 40
# Seconds for which a replaced primary goes on if nobody asks it to step down.
OLD_PRIMARY_S = 1.0


@dataclass(frozen=True)
class Commit:
    """One commit in a log."""

    position: Position
    writes: tuple[tuple[str, str, str], ...]


@dataclass
class Work:
    """A statement that an instance ran."""

    at: float
    instance: str
    request: str
    text: str
    values: dict[str, str]
    position: Position
    # Number of the connection's transaction; 0 outside of one.
    transaction: int


@dataclass(eq=False)
class Session:
    """The state that an instance keeps for a connection."""

    writer: asyncio.StreamWriter
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, str] = field(default_factory=dict)
    # " " outside a transaction, "W" in a plain one, "R" in a reading one.
    transaction: str = " "
    has_failed: bool = False
    writes: list[tuple[str, str, str]] = field(default_factory=list)
    values_at_begin: dict[str, str] = field(default_factory=dict)
    # Number of the transaction, different for each.
    number: int = 0

    @property
    def state(self) -> str:
        """The letter that READY states."""
        if self.transaction == " ":
            return "I"
        return "E" if self.has_failed else "T"

    def roll_back(self) -> None:
        """End the transaction without its writes and without the values set in it, as in SQL."""
        if self.transaction != " ":
            self.values = dict(self.values_at_begin)
        self.end()

    def end(self) -> None:
        """End the transaction."""
        self.transaction, self.has_failed = " ", False
        self.writes.clear()


class Instance:
    """One instance: its log, its slots and its connections."""

    def __init__(self, group: Group, name: str, address: tuple[str, int], role: str) -> None:
        self.group = group
        self.name = name
        self.address = address
        self.role = role
        self.term = 1
        self.log: list[Commit] = []
        # Commits that were received and not applied yet.
        self.received: list[Commit] = []
        self.born = int(time.time() * 1000)
        self.lag_s = group.lag_s
        self.work_s = group.work_s
        self.slots = asyncio.Semaphore(group.slots)
        self.waiting = 0
        self.running = 0
        self.sessions: set[Session] = set()
        self.state = "ready"
        # Commits that still fail: they run, and their transactions are rolled back.
        self.failing_commits = 0
        self.server: asyncio.Server | None = None

    @property
    def position(self) -> Position:
        """The position of the last applied commit."""
        return self.log[-1].position if self.log else (1, 0)

    @property
    def received_position(self) -> Position:
        """The position of the last received commit."""
        return self.received[-1].position if self.received else self.position

    def publish(self) -> None:
        """Write the entry of this instance into the store."""
        spec = {
            "service": self.group.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.group.zones[self.name],
            "version": "v1",
            "capacity": self.group.slots,
            "state": self.state,
            "warmupLeftMs": 0,
            "sequence": 1,
            "dbRole": self.role,
            "born": self.born,
        }
        self.group.store.put("servers", self.name, spec)

    async def start(self) -> None:
        """Listen and publish the entry."""
        self.server = await asyncio.start_server(
            self._serve, self.address[0], self.address[1], limit=MAX_LINE_BYTES, backlog=500
        )
        self.publish()

    @property
    def runs(self) -> bool:
        """True while the instance listens."""
        return self.server is not None

    async def crash(self) -> None:
        """Stop at once; the log stays."""
        if self.server is not None:
            self.server.close()
            self.server = None
        self.reset_connections()

    def reset_connections(self) -> int:
        """Reset all connections; return how many there were."""
        sessions = list(self.sessions)
        for session in sessions:
            session.writer.transport.abort()
        return len(sessions)

    # The wire.

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        session = Session(writer)
        self.sessions.add(session)
        try:
            if not await self._greet(reader, session):
                return
            while line := await reader.readuntil(b"\r\n"):
                word, _, rest = line[:-2].decode("latin-1").partition(" ")
                if word != "QUERY":
                    return
                request, _, text = rest.partition(" ")
                rows, signature, failure = await self._run(session, request, text)
                lines = [f"DATAROW {row}" for row in rows]
                lines.append(f"ERROR {failure}" if failure else f"COMPLETE {signature}")
                lines.append(f"READY {session.state} {_format(self.position)}")
                writer.write("".join(f"{each}\r\n" for each in lines).encode("latin-1"))
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, *ENDS):
            pass
        finally:
            session.roll_back()
            self.sessions.discard(session)
            writer.close()

    async def _greet(self, reader: asyncio.StreamReader, session: Session) -> bool:
        line = (await reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
        words = line.split(" ")
        failure = ""
        is_other = len(words) > 3 and words[3] != self.name
        if words[0] != "STARTUP" or words[1] != self.group.service or is_other:
            failure = f"WRONGNODE {self.name}"
        elif len(self.sessions) > self.group.max_connections:
            failure = f"CONNLIMIT {self.name}"
        else:
            await self._take_slot(self.group.handshake_s)
        answer = f"ERROR {failure}" if failure else f"READY I {_format(self.position)}"
        session.writer.write(f"{answer}\r\n".encode("latin-1"))
        await session.writer.drain()
        return not failure

    async def _take_slot(self, seconds: float) -> bool:
        """Hold a slot for a time; return False if too many wait for one."""
        if self.slots.locked() and self.waiting >= QUEUE_LENGTH:
            return False
        self.waiting += 1
        await self.slots.acquire()
        self.waiting -= 1
        self.running += 1
        try:
            await asyncio.sleep(seconds)
        finally:
            self.running -= 1
            self.slots.release()
        return True

    async def _run(
        self, session: Session, request: str, text: str
    ) -> tuple[list[str], str, str | None]:
        """Run a statement; return its rows, its signature and its error."""
        if text.startswith("AFTERLSN "):
            _, wanted, text = text.split(" ", 2)
            term, _, number = wanted.partition(".")
            if self.position < (int(term), int(number)):
                return [], "-", f"LAGGING {self.name}"
        verb, _, rest = text.partition(" ")
        if session.has_failed and verb not in ("ROLLBACK", "COMMIT"):
            return [], "-", "MALFORMED the transaction failed"
        match verb:
            case "SET":
                name, _, value = rest.partition(" ")
                session.values[name] = value
            case "PREPARE":
                name, _, shape = rest.partition(" ")
                session.prepared[name] = shape
            case "CLOSE":
                session.prepared.pop(rest, None)
            case "RESET":
                session.values.clear()
                session.prepared.clear()
            case "STATUS":
                return self._report()
            case "STEPDOWN":
                if self.role == "primary" and self.term < int(rest):
                    self.group.demote(self)
                return self._report()
            case "ROLLBACK":
                session.roll_back()
            case "BEGIN":
                if rest != "READ" and self.role != "primary":
                    return [], "-", f"READONLY {self.name}"
                if session.transaction != " ":
                    session.has_failed = True
                    return [], "-", "MALFORMED a transaction is open"
                session.transaction = "R" if rest == "READ" else "W"
                session.number = next(self.group.transaction_numbers)
                session.values_at_begin = dict(session.values)
            case _:
                return await self._run_work(session, request, verb, rest)
        return [], "-", None

    def _report(self) -> tuple[list[str], str, str | None]:
        received = _format(self.received_position)
        row = f"{self.role} {self.term} {received} 0 0 {self.running} {len(self.sessions)}"
        return [row], "-", None

    async def _run_work(
        self, session: Session, request: str, verb: str, rest: str
    ) -> tuple[list[str], str, str | None]:
        shape = ""
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in session.prepared:
                return [], "-", f"NOSTMT {name}"
            verb, _, shape = session.prepared[name].partition(" ")
        if verb not in ("READ", "WRITE", "COMMIT"):
            return [], "-", f"MALFORMED {verb[:20]}"
        is_lost = session.transaction == "W" and self.role != "primary"
        if is_lost and not (verb == "COMMIT" and not session.writes):
            session.has_failed = True
            return [], "-", f"READONLY {self.name}"
        if verb == "WRITE" and (self.role != "primary" or session.transaction == "R"):
            session.has_failed = session.transaction != " "
            return [], "-", f"READONLY {self.name}"
        if not await self._take_slot(self.work_s):
            return [], "-", f"BUSY {self.name}"
        if verb != "READ" and session.transaction != "R" and self.role != "primary":
            session.has_failed = session.transaction != " "
            return [], "-", f"READONLY {self.name}"
        number = session.number if session.transaction != " " else 0
        if verb == "COMMIT" and self.failing_commits > 0:
            self.failing_commits -= 1
            session.roll_back()
            return [], "-", f"EXECFAIL {self.name}"
        rows = self._apply(session, request, verb, rest)
        work = Work(
            time.monotonic(),
            self.name,
            request,
            f"{verb} {shape} {rest}".replace("  ", " ")[:80],
            {name: value[:20] for name, value in session.values.items()},
            self.position,
            number,
        )
        self.group.on_work(work)
        return rows, f"{self.name}.{request[:40]}", None

    def _apply(self, session: Session, request: str, verb: str, rest: str) -> list[str]:
        item, _, data = rest.partition(" ")
        if verb == "READ":
            own = [write for write in reversed(session.writes) if write[0] == item]
            return [own[0][1] if own else self.read_item(item)]
        if verb == "WRITE":
            session.writes.append((item, data, request))
            if session.transaction != " ":
                return []
        if session.writes:
            self.group.commit(self, tuple(session.writes))
        session.end()
        return []

    def read_item(self, item: str) -> str:
        """Return the last committed value of an item."""
        for commit in reversed(self.log):
            for name, data, _ in commit.writes:
                if name == item:
                    return data
        return "-"


class Group:
    """The instances of one service, their replication and their promotions."""

    def __init__(self, store: Store, service: str, **settings: Any) -> None:
        self.store = store
        self.service = service
        self.slots: int = settings.get("slots", 5)
        self.max_connections: int = settings.get("max_connections", 33)
        self.handshake_s: float = settings.get("handshake_s", 0.012)
        self.work_s: float = settings.get("work_s", 0.01)
        self.lag_s: float = settings.get("lag_s", 0.008)
        self.promote_s: float = settings.get("promote_s", 1.0)
        self.instances: dict[str, Instance] = {}
        self.zones: dict[str, str] = {}
        self.transaction_numbers = count(1)
        self.on_work: Callable[[Work], None] = lambda work: None
        self.on_commit: Callable[[Instance, Commit], None] = lambda instance, commit: None
        # Called with the old primary and the new one when a promotion takes effect.
        self.on_promoted: Callable[[Instance, Instance], None] = lambda old, new: None
        self._tasks: set[asyncio.Task[None]] = set()

    def add(self, name: str, address: tuple[str, int], zone: str, role: str) -> Instance:
        """Add an instance; `start` starts it."""
        self.zones[name] = zone
        self.instances[name] = Instance(self, name, address, role)
        return self.instances[name]

    @property
    def primary(self) -> Instance:
        """The primary of the highest term."""
        leading = [each for each in self.instances.values() if each.role == "primary"]
        return max(leading, key=lambda each: each.term)

    def commit(self, primary: Instance, writes: tuple[tuple[str, str, str], ...]) -> None:
        """Append a commit to the primary's log, and send it to the replicas."""
        commit = Commit((primary.term, primary.position[1] + 1), writes)
        primary.log.append(commit)
        self.on_commit(primary, commit)
        for replica in self.instances.values():
            if replica.role == "replica" and replica.term == primary.term and replica.runs:
                self._spawn(self._replicate(replica, primary.term, commit))

    async def _replicate(self, replica: Instance, term: int, commit: Commit) -> None:
        if replica.term != term or replica.role != "replica":
            return
        replica.received.append(commit)
        await asyncio.sleep(replica.lag_s)
        if commit in replica.received:
            replica.received.remove(commit)
            replica.log.append(commit)

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def demote(self, instance: Instance) -> None:
        """Make an instance a replica of the present primary."""
        if instance is self.primary or instance.role == "replica":
            return
        instance.role, instance.term = "replica", self.primary.term
        instance.log, instance.received = list(self.primary.log), []
        if instance.runs:
            instance.publish()

    def order(self, name: str) -> int:
        """Order a promotion; return the status code of the answer."""
        instance = self.instances.get(name)
        if instance is None or not instance.runs:
            return 409
        if instance is not self.primary:
            self._spawn(self._promote(instance))
        return 200

    async def _promote(self, instance: Instance) -> None:
        await asyncio.sleep(self.promote_s)
        if not instance.runs:
            return
        old = self.primary
        instance.log += instance.received
        instance.received = []
        instance.term = self.primary.term + 1
        instance.role = "primary"
        instance.publish()
        for other in self.instances.values():
            if other is not instance and other.role == "replica":
                other.term = instance.term
                other.log, other.received = list(instance.log), []
        self.on_promoted(old, instance)
        await asyncio.sleep(OLD_PRIMARY_S)
        self.demote(old)


def _format(position: Position) -> str:
    return f"{position[0]}.{position[1]}"
