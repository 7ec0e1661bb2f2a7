"""The content of platform objects: services, presets, keepers, slots."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, unique
from types import MappingProxyType

from pydantic import TypeAdapter, ValidationError

from orioleplank._exceptions import MalformedObjectError


@unique
class ObjectKind(Enum):
    """Kinds of platform objects."""

    SERVICE = "service"
    PRESET = "preset"
    IN_FORCE = "in-force"
    KEEPERSHIP = "keepership"
    PRIMARY = "primary"
    ALLOTMENT = "allotment"


IN_FORCE_NAME = "preset"


@dataclass(frozen=True, slots=True)
class ObjectKey:
    """What names a platform object."""

    # Kind of the object.
    kind: ObjectKind
    # Name, unique within the kind.
    name: str

    def __str__(self) -> str:
        return f"{self.kind.value}/{self.name}"


@dataclass(frozen=True, slots=True)
class InstanceSpec:
    """One instance of a service."""

    # Name, unique within the service.
    name: str
    # HOST:PORT.
    address: str
    # Availability zone.
    zone: str
    # Statements it runs at once.
    slots: int = 5
    # Connections it accepts.
    connections: int = 30

    def __post_init__(self) -> None:
        if self.slots < 1 or self.connections < 1:
            raise ValueError("slots and connections are at least 1")


@dataclass(frozen=True, slots=True)
class KindSpec:
    """One kind of request of a service."""

    # Name, unique within the service.
    name: str
    # Worth of one answered request; heavier kinds are served first.
    weight: int = 1
    # Share of requests to be answered whole, between 0 and 1.
    objective: float = 0.999

    def __post_init__(self) -> None:
        if self.weight < 1:
            raise ValueError("a weight is at least 1")
        if not 0 < self.objective < 1:
            raise ValueError("an objective lies between 0 and 1")


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A replicated database that the system protects."""

    # Instances of the group.
    instances: tuple[InstanceSpec, ...]
    # Kinds of request it serves.
    kinds: tuple[KindSpec, ...]

    def __post_init__(self) -> None:
        if not self.instances or not self.kinds:
            raise ValueError("a service has instances and kinds")
        if len({spec.name for spec in self.instances}) != len(self.instances):
            raise ValueError("instance names are unique within a service")
        if len({spec.name for spec in self.kinds}) != len(self.kinds):
            raise ValueError("kind names are unique within a service")

    def kind(self, name: str) -> KindSpec | None:
        """Return the kind called `name`, or None."""
        return next((spec for spec in self.kinds if spec.name == name), None)

    def instance(self, name: str) -> InstanceSpec | None:
        """Return the instance called `name`, or None."""
        return next((spec for spec in self.instances if spec.name == name), None)


@dataclass(frozen=True, slots=True)
class PresetSpec:
    """A full set of limits for ordinary days, peaks or maintenance."""

    # Kinds that are refused while it is in force.
    refused_kinds: tuple[str, ...] = ()
    # Requests a proxy lets wait for each service.
    queue_limit: int = 400
    # Requests repeated per request served, as a share.
    retry_share: float = 0.2

    def __post_init__(self) -> None:
        if self.queue_limit < 1:
            raise ValueError("a queue limit is at least 1")
        if not 0 <= self.retry_share <= 1:
            raise ValueError("a retry share lies between 0 and 1")


@dataclass(frozen=True, slots=True)
class InForceSpec:
    """Which preset is in force."""

    # Name of the preset.
    preset: str


@dataclass(frozen=True, slots=True)
class TermRange:
    """Terms that one run of one proxy, and nobody else, may promote in."""

    # Name of the proxy.
    proxy: str
    # The run of the proxy.
    incarnation: str
    # First term.
    first: int
    # Last term, included.
    last: int


@dataclass(frozen=True, slots=True)
class KeepershipSpec:
    """Who may promote in a service."""

    # Ranges in ascending order; they never overlap.
    ranges: tuple[TermRange, ...] = ()

    @property
    def highest_reserved_term(self) -> int:
        """The last term reserved so far."""
        return max((entry.last for entry in self.ranges), default=0)


@dataclass(frozen=True, slots=True)
class PrimarySpec:
    """The last promotion of a service, for people and for fresh nodes."""

    # Name of the primary.
    instance: str
    # Its term.
    term: int


@dataclass(frozen=True, slots=True, order=True)
class Participant:
    """One run of one proxy that has a share."""

    # Name of the proxy.
    proxy: str
    # The run of it.
    incarnation: str


@dataclass(frozen=True, slots=True)
class SlotShare:
    """What one participant may use of one instance when the allotment comes into force."""

    # Who has it.
    participant: Participant
    # Name of the instance.
    instance: str
    # Statements it may run at once.
    slots: int
    # Connections it may hold.
    connections: int

    def __post_init__(self) -> None:
        if self.slots < 0 or self.connections < 0:
            raise ValueError("a share is not negative")


@dataclass(frozen=True, slots=True)
class AllotmentSpec:
    """Who may use how much of each instance of a service."""

    # Shares; those of one instance add up to its limits at the most.
    shares: tuple[SlotShare, ...] = ()
    # Who took part in the allotment before.
    before: tuple[Participant, ...] = ()

    @property
    def participants(self) -> frozenset[Participant]:
        """Who has a share."""
        return frozenset(share.participant for share in self.shares)

    def shares_of(self, incarnation: str) -> tuple[SlotShare, ...]:
        """Return the shares of one run."""
        return tuple(share for share in self.shares if share.participant.incarnation == incarnation)


Spec = ServiceSpec | PresetSpec | InForceSpec | KeepershipSpec | PrimarySpec | AllotmentSpec

_SPECS: Mapping[ObjectKind, TypeAdapter[Spec]] = MappingProxyType(
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
    """Who made a change, under which id, and when."""

    # Unique id of the change.
    id: str
    # Name of the person or proxy.
    author: str
    # Seconds since the epoch.
    at: float


@dataclass(frozen=True, slots=True)
class ObjectBody:
    """What is stored under a key."""

    # The change that wrote it.
    change: ChangeMetadata
    # The content as JSON.
    spec: object


_BODY = TypeAdapter(ObjectBody)


def parse_spec(kind: ObjectKind, content: object) -> Spec:
    """Make the typed content of an object; raise `MalformedObjectError` when it is not valid."""
    try:
        return _SPECS[kind].validate_python(content)
    except ValidationError as error:
        raise MalformedObjectError(kind.value, str(error)) from error


def dump_spec(spec: Spec) -> object:
    """Return `spec` as JSON values."""
    return TypeAdapter(type(spec)).dump_python(spec, mode="json")


def parse_body(text: str) -> ObjectBody:
    """Read a stored body; raise `MalformedObjectError` when it is not valid."""
    try:
        return _BODY.validate_json(text)
    except ValidationError as error:
        raise MalformedObjectError("object", str(error)) from error


def dump_body(change: ChangeMetadata, spec: Spec) -> str:
    """Return the stored form of a change and its content."""
    return _BODY.dump_json(ObjectBody(change, dump_spec(spec))).decode()
