"""A stand-in of a group of instances on the fabric, by the platform's published behaviour."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from orioleplank.decision import ORIGIN, Position
from orioleplank.decision.instances import DbRole, InstanceEntry, InstanceState
from orioleplank.decision.session import (
    Shape,
)
from orioleplank.tests._fabric import Fabric, Node

SERVICE = "books"
PROMOTE_S = 0.3


@dataclass(frozen=True, slots=True)
class Entry:
    """One commit."""

    position: Position
    # Values written, by item.
    writes: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class Ran:
    """A statement or commit that an instance ran."""

    at: float
    instance: str
    request: str
    # Log of the instance when it ran.
    position: Position
    # Values of the connection.
    values: dict[str, str]
    # What an executed name stood for; None for other statements.
    shape: Shape | None


@dataclass(slots=True)
class SiteInstance(Node):
    """One instance."""

    role: DbRole = DbRole.REPLICA
    term: int = 1
    log: list[Entry] = field(default_factory=list)
    # Seconds by which it receives and applies entries late.
    lag: float = 0.003
    # True while it receives nothing.
    is_deaf: bool = False
    # Answers of writes and commits that it runs are lost.
    loses_answers: bool = False
    # Answers BUSY to everything.
    is_full: bool = False
    # Fails what it runs.
    is_failing: bool = False
    entry: InstanceEntry = field(init=False)

    @property
    def position(self) -> Position:
        """Return the last position of the log."""
        return self.log[-1].position if self.log else ORIGIN

    def value(self, item: str) -> str:
        """Return the value of an item."""
        for entry in reversed(self.log):
            for written, value in entry.writes:
                if written == item:
                    return value
        return ""


class SiteGroup:
    """The instances of one service."""

    def __init__(self, fabric: Fabric, publish: Callable[[InstanceEntry], None]) -> None:
        self.fabric = fabric
        self.ran: list[Ran] = []
        # When each term began, in seconds.
        self.began: dict[int, float] = {1: 0.0}
        # Fencing tokens and instances of all orders.
        self.orders: list[tuple[str, int, str]] = []
        # Called with each statement that runs, and each commit that writes.
        self.on_run: Callable[[SiteInstance, str, dict[str, str]], None] = lambda *_: None
        self.on_commit: Callable[[SiteInstance, dict[str, str]], None] = lambda *_: None
        self._publish = publish
        self.members: dict[str, SiteInstance] = {}
        for number, letter in enumerate("abc"):
            member = SiteInstance(f"db-{letter}")
            role = DbRole.PRIMARY if number == 0 else DbRole.REPLICA
            member.role = role
            address = f"10.0.{number}.9:5432"
            member.entry = InstanceEntry(
                member.name, SERVICE, address, f"zone-{letter}", InstanceState.READY, role, 5
            )
            self.members[member.name] = member
            fabric.nodes[member.name] = member

    def primary(self) -> SiteInstance:
        """Return the primary of the highest term."""
        leading = [m for m in self.members.values() if m.role is DbRole.PRIMARY]
        return max(leading, key=lambda member: member.term)

    def publish(self, name: str, state: InstanceState | None = None) -> None:
        """Write an instance's entry, with its role and perhaps another state."""
        member = self.members[name]
        entry = replace(member.entry, role=member.role, state=state or member.entry.state)
        member.entry = entry
        self._publish(entry)

    # What the platform does.

    def promote(self, name: str, term: int) -> None:
        """Let an instance lead a new term with what it has received."""
        member = self.members[name]
        member.role, member.term = DbRole.PRIMARY, term
        self.began[term] = self.fabric.now
        for other in self.members.values():
            if other is not member and other.role is DbRole.REPLICA and other.alive:
                other.log = list(member.log[: len(other.log)])
                other.term = term
        if member.alive:
            self.publish(name)

    # What instances do.

    def commit(self, primary: SiteInstance, writes: dict[str, str]) -> Position:
        """Append a commit and send it to the replicas of its term."""
        at = Position(primary.term, primary.position.index + 1)
        entry = Entry(at, tuple(writes.items()))
        self.on_commit(primary, writes)
        primary.log.append(entry)
        for member in self.members.values():
            if member is not primary and member.role is DbRole.REPLICA:
                self._replicate(primary, member, entry)
        return at

    def _replicate(self, primary: SiteInstance, member: SiteInstance, entry: Entry) -> None:
        def receive() -> None:
            expected = member.position.index + 1
            in_order = entry.position.index == expected and member.term == primary.term
            if member.role is DbRole.REPLICA and in_order and not member.is_deaf:
                member.log.append(entry)

        self.fabric.after(
            member.lag, lambda: self.fabric.deliver(primary.name, member.name, receive)
        )

    def catch_up(self, name: str) -> None:
        """Give a replica the primary's whole log."""
        primary = self.primary()
        member = self.members[name]
        member.log, member.term, member.is_deaf = list(primary.log), primary.term, False
