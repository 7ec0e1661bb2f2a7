"""Exceptions of the package; each names the step that failed and the peer involved."""

from __future__ import annotations


class OrioleplankError(Exception):
    """Base class of all exceptions that the package raises."""

    # The operation that failed.
    step: str
    # Name or address of the peer involved; empty if there is none.
    peer: str
    # Human-readable description of the cause.
    detail: str

    def __init__(self, step: str, peer: str, detail: str) -> None:
        self.step = step
        self.peer = peer
        self.detail = detail
        where = f"{step} at {peer}" if peer else step
        super().__init__(f"{where}: {detail}")


class SettingsError(OrioleplankError):
    """A settings file is not valid."""


class MalformedTokenError(OrioleplankError):
    """A session token cannot be decoded."""

    def __init__(self, detail: str) -> None:
        super().__init__("read token", "", detail)


class MalformedRequestError(OrioleplankError):
    """A caller's request violates the protocol."""

    def __init__(self, detail: str) -> None:
        super().__init__("read request", "", detail)


class MalformedObjectError(OrioleplankError):
    """The content of a platform object is not valid."""

    kind: str

    def __init__(self, kind: str, detail: str) -> None:
        self.kind = kind
        super().__init__(f"read {kind}", "", detail)


class PlatformError(OrioleplankError):
    """The platform sent no usable response; a change sent to it may have taken effect."""


class ConflictError(OrioleplankError):
    """A conditional update failed because the object was changed concurrently."""

    # The stored version; 0 if the object does not exist.
    version: int
    # The stored body; empty if the object does not exist.
    body: str

    def __init__(self, peer: str, version: int, body: str) -> None:
        self.version = version
        self.body = body
        super().__init__("update object", peer, f"version {version} is newer")


class UnknownServiceNameError(OrioleplankError):
    """No service with the requested name is registered with the kernel."""

    def __init__(self, name: str) -> None:
        super().__init__("find service", name, "no such service is running")
