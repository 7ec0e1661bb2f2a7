"""A proxy that is stopped in turn with others of its zone cuts requests that it has passed on."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import time
from dataclasses import dataclass
from pathlib import Path

from review.standin.deployment import (
    GRACE_S,
    Client,
    Deployment,
    Proxy,
    Reply,
    build_instances,
    run_case,
)
from review.standin.ingress import Ingress

# Seven proxies as in the site; three of them are stopped and started in turn (share 0.43).
ZONE_OF_EACH_PROXY = ("akl-a", "akl-a", "akl-a", "wlg-a", "wlg-a", "chc-a", "chc-a")
# The machines get SIGTERM one at a time, each this much later than the one before.
GAP_S = 1.3
RESTART_S = 0.9
# Clients of the zone: sessions of one operation, and long sessions that are mostly idle.
SHORT_SESSIONS_PER_S = 120.0
# Share of the sessions of one operation that write.
WRITE_SHARE = 0.25
LONG_SESSIONS = 24
LONG_SESSION_PAUSE_S = 1.5
RUN_S = 16.0


@dataclass(frozen=True)
class Sent:
    """A request with its reply and the proxy that took it."""

    proxy: Proxy
    reply: Reply


async def scenario(deployment: Deployment, trouble: bool) -> list[str]:
    """Stop and start the three proxies of one zone in turn while clients read."""
    instances = build_instances(deployment.subnet)
    for instance in instances:
        instance.work_s = 0.055
    await deployment.start(instances, proxies=ZONE_OF_EACH_PROXY)
    zone = [proxy for proxy in deployment.proxies if proxy.zone == "akl-a"]
    ingress = Ingress(deployment, zone)
    deployment.run(ingress.run())
    await asyncio.sleep(3.0)
    sent: list[Sent] = []
    end = time.monotonic() + RUN_S
    tasks = [deployment.run(open_short_sessions(deployment, ingress, sent, end))]
    for number in range(LONG_SESSIONS):
        tasks.append(deployment.run(hold_long_session(deployment, ingress, number, sent, end)))
    await asyncio.sleep(3.0)
    stopped_at: dict[str, float] = {}
    if trouble:
        for proxy in zone:
            stopped_at[proxy.name] = time.monotonic()
            tasks.append(deployment.run(stop_and_start(deployment, proxy)))
            await asyncio.sleep(GAP_S)
    await asyncio.gather(*tasks)
    run_ids = deployment.run_ids
    texts = deployment.requests
    found = (judge(item, stopped_at, run_ids, texts) for item in sent)
    return [text for text in found if text is not None]


def judge(
    sent: Sent, stopped_at: dict[str, float], run_ids: set[str], texts: dict[str, str]
) -> str | None:
    """Return how a request breaks the rule, or None."""
    reply, stop = sent.reply, stopped_at.get(sent.proxy.name)
    if reply.ok or reply.code or stop is None:
        return None
    if not stop <= reply.replied_at <= stop + GRACE_S + 1.0:
        return None
    if reply.request not in run_ids:
        # It may not have been read.
        return None
    if reply.sent_at <= stop + 3.0 and reply.replied_at >= stop + GRACE_S * 5 / 6:
        return None
    text = texts[reply.request].partition(" ")[0]
    return (
        f"LOST: {sent.proxy.name} took {reply.request} ({text}) {reply.sent_at - stop:.2f} s after "
        f"its SIGTERM, an instance ran it, and the connection ended without an answer "
        f"{reply.replied_at - reply.sent_at:.3f} s later"
    )


async def stop_and_start(deployment: Deployment, proxy: Proxy) -> None:
    """Stop a process as the platform does, and start it again."""
    proxy.signal(signal.SIGTERM)
    process = proxy.process
    assert process is not None
    end = time.monotonic() + GRACE_S
    while process.poll() is None and time.monotonic() < end:
        await asyncio.sleep(0.01)
    if process.poll() is None:
        proxy.signal(signal.SIGKILL)
        process.wait()
    deployment.log(f"{proxy.name} has ended with {process.returncode}")
    await asyncio.sleep(RESTART_S)
    proxy.start()


async def open_short_sessions(
    deployment: Deployment, ingress: Ingress, sent: list[Sent], end: float
) -> None:
    """Open a session for each operation."""
    tasks = []
    while time.monotonic() < end:
        tasks.append(deployment.run(operate_once(deployment, ingress, sent)))
        await asyncio.sleep(random.expovariate(SHORT_SESSIONS_PER_S))
    await asyncio.gather(*tasks)


async def operate_once(deployment: Deployment, ingress: Ingress, sent: list[Sent]) -> None:
    """Read or write one item in a session of its own; only a read is retried."""
    number = random.randrange(1 << 30)
    writes = random.random() < WRITE_SHARE
    item = f"q{random.randrange(1000)}"
    for attempt in range(3):
        proxy = ingress.choose(number, attempt)
        client = Client(deployment, proxy, "saves" if writes else "looks")
        if await client.open():
            reply = await client.query(f"WRITE {item} v{number}" if writes else f"READ {item}")
            sent.append(Sent(proxy, reply))
            client.close()
            if reply.ok or writes:
                return
        await asyncio.sleep(0.05)


async def hold_long_session(
    deployment: Deployment, ingress: Ingress, number: int, sent: list[Sent], end: float
) -> None:
    """Keep a session that is mostly idle, and open it again after a close."""
    attempt = 0
    while time.monotonic() < end:
        proxy = ingress.choose(number, attempt)
        client = Client(deployment, proxy, "looks")
        if not await client.open():
            attempt += 1
            await asyncio.sleep(0.05)
            continue
        while time.monotonic() < end:
            pause = random.expovariate(1 / LONG_SESSION_PAUSE_S)
            if await client.wait_for_close(min(pause, end - time.monotonic())):
                break
            reply = await client.query(f"READ q{random.randrange(1000)}")
            sent.append(Sent(proxy, reply))
            if not reply.ok:
                break
        client.close()


if __name__ == "__main__":
    # With TROUBLE=0 the disruption is left out.
    trouble = os.environ.get("TROUBLE", "1") != "0"
    run_case(Path(__file__).parent / "record.txt", trouble, scenario)
