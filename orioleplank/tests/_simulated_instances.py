"""A stand-in of a group of instances on the fabric, by the platform's published behaviour."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from orioleplank.decision import ZERO_POSITION, Position
from orioleplank.decision.instances import DbRole, InstanceEntry, InstanceState
from orioleplank.decision.session import (
    PreparedStatement,
)
from orioleplank.tests._simulator import Node, Simulator

SERVICE = "books"
PROMOTION_DELAY_S = 0.3


@dataclass(frozen=True, slots=True)
class CommitEntry:
    """One commit."""

    position: Position
    # Values written, by item.
    writes: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class ExecutionRecord:
    """A statement or commit that an instance ran."""

    at: float
    instance: str
    request: str
    # Log of the instance when it ran.
    position: Position
    # Values of the connection.
    values: dict[str, str]
    # What an executed name stood for; None for other statements.
    shape: PreparedStatement | None


@dataclass(slots=True)
class SimulatedInstance(Node):
    """One instance."""

    role: DbRole = DbRole.REPLICA
    term: int = 1
    log: list[CommitEntry] = field(default_factory=list)
    # Seconds by which it receives and applies entries late.
    lag: float = 0.003
    # True while it receives nothing.
    drops_entries: bool = False
    # Answers of writes and commits that it runs are lost.
    loses_answers: bool = False
    # Answers BUSY to everything.
    is_full: bool = False
    # Fails what it runs.
    is_failing: bool = False
    directory_entry: InstanceEntry = field(init=False)

    @property
    def position(self) -> Position:
        """Return the last position of the log."""
        return self.log[-1].position if self.log else ZERO_POSITION

    def read_item(self, item: str) -> str:
        """Return the value of an item."""
        for entry in reversed(self.log):
            for written, value in entry.writes:
                if written == item:
                    return value
        return ""


class SimulatedGroup:
    """The instances of one service."""

    def __init__(self, fabric: Simulator, publish: Callable[[InstanceEntry], None]) -> None:
        self.simulator = fabric
        self.executions: list[ExecutionRecord] = []
        # When each term began, in seconds.
        self.term_started_at: dict[int, float] = {1: 0.0}
        # Fencing tokens and instances of all orders.
        self.promotion_orders: list[tuple[str, int, str]] = []
        # Called with each statement that runs, and each commit that writes.
        self.on_execute: Callable[[SimulatedInstance, str, dict[str, str]], None] = lambda *_: None
        self.on_commit: Callable[[SimulatedInstance, dict[str, str]], None] = lambda *_: None
        self._publish = publish
        self.members: dict[str, SimulatedInstance] = {}
        for number, letter in enumerate("abc"):
            member = SimulatedInstance(f"db-{letter}")
            role = DbRole.PRIMARY if number == 0 else DbRole.REPLICA
            member.role = role
            address = f"10.0.{number}.9:5432"
            member.directory_entry = InstanceEntry(
                member.name, SERVICE, address, f"zone-{letter}", InstanceState.READY, role, 5
            )
            self.members[member.name] = member
            fabric.nodes[member.name] = member

    def primary(self) -> SimulatedInstance:
        """Return the primary of the highest term."""
        leading = [m for m in self.members.values() if m.role is DbRole.PRIMARY]
        return max(leading, key=lambda member: member.term)

    def publish(self, name: str, state: InstanceState | None = None) -> None:
        """Write an instance's entry, with its role and perhaps another state."""
        member = self.members[name]
        entry = replace(
            member.directory_entry, role=member.role, state=state or member.directory_entry.state
        )
        member.directory_entry = entry
        self._publish(entry)

    # What the platform does.

    def promote(self, name: str, term: int) -> None:
        """Let an instance lead a new term with what it has received."""
        member = self.members[name]
        member.role, member.term = DbRole.PRIMARY, term
        self.term_started_at[term] = self.simulator.now
        for other in self.members.values():
            if other is not member and other.role is DbRole.REPLICA and other.alive:
                other.log = list(member.log[: len(other.log)])
                other.term = term
        if member.alive:
            self.publish(name)

    # What instances do.

    def commit(self, primary: SimulatedInstance, writes: dict[str, str]) -> Position:
        """Append a commit and send it to the replicas of its term."""
        at = Position(primary.term, primary.position.index + 1)
        entry = CommitEntry(at, tuple(writes.items()))
        self.on_commit(primary, writes)
        primary.log.append(entry)
        for member in self.members.values():
            if member is not primary and member.role is DbRole.REPLICA:
                self._replicate(primary, member, entry)
        return at

    def _replicate(
        self, primary: SimulatedInstance, member: SimulatedInstance, entry: CommitEntry
    ) -> None:
        def receive() -> None:
            expected = member.position.index + 1
            in_order = entry.position.index == expected and member.term == primary.term
            if member.role is DbRole.REPLICA and in_order and not member.drops_entries:
                member.log.append(entry)

        self.simulator.call_later(
            member.lag, lambda: self.simulator.deliver(primary.name, member.name, receive)
        )

    def catch_up(self, name: str) -> None:
        """Give a replica the primary's whole log."""
        primary = self.primary()
        member = self.members[name]
        member.log, member.term, member.drops_entries = list(primary.log), primary.term, False
