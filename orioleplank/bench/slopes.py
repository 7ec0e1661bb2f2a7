"""Measures how CPU time and memory of a proxy's decisions grow with services, peers and objects.

`python -m orioleplank.bench.slopes` runs the decision code in this process at several sizes and
prints a linear fit of each measurement with its R2 value. docs/CAPACITY.md uses the results.
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

METADATA = ChangeMetadata("c", "ana", 0.0)
PARTICIPANT = Participant("p", "p-1")
TICK_INTERVAL_S = 0.08
REPORT_INTERVAL_S = 0.4
HEARTBEAT_INTERVAL_S = 0.2
MEASUREMENT_S = 6.0
INSTANCE_NAMES = ("a", "b", "c")


@dataclass(frozen=True, slots=True)
class LinearFit:
    """Measurements at several sizes and their linear fit, which `str` shows."""

    name: str
    # Unit of the measurements.
    unit: str
    sizes: tuple[int, ...]
    # Measurements, one for each size.
    figures: tuple[float, ...]

    def __str__(self) -> str:
        fit = linear_regression(self.sizes, self.figures)
        r_squared = correlation(self.sizes, self.figures) ** 2
        points = ", ".join(
            f"{size}: {figure:.4g}" for size, figure in zip(self.sizes, self.figures, strict=True)
        )
        return (
            f"{self.name}: {fit.slope:.4g} {self.unit} each + {fit.intercept:.4g}"
            f" (R2 {r_squared:.4f}; {points})"
        )


def make_service_objects(count: int) -> tuple[StoredObject, ...]:
    """Return `count` services as stored objects, each with an allotment of slots."""
    instances = tuple(InstanceSpec(name, f"{name}:1", "akl-a") for name in INSTANCE_NAMES)
    service = dump_body(METADATA, ServiceSpec(instances, (KindSpec("save"),)))
    shares = tuple(SlotShare(PARTICIPANT, name, 5, 30) for name in INSTANCE_NAMES)
    allotment = dump_body(METADATA, AllotmentSpec(shares))
    objects = []
    for number in range(count):
        name = f"s{number}"
        objects.append(StoredObject(ObjectKey(ObjectKind.SERVICE, name), 2 * number + 1, service))
        objects.append(
            StoredObject(ObjectKey(ObjectKind.ALLOTMENT, name), 2 * number + 2, allotment)
        )
    return tuple(objects)


def make_report(name: str) -> Report:
    """Return the report of an instance in a healthy group; `a` is the primary."""
    role = Role.PRIMARY if name == "a" else Role.REPLICA
    return Report(name, 1, role, TermHistory(Position(1, 9), (TermStart(1, 1),)), following="a")


class IdleProxy:
    """A proxy without callers, whose instances respond immediately and whose peers send heartbeats.

    `messages` counts the messages that the decisions have handled.
    """

    def __init__(self, services: int, peers: int = 0) -> None:
        self.proxy = Proxy(ProxyIdentity("p", "p-1", "akl-a"))
        self.now = 0.0
        self.messages = 0
        self._services = services
        self._peers = peers
        self.deliver(ObjectsReceived(2 * services, make_service_objects(services)))

    def deliver(self, message: object) -> None:
        """Deliver a message to the proxy and respond to the probes that it sends."""
        self.messages += 1
        for effect in self.proxy.handle(message, self.now):  # type: ignore[arg-type]
            if isinstance(effect, ProbeInstance):
                report = make_report(effect.instance)
                self.deliver(InstanceReported(effect.service, report, effect.round_number))

    def run(self, seconds: float) -> float:
        """Advance the time by `seconds`; return the CPU seconds that the decisions used."""
        end, last_report_at, last_heartbeats_at = self.now + seconds, self.now, self.now
        started = time.process_time()
        while self.now < end:
            self.now += TICK_INTERVAL_S
            self.deliver(Tick())
            if self.now - last_report_at >= REPORT_INTERVAL_S:
                last_report_at = self.now
                self._deliver_reports()
            if self.now - last_heartbeats_at >= HEARTBEAT_INTERVAL_S:
                last_heartbeats_at = self.now
                self._deliver_heartbeats()
        return time.process_time() - started

    def _deliver_reports(self) -> None:
        for number in range(self._services):
            for name in INSTANCE_NAMES:
                self.deliver(InstanceReported(f"s{number}", make_report(name)))

    def _deliver_heartbeats(self) -> None:
        for number in range(self._peers):
            self.deliver(HeartbeatReceived(f"q{number}", f"q{number}-1", 2 * self._services))


def measure(sizes: tuple[int, ...], call: Callable[[int], float]) -> tuple[float, ...]:
    """Return a measurement for each size."""
    return tuple(call(size) for size in sizes)


def measure_services(count: int) -> float:
    """Return the share of a core that the decisions use for `count` services."""
    idle_proxy = IdleProxy(count)
    idle_proxy.run(1.0)
    return idle_proxy.run(MEASUREMENT_S) / MEASUREMENT_S


def measure_service_messages(count: int) -> float:
    """Return the messages per second that the decisions handle for `count` services."""
    idle_proxy = IdleProxy(count)
    idle_proxy.run(1.0)
    messages_before = idle_proxy.messages
    idle_proxy.run(MEASUREMENT_S)
    return (idle_proxy.messages - messages_before) / MEASUREMENT_S


def measure_memory(build: Callable[[], object]) -> float:
    """Return the memory of a new object and all that it references, in bytes."""
    gc.collect()
    tracemalloc.start()
    measured = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del measured
    return float(size)


def measure_service_memory(count: int) -> float:
    """Return the memory of the decisions' state for `count` services, in bytes."""

    def build() -> object:
        idle_proxy = IdleProxy(count)
        idle_proxy.run(MEASUREMENT_S)
        return idle_proxy

    return measure_memory(build)


