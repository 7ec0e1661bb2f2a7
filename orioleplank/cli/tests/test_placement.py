"""The `placement` command: what it prints, and its exit codes."""

from __future__ import annotations

import json
from contextlib import redirect_stderr, redirect_stdout
from io import StringIO
from unittest import mock

import msgspec
from testtools import TestCase

from orioleplank.cli import _placement, main
from orioleplank.cli._admin import AdminResponse
from orioleplank.gateway._placement_answer import (
    CandidateAnswer,
    ConnectionAnswer,
    PermitAnswer,
    PlacementAnswer,
    QueueAnswer,
    RefusalAnswer,
    RequirementAnswer,
    RouteAnswer,
    StatementKind,
)

ROUTE = RouteAnswer("jobs", "store", "read_your_writes", 1.0, 2.5, 2, False)
ANSWER = PlacementAnswer(
    "entry-1",
    StatementKind.READ,
    ROUTE,
    "hot",
    RequirementAnswer("1.7", 2.5, 1.0),
    (CandidateAnswer("db-b", "zone-a", False, "has 1.7 in 0.40 s", 0.45),),
    "db-b",
    0.4,
    ConnectionAnswer(
        "entry-2",
        True,
        (QueueAnswer("entry-1", 0, 1, 0.0), QueueAnswer("entry-2", 3, 4, 0.25, 1.5)),
        False,
        False,
    ),
    PermitAnswer(0),
)
REFUSAL = RefusalAnswer("BUSY", "place write", "program place write: no primary", None, True)
REFUSED = PlacementAnswer("entry-1", StatementKind.WRITE, ROUTE, "", refusal=REFUSAL)


class PlacementCommandTest(TestCase):
    def run_command(self, response: AdminResponse, *arguments: str) -> tuple[int, str, str]:
        """Return the exit code, the output and the errors for a response of the proxy."""
        out, errors = StringIO(), StringIO()
        command = ["placement", "--metrics", "10.0.0.1:7441", "--database", "jobs", *arguments]
        with (
            mock.patch.object(_placement, "call_admin_text", return_value=response) as self.call,
            redirect_stdout(out),
            redirect_stderr(errors),
        ):
            code = main(command)
        return code, out.getvalue(), errors.getvalue()

    def test_placement_is_printed_with_its_reasons(self) -> None:
        """Guards against an answer whose fields the command does not show."""
        body = msgspec.json.encode(ANSWER).decode()
        code, text, _ = self.run_command(
            AdminResponse(200, body), "--account", "hot", "--age", "2.5", "read"
        )
        self.assertEqual(0, code)
        self.call.assert_called_once_with(
            "10.0.0.1:7441",
            "GET",
            "placement",
            kind="read",
            database="jobs",
            account="hot",
            age="2.5",
        )
        for part in (
            "account: hot",
            "unused permits here: 0; a coordinator is asked first",
            "required position: 1.7; maximum age 2.5 s",
            "candidate db-b (zone-a): has 1.7 in 0.40 s, expected time 0.450 s",
            "goes to db-b in 0.400 s",
            "through connection owner entry-2",
            "queue at entry-2: 3 wait, 4 run, expected wait 0.250 s, told 1.5 s ago",
        ):
            self.assertIn(part, text)

    def test_refusal_has_the_exit_code_of_refusals(self) -> None:
        """Scripts take code 0 for a request that can be placed."""
        body = msgspec.json.encode(REFUSED).decode()
        code, text, _ = self.run_command(AdminResponse(200, body), "write")
        self.assertEqual(5, code)
        self.assertIn("refused: BUSY, program place write: no primary", text)
        code, text, _ = self.run_command(AdminResponse(200, body), "--output", "json", "write")
        self.assertEqual((5, json.loads(body)), (code, json.loads(text)))

    def test_unknown_name_is_bad_input(self) -> None:
        """A misspelt name must not look like a refusal by the proxy."""
        response = AdminResponse(400, '{"error": "no route is called jobs"}')
        code, text, errors = self.run_command(response, "read")
        self.assertEqual((2, "", "no route is called jobs\n"), (code, text, errors))

    def test_proxy_of_an_earlier_version_is_reported(self) -> None:
        """It serves its metrics on every path."""
        for body in ("# HELP statements\n", "[]", "{}"):
            code, _, errors = self.run_command(AdminResponse(200, body), "read")
            self.assertEqual(4, code)
            self.assertIn("answers no placement queries", errors)

    def test_unreachable_proxy_is_reported(self) -> None:
        command = ["placement", "--metrics", "127.0.0.1:1", "--database", "jobs", "read"]
        with redirect_stderr(StringIO()):
            self.assertEqual(4, main(command))
