"""Merging, resolving and parsing of configuration objects."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from orioleplank import MalformedObjectError
from orioleplank.decision.quorum import (
    ChangeMetadata,
    Configuration,
    InForceSpec,
    ObjectKey,
    ObjectKind,
    PresetSpec,
    StoredObject,
    UpdateVerdict,
    dump_body,
    merge_objects,
    parse_spec,
    resolve_update,
)

KEY = ObjectKey(ObjectKind.IN_FORCE, "preset")


def make_object(version: int, preset: str = "ordinary", change: str = "c") -> StoredObject:
    """Return the object that selects the preset in force."""
    return StoredObject(
        KEY, version, dump_body(ChangeMetadata(change, "ana", 1.0), InForceSpec(preset))
    )


class MergeTest(TestCase):
    @given(st.lists(st.integers(1, 20), max_size=20))
    def test_merging_never_replaces_a_newer_version(self, versions: list[int]) -> None:
        configuration, highest = Configuration(), 0
        for version in versions:
            objects = (make_object(version, f"p{version}"),)
            configuration = merge_objects(configuration, version, objects)
            highest = max(highest, version)
            self.assertEqual(highest, configuration.objects[KEY].stored.version)
            self.assertEqual(InForceSpec(f"p{highest}"), configuration.spec(KEY))

    def test_invalid_content_leaves_previous_content_in_force(self) -> None:
        configuration = merge_objects(Configuration(), 1, (make_object(1, "peak"),))
        invalid = StoredObject(KEY, 2, '{"change": {}, "spec": 3}')
        configuration = merge_objects(configuration, 2, (invalid,))
        self.assertEqual(InForceSpec("peak"), configuration.spec(KEY))
        self.assertEqual(2, configuration.objects[KEY].stored.version)

    def test_newest_version_may_exceed_the_revision(self) -> None:
        configuration = merge_objects(Configuration(), 0, (make_object(9),))
        self.assertEqual((0, 9), (configuration.revision, configuration.newest_version))


class ResolveUpdateTest(TestCase):
    def test_update_whose_response_was_lost_is_resolved_from_the_stored_object(self) -> None:
        cases = {
            "update was applied": (make_object(6, change="mine"), UpdateVerdict.ACCEPTED),
            "update did not arrive": (make_object(5, change="old"), UpdateVerdict.NOT_APPLIED),
            "another change was applied": (
                make_object(6, change="other"),
                UpdateVerdict.SUPERSEDED,
            ),
            "object is absent": (None, UpdateVerdict.NOT_APPLIED),
        }
        for name, (found, verdict) in cases.items():
            with self.subTest(name):
                self.assertEqual(verdict, resolve_update("mine", 5, found))


class ParseTest(TestCase):
    def test_invalid_content_is_rejected(self) -> None:
        cases: dict[str, tuple[ObjectKind, object]] = {
            "no instances": (ObjectKind.SERVICE, {"instances": [], "kinds": [{"name": "k"}]}),
            "duplicate instance name": (
                ObjectKind.SERVICE,
                {
                    "instances": [{"name": "a", "address": "h:1", "zone": "z"}] * 2,
                    "kinds": [{"name": "k"}],
                },
            ),
            "retry share above 1": (ObjectKind.PRESET, {"retry_share": 2}),
            "queue limit of 0": (ObjectKind.PRESET, {"queue_limit": 0}),
            "not an object": (ObjectKind.IN_FORCE, 3),
        }
        for name, (kind, content) in cases.items():
            with self.subTest(name):
                self.assertRaises(MalformedObjectError, parse_spec, kind, content)

    def test_empty_content_gives_defaults(self) -> None:
        self.assertEqual(PresetSpec(), parse_spec(ObjectKind.PRESET, {}))