def measure_peers(count: int) -> float:
    """Return the share of a core that the decisions use for 4 services and `count` peers."""
    idle_proxy = IdleProxy(4, count)
    idle_proxy.run(1.0)
    return idle_proxy.run(MEASUREMENT_S) / MEASUREMENT_S


def measure_heartbeat(services: int) -> float:
    """Return the size of a heartbeat with slot holdings of `services` services, in bytes."""
    holdings = tuple(SlotHolding(f"service-{number}", 12345, 15) for number in range(services))
    heartbeat = SendHeartbeat(10**6, 10**6, False, (), (), 10**6, (), holdings)
    identity = ProxyIdentity("entry-1234", "entry-1234-0123456789ab", "zone")
    return float(encode_heartbeat(identity, heartbeat).ByteSize())


def measure_objects_memory(count: int) -> float:
    """Return the memory of a proxy with `count` presets in its configuration, in bytes."""
    return measure_memory(lambda: _build_proxy_with_presets(count))


def _build_proxy_with_presets(count: int) -> Proxy:
    proxy = Proxy(ProxyIdentity("p", "p-1", "akl-a"))
    body = dump_body(METADATA, PresetSpec(refused_kinds=("sync",)))
    objects = tuple(
        StoredObject(ObjectKey(ObjectKind.PRESET, f"preset-{n}"), n + 1, body) for n in range(count)
    )
    proxy.handle(ObjectsReceived(count, objects), 0.0)
    return proxy


def measure_change(count: int) -> float:
    """Return the CPU time to apply one change to a configuration of `count` objects, in seconds."""
    proxy = _build_proxy_with_presets(count)
    body = dump_body(METADATA, PresetSpec())
    changes = 50
    started = time.process_time()
    for number in range(changes):
        version = count + number + 1
        key = ObjectKey(ObjectKind.PRESET, f"preset-{number}")
        proxy.handle(ObjectsReceived(version, (StoredObject(key, version, body),)), 0.0)
    return (time.process_time() - started) / changes


def main() -> None:
    """Run all measurements and print their fits."""
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
        print(LinearFit(name, unit, sizes, measure(sizes, call)), flush=True)


if __name__ == "__main__":
    main()
