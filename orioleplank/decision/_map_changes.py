"""What differs between two mappings."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Generic, TypeVar

from msgspec import Struct, field

T = TypeVar("T")


class MapChanges(Struct, Generic[T], frozen=True, array_like=True):
    """What to put into a mapping and what to remove from it."""

    # Added and changed items by key.
    updated: Mapping[str, T] = field(default_factory=dict)
    # Keys of removed items.
    removed: tuple[str, ...] = ()

    def apply_to(self, items: Mapping[str, T]) -> dict[str, T]:
        """Return a mapping with the changes; keys to remove that it does not have are ignored."""
        result = {**items, **self.updated}
        for key in self.removed:
            result.pop(key, None)
        return result


def find_changed_keys(before: Mapping[str, T], after: Mapping[str, T]) -> frozenset[str]:
    """Return the keys whose items were added, changed or removed."""
    changed = {key for key, item in after.items() if before.get(key) != item}
    return frozenset(changed.union(key for key in before if key not in after))


def select_changes(items: Mapping[str, T], keys: Iterable[str]) -> MapChanges[T]:
    """Return the changes that bring the items of some keys up to date with `items`."""
    wanted = sorted(keys)
    return MapChanges(
        {key: items[key] for key in wanted if key in items},
        tuple(key for key in wanted if key not in items),
    )
