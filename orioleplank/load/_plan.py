"""What an experiment sends, how fast, and which faults strike when."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

from pydantic import ConfigDict, Field
from pydantic.dataclasses import dataclass

from orioleplank.settings import read_documents, validate_document

_STRICT = ConfigDict(extra="forbid")
Share = Annotated[float, Field(gt=0, le=1)]


@dataclass(frozen=True, config=_STRICT)
class KindPlan:
    """One kind of request."""

    # Name of the kind.
    name: str
    # Share of all requests.
    share: Share
    # One SQL statement; `?` takes the request's id, a second `?` the session's name.
    sql: str
    # Worth of one answer.
    weight: Annotated[int, Field(ge=1)] = 1
    # True when it changes data.
    write: bool = False
    # Greatest accepted age in seconds; 0 for session freshness.
    max_age: Annotated[float, Field(ge=0)] = 0.0


@dataclass(frozen=True, config=_STRICT)
class FaultPlan:
    """A signal to a process, or an order to a stand-in, at a set time."""

    # Seconds after the start.
    at: Annotated[float, Field(ge=0)]
    # Signal to send; empty for none.
    signal: Literal["", "KILL", "STOP", "CONT", "TERM"] = ""
    # Process to send it to.
    pid: Annotated[int, Field(ge=0)] = 0
    # Address of a stand-in to send `order` to; empty for none.
    address: str = ""
    # JSON to post there.
    order: str = "{}"


@dataclass(frozen=True, config=_STRICT)
class LoadPlan:
    """One experiment."""

    # Addresses of proxies for callers, or of one instance with `straight`.
    targets: Annotated[tuple[str, ...], Field(min_length=1)]
    # Name of the service.
    service: str
    # Requests per second in all; they arrive whether or not earlier ones are answered.
    rate: Annotated[float, Field(gt=0, le=20_000)]
    # Seconds for which requests arrive.
    seconds: Annotated[float, Field(gt=0, le=3600)]
    # Kinds of request.
    kinds: Annotated[tuple[KindPlan, ...], Field(min_length=1)]
    # Faults.
    faults: tuple[FaultPlan, ...] = ()
    # Seconds after which a caller stops waiting.
    timeout: Annotated[float, Field(gt=0, le=60)] = 2.0
    # Callers, each with a session of its own.
    callers: Annotated[int, Field(ge=1, le=10_000)] = 50
    # Seed of arrivals and choices.
    seed: int = 1
    # True to speak to an instance directly, for comparison.
    straight: bool = False
    # Term of the instance's primary, for writes with `straight`.
    term: int = 0


def read_plan(path: Path) -> LoadPlan:
    """Read an experiment from a YAML file; raise `InvalidDocumentError` when it is not valid."""
    return validate_document(read_documents(path)[0], LoadPlan)
