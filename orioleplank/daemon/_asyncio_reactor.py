"""One asyncio event loop shared by Twisted and gRPC."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable

from orioleplank._reactor import get_reactor


def run_with_asyncio_reactor(
    main: Callable[[], Awaitable[None]], on_stop: Callable[[], None]
) -> None:
    """Run `main` under Twisted's asyncio reactor until the reactor is stopped.

    `on_stop` is called for SIGTERM and SIGINT. If `main` fails, the reactor is stopped and the
    error is raised.
    """
    from twisted.internet import asyncioreactor

    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    reactor = get_reactor()
    failures: list[BaseException] = []
    tasks: list[asyncio.Task[None]] = []

    def record_failure(task: asyncio.Task[None]) -> None:
        if not task.cancelled() and (error := task.exception()) is not None:
            failures.append(error)
            reactor.callLater(0, reactor.stop)

    async def run_main() -> None:
        await main()

    def start_main() -> None:
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, on_stop)
        task = loop.create_task(run_main())
        task.add_done_callback(record_failure)
        tasks.append(task)

    reactor.callWhenRunning(start_main)
    reactor.run(installSignalHandlers=False)
    if failures:
        raise failures[0]
