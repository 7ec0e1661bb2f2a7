"""Runs the decisions of a proxy with a simulated clock and without a network.

Run with `python examples/drive_decisions.py`. A test bench can replace `Environment` with its own
links: it sends effects over them and passes the responses to `Proxy.handle` with its own time.
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

INSTANCE_NAMES = ("a", "b", "c")
LAST_POSITION = Position(1, 4)


class Environment:
    """Responds to each effect of the proxy immediately: probes, connections and statements."""

    def __init__(self) -> None:
        self.proxy = Proxy(ProxyIdentity("entry-1", "entry-1-run-1", "akl-a"))
        self.now = 0.0

    def deliver(self, message: object) -> None:
        """Deliver a message to the proxy, and carry out the effects that it returns."""
        for effect in self.proxy.handle(message, self.now):  # type: ignore[arg-type]
            self.carry_out(effect)

    def carry_out(self, effect: Effect) -> None:
        """Carry out one effect; effects of other kinds are ignored."""
        match effect:
            case ProbeInstance(service, instance, number):
                role = Role.PRIMARY if instance == "a" else Role.REPLICA
                report = Report(instance, 1, role, TermHistory(LAST_POSITION, (TermStart(1, 1),)))
                self.deliver(InstanceReported(service, report, number))
            case OpenConnection(connection):
                self.deliver(ConnectionOpened(connection))
            case SendStatement(connection, statement):
                status = StatementStatus.DONE
                self.deliver(StatementEnded(connection, statement, status, LAST_POSITION, b"rows"))
            case Reply(request=request, outcome=outcome):
                print(f"{self.now:.2f} s {request.id}: {outcome}")


def main() -> None:
    """Configure a proxy, let it discover the state of its group, and send it one read."""
    change = ChangeMetadata("change-1", "ana", 0.0)
    instances = tuple(InstanceSpec(name, f"{name}:1", "akl-a") for name in INSTANCE_NAMES)
    service = ServiceSpec(instances, (KindSpec("read-quote"),))
    participant = Participant("entry-1", "entry-1-run-1")
    allotment = AllotmentSpec(tuple(SlotShare(participant, name, 5, 30) for name in INSTANCE_NAMES))
    objects = (
        StoredObject(ObjectKey(ObjectKind.SERVICE, "books"), 1, dump_body(change, service)),
        StoredObject(ObjectKey(ObjectKind.ALLOTMENT, "books"), 2, dump_body(change, allotment)),
    )
    environment = Environment()
    environment.deliver(ObjectsReceived(2, objects))
    for _ in range(20):
        environment.now += 0.02
        environment.deliver(Tick())
    environment.deliver(CallerConnected(1))
    read = Request(
        "read-1",
        "books",
        "read-quote",
        Operation.RUN,
        b"SELECT ...",
        False,
        True,
        CurrentFreshness(),
        environment.now + 1.0,
        SessionToken(),
    )
    environment.deliver(RequestArrived(1, read))
    for _ in range(10):
        environment.now += 0.02
        environment.deliver(Tick())


if __name__ == "__main__":
    main()
