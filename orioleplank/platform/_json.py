"""Reads JSON bodies of which single values may be unusable.

Any writer may leave an object in the store that is nested too deeply, has a number with thousands
of digits, or is not UTF-8. The other objects of the same response have to stay readable.
"""

from __future__ import annotations

import json
import re
from typing import Any

# Arrays and objects that are nested more deeply are read as null: several times the depth of the
# platform's own objects.
MAX_DEPTH = 40
# Longer integers are read as null.
MAX_INTEGER_DIGITS = 300

_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[\[{]|[\]}]|-?\d+(?:[.eE][-+.\deE]*)?', re.DOTALL)


def parse_json(data: bytes) -> Any:
    """Parse a JSON text; unusable values in it are read as null, and bytes not UTF-8 as U+FFFD.

    Raises `ValueError` if it is not JSON.
    """
    try:
        return json.loads(data)
    except (ValueError, RecursionError):
        return json.loads(_replace_unusable_values(data.decode("utf-8", "replace")))


def _replace_unusable_values(text: str) -> str:
    """Return a JSON text with null in place of deep arrays and objects and of long integers.

    Raises `ValueError` if a deep array or object is not closed.
    """
    kept: list[str] = []
    depth = end = 0
    for token in _TOKEN.finditer(text):
        first = token[0][0]
        if first in "[{":
            depth += 1
            if depth == MAX_DEPTH + 1:
                kept += (text[end : token.start()], "null")
        elif first in "]}":
            depth -= 1
            if depth == MAX_DEPTH:
                end = token.end()
        elif first != '"' and depth <= MAX_DEPTH and _is_long_integer(token[0]):
            kept += (text[end : token.start()], "null")
            end = token.end()
    if depth > MAX_DEPTH:
        raise ValueError("an array or object is not closed")
    return "".join((*kept, text[end:]))


def _is_long_integer(number: str) -> bool:
    return len(number) > MAX_INTEGER_DIGITS and number.lstrip("-").isdecimal()
