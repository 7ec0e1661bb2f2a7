"""Tests of the limits in the platform's settings file."""

from __future__ import annotations

import json
import os
import resource
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import mock

import msgspec
import testtools

from orioleplank._exceptions import SettingsError
from orioleplank.decision.intake import CallerLimits, derive_limits
from orioleplank.platform import _settings

_BOOT = {
    "nodeName": "entry-1",
    "ip": "10.0.0.1",
    "zone": "zone-a",
    "listen": {"front": "10.0.0.1:8784", "ready": "10.0.0.1:8785"},
    "internalPorts": [7440, 7455],
    "platform": {"address": "10.0.0.9:9000"},
    "cloud": {"address": "10.0.0.9:9001"},
}


class TestCallerLimits(testtools.TestCase):
    def load_limits(self, **fields: object) -> CallerLimits:
        """Return the limits of a settings file with further fields."""
        with TemporaryDirectory() as directory:
            path = Path(directory) / "settings.json"
            path.write_text(json.dumps({**_BOOT, **fields}))
            with (
                mock.patch.dict(os.environ, {_settings.PATH_VARIABLE: str(path)}),
                mock.patch.object(resource, "getrlimit", lambda _: (8192, 8192)),
            ):
                return _settings.load_settings().caller_limits

    def test_limits_follow_from_the_machine(self) -> None:
        limits = self.load_limits(limits={"memoryMb": 552, "maxFds": 4300})
        self.assertEqual(derive_limits(552.0, 4300), limits)

    def test_descriptors_that_the_process_may_not_open_do_not_count(self) -> None:
        self.assertEqual(derive_limits(None, 8192), self.load_limits(limits={"maxFds": 11825}))

    def test_smallest_machine_is_assumed_where_nothing_is_stated(self) -> None:
        self.assertEqual(CallerLimits(), self.load_limits())

    def test_stated_limits_replace_those_of_the_machine(self) -> None:
        limits = self.load_limits(callerLimits={"processBytes": 5, "unreadTimeoutS": 1.5, "x": 1})
        self.assertEqual((5, 1.5), (limits.process_bytes, limits.unread_timeout))
        self.assertEqual(CallerLimits().connections, limits.connections)

    def test_every_limit_has_a_name_in_the_file(self) -> None:
        names = {field.name for field in msgspec.structs.fields(CallerLimits)}
        self.assertEqual(names, set(_settings._LIMIT_NAMES.values()))
        file_names = {field.name for field in msgspec.structs.fields(_settings._CallerLimits)}
        self.assertEqual(file_names, set(_settings._LIMIT_NAMES))

    def test_limit_below_one_is_invalid(self) -> None:
        self.assertRaises(SettingsError, self.load_limits, callerLimits={"connections": 0})
