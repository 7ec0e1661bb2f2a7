"""One loop for Twisted and gRPC."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable

from orioleplank._reactor import get_reactor


def run_with_asyncio_reactor(
    main: Callable[[], Awaitable[None]], on_stop: Callable[[], None]
) -> None:
    """Run `main` under Twisted's asyncio reactor until the reactor is stopped.

    `on_stop` is called for SIGTERM and SIGINT. An error of `main` ends the reactor and is raised.
    """
    from twisted.internet import asyncioreactor

    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    reactor = get_reactor()
    failures: list[BaseException] = []
    tasks: list[asyncio.Task[None]] = []

    def finish(task: asyncio.Task[None]) -> None:
        if not task.cancelled() and (error := task.exception()) is not None:
            failures.append(error)
            reactor.callLater(0, reactor.stop)

    async def start() -> None:
        await main()

    def begin() -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, on_stop)
        task = loop.create_task(start())
        task.add_done_callback(finish)
        tasks.append(task)

    reactor.callWhenRunning(begin)
    reactor.run(installSignalHandlers=False)
    if failures:
        raise failures[0]
