"""Interfaces between the gateway and its environment, implemented by `orioleplank.platform`."""

from __future__ import annotations

from collections.abc import Awaitable, Mapping
from typing import Generic, Protocol, TypeVar

from msgspec import Struct
from twisted.internet.defer import Deferred

from orioleplank._exceptions import OrioleplankError
from orioleplank.decision import Position
from orioleplank.decision.accounts import ClientAccount
from orioleplank.decision.failover import InstanceReport
from orioleplank.decision.instances import InstanceEntry, RouteTable
from orioleplank.decision.session import (
    ConnectionSetupStep,
    ExecutableStatement,
    Failure,
    Reply,
    Statement,
)
from orioleplank.gateway._cancellation import NO_CANCELLATION, Cancellation
from orioleplank.gateway._transfer import Transfer

T = TypeVar("T")


class StoreUnavailableError(OrioleplankError):
    """The store gave no usable response; a change that was sent may have been applied."""


class StoreConflictError(OrioleplankError):
    """The condition of a change did not hold, or the object to be created exists already."""


class WatchHistoryExpiredError(OrioleplankError):
    """The store no longer has the history after the revision from which a watch was to continue."""


class InstanceUnreachableError(OrioleplankError):
    """A connection to an instance could not be opened, or broke; sent statements may have run."""


class CallerLeftError(InstanceUnreachableError):
    """The caller left while a reply was outstanding; this shows nothing about the instance."""


class InstanceRefusedError(OrioleplankError):
    """An instance refused a connection when it was opened; no statement has run."""


class StoredRecord(Struct, frozen=True):
    """An object of the kind that the proxies own in the store, with its uninterpreted content.

    All revisions are built by `orioleplank.decision.build_revision`. The ones of all objects that
    are read in one era have this era, also those that were written before a restore of the store.
    """

    name: str
    # The store's revision of the latest change.
    revision: int
    content: Mapping[str, object]


class RemovedObject(Struct, frozen=True):
    """The removal of an object, as an item of `Changes`."""

    name: str


class Listing(Struct, Generic[T], frozen=True):
    """All objects of one kind at one revision of the store."""

    revision: int
    items: tuple[T, ...]
    transfer: Transfer = Transfer()


class Changes(Struct, Generic[T], frozen=True):
    """The result of a watch: the changes after the revision that was asked for."""

    # The revision from which the next watch continues.
    revision: int
    # New states of objects and removals, in order.
    items: tuple[T | RemovedObject, ...]
    transfer: Transfer = Transfer()


class ObjectCollection(Protocol[T]):
    """The objects of one kind in the store, for reading."""

    def list(self) -> Awaitable[Listing[T]]:
        """Read all objects with a linearizable read. Raises `StoreUnavailableError`."""

    def watch(self, revision: int, timeout: float) -> Awaitable[Changes[T]]:
        """Wait up to `timeout` seconds for changes after `revision`.

        Raises `StoreUnavailableError`, or `WatchHistoryExpiredError` when a new listing is needed.
        """


class RecordCollection(ObjectCollection[StoredRecord], Protocol):
    """The objects that the proxies own, for reading and conditional changes."""

    def create(self, name: str, content: Mapping[str, object]) -> Awaitable[int]:
        """Create an object; return its revision. Raises `StoreConflictError` if it exists."""

    def replace(self, name: str, content: Mapping[str, object], revision: int) -> Awaitable[int]:
        """Replace an object that is at `revision`; return its new revision.

        Raises `StoreConflictError` when it is at another revision or does not exist. A new revision
        of a later era shows that the store was restored: the object replaced may be another one.
        """

    def remove(self, name: str, revision: int) -> Awaitable[None]:
        """Remove an object that is at `revision`; no error if it does not exist."""


class Store(Protocol):
    """The platform's store, by kind of object."""

    # All versions of the configuration.
    routes: ObjectCollection[RouteTable]
    instances: ObjectCollection[InstanceEntry]
    # Group records and proxy records.
    records: RecordCollection


class RequestOptions(Struct, frozen=True):
    """How a request is treated on its way to an instance."""

    # Account of its caller.
    account: ClientAccount
    # Priority of its route; 0 is the highest.
    priority: int
    # Its timeout, in seconds.
    timeout: float
    # Ends the wait for a connection at a connection owner when the caller has left.
    cancellation: Cancellation = NO_CANCELLATION


