"""Tests of the splitting of received bytes into lines."""

from __future__ import annotations

import testtools

from orioleplank.platform._line_buffer import LineBuffer


class TestLineBuffer(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.buffer = LineBuffer(10)

    def take_all(self) -> list[bytes]:
        """Take all complete lines."""
        lines = []
        while self.buffer.has_line:
            lines.append(self.buffer.take_line())
        return lines

    def test_lines_in_one_piece_and_the_rest_stays(self) -> None:
        self.buffer.append(b"one\r\n\r\ntwo\r\nthr")
        self.assertEqual([b"one", b"", b"two"], self.take_all())
        self.assertEqual(3, len(self.buffer))

    def test_line_in_single_bytes(self) -> None:
        for byte in b"on\re\r\n":
            self.buffer.append(bytes([byte]))
        self.assertEqual([b"on\re"], self.take_all())

    def test_longest_line_is_accepted_also_when_its_end_is_split(self) -> None:
        """Twisted's receiver refused it if a piece ended between the two bytes of the end."""
        self.buffer.append(b"x" * 10 + b"\r")
        self.assertFalse(self.buffer.is_too_long)
        self.buffer.append(b"\n")
        self.assertFalse(self.buffer.is_too_long)
        self.assertEqual([b"x" * 10], self.take_all())

    def test_longer_line_is_too_long_complete_or_not(self) -> None:
        self.buffer.append(b"x" * 11)
        self.assertTrue(self.buffer.is_too_long)
        self.buffer.append(b"\r\n")
        self.assertTrue(self.buffer.is_too_long)

    def test_cleared_buffer_is_empty(self) -> None:
        self.buffer.append(b"one\r\ntw")
        self.buffer.clear()
        self.assertEqual((0, False), (len(self.buffer), self.buffer.has_line))
