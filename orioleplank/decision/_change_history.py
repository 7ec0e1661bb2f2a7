"""Which items of a mapping changed from one version of it to the next."""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

# Steps that a history keeps at most, and keys that they have together.
MAX_STEPS = 64
MAX_KEYS = 16_384


class ChangeStep(Struct, frozen=True):
    """The keys of the items that differ between two successive versions."""

    before: int
    after: int
    keys: frozenset[str]


class ChangeHistory(Struct, frozen=True):
    """The latest steps by which one proxy came to its version; immutable."""

    # Each step begins where the one before it ends.
    steps: tuple[ChangeStep, ...] = ()

    def record(self, before: int, after: int, keys: Iterable[str]) -> ChangeHistory:
        """Return the history after the step from one version to the next."""
        steps = (*self.steps, ChangeStep(before, after, frozenset(keys)))[-MAX_STEPS:]
        while sum(len(step.keys) for step in steps) > MAX_KEYS:
            steps = steps[1:]
        return ChangeHistory(steps)

    def keys_since(self, version: int) -> frozenset[str] | None:
        """Return the keys of all items that have changed since a version.

        None if the proxy did not have this version, or has forgotten it.
        """
        for index, step in enumerate(self.steps):
            if step.before == version:
                return frozenset().union(*(later.keys for later in self.steps[index:]))
        return None