class InstanceLink(Protocol):
    """One open connection to an instance; replies come in the order of the requests.

    The result of a request fails with `InstanceUnreachableError` when the connection breaks.
    """

    @property
    def has_replied_on_opening(self) -> bool:
        """True when opening the link required a response of the instance itself."""

    @property
    def account(self) -> str | None:
        """Name of the account under which it was opened; None if it serves all accounts."""

    def set_next_request_options(self, options: RequestOptions) -> None:
        """Set the options of the next request."""

    def prepare(self, step: ConnectionSetupStep) -> Deferred[Reply]:
        """Run a step that sets session values or prepares a statement name."""

    def begin(self, read_only: bool, min_position: Position | None) -> Deferred[Reply]:
        """Begin a transaction once the instance's log has reached `min_position`."""

    def run(
        self,
        request_id: str,
        statement: ExecutableStatement,
        prepared_name: str,
        min_position: Position | None,
    ) -> Deferred[Reply]:
        """Run a statement under the caller's request id once the log has reached `min_position`."""

    def commit(self, request_id: str) -> Deferred[Reply]:
        """Commit the transaction under the caller's request id."""

    def roll_back(self) -> Deferred[Reply]:
        """Roll back the transaction."""

    def fetch_report(self) -> Deferred[InstanceReport]:
        """Request the instance's state; fails with `InstanceRefusedError` when it is busy."""

    def step_down(self, term: int) -> Deferred[Reply]:
        """Demote a primary of a term below `term` to a replica."""

    def close(self) -> None:
        """Close the connection; unanswered requests fail."""


class TunnelRoute(Struct, frozen=True):
    """The first hop of a tunnel to an instance through another proxy."""

    # Where the other proxy accepts tunnels, HOST:PORT.
    address: str
    # Bytes that have to be sent first; they name the instance.
    prologue: bytes


class Dialer(Protocol):
    """Opens single connections to instances."""

    def dial(
        self, entry: InstanceEntry, tunnel_route: TunnelRoute | None, account: str
    ) -> Deferred[InstanceLink]:
        """Open a connection: direct if `tunnel_route` is None, otherwise through that tunnel.

        The instance is told the name of `account`; of this proxy if it is empty.
        Fails with `InstanceUnreachableError`, or with `InstanceRefusedError` when a different
        instance answers or the instance has no free connection.
        """


class PromotionService(Protocol):
    """The platform's service that promotes an instance to the primary of its group."""

    def request_promotion(self, service: str, instance: str, token: int) -> Awaitable[bool]:
        """Request a promotion under a fencing token; False when that instance cannot take over.

        Raises `StoreUnavailableError` when the outcome is unknown; the connection is then closed,
        so that the call cannot take effect later.
        """


class CallerLink(Protocol):
    """The proxy's interface to the connection of one caller."""

    def send_ready(self) -> None:
        """Notify the caller that the session is open."""

    def reply(self, reply: Reply) -> None:
        """Send the reply to the oldest unanswered request."""

    def refuse(self, failure: Failure) -> None:
        """Refuse the session with a failure, and close it."""

    def resume_reading(self) -> None:
        """Resume reading requests that was paused for back-pressure."""

    def close(self) -> None:
        """Close the session after all replies sent so far are delivered."""


class CallerSession(Protocol):
    """The caller connection's interface to the proxy's side of one session."""

    @property
    def should_pause_reading(self) -> bool:
        """True while too many requests are queued for more to be read."""

    @property
    def kept_bytes(self) -> int:
        """Bytes of the values and prepared statements that the session keeps."""

    def submit_request(self, request_id: str, statement: Statement) -> None:
        """Submit a statement under a request id; the reply is sent on the session's link."""

    def handle_disconnect(self) -> None:
        """End the session; an open transaction is rolled back."""


class SessionFactory(Protocol):
    """Opens sessions for callers."""

    def open(self, link: CallerLink, database: str, key: str) -> CallerSession | None:
        """Open a session to a database; None when it was refused on the link.

        `key` is what the caller identifies itself with.
        """
