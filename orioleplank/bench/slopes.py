"""Measures how a proxy's control grows with its services, peers and objects.

`python -m orioleplank.bench.slopes` drives the decisions in this process, at several sizes each,
and prints a straight line through the figures with its error. docs/CAPACITY.md uses them.
"""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from statistics import correlation, linear_regression

from orioleplank.daemon._peers import encode_heartbeat
from orioleplank.decision.quorum import (
    AllotmentSpec,
    ChangeMetadata,
    HeartbeatReceived,
    InstanceReported,
    InstanceSpec,
    KindSpec,
    ObjectKey,
    ObjectKind,
    ObjectsReceived,
    Participant,
    Position,
    PresetSpec,
    ProbeInstance,
    Proxy,
    ProxyIdentity,
    Report,
    Role,
    SendHeartbeat,
    ServiceSpec,
    SlotHolding,
    SlotShare,
    StoredObject,
    TermHistory,
    TermStart,
    Tick,
    dump_body,
)

CHANGE = ChangeMetadata("c", "ana", 0.0)
OWN = Participant("p", "p-1")
IDLE_TICK_S = 0.08
REPORT_S = 0.4
HEARTBEAT_S = 0.2
SPAN_S = 6.0
NAMES = ("a", "b", "c")


@dataclass(frozen=True, slots=True)
class Line:
    """A straight line through figures."""

    # What was measured.
    name: str
    # Unit of a figure.
    unit: str
    # Sizes.
    sizes: tuple[int, ...]
    # Figures, one for each size.
    figures: tuple[float, ...]

    def __str__(self) -> str:
        fit = linear_regression(self.sizes, self.figures)
        squared = correlation(self.sizes, self.figures) ** 2
        shown = ", ".join(
            f"{size}: {figure:.4g}" for size, figure in zip(self.sizes, self.figures, strict=True)
        )
        return (
            f"{self.name}: {fit.slope:.4g} {self.unit} each + {fit.intercept:.4g}"
            f" (R2 {squared:.4f}; {shown})"
        )


def make_service_objects(count: int) -> tuple[StoredObject, ...]:
    """Return `count` services, each with its slots."""
    instances = tuple(InstanceSpec(name, f"{name}:1", "akl-a") for name in NAMES)
    service = dump_body(CHANGE, ServiceSpec(instances, (KindSpec("save"),)))
    shares = tuple(SlotShare(OWN, name, 5, 30) for name in NAMES)
    allotment = dump_body(CHANGE, AllotmentSpec(shares))
    objects = []
    for number in range(count):
        name = f"s{number}"
        objects.append(StoredObject(ObjectKey(ObjectKind.SERVICE, name), 2 * number + 1, service))
        objects.append(
            StoredObject(ObjectKey(ObjectKind.ALLOTMENT, name), 2 * number + 2, allotment)
        )
    return tuple(objects)


def make_report(name: str) -> Report:
    """Return a report of a healthy group."""
    role = Role.PRIMARY if name == "a" else Role.REPLICA
    return Report(name, 1, role, TermHistory(Position(1, 9), (TermStart(1, 1),)), following="a")


class IdleNode:
    """A proxy without callers, whose instances and peers answer at once."""

    def __init__(self, services: int, peers: int = 0) -> None:
        self.proxy = Proxy(ProxyIdentity("p", "p-1", "akl-a"))
        self.now = 0.0
        self.messages = 0
        self._services = services
        self._peers = peers
        self.tell(ObjectsReceived(2 * services, make_service_objects(services)))

    def tell(self, message: object) -> None:
        """Give the proxy a message; answer its rounds."""
        self.messages += 1
        for effect in self.proxy.handle(message, self.now):  # type: ignore[arg-type]
            if isinstance(effect, ProbeInstance):
                report = make_report(effect.instance)
                self.tell(InstanceReported(effect.service, report, effect.round_number))

    def run(self, seconds: float) -> float:
        """Let time pass; return the processor seconds that the decisions took."""
        until, reported, beaten = self.now + seconds, self.now, self.now
        started = time.process_time()
        while self.now < until:
            self.now += IDLE_TICK_S
            self.tell(Tick())
            if self.now - reported >= REPORT_S:
                reported = self.now
                self._report()
            if self.now - beaten >= HEARTBEAT_S:
                beaten = self.now
                self._beat()
        return time.process_time() - started

    def _report(self) -> None:
        for number in range(self._services):
            for name in NAMES:
                self.tell(InstanceReported(f"s{number}", make_report(name)))

    def _beat(self) -> None:
        for number in range(self._peers):
            self.tell(HeartbeatReceived(f"q{number}", f"q{number}-1", 2 * self._services))


