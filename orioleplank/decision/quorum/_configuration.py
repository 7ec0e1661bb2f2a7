"""How a node takes platform objects in: versions only move up."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum, unique

from orioleplank._exceptions import MalformedObjectError
from orioleplank.decision.quorum._specs import (
    IN_FORCE_NAME,
    AllotmentSpec,
    ChangeMetadata,
    InForceSpec,
    KeepershipSpec,
    ObjectKey,
    ObjectKind,
    PresetSpec,
    ServiceSpec,
    Spec,
    parse_body,
    parse_spec,
)


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
class ParsedObject:
    """A parsed object in a node's configuration."""

    # The object as stored.
    stored: StoredObject
    # The change that wrote it; None when it was deleted.
    change: ChangeMetadata | None
    # The typed content; None when it was deleted or is not valid.
    spec: Spec | None


@dataclass(frozen=True, slots=True)
class Configuration:
    """What a node knows of the platform's objects."""

    # Revision up to which it is complete; 0 before it has learned anything.
    revision: int = 0
    # Objects by key.
    objects: Mapping[ObjectKey, ParsedObject] = field(default_factory=dict)

    def spec(self, key: ObjectKey) -> Spec | None:
        """Return the content under `key`, or None."""
        accepted = self.objects.get(key)
        return accepted.spec if accepted else None

    def service(self, name: str) -> ServiceSpec | None:
        """Return the service called `name`, or None."""
        spec = self.spec(ObjectKey(ObjectKind.SERVICE, name))
        return spec if isinstance(spec, ServiceSpec) else None

    def keepership(self, service: str) -> KeepershipSpec:
        """Return who may promote in `service`."""
        spec = self.spec(ObjectKey(ObjectKind.KEEPERSHIP, service))
        return spec if isinstance(spec, KeepershipSpec) else KeepershipSpec()

    def allotment(self, service: str) -> tuple[int, AllotmentSpec]:
        """Return the epoch and shares of `service`; epoch 0 when there are none."""
        accepted = self.objects.get(ObjectKey(ObjectKind.ALLOTMENT, service))
        if accepted is None or not isinstance(accepted.spec, AllotmentSpec):
            return 0, AllotmentSpec()
        return accepted.stored.version, accepted.spec

    def preset_in_force(self) -> tuple[PresetSpec, ChangeMetadata | None]:
        """Return the preset in force and the change that put it there."""
        accepted = self.objects.get(ObjectKey(ObjectKind.IN_FORCE, IN_FORCE_NAME))
        if accepted is None or not isinstance(accepted.spec, InForceSpec):
            return PresetSpec(), None
        spec = self.spec(ObjectKey(ObjectKind.PRESET, accepted.spec.preset))
        return (spec if isinstance(spec, PresetSpec) else PresetSpec()), accepted.change

    def service_names(self) -> tuple[str, ...]:
        """Return the names of all configured services, sorted."""
        return tuple(
            sorted(
                key.name
                for key, accepted in self.objects.items()
                if key.kind is ObjectKind.SERVICE and accepted.spec is not None
            )
        )

    @property
    def newest_version(self) -> int:
        """The version of the newest object, which may be above `revision`."""
        versions = (accepted.stored.version for accepted in self.objects.values())
        return max(versions, default=0)

    def objects_since(self, revision: int) -> tuple[StoredObject, ...]:
        """Return the objects written after `revision`."""
        return tuple(
            accepted.stored
            for accepted in self.objects.values()
            if accepted.stored.version > revision
        )


def _accept(stored: StoredObject, previous: ParsedObject | None) -> ParsedObject:
    """Parse an object; content that is not valid leaves the previous content in force."""
    if not stored.body:
        return ParsedObject(stored, None, None)
    try:
        body = parse_body(stored.body)
        return ParsedObject(stored, body.change, parse_spec(stored.key.kind, body.spec))
    except MalformedObjectError:
        if previous is None:
            return ParsedObject(stored, None, None)
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


def resolve_update(change_id: str, sent_version: int, found: StoredObject | None) -> UpdateVerdict:
    """Decide what became of a conditional update by reading the object again.

    `sent_version` is the version the update was conditional on. An object at that version was
    not changed; one under the change's id was; anything else was written by somebody else.
    """
    if found is None or found.version == sent_version:
        return UpdateVerdict.NOT_APPLIED
    if found.body and parse_body(found.body).change.id == change_id:
        return UpdateVerdict.ACCEPTED
    return UpdateVerdict.SUPERSEDED
