"""Placement queries to the gateways of a simulated cluster."""

from __future__ import annotations

import json
from typing import Any
from urllib.parse import urlencode

from orioleplank.decision.accounts import AccountTable, ClientAccount, RateLimit
from orioleplank.tests._gateway_cluster import (
    CATALOGUE,
    JOBS,
    QUOTES,
    GatewayCluster,
    GatewayNode,
)

START_S = 6.0
KEY = "a-key-that-is-never-shown"
FREE_KEY = "another-key-that-is-never-shown"
ACCOUNTS = AccountTable(
    {KEY: ClientAccount("hot", limit=RateLimit(20.0, 10.0)), FREE_KEY: ClientAccount("free")}
)
# With so many operations, a proxy asks for permits ahead.
BUSY_ACCOUNT = ClientAccount("hot", limit=RateLimit(400.0, 200.0))
READ, WRITE, READ_ONLY = "read", "write", "read-only-transaction"


def start_cluster(
    proxies: int = 3, connection_limit: int = 30, accounts: AccountTable | None = None
) -> GatewayCluster:
    """Return a cluster that serves, with these accounts."""
    cluster = GatewayCluster(1, proxies, connection_limit)
    if accounts is not None:
        cluster.change_accounts(accounts)
    cluster.run_for(START_S)
    return cluster


def start_owner_cluster() -> GatewayCluster:
    """Return a cluster with so few connections that owners hold them."""
    return start_cluster(proxies=9, connection_limit=16)


def query(node: GatewayNode, kind: str, database: str, **parameters: str) -> dict[str, Any]:
    """Return the answer to a query; raise AssertionError if it is invalid."""
    text = urlencode({"kind": kind, "database": database, **parameters})
    response = node.gateway.placement_view.respond(text)
    if response.status != 200:
        raise AssertionError(response.body)
    answer: dict[str, Any] = json.loads(response.body)
    return answer


def query_error(node: GatewayNode, **parameters: str) -> str:
    """Return the error of an invalid query."""
    response = node.gateway.placement_view.respond(urlencode(parameters))
    if response.status != 400:
        raise AssertionError(f"status {response.status}")
    error: str = json.loads(response.body)["error"]
    return error


def query_everything(node: GatewayNode) -> list[dict[str, Any]]:
    """Return the answers to queries of each kind and database."""
    kinds, databases = (READ, WRITE, READ_ONLY), (QUOTES, CATALOGUE, JOBS)
    return [query(node, kind, database) for kind in kinds for database in databases]
