"""An acknowledged commit is lost because the replica that has it is away for a few seconds."""

from __future__ import annotations

import asyncio
import os
import random
import time
from pathlib import Path

from review.standin.deployment import Client, Deployment, Proxy, build_instances, run_case
from review.standin.instances import Entry, Instance

# Limits of the disruption on the users' pages.
DEAF_S = 6.5
CRASH_S = 7.0
REPLICA_CRASH_S = 3.0
# Time between the loss of replication and the crashes.
CRASH_AFTER_S = 1.5
WRITE_INTERVAL_S = 0.05


async def scenario(deployment: Deployment, trouble: bool) -> list[str]:
    """Cut replication to one replica; crash the other one for a moment, and the primary."""
    instances = build_instances(deployment.subnet)
    primary, synchronous, other = instances
    # Requests in a log at the time of a promotion, by the promoted instance.
    promoted: list[tuple[float, Instance, set[str]]] = []
    # Requests that were acknowledged to a client, with the time.
    acknowledged: dict[str, float] = {}
    group = await deployment.start(instances, sync=1)
    group.on_promoted = lambda item: promoted.append(
        (time.monotonic(), item, {entry.request for entry in item.log})
    )
    entries: dict[str, Entry] = {}
    group.on_commit = lambda _, entry: entries.__setitem__(entry.request, entry)
    await asyncio.sleep(3.0)
    end = time.monotonic() + 22.0
    tasks = [
        deployment.run(write(deployment, proxy, acknowledged, end)) for proxy in deployment.proxies
    ]
    await asyncio.sleep(2.0)
    if trouble:
        other.deaf = True
        deployment.log(f"{other.id} receives nothing")
        await asyncio.sleep(CRASH_AFTER_S)
        group.crash(primary)
        group.crash(synchronous)
        deployment.run(end_disruption(deployment, primary, other))
        await asyncio.sleep(REPLICA_CRASH_S)
        await group.restart_as_new(synchronous)
    await asyncio.gather(*tasks)
    found = []
    for at, item, requests in promoted:
        lost = [name for name, acked_at in acknowledged.items() if acked_at < at]
        lost = [name for name in lost if name not in requests]
        if lost:
            found.append(
                f"LOST: {item.id} was promoted without {len(lost)} acknowledged commits, "
                f"the first is {lost[0]} at {entries[lost[0]].term}.{entries[lost[0]].number}; "
                f"{synchronous.id} had them all, and was back {REPLICA_CRASH_S} s after its crash"
            )
    if trouble and not promoted:
        found.append("nothing was promoted: the case says nothing")
    return found


async def end_disruption(deployment: Deployment, primary: Instance, other: Instance) -> None:
    """End both parts of the disruption within their limits."""
    await asyncio.sleep(DEAF_S - CRASH_AFTER_S)
    deployment.group.catch_up(other)
    await asyncio.sleep(CRASH_S - DEAF_S + CRASH_AFTER_S)
    await deployment.group.restart_as_new(primary)


async def write(
    deployment: Deployment, proxy: Proxy, acknowledged: dict[str, float], end: float
) -> None:
    """Write through one proxy, and note what is acknowledged."""
    client = Client(deployment, proxy, "saves")
    is_open = await client.open()
    while time.monotonic() < end:
        if not is_open:
            client = Client(deployment, proxy, "saves")
            is_open = await client.open()
            await asyncio.sleep(0.2)
            continue
        item = f"q{random.randrange(1000)}"
        reply = await client.query(f"WRITE {item} v{random.getrandbits(40):x}")
        if reply.ok:
            acknowledged[reply.request] = reply.replied_at
        is_open = reply.state == "I"
        await asyncio.sleep(WRITE_INTERVAL_S)


if __name__ == "__main__":
    # With TROUBLE=0 the disruption is left out.
    trouble = os.environ.get("TROUBLE", "1") != "0"
    run_case(Path(__file__).parent / "record.txt", trouble, scenario)
