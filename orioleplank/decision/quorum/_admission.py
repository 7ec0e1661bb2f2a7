"""Admission control: refuses at arrival the requests that cannot or must not be served."""

from __future__ import annotations

from dataclasses import replace

from orioleplank.decision.admission import AdmissionRefused, decide_admission
from orioleplank.decision.quorum._proxy_state import ProxyState
from orioleplank.decision.quorum._refusal import (
    DidRun,
    Mechanism,
    Party,
    Person,
    Program,
    Refusal,
    RefusalReason,
)
from orioleplank.decision.quorum._request import TRANSACTION_OPERATIONS, Operation, Request
from orioleplank.decision.quorum._specs import ChangeMetadata, PresetSpec


def check_admission(
    request: Request,
    proxy_state: ProxyState,
    queue_length: int,
    wait: float,
    accepts_requests: bool,
    in_open_transaction: bool,
) -> Refusal | None:
    """Return the refusal of `request`, or None when it is admitted.

    `queue_length` is the number of queued requests of the service, and `wait` the expected
    queueing time in seconds. `accepts_requests` is False once the proxy refuses new requests;
    `in_open_transaction` is True for a step of a transaction that is open on this proxy.

    If an earlier copy of the request may have run, the refusal says that the outcome is unknown.
    """
    refusal = _find_refusal(
        request, proxy_state, queue_length, wait, accepts_requests, in_open_transaction
    )
    if refusal is not None and request.may_have_run:
        return replace(refusal, did_run=DidRun.UNKNOWN)
    return refusal


def _find_refusal(
    request: Request,
    proxy_state: ProxyState,
    queue_length: int,
    wait: float,
    accepts_requests: bool,
    in_open_transaction: bool,
) -> Refusal | None:
    if not accepts_requests:
        return _refuse(RefusalReason.STOPPING, Mechanism.STOP, "the proxy is stopping", 0.1)
    if proxy_state.configuration.revision == 0:
        return _refuse(
            RefusalReason.NOT_CONFIGURED,
            Mechanism.CONFIGURATION,
            "the proxy has not learned the configuration yet",
            0.5,
        )
    spec = proxy_state.configuration.service(request.service)
    if spec is None:
        detail = f"no service is called {request.service!r}"
        return _refuse(RefusalReason.UNKNOWN_SERVICE, Mechanism.VALIDATION, detail)
    if spec.kind(request.kind) is None:
        detail = f"service {request.service!r} has no kind {request.kind!r}"
        return _refuse(RefusalReason.UNKNOWN_KIND, Mechanism.VALIDATION, detail)
    if in_open_transaction or request.operation is Operation.OUTCOME:
        return None
    preset, change = proxy_state.configuration.preset_in_force()
    if request.kind in preset.refused_kinds and _starts_new_work(request):
        return _refuse_by_preset(request, change)
    return _check_load(request, proxy_state, preset, queue_length, wait)


def _starts_new_work(request: Request) -> bool:
    return request.operation not in TRANSACTION_OPERATIONS or request.operation is Operation.BEGIN


def _check_load(
    request: Request, proxy_state: ProxyState, preset: PresetSpec, queue_length: int, wait: float
) -> Refusal | None:
    if proxy_state.now >= request.deadline:
        return _refuse(RefusalReason.DEADLINE, Mechanism.DEADLINE, "the deadline passed on the way")
    if queue_length >= preset.queue_limit:
        return _refuse(
            RefusalReason.OVERLOADED, Mechanism.ADMISSION, "the queue is full", max(wait, 0.1)
        )
    match decide_admission(wait, request.deadline - proxy_state.now):
        case AdmissionRefused(retry_after):
            detail = f"it would wait {wait:.2f} s, too close to its deadline"
            return _refuse(RefusalReason.OVERLOADED, Mechanism.ADMISSION, detail, retry_after)
    return None


def _refuse(
    reason: RefusalReason, mechanism: Mechanism, detail: str, retry_after: float = 0.0
) -> Refusal:
    party = Program(mechanism)
    return Refusal(reason, party, DidRun.NO, "admit", retry_after=retry_after, detail=detail)


def _refuse_by_preset(request: Request, change: ChangeMetadata | None) -> Refusal:
    party: Party = Program(Mechanism.CONFIGURATION)
    if change is not None:
        party = Person(change.author, change.id, change.at)
    return Refusal(
        RefusalReason.PRESET,
        party,
        DidRun.NO,
        "admit",
        retry_after=60.0,
        detail=f"the preset in force does not admit {request.kind!r}",
    )
