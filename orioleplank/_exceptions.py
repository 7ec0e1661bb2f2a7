"""Errors of the package; each carries the step and the peer at which it arose."""

from __future__ import annotations


class OrioleplankError(Exception):
    """Base of all errors raised by the package."""

    # The step at which it arose.
    step: str
    # The peer concerned; empty when none.
    peer: str
    # One sentence for a person.
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
    """A session token cannot be read."""

    def __init__(self, detail: str) -> None:
        super().__init__("read token", "", detail)


class MalformedRequestError(OrioleplankError):
    """A caller's request breaks the protocol."""

    def __init__(self, detail: str) -> None:
        super().__init__("read request", "", detail)


class MalformedObjectError(OrioleplankError):
    """A platform object's content is not valid."""

    # Kind of the object.
    kind: str

    def __init__(self, kind: str, detail: str) -> None:
        self.kind = kind
        super().__init__(f"read {kind}", "", detail)


class PlatformError(OrioleplankError):
    """The platform gave no usable answer; a change sent to it may have taken effect."""


class ConflictError(OrioleplankError):
    """A conditional update lost against another change."""

    # The version now stored; 0 when there is none.
    version: int
    # The stored body; empty when there is none.
    body: str

    def __init__(self, peer: str, version: int, body: str) -> None:
        self.version = version
        self.body = body
        super().__init__("update object", peer, f"version {version} is newer")


class UnknownServiceNameError(OrioleplankError):
    """The kernel has no service of a name."""

    def __init__(self, name: str) -> None:
        super().__init__("find service", name, "no such service is running")
