"""The life of a transaction: it owns one connection from begin to end."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from typing import Protocol

from automat import TypeMachineBuilder

from orioleplank.decision.quorum._message import ConnectionId


@unique
class TransactionOutcome(Enum):
    """What the loss of its connection means for a transaction."""

    # It was rolled back: no commit was sent.
    ROLLED_BACK = "rolled-back"
    # It may have been committed.
    AMBIGUOUS = "ambiguous"


@dataclass(frozen=True, slots=True)
class TransactionKey:
    """Names a transaction of a caller."""

    # Number of the caller's stream.
    caller: int
    # The caller's name for it.
    name: str


class Lifecycle(Protocol):
    """Inputs of a transaction's life."""

    def open(self) -> None:
        """The upstream began it."""

    def begin_commit(self) -> None:
        """Its commit is sent."""

    def retract_commit(self) -> None:
        """The instance had no slot for its commit."""

    def lose_connection(self) -> TransactionOutcome:
        """Its connection is lost."""

    def accepts_steps(self) -> bool:
        """Tell whether a statement may be sent in it."""


@dataclass(slots=True)
class _Core:
    """Nothing besides the state is kept."""


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

    # What names it.
    key: TransactionKey
    # The connection it owns.
    connection: ConnectionId
    # Term of the primary it runs at.
    term: int
    # Its life.
    lifecycle: Lifecycle
    # When its last statement was sent, in seconds of the proxy's clock.
    used_at: float


def begin_transaction(
    key: TransactionKey, connection: ConnectionId, term: int, now: float
) -> Transaction:
    """Return a transaction that is opening on `connection`."""
    return Transaction(key, connection, term, _create_lifecycle(_Core()), now)
