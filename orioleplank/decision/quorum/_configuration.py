"""A proxy's copy of the platform's configuration objects; versions never decrease."""

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

    key: ObjectKey
    # Platform revision at which it was written.
    version: int
    # Stored JSON; empty when the object was deleted.
    body: str


@dataclass(frozen=True, slots=True)
class ParsedObject:
    """An object in a proxy's configuration.

    After an invalid update, `stored` is the invalid version, while `change` and `spec` are still
    those of the last valid version.
    """

    stored: StoredObject
    # Change that wrote the content; None when the object was deleted or has never been valid.
    change: ChangeMetadata | None
    # Typed content; None when the object was deleted or has never been valid.
    spec: Spec | None


@dataclass(frozen=True, slots=True)
class Configuration:
    """A proxy's copy of the platform's objects."""

    # Revision up to which the copy is complete; 0 before the first update.
    revision: int = 0
    objects: Mapping[ObjectKey, ParsedObject] = field(default_factory=dict)

    def spec(self, key: ObjectKey) -> Spec | None:
        """Return the content of the object with `key`; None if it is absent or was never valid."""
        parsed = self.objects.get(key)
        return parsed.spec if parsed else None

    def service(self, name: str) -> ServiceSpec | None:
        """Return the specification of a service, or None if it is not configured."""
        spec = self.spec(ObjectKey(ObjectKind.SERVICE, name))
        return spec if isinstance(spec, ServiceSpec) else None

    def keepership(self, service: str) -> KeepershipSpec:
        """Return the terms reserved for promotions in `service`; empty if there are none."""
        spec = self.spec(ObjectKey(ObjectKind.KEEPERSHIP, service))
        return spec if isinstance(spec, KeepershipSpec) else KeepershipSpec()

    def allotment(self, service: str) -> tuple[int, AllotmentSpec]:
        """Return the epoch and allotment of `service`; epoch 0 and no shares if there is none."""
        parsed = self.objects.get(ObjectKey(ObjectKind.ALLOTMENT, service))
        if parsed is None or not isinstance(parsed.spec, AllotmentSpec):
            return 0, AllotmentSpec()
        return parsed.stored.version, parsed.spec

    def preset_in_force(self) -> tuple[PresetSpec, ChangeMetadata | None]:
        """Return the preset in force and the change that selected it.

        If no preset is in force, returns the default preset and None. If the preset in force is not
        stored or has never been valid, returns the default preset and the change.
        """
        parsed = self.objects.get(ObjectKey(ObjectKind.IN_FORCE, IN_FORCE_NAME))
        if parsed is None or not isinstance(parsed.spec, InForceSpec):
            return PresetSpec(), None
        spec = self.spec(ObjectKey(ObjectKind.PRESET, parsed.spec.preset))
        return (spec if isinstance(spec, PresetSpec) else PresetSpec()), parsed.change

    def service_names(self) -> tuple[str, ...]:
        """Return the names of all configured services, sorted."""
        return tuple(
            sorted(
                key.name
                for key, parsed in self.objects.items()
                if key.kind is ObjectKind.SERVICE and parsed.spec is not None
            )
        )

    @property
    def newest_version(self) -> int:
        """Version of the newest object, which may be higher than `revision`; 0 without objects."""
        versions = (parsed.stored.version for parsed in self.objects.values())
        return max(versions, default=0)

    def objects_since(self, revision: int) -> tuple[StoredObject, ...]:
        """Return the objects written after `revision`."""
        return tuple(
            parsed.stored for parsed in self.objects.values() if parsed.stored.version > revision
        )


def _parse_object(stored: StoredObject, previous: ParsedObject | None) -> ParsedObject:
    """Parse an object; if its content is invalid, the previous content remains in force."""
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
    """Merge objects from the platform or a peer that is complete up to `revision`.

    An object replaces only an older version of itself, so versions never decrease.
    """
    merged = dict(configuration.objects)
    for stored in objects:
        previous = merged.get(stored.key)
        if previous is None or previous.stored.version < stored.version:
            merged[stored.key] = _parse_object(stored, previous)
    return Configuration(max(revision, configuration.revision), merged)


@unique
class UpdateVerdict(Enum):
    """Result of a conditional update whose response was lost."""

    ACCEPTED = "accepted"
    SUPERSEDED = "superseded"
    NOT_APPLIED = "not-applied"


def resolve_update(
    change_id: str, expected_version: int, current: StoredObject | None
) -> UpdateVerdict:
    """Return the result of a conditional update, given the object as it was read afterwards.

    `expected_version` is the version that the update required. If the object is absent or still
    has that version, the update was not applied. If it carries `change_id`, the update was
    accepted. Otherwise, another change superseded it.
    """
    if current is None or current.version == expected_version:
        return UpdateVerdict.NOT_APPLIED
    if current.body and parse_body(current.body).change.id == change_id:
        return UpdateVerdict.ACCEPTED
    return UpdateVerdict.SUPERSEDED
