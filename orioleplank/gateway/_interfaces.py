"""What the gateway needs from outside, as interfaces; `orioleplank.platform` implements them."""

from __future__ import annotations

from collections.abc import Awaitable, Mapping
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from twisted.internet.defer import Deferred

from orioleplank._exceptions import OrioleplankError
from orioleplank.decision import Position
from orioleplank.decision.failover import InstanceReport
from orioleplank.decision.instances import InstanceEntry, RouteTable
from orioleplank.decision.session import (
    ConnectionSetupStep,
    ExecutableStatement,
    Failure,
    Reply,
    Statement,
)

T = TypeVar("T")


class StoreUnavailableError(OrioleplankError):
    """The store gave no usable answer; a change that was sent may have been made."""


class StoreConflictError(OrioleplankError):
    """A conditional change lost against another one, or the object exists already."""


class WatchHistoryExpiredError(OrioleplankError):
    """The store no longer has the history from which a watch was to go on."""


class InstanceUnreachableError(OrioleplankError):
    """A connection to an instance could not be opened, or broke; what was sent may have run."""


class InstanceRefusedError(OrioleplankError):
    """An instance refused a connection at its start; nothing ran."""


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """An object of the product's own kind."""

    # Its name.
    name: str
    # The store's revision of its last change.
    revision: int
    # Its content.
    content: Mapping[str, object]


@dataclass(frozen=True, slots=True)
class RemovedObject:
    """An object that was removed."""

    # Its name.
    name: str


@dataclass(frozen=True, slots=True)
class Listing(Generic[T]):
    """All objects of one kind."""

    # The store's revision of the listing.
    revision: int
    # The objects.
    items: tuple[T, ...]


@dataclass(frozen=True, slots=True)
class Changes(Generic[T]):
    """What changed since a revision."""

    # The revision from which to go on.
    revision: int
    # Objects as they became, or their removals, in order.
    items: tuple[T | RemovedObject, ...]


class ObjectCollection(Protocol[T]):
    """One kind of objects in the store."""

    def list(self) -> Awaitable[Listing[T]]:
        """Read all objects, linearizably; raise `StoreUnavailableError`."""

    def watch(self, revision: int, wait: float) -> Awaitable[Changes[T]]:
        """Wait up to `wait` seconds for changes after `revision`.

        Raise `StoreUnavailableError`, or `WatchHistoryExpiredError` when a new listing is needed.
        """


class RecordCollection(ObjectCollection[StoredRecord], Protocol):
    """The product's own objects, which it may change."""

    def create(self, name: str, content: Mapping[str, object]) -> Awaitable[int]:
        """Create an object; return its revision. Raise `StoreConflictError` if it exists."""

    def replace(self, name: str, content: Mapping[str, object], revision: int) -> Awaitable[int]:
        """Replace an object that is at `revision`; return the new one.

        Raise `StoreConflictError` when it is at another revision or does not exist.
        """

    def remove(self, name: str, revision: int) -> Awaitable[None]:
        """Remove an object that is at `revision`; one that is gone already is no error."""


class Store(Protocol):
    """The platform's store."""

    # The configuration, in all its versions.
    routes: ObjectCollection[RouteTable]
    # The instances.
    instances: ObjectCollection[InstanceEntry]
    # The product's own objects.
    records: RecordCollection


class InstanceLink(Protocol):
    """One open connection to an instance; replies come in the order of the questions.

    A question's result fails with `InstanceUnreachableError` when the connection breaks.
    """

    @property
    def is_direct(self) -> bool:
        """True when its opening has shown that the instance lives."""

    def set_next_request_options(self, priority: int, seconds: float) -> None:
        """Tell how important the next question is, and how long its answer is waited for."""

    def prepare(self, step: ConnectionSetupStep) -> Deferred[Reply]:
        """Change values or prepared names."""

    def begin(self, read_only: bool, min_position: Position | None) -> Deferred[Reply]:
        """Begin a transaction, on a log that has reached `min_position`."""

    def run(
        self,
        request_id: str,
        statement: ExecutableStatement,
        prepared_name: str,
        min_position: Position | None,
    ) -> Deferred[Reply]:
        """Run a statement under the caller's id, on a log that has reached `min_position`."""

    def commit(self, request_id: str) -> Deferred[Reply]:
        """Commit under the caller's id."""

    def roll_back(self) -> Deferred[Reply]:
        """Roll back."""

    def fetch_report(self) -> Deferred[InstanceReport]:
        """Ask the instance for its state; fails with `InstanceRefusedError` when it is busy."""

    def step_down(self, term: int) -> Deferred[Reply]:
        """Make a primary of a lower term a replica."""

    def close(self) -> None:
        """End the connection; what is unanswered fails."""


@dataclass(frozen=True, slots=True)
class TunnelRoute:
    """A way to an instance through another proxy that reaches it."""

    # Where the other proxy takes tunnels, HOST:PORT.
    address: str
    # What it has to be sent first.
    prologue: bytes


class Dialer(Protocol):
    """Opens connections to instances."""

    def dial(
        self, entry: InstanceEntry, tunnel_route: TunnelRoute | None
    ) -> Deferred[InstanceLink]:
        """Open a connection, directly or through another proxy.

        Fails with `InstanceUnreachableError`, or with `InstanceRefusedError` when the instance is
        another one or has no connection left.
        """


class PromotionService(Protocol):
    """The platform's call that names a group's next primary."""

    def request_promotion(self, service: str, instance: str, token: int) -> Awaitable[bool]:
        """Order a promotion under a fencing token; False when that instance cannot take over.

        Raise `StoreUnavailableError` when the outcome is not known; the connection is cut then, so
        that the call cannot take effect later.
        """


class CallerLink(Protocol):
    """The way back to one caller."""

    def send_ready(self) -> None:
        """Tell that the session is open."""

    def reply(self, reply: Reply) -> None:
        """Answer the oldest request that is not answered."""

    def refuse(self, failure: Failure) -> None:
        """Refuse the session and end it."""

    def resume_reading(self) -> None:
        """Read requests again after the session was behind."""

    def close(self) -> None:
        """End the session once what was sent is delivered."""


class CallerSession(Protocol):
    """The gateway's side of one session."""

    @property
    def should_pause_reading(self) -> bool:
        """True while so many requests wait that no more should be read."""

    def submit_request(self, request: str, statement: Statement) -> None:
        """Take a request; it is answered on the session's link."""

    def handle_disconnect(self) -> None:
        """Forget the session; what it has not committed is rolled back."""


class SessionFactory(Protocol):
    """Takes new sessions."""

    def open(self, link: CallerLink, database: str) -> CallerSession | None:
        """Open a session; None when it was refused."""
