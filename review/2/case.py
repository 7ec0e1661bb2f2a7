"""Two primaries: a proxy takes a failover over while the order of the one before is under way."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import time
from dataclasses import dataclass
from pathlib import Path

from review.standin.deployment import Client, Deployment, Proxy, build_instances, run_case
from review.standin.instances import Entry, Instance

# Seven proxies and the time of a promotion as in the site.
ZONE_OF_EACH_PROXY = ("akl-a", "akl-a", "akl-a", "wlg-a", "wlg-a", "chc-a", "chc-a")
PROMOTE_S = 1.0
# The primary is down for this long (the site: up to 7 s).
CRASH_S = 1.0
# The proxy that gave the order is killed this long after it, and started again after a short delay.
KILL_AFTER_ORDER_S = 0.05
RESTART_S = 0.1
WRITE_INTERVAL_S = 0.03


@dataclass(frozen=True)
class Commit:
    """A commit at an instance, with its time."""

    at: float
    instance: Instance
    entry: Entry


async def scenario(deployment: Deployment, trouble: bool) -> list[str]:
    """Crash the primary, and kill the proxy that orders the promotion right after its order."""
    instances = build_instances(deployment.subnet)
    primary = instances[0]
    commits: dict[str, Commit] = {}
    acknowledged: dict[str, Proxy] = {}
    promotions: list[tuple[float, Instance]] = []
    group = await deployment.start(instances, proxies=ZONE_OF_EACH_PROXY)
    group.promote_s = PROMOTE_S
    group.on_commit = lambda item, entry: commits.__setitem__(
        entry.request, Commit(time.monotonic(), item, entry)
    )
    group.on_promoted = lambda item: promotions.append((time.monotonic(), item))
    killed: list[Proxy] = []

    async def kill_holder(holder: str) -> None:
        if not killed:
            proxy = next(item for item in deployment.proxies if item.name == holder)
            killed.append(proxy)
            deployment.run(kill_and_start(proxy))

    group.on_order = kill_holder
    await asyncio.sleep(4.0)
    end = time.monotonic() + 12.0
    tasks = [
        deployment.run(write(deployment, proxy, acknowledged, end)) for proxy in deployment.proxies
    ]
    await asyncio.sleep(2.0)
    if trouble:
        group.crash(primary)
        await asyncio.sleep(CRASH_S)
        await group.restart_as_new(primary)
    await asyncio.gather(*tasks)
    return judge(commits, acknowledged, promotions, killed)


def judge(
    commits: dict[str, Commit],
    acknowledged: dict[str, Proxy],
    promotions: list[tuple[float, Instance]],
    killed: list[Proxy],
) -> list[str]:
    """Return the writes that an old primary committed after a promotion, if acknowledged."""
    found = []
    for promoted_at, promoted in promotions:
        late = [
            request
            for request, commit in commits.items()
            if commit.at > promoted_at
            and commit.entry.term < promoted.term
            and request in acknowledged
            and acknowledged[request] not in killed
        ]
        if late:
            first = commits[late[0]]
            found.append(
                f"ONE: {len(late)} writes were committed at {first.instance.id} in term "
                f"{first.entry.term} after {promoted.id} had taken over in term {promoted.term}, "
                f"and acknowledged; the first is {late[0]}, {first.at - promoted_at:.3f} s after"
            )
    return found


async def kill_and_start(proxy: Proxy) -> None:
    """Kill a process, and start it again after a short delay."""
    await asyncio.sleep(KILL_AFTER_ORDER_S)
    proxy.signal(signal.SIGKILL)
    assert proxy.process is not None
    proxy.process.wait()
    await asyncio.sleep(RESTART_S)
    proxy.start()


async def write(
    deployment: Deployment, proxy: Proxy, acknowledged: dict[str, Proxy], end: float
) -> None:
    """Write through one proxy, and note what is acknowledged."""
    client = Client(deployment, proxy, "saves")
    is_open = await client.open()
    while time.monotonic() < end:
        if not is_open:
            client = Client(deployment, proxy, "saves")
            is_open = await client.open()
            await asyncio.sleep(0.1)
            continue
        item = f"q{random.randrange(1000)}"
        reply = await client.query(f"WRITE {item} v{random.getrandbits(40):x}")
        if reply.ok:
            acknowledged[reply.request] = proxy
        is_open = reply.state == "I"
        await asyncio.sleep(WRITE_INTERVAL_S)


if __name__ == "__main__":
    # With TROUBLE=0 the disruption is left out.
    trouble = os.environ.get("TROUBLE", "1") != "0"
    run_case(Path(__file__).parent / "record.txt", trouble, scenario)
