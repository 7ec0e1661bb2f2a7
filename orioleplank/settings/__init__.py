"""Settings of a proxy, parsed from YAML into frozen data classes."""

from orioleplank.settings._document import Document, Problem, read_documents, validate_document
from orioleplank.settings._proxy import (
    LimitSettings,
    LogSettings,
    PlatformSettings,
    ProxySettings,
    Settings,
    StopSettings,
    load_settings,
)

__all__ = [
    "Document",
    "LimitSettings",
    "LogSettings",
    "PlatformSettings",
    "Problem",
    "ProxySettings",
    "Settings",
    "StopSettings",
    "load_settings",
    "read_documents",
    "validate_document",
]
