"""Drives a whole proxy's decisions with a clock and a network of its own: here, none at all.

Run with `python examples/drive_decisions.py`. A bench replaces the `Outside` below by links of its
own: effects go out on them, and what comes back goes into `Proxy.handle` with the bench's time.
"""

from __future__ import annotations

from orioleplank.decision.quorum import (
    AllotmentSpec,
    CallerConnected,
    ChangeMetadata,
    ConnectionOpened,
    CurrentFreshness,
    Effect,
    InstanceReported,
    InstanceSpec,
    KindSpec,
    ObjectKey,
    ObjectKind,
    ObjectsReceived,
    OpenConnection,
    Operation,
    Participant,
    Position,
    ProbeInstance,
    Proxy,
    ProxyIdentity,
    Reply,
    Report,
    Request,
    RequestArrived,
    Role,
    SendStatement,
    ServiceSpec,
    SessionToken,
    SlotShare,
    StatementEnded,
    StatementStatus,
    StoredObject,
    TermHistory,
    TermStart,
    Tick,
    dump_body,
)

NAMES = ("a", "b", "c")
LAST = Position(1, 4)


class Outside:
    """Answers everything at once: rounds, connections, statements."""

    def __init__(self) -> None:
        self.proxy = Proxy(ProxyIdentity("entry-1", "entry-1-run-1", "akl-a"))
        self.now = 0.0

    def tell(self, message: object) -> None:
        """Give the proxy a message, and carry out what it wants."""
        for effect in self.proxy.handle(message, self.now):  # type: ignore[arg-type]
            self.carry_out(effect)

    def carry_out(self, effect: Effect) -> None:
        """Do what the proxy wants."""
        match effect:
            case ProbeInstance(service, instance, number):
                role = Role.PRIMARY if instance == "a" else Role.REPLICA
                report = Report(instance, 1, role, TermHistory(LAST, (TermStart(1, 1),)))
                self.tell(InstanceReported(service, report, number))
            case OpenConnection(connection):
                self.tell(ConnectionOpened(connection))
            case SendStatement(connection, statement):
                done = StatementStatus.DONE
                self.tell(StatementEnded(connection, statement, done, LAST, b"rows"))
            case Reply(request=request, outcome=outcome):
                print(f"{self.now:.2f} s {request.id}: {outcome}")


def main() -> None:
    """Configure a proxy, let it find its group, and send it one read."""
    change = ChangeMetadata("change-1", "ana", 0.0)
    instances = tuple(InstanceSpec(name, f"{name}:1", "akl-a") for name in NAMES)
    service = ServiceSpec(instances, (KindSpec("read-quote"),))
    own = Participant("entry-1", "entry-1-run-1")
    slots = AllotmentSpec(tuple(SlotShare(own, name, 5, 30) for name in NAMES))
    objects = (
        StoredObject(ObjectKey(ObjectKind.SERVICE, "books"), 1, dump_body(change, service)),
        StoredObject(ObjectKey(ObjectKind.ALLOTMENT, "books"), 2, dump_body(change, slots)),
    )
    outside = Outside()
    outside.tell(ObjectsReceived(2, objects))
    for _ in range(20):
        outside.now += 0.02
        outside.tell(Tick())
    outside.tell(CallerConnected(1))
    read = Request(
        "read-1",
        "books",
        "read-quote",
        Operation.RUN,
        b"SELECT ...",
        False,
        True,
        CurrentFreshness(),
        outside.now + 1.0,
        SessionToken(),
    )
    outside.tell(RequestArrived(1, read))
    for _ in range(10):
        outside.now += 0.02
        outside.tell(Tick())


if __name__ == "__main__":
    main()
