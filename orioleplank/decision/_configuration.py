"""Configuration objects, and how a node takes them in: versions only move up."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum, unique
from types import MappingProxyType

from pydantic import TypeAdapter, ValidationError

from orioleplank._exceptions import MalformedObjectError


@unique
class Kind(Enum):
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
    kind: Kind
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
class KeeperRange:
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
    ranges: tuple[KeeperRange, ...] = ()

    @property
    def highest(self) -> int:
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

    def of(self, incarnation: str) -> tuple[SlotShare, ...]:
        """Return the shares of one run."""
        return tuple(share for share in self.shares if share.participant.incarnation == incarnation)


Spec = ServiceSpec | PresetSpec | InForceSpec | KeepershipSpec | PrimarySpec | AllotmentSpec

_SPECS: Mapping[Kind, TypeAdapter[Spec]] = MappingProxyType(
    {
        Kind.SERVICE: TypeAdapter(ServiceSpec),
        Kind.PRESET: TypeAdapter(PresetSpec),
        Kind.IN_FORCE: TypeAdapter(InForceSpec),
        Kind.KEEPERSHIP: TypeAdapter(KeepershipSpec),
        Kind.PRIMARY: TypeAdapter(PrimarySpec),
        Kind.ALLOTMENT: TypeAdapter(AllotmentSpec),
    }
)


@dataclass(frozen=True, slots=True)
class Change:
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
    change: Change
    # The content as JSON.
    spec: object


_BODY = TypeAdapter(ObjectBody)


def parse_spec(kind: Kind, content: object) -> Spec:
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


def dump_body(change: Change, spec: Spec) -> str:
    """Return the stored form of a change and its content."""
    return _BODY.dump_json(ObjectBody(change, dump_spec(spec))).decode()


@dataclass(frozen=True, slots=True)
class StoredObject:
    """A platform object at one version."""

    # What names it.
    key: ObjectKey
    # Platform revision that wrote it.
    version: int
    # Its stored form; empty when it was deleted.
    body: str


@dataclass(frozen=True, slots=True)
class Accepted:
    """A parsed object in a node's configuration."""

    # The object as stored.
    stored: StoredObject
    # The change that wrote it; None when it was deleted.
    change: Change | None
    # The typed content; None when it was deleted or is not valid.
    spec: Spec | None


@dataclass(frozen=True, slots=True)
class Configuration:
    """What a node knows of the platform's objects."""

    # Revision up to which it is complete; 0 before it has learned anything.
    revision: int = 0
    # Objects by key.
    objects: Mapping[ObjectKey, Accepted] = field(default_factory=dict)

    def spec(self, key: ObjectKey) -> Spec | None:
        """Return the content under `key`, or None."""
        accepted = self.objects.get(key)
        return accepted.spec if accepted else None

    def service(self, name: str) -> ServiceSpec | None:
        """Return the service called `name`, or None."""
        spec = self.spec(ObjectKey(Kind.SERVICE, name))
        return spec if isinstance(spec, ServiceSpec) else None

    def keepership(self, service: str) -> KeepershipSpec:
        """Return who may promote in `service`."""
        spec = self.spec(ObjectKey(Kind.KEEPERSHIP, service))
        return spec if isinstance(spec, KeepershipSpec) else KeepershipSpec()

    def allotment(self, service: str) -> tuple[int, AllotmentSpec]:
        """Return the epoch and shares of `service`; epoch 0 when there are none."""
        accepted = self.objects.get(ObjectKey(Kind.ALLOTMENT, service))
        if accepted is None or not isinstance(accepted.spec, AllotmentSpec):
            return 0, AllotmentSpec()
        return accepted.stored.version, accepted.spec

    def in_force(self) -> tuple[PresetSpec, Change | None]:
        """Return the preset in force and the change that put it there."""
        accepted = self.objects.get(ObjectKey(Kind.IN_FORCE, IN_FORCE_NAME))
        if accepted is None or not isinstance(accepted.spec, InForceSpec):
            return PresetSpec(), None
        spec = self.spec(ObjectKey(Kind.PRESET, accepted.spec.preset))
        return (spec if isinstance(spec, PresetSpec) else PresetSpec()), accepted.change

    def services(self) -> tuple[str, ...]:
        """Return the names of all configured services, sorted."""
        return tuple(
            sorted(
                key.name
                for key, accepted in self.objects.items()
                if key.kind is Kind.SERVICE and accepted.spec is not None
            )
        )

    @property
    def newest(self) -> int:
        """The version of the newest object, which may be above `revision`."""
        versions = (accepted.stored.version for accepted in self.objects.values())
        return max(versions, default=0)

    def newer_than(self, revision: int) -> tuple[StoredObject, ...]:
        """Return the objects written after `revision`."""
        return tuple(
            accepted.stored
            for accepted in self.objects.values()
            if accepted.stored.version > revision
        )


def _accept(stored: StoredObject, previous: Accepted | None) -> Accepted:
    """Parse an object; content that is not valid leaves the previous content in force."""
    if not stored.body:
        return Accepted(stored, None, None)
    try:
        body = parse_body(stored.body)
        return Accepted(stored, body.change, parse_spec(stored.key.kind, body.spec))
    except MalformedObjectError:
        if previous is None:
            return Accepted(stored, None, None)
        return replace(previous, stored=stored)


def merge_objects(
    configuration: Configuration, revision: int, objects: tuple[StoredObject, ...]
) -> Configuration:
    """Take in objects from the platform or a peer that is complete up to `revision`.

    An object replaces only an older version of itself, so nothing ever moves back.
    """
    merged = dict(configuration.objects)
    for stored in objects:
        previous = merged.get(stored.key)
        if previous is None or previous.stored.version < stored.version:
            merged[stored.key] = _accept(stored, previous)
    return Configuration(max(revision, configuration.revision), merged)


@unique
class UpdateVerdict(Enum):
    """What became of a change whose answer was lost."""

    ACCEPTED = "accepted"
    SUPERSEDED = "superseded"
    NOT_APPLIED = "not-applied"


def judge_update(change_id: str, sent_version: int, found: StoredObject | None) -> UpdateVerdict:
    """Decide what became of a conditional update by reading the object again.

    `sent_version` is the version the update was conditional on. An object at that version was
    not changed; one under the change's id was; anything else was written by somebody else.
    """
    if found is None or found.version == sent_version:
        return UpdateVerdict.NOT_APPLIED
    if found.body and parse_body(found.body).change.id == change_id:
        return UpdateVerdict.ACCEPTED
    return UpdateVerdict.SUPERSEDED
