"""Content of the configuration objects that the platform stores."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, unique
from types import MappingProxyType

from pydantic import TypeAdapter, ValidationError

from orioleplank._exceptions import MalformedObjectError


@unique
class ObjectKind(Enum):
    """Kinds of configuration objects."""

    SERVICE = "service"
    PRESET = "preset"
    IN_FORCE = "in-force"
    KEEPERSHIP = "keepership"
    PRIMARY = "primary"
    ALLOTMENT = "allotment"


# Name of the only object of kind `IN_FORCE`.
IN_FORCE_NAME = "preset"


@dataclass(frozen=True, slots=True)
class ObjectKey:
    """Identifies a configuration object."""

    kind: ObjectKind
    # Unique within the kind.
    name: str

    def __str__(self) -> str:
        return f"{self.kind.value}/{self.name}"


@dataclass(frozen=True, slots=True)
class InstanceSpec:
    """One instance of a service."""

    # Unique within the service.
    name: str
    # HOST:PORT.
    address: str
    zone: str
    # Maximum number of statements that run concurrently.
    slots: int = 5
    # Maximum number of connections that the instance accepts.
    connections: int = 30

    def __post_init__(self) -> None:
        if self.slots < 1 or self.connections < 1:
            raise ValueError("slots and connections are at least 1")


@dataclass(frozen=True, slots=True)
class KindSpec:
    """One kind of request of a service."""

    # Unique within the service.
    name: str
    # Value of one answered request; kinds with a higher weight are served first.
    weight: int = 1
    # Target share of requests that are answered successfully, between 0 and 1.
    objective: float = 0.999

    def __post_init__(self) -> None:
        if self.weight < 1:
            raise ValueError("a weight is at least 1")
        if not 0 < self.objective < 1:
            raise ValueError("an objective lies between 0 and 1")


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A replicated database to which the proxies forward requests."""

    instances: tuple[InstanceSpec, ...]
    kinds: tuple[KindSpec, ...]

    def __post_init__(self) -> None:
        if not self.instances or not self.kinds:
            raise ValueError("a service has instances and kinds")
        if len({spec.name for spec in self.instances}) != len(self.instances):
            raise ValueError("instance names are unique within a service")
        if len({spec.name for spec in self.kinds}) != len(self.kinds):
            raise ValueError("kind names are unique within a service")

    def kind(self, name: str) -> KindSpec | None:
        """Return the kind with `name`, or None if the service has none."""
        return next((spec for spec in self.kinds if spec.name == name), None)

    def instance(self, name: str) -> InstanceSpec | None:
        """Return the instance with `name`, or None if the service has none."""
        return next((spec for spec in self.instances if spec.name == name), None)


@dataclass(frozen=True, slots=True)
class PresetSpec:
    """A set of limits for one mode of operation, such as normal load, peak load or maintenance."""

    # Kinds of request that are refused while the preset is in force.
    refused_kinds: tuple[str, ...] = ()
    # Maximum number of requests that one proxy queues for each service.
    queue_limit: int = 400
    # Maximum number of retries per request served, between 0 and 1.
    retry_share: float = 0.2

    def __post_init__(self) -> None:
        if self.queue_limit < 1:
            raise ValueError("a queue limit is at least 1")
        if not 0 <= self.retry_share <= 1:
            raise ValueError("a retry share lies between 0 and 1")


@dataclass(frozen=True, slots=True)
class InForceSpec:
    """The name of the preset that is in force."""

    preset: str


@dataclass(frozen=True, slots=True)
class TermRange:
    """Terms in which only one incarnation of one proxy may promote."""

    proxy: str
    incarnation: str
    first: int
    # Last term, inclusive.
    last: int


@dataclass(frozen=True, slots=True)
class KeepershipSpec:
    """The terms reserved for promotions in a service, by proxy."""

    # In ascending order; ranges never overlap.
    ranges: tuple[TermRange, ...] = ()

    @property
    def highest_reserved_term(self) -> int:
        """Highest term reserved so far; 0 for none."""
        return max((entry.last for entry in self.ranges), default=0)