def measure(sizes: tuple[int, ...], call: Callable[[int], float]) -> tuple[float, ...]:
    """Return a figure for each size."""
    return tuple(call(size) for size in sizes)


def measure_services(count: int) -> float:
    """Return the share of a core that `count` services take in the decisions."""
    node = IdleNode(count)
    node.run(1.0)
    return node.run(SPAN_S) / SPAN_S


def measure_service_messages(count: int) -> float:
    """Return the messages a second that the decisions take for `count` services."""
    node = IdleNode(count)
    node.run(1.0)
    before = node.messages
    node.run(SPAN_S)
    return (node.messages - before) / SPAN_S


def measure_memory(build: Callable[[], object]) -> float:
    """Return the bytes that an object and all it holds take."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(size)


def measure_service_memory(count: int) -> float:
    """Return the bytes of the decisions' state for `count` services."""

    def build() -> object:
        node = IdleNode(count)
        node.run(SPAN_S)
        return node

    return measure_memory(build)


def measure_peers(count: int) -> float:
    """Return the share of a core that heartbeats of `count` peers take in the decisions."""
    node = IdleNode(4, count)
    node.run(1.0)
    return node.run(SPAN_S) / SPAN_S


def measure_heartbeat(services: int) -> float:
    """Return the bytes of a heartbeat of a node that is home to `services`."""
    holdings = tuple(SlotHolding(f"service-{number}", 12345, 15) for number in range(services))
    beat = SendHeartbeat(10**6, 10**6, False, (), (), 10**6, (), holdings)
    identity = ProxyIdentity("entry-1234", "entry-1234-0123456789ab", "zone")
    return float(encode_heartbeat(identity, beat).ByteSize())


def measure_objects_memory(count: int) -> float:
    """Return the bytes of `count` presets in a configuration."""
    return measure_memory(lambda: _fill(count))


def _fill(count: int) -> Proxy:
    proxy = Proxy(ProxyIdentity("p", "p-1", "akl-a"))
    body = dump_body(CHANGE, PresetSpec(refused_kinds=("sync",)))
    objects = tuple(
        StoredObject(ObjectKey(ObjectKind.PRESET, f"preset-{n}"), n + 1, body) for n in range(count)
    )
    proxy.handle(ObjectsReceived(count, objects), 0.0)
    return proxy


def measure_change(count: int) -> float:
    """Return the processor seconds to take one change in among `count` objects."""
    proxy = _fill(count)
    body = dump_body(CHANGE, PresetSpec())
    changes = 50
    started = time.process_time()
    for number in range(changes):
        version = count + number + 1
        key = ObjectKey(ObjectKind.PRESET, f"preset-{number}")
        proxy.handle(ObjectsReceived(version, (StoredObject(key, version, body),)), 0.0)
    return (time.process_time() - started) / changes


def main() -> None:
    """Print all lines."""
    services, peers, objects = (1, 4, 8, 16, 32), (2, 6, 12, 24, 48), (500, 1000, 2000, 4000, 8000)
    for name, unit, sizes, call in (
        ("service, decisions", "of a core", services, measure_services),
        ("service, messages", "messages/s", services, measure_service_messages),
        ("service, memory", "bytes", services, measure_service_memory),
        ("peer, decisions", "of a core", peers, measure_peers),
        ("service in a heartbeat", "bytes", services, measure_heartbeat),
        ("object, memory", "bytes", objects, measure_objects_memory),
        ("object, cost of one change", "s", objects, measure_change),
    ):
        print(Line(name, unit, sizes, measure(sizes, call)), flush=True)


if __name__ == "__main__":
    main()
