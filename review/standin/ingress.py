"""A stand-in for the platform's ingress of one zone: it forwards connections to the proxies."""

from __future__ import annotations

import asyncio
import random

from review.standin.deployment import Deployment, Proxy

PROBE_INTERVAL_S = 1.0
# Misses after which a node receives no new connections.
MISSES = 2


class Ingress:
    """Chooses a proxy for each new connection, as the users' pages say."""

    def __init__(self, deployment: Deployment, proxies: list[Proxy]) -> None:
        self._deployment = deployment
        self._proxies = proxies
        self._misses = {proxy.name: 0 for proxy in proxies}

    @property
    def in_rotation(self) -> list[Proxy]:
        """The proxies that answered one of the last two questions with 200."""
        return [proxy for proxy in self._proxies if self._misses[proxy.name] < MISSES]

    async def run(self) -> None:
        """Ask each proxy once a second whether it is ready."""
        await asyncio.gather(*(self._probe(proxy) for proxy in self._proxies))

    async def _probe(self, proxy: Proxy) -> None:
        await asyncio.sleep(random.random() * PROBE_INTERVAL_S)
        while True:
            is_ready = await proxy.is_ready()
            before = self._misses[proxy.name]
            self._misses[proxy.name] = 0 if is_ready else before + 1
            if (before < MISSES) != (self._misses[proxy.name] < MISSES):
                state = "in" if is_ready else "out of"
                self._deployment.log(f"ingress: {proxy.name} is {state} rotation")
            await asyncio.sleep(PROBE_INTERVAL_S)

    def choose(self, client: int, attempt: int) -> Proxy:
        """Choose the proxy for a client's connection; further attempts reach other proxies.

        All proxies of the zone are used while fewer than half of them are in rotation.
        """
        chosen = self.in_rotation
        if 2 * len(chosen) < len(self._proxies):
            chosen = self._proxies
        return chosen[(client * 7919 + attempt) % len(chosen)]
