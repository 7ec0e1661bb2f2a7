"""The loads that connection owners tell in their responses: sent by owners, kept by senders."""

from __future__ import annotations

from collections.abc import Callable

from orioleplank.decision.mechanisms import Mechanism
from orioleplank.decision.routing import OwnerLoad, OwnerNews, update_news
from orioleplank.gateway._frames import (
    Answered,
    BeginAsked,
    LoadFields,
    NotSent,
    ResponseFrame,
    RunAsked,
    Unanswered,
)
from orioleplank.gateway._pool import InstancePool

# News older than this, in seconds, is removed; it has lost all weight.
NEWS_RETENTION_S = 10.0


def encode_load(pool: InstancePool) -> LoadFields | None:
    """Return the load of a pool for a response; None if this proxy does not tell it."""
    if not pool.mechanisms.is_on(Mechanism.OWNER_LOAD):
        return None
    limit = pool.statements.limit or pool.statements.connections
    wait_ms = round(pool.expected_wait * 1000)
    return (pool.servable_waiting, len(pool.statements), limit, wait_ms)


class OwnerLoads:
    """The newest load that each owner told of each instance, and what was sent to it since."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        # By (instance, owner).
        self._news: dict[tuple[str, str], OwnerNews] = {}

    def news(self, instance: str, owner: str) -> OwnerNews | None:
        """Return the newest news of an owner's load for an instance; None without any."""
        return self._news.get((instance, owner))

    def record_sent(self, instance: str, owner: str, request: object) -> None:
        """Record that a request was sent; one that needs no new connection there adds no load."""
        if not isinstance(request, RunAsked | BeginAsked):
            return
        news = self._news.get((instance, owner))
        if news is not None:
            self._news[instance, owner] = news.add_sent()

    def record_response(
        self, instance: str, owner: str, request: object, response: ResponseFrame, sent_at: float
    ) -> None:
        """Record the load in a response to a request that was sent at `sent_at`, in seconds.

        An owner of the previous version tells none.
        """
        if not isinstance(response, Answered | NotSent | Unanswered) or response.load is None:
            return
        waiting, running, limit, wait_ms = response.load
        load = OwnerLoad(waiting, running, limit, wait_ms / 1000)
        is_sample = isinstance(request, RunAsked) and _has_run(response)
        elapsed = self._now() - sent_at if is_sample else None
        news = self._news.get((instance, owner))
        if news is None:
            self._remove_old()
        self._news[instance, owner] = update_news(news, load, elapsed, self._now())

    def _remove_old(self) -> None:
        oldest = self._now() - NEWS_RETENTION_S
        self._news = {key: news for key, news in self._news.items() if news.received_at >= oldest}


def _has_run(response: ResponseFrame) -> bool:
    return isinstance(response, Answered) and response.failure is None
