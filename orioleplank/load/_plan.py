"""The plan of a load test: kinds of requests, their rate, and the faults to inject."""

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
    """One kind of request and its share of the load."""

    name: str
    # Relative frequency among all kinds.
    share: Share
    # One SQL statement; the first `?` stands for the request id, the second for the session name.
    sql: str
    # Weight of one answer in the goodput.
    weight: Annotated[int, Field(ge=1)] = 1
    # True for a statement that changes data.
    write: bool = False
    # Maximum age of the data in seconds; 0 for session freshness.
    max_age: Annotated[float, Field(ge=0)] = 0.0


@dataclass(frozen=True, config=_STRICT)
class FaultPlan:
    """A signal to a process, or a request to a stand-in's admin endpoint, at a set time."""

    # Time after the start of the load, in seconds.
    at: Annotated[float, Field(ge=0)]
    # Signal to send; empty for none.
    signal: Literal["", "KILL", "STOP", "CONT", "TERM"] = ""
    # Id of the process that receives the signal.
    pid: Annotated[int, Field(ge=0)] = 0
    # HOST:PORT of the admin endpoint that receives `order`; empty for none.
    address: str = ""
    # JSON body of the POST request.
    order: str = "{}"


@dataclass(frozen=True, config=_STRICT)
class LoadPlan:
    """The plan of one load test."""

    # Addresses of proxies for callers, or of one instance with `straight`.
    targets: Annotated[tuple[str, ...], Field(min_length=1)]
    service: str
    # Requests per second over all kinds, independent of the replies to earlier ones.
    rate: Annotated[float, Field(gt=0, le=20_000)]
    # Time for which requests are sent.
    seconds: Annotated[float, Field(gt=0, le=3600)]
    kinds: Annotated[tuple[KindPlan, ...], Field(min_length=1)]
    faults: tuple[FaultPlan, ...] = ()
    # Time limit of each request in seconds; an answer after it counts as late.
    timeout: Annotated[float, Field(gt=0, le=60)] = 2.0
    # Number of callers; each has its own session.
    callers: Annotated[int, Field(ge=1, le=10_000)] = 50
    # Seed of arrival times and of the choice of kinds.
    seed: int = 1
    # True to connect to an instance directly, as a baseline without a proxy.
    straight: bool = False
    # Term of the instance's primary, for writes with `straight`.
    term: int = 0


def read_plan(path: Path) -> LoadPlan:
    """Read a plan from a YAML file; raise `InvalidDocumentError` when it is not valid."""
    return validate_document(read_documents(path)[0], LoadPlan)
