"""Tests of parsing and formatting the text of the line protocol."""

from __future__ import annotations

import testtools

from orioleplank.decision import Position
from orioleplank.decision.session import (
    AccessMode,
    Begin,
    ClosePrepared,
    Commit,
    Execute,
    ExecutePrepared,
    FailureCode,
    Prepare,
    PreparedStatement,
    PrepareOnConnection,
    Read,
    SetValue,
    Statement,
    Unreadable,
    Write,
)
from orioleplank.platform import _codec as codec

_STATEMENTS: tuple[tuple[str, Statement], ...] = (
    ("BEGIN", Begin(False)),
    ("BEGIN READ", Begin(True)),
    ("COMMIT", Commit()),
    ("READ 1a4", Read("1a4")),
    ("WRITE 1a4 x  y", Write("1a4 x  y")),
    ("SET lang te reo", SetValue("lang", "te reo")),
    ("PREPARE s1 WRITE q2c", Prepare("s1", PreparedStatement(AccessMode.WRITE, "q2c"))),
    ("EXECUTE s1 1a4 data", Execute("s1", "1a4 data")),
    ("CLOSE s1", ClosePrepared("s1")),
)
_UNREADABLE = ("", "DROP x", "BEGIN WRITE", "SET lang", "PREPARE s1 q2c", "COMMIT now", "STATUS")


class TestStatements(testtools.TestCase):
    def test_every_statement_is_parsed(self) -> None:
        for text, statement in _STATEMENTS:
            self.assertEqual(statement, codec.parse_statement(text))

    def test_invalid_statement_is_unreadable(self) -> None:
        for text in _UNREADABLE:
            self.assertIsInstance(codec.parse_statement(text), Unreadable, text)

    def test_text_sent_to_instance_differs_only_in_the_prepared_name(self) -> None:
        prepared = PreparedStatement(AccessMode.WRITE, "q2c")
        self.assertEqual("READ 1a4", codec.format_statement(Read("1a4"), ""))
        run = ExecutePrepared(prepared, "1a4 data")
        self.assertEqual("EXECUTE p0 1a4 data", codec.format_statement(run, "p0"))
        step = PrepareOnConnection("p0", prepared)
        self.assertEqual("PREPARE p0 WRITE q2c", codec.format_setup_step(step))

    def test_min_position_is_written_before_the_statement(self) -> None:
        text = codec.add_min_position("READ 1a4", Position(3, 1207))
        self.assertEqual("AFTERLSN 3.1207 READ 1a4", text)


class TestEncodingCodesAndPositions(testtools.TestCase):
    def test_every_byte_survives_decoding_and_encoding(self) -> None:
        line = bytes(range(256))
        self.assertEqual(line, line.decode(codec.ENCODING).encode(codec.ENCODING))

    def test_unknown_code_means_outcome_in_doubt(self) -> None:
        self.assertEqual(FailureCode.UNKNOWN, codec.parse_code("SURPRISE"))
        self.assertEqual("INDOUBT", codec.WIRE_CODES[FailureCode.UNKNOWN])

    def test_valid_position_is_parsed_and_invalid_one_is_none(self) -> None:
        self.assertEqual(Position(3, 1207), codec.parse_position("3.1207"))
        too_long = "1" * 6000
        for text in ("-", "", "3", "3.x", "-1.2", "3.²", f"3.{too_long}", f"{too_long}.3"):
            self.assertIsNone(codec.parse_position(text))
