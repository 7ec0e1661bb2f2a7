"""Tests of the identification of callers by key."""

from __future__ import annotations

import testtools

from orioleplank.decision.accounts import (
    ANONYMOUS,
    AccountTable,
    ClientAccount,
    identify_caller,
)

_ACCOUNT = ClientAccount("shop", priority=1)
_TABLE = AccountTable({"k1": _ACCOUNT})


class TestIdentification(testtools.TestCase):
    def test_key_names_its_account_on_every_route(self) -> None:
        self.assertEqual(_ACCOUNT, identify_caller(_TABLE, "k1"))
        self.assertEqual(_ACCOUNT, identify_caller(_TABLE, "k1", is_public=True))

    def test_unknown_key_is_refused_unless_the_route_is_public(self) -> None:
        for key in ("", "k2", "shop"):
            self.assertIsNone(identify_caller(_TABLE, key), key)
            self.assertEqual(ANONYMOUS, identify_caller(_TABLE, key, is_public=True))

    def test_configuration_without_a_list_of_accounts_identifies_nobody(self) -> None:
        self.assertEqual(ANONYMOUS, identify_caller(None, "k1"))

    def test_empty_list_of_accounts_admits_nobody(self) -> None:
        self.assertIsNone(identify_caller(AccountTable(), "k1"))
