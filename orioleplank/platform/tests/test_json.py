"""Tests of the parser of JSON bodies with unusable values."""

from __future__ import annotations

import json

import testtools
from hypothesis import given
from hypothesis import strategies as st

from orioleplank.platform._json import MAX_DEPTH, MAX_INTEGER_DIGITS, parse_json

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda children: st.lists(children) | st.dictionaries(st.text(), children),
)
DEEP = "[" * 5000 + "]" * 5000
LONG = "7" * 6000


def _page(odd_spec: str) -> bytes:
    """Return a body with an unusable object between two others."""
    items = ('{"name":"a","spec":1}', f'{{"name":"b","spec":{odd_spec}}}', '{"name":"c","spec":3}')
    return f'{{"items":[{",".join(items)}],"at":9}}'.encode()


class TestParseJson(testtools.TestCase):
    # One object that was nested too deeply made the whole listing unreadable.
    def test_unusable_value_is_null_and_the_others_hold(self) -> None:
        odd_specs = (
            DEEP,
            '{"a":' * 3000 + "1" + "}" * 3000,
            "[" * 200_000 + "]" * 200_000,
            LONG,
            f"-{LONG}",
        )
        for odd_spec in odd_specs:
            with self.subTest(odd_spec[:10]):
                body = parse_json(_page(odd_spec))
                self.assertEqual(9, body["at"])
                self.assertEqual(["a", "b", "c"], [item["name"] for item in body["items"]])
                self.assertEqual([1, 3], [body["items"][0]["spec"], body["items"][2]["spec"]])
                self.assertNotIn("7", json.dumps(body["items"][1]))

    def test_value_is_cut_where_it_is_too_deep(self) -> None:
        value = parse_json(f'{{"deep":{DEEP},"next":1}}'.encode())
        self.assertEqual(1, value["next"])
        depth, inner = 1, value["deep"]
        while inner:
            depth, inner = depth + 1, inner[0]
        self.assertEqual((MAX_DEPTH, None), (depth, inner))

    def test_brackets_and_digits_in_texts_are_kept(self) -> None:
        text = json.dumps({"text": '\\"[[[' + LONG, "deep": 0})
        value = parse_json(text.replace(": 0}", f": {DEEP}}}").encode())
        self.assertEqual('\\"[[[' + LONG, value["text"])

    def test_long_number_that_is_no_integer_is_kept(self) -> None:
        digits = "1" * (MAX_INTEGER_DIGITS + 1)
        value = parse_json(f"[0.{digits}, {DEEP}]".encode())
        self.assertEqual(float(f"0.{digits}"), value[0])

    def test_bytes_that_are_not_utf8_are_replaced(self) -> None:
        self.assertEqual({"a": "\ufffd"}, parse_json(b'{"a":"\xff"}'))

    def test_text_that_is_not_json_is_an_error(self) -> None:
        for text in (b"", b"{", b"[1,", b"nonsense", b'{"a":' + b"[" * 5000):
            self.assertRaises(ValueError, parse_json, text)

    @given(JSON_VALUES)
    def test_usable_value_is_read_as_it_is_beside_an_unusable_one(self, value: object) -> None:
        body = f'{{"value":{json.dumps(value)},"odd":{DEEP}}}'.encode()
        self.assertEqual(value, parse_json(body)["value"])
