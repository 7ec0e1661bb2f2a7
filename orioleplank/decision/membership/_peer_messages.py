"""Messages between proxies; each may be lost, duplicated or delayed.

In every message `sender` is the name of the proxy that sends it, and `number` correlates a response
with its request.
"""

from __future__ import annotations

from msgspec import Struct

from orioleplank.decision._position import Position
from orioleplank.decision.membership._view_source import ViewVersions


class ReleaseAsked(Struct, frozen=True):
    """Requests that a proxy releases its lease on the primary of a group."""

    sender: str
    service: str
    # Revision of the group record that replaces the primary; leases on lower ones are released.
    revision: int
    # True when running statements may finish first.
    planned: bool


class Released(Struct, frozen=True):
    """Confirms that a proxy has released all leases on record revisions below `revision`.

    It has no promotion in progress either that it requested under a lower revision.
    """

    sender: str
    incarnation: str
    service: str
    revision: int
    # Highest term of a primary that the sender has known; 0 if it knows none.
    term: int = 0


class ReachAsked(Struct, frozen=True):
    """Asks a proxy when it last received a response from an instance, and how its work ends."""

    sender: str
    number: int
    # Instance id.
    instance: str


class ReachTold(Struct, frozen=True):
    """When a proxy last received a response from an instance; responds to `ReachAsked`."""

    sender: str
    number: int
    # Seconds since the last response; infinite when there was none.
    age: float
    # Number of failures since the last response.
    failures: int
    # Seconds for which most of the work sent to the instance has failed; 0 while it does not.
    work_failing_for: float = 0.0
    # True if there was enough recent work to tell, and most of it succeeded.
    work_succeeds: bool = False


class Ping(Struct, frozen=True):
    """Probes whether a proxy is responsive."""

    sender: str
    # Name of the proxy to which the `Pong` is sent; for an indirect probe not the sender.
    asker: str
    # Version of the route table that the sender has; 0 when it is not stated.
    routes: int = 0


class PingAsked(Struct, frozen=True):
    """Requests an indirect probe: the receiver sends a `Ping` to another proxy.

    The receiver may reach that proxy although the sender does not.
    """

    sender: str
    # Name of the proxy to probe.
    target: str


class Pong(Struct, frozen=True):
    """Responds to a `Ping`: the sender is running."""

    sender: str
    incarnation: str


class ViewAsked(Struct, frozen=True):
    """Asks a proxy how recent its view of the store is."""

    sender: str
    number: int


class ViewTold(Struct, frozen=True):
    """How recent a proxy's view of the store is."""

    sender: str
    # 0 when sent without a request, because the view has changed.
    number: int
    # Seconds since the last listing of the records was requested; infinite before the first one.
    age: float
    versions: ViewVersions
    # Store revision up to which the sender knows the configuration; 0 if it does not know it.
    routes_revision: int = 0


class PositionsAsked(Struct, frozen=True):
    """Asks a proxy for the newest log positions that it knows of the primaries of `services`."""

    sender: str
    number: int
    services: tuple[str, ...]


class PrimaryPosition(Struct, frozen=True):
    """The newest log position that a proxy knows of one primary."""

    service: str
    # Revision of the group record that names the primary.
    revision: int
    # Seconds since the request to the primary.
    age: float
    position: Position


class PositionsTold(Struct, frozen=True):
    """The newest log positions that a proxy knows; responds to `PositionsAsked`."""

    sender: str
    number: int
    notes: tuple[PrimaryPosition, ...]


class PermitAsk(Struct, frozen=True, array_like=True):
    """How many permits a proxy asks for, for one account."""

    # Name of the account.
    account: str
    count: int


class PermitsAsked(Struct, frozen=True):
    """Asks a coordinator of accounts for permits to start operations."""

    sender: str
    number: int
    asks: tuple[PermitAsk, ...]


class PermitGrant(Struct, frozen=True, array_like=True):
    """How many permits a coordinator grants for one account."""

    # Name of the account.
    account: str
    count: int
    # Seconds until the sender may be granted more; 0 if it was granted all that it asked for.
    wait: float
    # False if the sender is no coordinator of the account by its own view, or may not grant now.
    is_coordinator: bool = True
    # False while the coordinator is new and grants nothing for that reason.
    is_ready: bool = True


class PermitsTold(Struct, frozen=True):
    """Permits that are granted or refused; responds to `PermitsAsked`."""

    sender: str
    number: int
    grants: tuple[PermitGrant, ...]


PeerMessage = (
    ReleaseAsked
    | Released
    | ReachAsked
    | ReachTold
    | Ping
    | PingAsked
    | Pong
    | ViewAsked
    | ViewTold
    | PositionsAsked
    | PositionsTold
    | PermitsAsked
    | PermitsTold
)
