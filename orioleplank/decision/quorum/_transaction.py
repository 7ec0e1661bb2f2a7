"""Life cycle of a transaction, which owns one connection from begin to end."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from typing import Protocol

from automat import TypeMachineBuilder

from orioleplank.decision.quorum._message import ConnectionId


@unique
class TransactionOutcome(Enum):
    """Outcome of a transaction whose connection was lost."""

    # Rolled back, because no commit was sent.
    ROLLED_BACK = "rolled-back"
    # A commit was sent, and may or may not have been applied.
    AMBIGUOUS = "ambiguous"


@dataclass(frozen=True, slots=True)
class TransactionKey:
    """Identifies a transaction of a caller."""

    # Number of the caller's stream on this proxy.
    caller: int
    # Name chosen by the caller.
    name: str


class Lifecycle(Protocol):
    """Inputs of the state machine of a transaction."""

    def open(self) -> None:
        """The upstream has begun the transaction."""

    def begin_commit(self) -> None:
        """The commit is being sent."""

    def retract_commit(self) -> None:
        """The instance had no slot for the commit, so the transaction is open again."""

    def lose_connection(self) -> TransactionOutcome:
        """The connection is lost; return the resulting outcome."""

    def accepts_steps(self) -> bool:
        """Return whether a statement may be sent in the transaction."""


@dataclass(slots=True)
class _Core:
    """The state machine has no data besides its state."""


def _build_lifecycle() -> TypeMachineBuilder[Lifecycle, _Core]:
    builder = TypeMachineBuilder(Lifecycle, _Core)
    opening = builder.state("opening")
    opened = builder.state("open")
    committing = builder.state("committing")
    ended = builder.state("ended")

    opening.upon(Lifecycle.open).to(opened).returns(None)
    opened.upon(Lifecycle.begin_commit).to(committing).returns(None)
    opening.upon(Lifecycle.lose_connection).to(ended).returns(TransactionOutcome.ROLLED_BACK)
    opened.upon(Lifecycle.lose_connection).to(ended).returns(TransactionOutcome.ROLLED_BACK)
    committing.upon(Lifecycle.lose_connection).to(ended).returns(TransactionOutcome.AMBIGUOUS)
    ended.upon(Lifecycle.lose_connection).loop().returns(TransactionOutcome.ROLLED_BACK)
    committing.upon(Lifecycle.retract_commit).to(opened).returns(None)
    opened.upon(Lifecycle.accepts_steps).loop().returns(True)
    for state in (opening, committing, ended):
        state.upon(Lifecycle.accepts_steps).loop().returns(False)
    return builder


_create_lifecycle = _build_lifecycle().build()


@dataclass(frozen=True, slots=True)
class Transaction:
    """A transaction in progress."""

    key: TransactionKey
    # The connection that the transaction owns.
    connection: ConnectionId
    # Term of the primary that runs the transaction.
    term: int
    lifecycle: Lifecycle
    # Time of the last statement, in seconds of the monotonic clock.
    last_used_at: float


def begin_transaction(
    key: TransactionKey, connection: ConnectionId, term: int, now: float
) -> Transaction:
    """Return a new transaction on `connection`, which the upstream has not begun yet."""
    return Transaction(key, connection, term, _create_lifecycle(_Core()), now)
