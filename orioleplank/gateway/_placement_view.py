"""The internal HTTP site of a proxy: answers placement queries, and serves the metrics."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

import msgspec

from orioleplank.gateway._instance_connector import InstanceConnector
from orioleplank.gateway._rate_limiter import RateLimiter
from orioleplank.gateway._statements import StatementExecutor
from orioleplank.http import HttpServerFactory, Request, Response

if TYPE_CHECKING:
    from orioleplank.gateway._placement_answer import PlacementQuery

PLACEMENT_PATH = "/placement"
JSON_TYPE = "application/json"


class PlacementView:
    """Answers placement queries as JSON; answers contain names of accounts and never keys.

    A refusal is an answer with status 200; 400 is a query that names something unknown.
    """

    def __init__(
        self,
        proxy: str,
        statements: StatementExecutor,
        connector: InstanceConnector,
        rate_limiter: RateLimiter,
    ) -> None:
        self._proxy = proxy
        self._statements = statements
        self._connector = connector
        self._rate_limiter = rate_limiter

    def build_site(self, reactor: Any, render_metrics: Callable[[], Response]) -> HttpServerFactory:
        """Return a site that answers queries, and serves the metrics on every other path."""

        def respond(request: Request) -> Response:
            path, _, query = request.target.partition("?")
            return self.respond(query) if path == PLACEMENT_PATH else render_metrics()

        return HttpServerFactory(reactor, respond)

    def respond(self, query: str) -> Response:
        """Answer a query with `kind` and `database`, and optionally `account` and `age`."""
        # Imported with the first query, so that a restart does not wait for it.
        from orioleplank.gateway._placement_query import InvalidQueryError, PlacementFinder

        finder = PlacementFinder(self._proxy, self._statements, self._connector, self._rate_limiter)
        try:
            answer = finder.find(_parse_query(query))
        except (ValueError, InvalidQueryError) as error:
            detail = error.detail if isinstance(error, InvalidQueryError) else str(error)
            return Response(400, msgspec.json.encode({"error": detail}), JSON_TYPE)
        return Response(200, msgspec.json.encode(answer), JSON_TYPE)


def _parse_query(query: str) -> PlacementQuery:
    """Return the query; raise `ValueError` if a parameter is missing, unknown or invalid."""
    from orioleplank.gateway._placement_answer import PlacementQuery, StatementKind

    values = {name: texts[-1] for name, texts in parse_qs(query, keep_blank_values=True).items()}
    unknown = values.keys() - {"kind", "database", "account", "age"}
    if unknown:
        raise ValueError(f"unknown parameters: {', '.join(sorted(unknown))[:60]}")
    if "database" not in values:
        raise ValueError("the parameter database is missing")
    kinds = [kind.value for kind in StatementKind]
    if values.get("kind") not in kinds:
        raise ValueError(f"the parameter kind must be one of {', '.join(kinds)}")
    age = _parse_age(values["age"]) if "age" in values else None
    return PlacementQuery(
        StatementKind(values["kind"]), values["database"], values.get("account"), age
    )


def _parse_age(text: str) -> float:
    try:
        age = float(text)
    except ValueError:
        age = math.nan
    if not math.isfinite(age) or age < 0:
        raise ValueError("the parameter age must be a number of seconds, at least 0")
    return age
