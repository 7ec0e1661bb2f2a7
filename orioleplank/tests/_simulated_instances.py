"""A simulated group of instances on virtual time, with the platform's published behaviour."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from msgspec.structs import replace

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
    """One commit in the log of an instance."""

    position: Position
    # Values written, by item.
    writes: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class ExecutionRecord:
    """A statement or commit that an instance ran."""

    # Virtual time, in seconds.
    executed_at: float
    instance: str
    request: str
    # End of the log of the instance when it ran.
    position: Position
    # Session values that were set on the connection.
    values: dict[str, str]
    # The prepared statement that was executed by name; None for other statements.
    prepared_statement: PreparedStatement | None
    # Name of the account under which the connection was opened; empty for the proxy.
    account: str


@dataclass(slots=True)
class SimulatedInstance(Node):
    """One instance: its role, its log and the faults that are injected into it."""

    role: DbRole = DbRole.REPLICA
    term: int = 1
    log: list[CommitEntry] = field(default_factory=list)
    # Replication delay, in seconds.
    lag: float = 0.003
    # True while it receives no log entries.
    drops_entries: bool = False
    # True while the responses to writes and commits that it runs are lost.
    loses_answers: bool = False
    # True while it answers BUSY to all statements.
    is_full: bool = False
    # Seconds after which it tells readers to retry while it refuses all reads; 0 while it does not.
    refuses_reads_for: float = 0.0
    # True while every statement that it runs fails.
    is_failing: bool = False
    # True while it resets the connection on which a statement arrives.
    resets_work: bool = False
    # Factor of the time that each statement takes.
    slowness: float = 1.0
    directory_entry: InstanceEntry = field(init=False)

    @property
    def position(self) -> Position:
        """Return the position of the last log entry; zero for an empty log."""
        return self.log[-1].position if self.log else ZERO_POSITION

    def read_item(self, item: str) -> str:
        """Return the last committed value of an item; empty if it was never written."""
        for entry in reversed(self.log):
            for written_item, value in entry.writes:
                if written_item == item:
                    return value
        return ""


class SimulatedGroup:
    """The instances of one service: one primary and two replicas at the start."""

    def __init__(self, simulator: Simulator, publish: Callable[[InstanceEntry], None]) -> None:
        self.simulator = simulator
        self.executions: list[ExecutionRecord] = []
        # Virtual time at which each term began, in seconds.
        self.term_started_at: dict[int, float] = {1: 0.0}
        # Lease holder, fencing token and instance of each promotion request, in order.
        self.promotion_orders: list[tuple[str, int, str]] = []
        # Called with each statement that runs, its request id, the session values and the account
        # of its connection, and with each commit that writes.
        self.on_execute: Callable[[SimulatedInstance, str, dict[str, str], str], None] = (
            lambda *_: None
        )
        self.on_commit: Callable[[SimulatedInstance, dict[str, str]], None] = lambda *_: None
        # Called with each instance that takes the lead.
        self.on_promoted: Callable[[SimulatedInstance], None] = lambda _: None
        # Seconds from an accepted promotion request to its effect.
        self.promotion_delay_s = PROMOTION_DELAY_S
        # True while promotion requests get lost.
        self.loses_promotions = False
        # Replicas that receive a commit before it is acknowledged.
        self.sync_replicas = 0
        self._publish = publish
        self.members: dict[str, SimulatedInstance] = {}
        for number, letter in enumerate("abc"):
            member = SimulatedInstance(f"db-{letter}")
            role = DbRole.PRIMARY if number == 0 else DbRole.REPLICA
            member.role = role
            address = f"10.0.{number}.9:5432"
            member.directory_entry = InstanceEntry(
                member.name, SERVICE, address, f"zone-{letter}", InstanceState.READY, role, 5, 1
            )
            self.members[member.name] = member
            simulator.nodes[member.name] = member

    def primary(self) -> SimulatedInstance:
        """Return the primary of the highest term."""
        leading = [m for m in self.members.values() if m.role is DbRole.PRIMARY]
        return max(leading, key=lambda member: member.term)

    def publish(self, name: str, state: InstanceState | None = None) -> None:
        """Publish the directory entry of an instance with its role, and with `state` if given."""
        member = self.members[name]
        entry = replace(
            member.directory_entry, role=member.role, state=state or member.directory_entry.state
        )
        member.directory_entry = entry
        self._publish(entry)

    # Platform.

    def promote(self, name: str, term: int) -> None:
        """Make an instance the primary of a new term, with the log that it has received.

        The log of each other live replica is replaced by this log, cut to its previous length.
        """
        member = self.members[name]
        member.role, member.term = DbRole.PRIMARY, term
        self.term_started_at[term] = self.simulator.now
        self.on_promoted(member)
        for other in self.members.values():
            if other is not member and other.role is DbRole.REPLICA and other.alive:
                other.log = list(member.log[: len(other.log)])
                other.term = term
        if member.alive:
            self.publish(name)

    # Replication.

    def commit(self, primary: SimulatedInstance, writes: dict[str, str]) -> Position:
        """Append a commit to the primary's log, send it to all replicas, return its position.

        A replica of another term, or one that lacks an earlier entry, ignores it.
        """
        new_position = Position(primary.term, primary.position.index + 1)
        entry = CommitEntry(new_position, tuple(writes.items()))
        self.on_commit(primary, writes)
        primary.log.append(entry)
        for member in self.members.values():
            if member is not primary and member.role is DbRole.REPLICA:
                self._replicate(primary, member, entry)
        return new_position

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

    def is_confirmed(self, primary: SimulatedInstance, entry: CommitEntry) -> bool:
        """Return whether `sync_replicas` other instances have received a commit."""
        if not self.sync_replicas:
            return True
        holders = [m for m in self.members.values() if m is not primary and entry in m.log]
        return len(holders) >= self.sync_replicas

    def catch_up(self, name: str) -> None:
        """Copy the primary's whole log and term to an instance, which receives entries again."""
        primary = self.primary()
        member = self.members[name]
        member.log, member.term, member.drops_entries = list(primary.log), primary.term, False
