"""A comparable description of everything that a gateway keeps."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Mapping
from enum import Enum
from random import Random

from orioleplank.gateway import Gateway

# Packages whose objects are described; others, such as the simulator, have only their type named.
DESCRIBED_PACKAGES = ("orioleplank.gateway.", "orioleplank.decision.")


def describe_state(gateway: Gateway) -> list[str]:
    """Return one line for each value that is reachable from a gateway, with its path."""
    lines: list[str] = []
    seen: dict[int, str] = {}
    pending: deque[tuple[str, object]] = deque([("gateway", gateway)])
    # Values are kept, so that no object is created with the address of an earlier one.
    kept: list[object] = []
    while pending:
        path, value = pending.popleft()
        if value is None or isinstance(value, str | bytes | int | float | Enum):
            lines.append(f"{path} = {value!r}")
        elif id(value) in seen:
            lines.append(f"{path} is {seen[id(value)]}")
        else:
            seen[id(value)] = path
            kept.append(value)
            parts = list(_list_parts(value))
            lines.append(f"{path}: {type(value).__name__}, {len(parts)} parts")
            pending.extend((f"{path}.{name}", part) for name, part in parts)
    return lines


def _list_parts(value: object) -> Iterator[tuple[str, object]]:
    """Return the named parts of a container or of an object of the described packages."""
    match value:
        case Random():
            yield "state", repr(value.getstate())
        case Mapping():
            for key, part in value.items():
                yield f"[{key!r}]" if isinstance(key, str | tuple) else "[object]", part
        case list() | tuple() | set() | frozenset() | deque():
            yield from ((f"[{number}]", part) for number, part in enumerate(value))
        case _ if type(value).__module__.startswith(DESCRIBED_PACKAGES):
            yield from sorted(getattr(value, "__dict__", {}).items())
            fields = getattr(type(value), "__struct_fields__", ())
            yield from ((name, getattr(value, name)) for name in fields)
        case _:
            return
