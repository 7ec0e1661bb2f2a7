"""Shorter imports: standard modules that Twisted's core imports and that a proxy does not use.

Many proxies restart at the same time after a loss of power, and their callers wait for the imports.
"""

from __future__ import annotations

import importlib.util
import inspect
import sys
from collections.abc import Sequence
from importlib.machinery import ModuleSpec, PathFinder
from types import ModuleType

# Modules that are loaded when one of their attributes is first read, which may never happen.
LAZY_MODULES = frozenset({"http.cookiejar", "logging", "ssl"})


class _LazyFinder:
    """Finds `LAZY_MODULES`; their code runs when an attribute is first read.

    It has no base class, because the import of `importlib.abc` takes long itself.
    """

    def find_spec(
        self, fullname: str, path: Sequence[str] | None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        """Return a lazy variant of the module's spec; None for all other modules."""
        spec = PathFinder.find_spec(fullname, path) if fullname in LAZY_MODULES else None
        if spec is not None and spec.loader is not None:
            spec.loader = importlib.util.LazyLoader(spec.loader)
        return spec


def shorten_imports() -> None:
    """Prepare the import of Twisted; must be called before anything imports it.

    Afterwards all modules can be imported as usual, but Deferreds cannot be converted to and from
    the futures of asyncio.
    """
    sys.meta_path.insert(0, _LazyFinder())
    if "asyncio" not in sys.modules:
        _import_twisted_without_asyncio()


def _import_twisted_without_asyncio() -> None:
    """Import Twisted's `defer` with a placeholder for asyncio.

    It uses two of the names for the conversions only, and one to recognise coroutines.
    """
    placeholder = ModuleType("asyncio")
    placeholder.AbstractEventLoop = placeholder.Future = object  # type: ignore[attr-defined]
    placeholder.iscoroutine = inspect.iscoroutine  # type: ignore[attr-defined]
    sys.modules["asyncio"] = placeholder
    try:
        import twisted.internet.defer  # noqa: F401
    finally:
        del sys.modules["asyncio"]