@dataclass(frozen=True, slots=True)
class PrimarySpec:
    """The last promotion of a service, for operators and for proxies that have just started."""

    # Name of the primary.
    instance: str
    term: int


@dataclass(frozen=True, slots=True, order=True)
class Participant:
    """One incarnation of one proxy that holds a share of an allotment."""

    proxy: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class SlotShare:
    """Share of one participant in one instance when the allotment comes into force."""

    participant: Participant
    instance: str
    # Statements that the participant may run concurrently.
    slots: int
    # Connections that the participant may hold.
    connections: int

    def __post_init__(self) -> None:
        if self.slots < 0 or self.connections < 0:
            raise ValueError("a share is not negative")


@dataclass(frozen=True, slots=True)
class AllotmentSpec:
    """Division of the slots and connections of a service's instances among proxies."""

    # The shares of one instance never add up to more than its limits.
    shares: tuple[SlotShare, ...] = ()
    # Participants of the previous allotment.
    before: tuple[Participant, ...] = ()

    @property
    def participants(self) -> frozenset[Participant]:
        """Proxies that hold a share."""
        return frozenset(share.participant for share in self.shares)

    def shares_of(self, incarnation: str) -> tuple[SlotShare, ...]:
        """Return the shares of one incarnation of a proxy, one for each instance."""
        return tuple(share for share in self.shares if share.participant.incarnation == incarnation)


Spec = ServiceSpec | PresetSpec | InForceSpec | KeepershipSpec | PrimarySpec | AllotmentSpec

_SPEC_ADAPTERS: Mapping[ObjectKind, TypeAdapter[Spec]] = MappingProxyType(
    {
        ObjectKind.SERVICE: TypeAdapter(ServiceSpec),
        ObjectKind.PRESET: TypeAdapter(PresetSpec),
        ObjectKind.IN_FORCE: TypeAdapter(InForceSpec),
        ObjectKind.KEEPERSHIP: TypeAdapter(KeepershipSpec),
        ObjectKind.PRIMARY: TypeAdapter(PrimarySpec),
        ObjectKind.ALLOTMENT: TypeAdapter(AllotmentSpec),
    }
)


@dataclass(frozen=True, slots=True)
class ChangeMetadata:
    """Author, id and time of a change."""

    # Unique among all changes.
    id: str
    # Name of the person or proxy that made the change.
    author: str
    # Time of the change, in seconds since the Unix epoch.
    at: float


@dataclass(frozen=True, slots=True)
class ObjectBody:
    """Stored form of an object."""

    # Change that wrote the object.
    change: ChangeMetadata
    # Content as JSON values.
    spec: object


_BODY_ADAPTER = TypeAdapter(ObjectBody)


def parse_spec(kind: ObjectKind, content: object) -> Spec:
    """Return the typed content of an object of `kind`, given as JSON values.

    Raises `MalformedObjectError` if the content is invalid.
    """
    try:
        return _SPEC_ADAPTERS[kind].validate_python(content)
    except ValidationError as error:
        raise MalformedObjectError(kind.value, str(error)) from error


def dump_spec(spec: Spec) -> object:
    """Return the content of an object as JSON values, the inverse of `parse_spec`."""
    return TypeAdapter(type(spec)).dump_python(spec, mode="json")


def parse_body(text: str) -> ObjectBody:
    """Parse the stored JSON of an object; its content is not validated.

    Raises `MalformedObjectError` if the JSON is invalid or lacks the change.
    """
    try:
        return _BODY_ADAPTER.validate_json(text)
    except ValidationError as error:
        raise MalformedObjectError("object", str(error)) from error


def dump_body(change: ChangeMetadata, spec: Spec) -> str:
    """Return the JSON to store for a change and its content."""
    return _BODY_ADAPTER.dump_json(ObjectBody(change, dump_spec(spec))).decode()
