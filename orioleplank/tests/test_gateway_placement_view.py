"""Placement queries of accounts, and the view that answers them, on virtual time."""

from __future__ import annotations

import json
from typing import Any

import testtools
from msgspec.structs import replace

from orioleplank.decision.accounts import AccountTable
from orioleplank.decision.session import Write
from orioleplank.gateway._placement_query import QUERY_ID
from orioleplank.http import Request, Response
from orioleplank.tests._gateway_cluster import (
    CATALOGUE,
    JOBS,
    QUOTES,
    ROUTES,
)
from orioleplank.tests._placement_queries import (
    ACCOUNTS,
    BUSY_ACCOUNT,
    FREE_KEY,
    KEY,
    READ,
    START_S,
    WRITE,
    query,
    query_error,
    start_cluster,
)


class TestAccounts(testtools.TestCase):
    def test_permits_are_reported_and_not_asked_for(self) -> None:
        """A query that asks a coordinator or takes a permit uses up the limit of the account."""
        cluster = start_cluster(accounts=ACCOUNTS)
        node = cluster.proxies[0]
        answer = query(node, WRITE, QUOTES, account="hot")
        self.assertEqual({"held": 0}, answer["permits"])
        self.assertIsNone(answer["refusal"])
        self.assertEqual(frozenset(), node.gateway._rate_limiter._holder.accounts)
        cluster.change_accounts(AccountTable({KEY: BUSY_ACCOUNT}))
        cluster.run_for(START_S)
        caller = cluster.open_session(node, QUOTES, KEY)
        held = [0]
        while held[-1] == 0 and len(held) < 100:
            cluster.send_request(caller, Write("k oak"))
            cluster.run_for(0.005)
            held.append(query(node, WRITE, QUOTES, account="hot")["permits"]["held"])
        self.assertEqual(held[-1], query(node, WRITE, QUOTES, account="hot")["permits"]["held"])
        # A write takes one of them, in a session that waits for no earlier reply.
        cluster.send_request(cluster.open_session(node, QUOTES, KEY), Write("k oak"))
        left = query(node, WRITE, QUOTES, account="hot")["permits"]["held"]
        self.assertEqual((True, held[-1] - 1), (held[-1] > 0, left))

    def test_account_over_its_limit_is_refused_by_the_operator(self) -> None:
        """Without the remembered refusal the answer would send a request that is refused."""
        cluster = start_cluster(accounts=ACCOUNTS)
        node = cluster.proxies[0]
        callers = [cluster.open_session(node, QUOTES, KEY) for _ in range(60)]
        for caller in callers:
            cluster.send_request(caller, Write("k oak"))
        refusals: list[dict[str, Any]] = []
        for _ in range(100):
            cluster.run_for(0.002)
            answer = query(node, WRITE, QUOTES, account="hot")
            refusals += [answer["refusal"]] if answer["refusal"] else []
        self.assertNotEqual([], refusals)
        self.assertIn("operator rate limit: account hot is over", refusals[0]["detail"])

    def test_account_without_a_limit_needs_no_permit(self) -> None:
        """Guards against an answer that names a coordinator which is never asked."""
        node = start_cluster(accounts=ACCOUNTS).proxies[0]
        answer = query(node, WRITE, QUOTES, account="free")
        self.assertEqual(("free", None), (answer["account"], answer["permits"]))
        self.assertEqual("db-a", answer["instance"])

    def test_caller_without_an_account_is_refused_except_on_public_routes(self) -> None:
        """Guards against an answer that places a request whose caller may not run anything."""
        cluster = start_cluster(accounts=ACCOUNTS)
        answer = query(cluster.proxies[0], READ, CATALOGUE)
        self.assertIn("operator", answer["refusal"]["detail"])
        cluster.change_routes(*(replace(route, is_public=True) for route in ROUTES))
        cluster.run_for(1.0)
        answer = query(cluster.proxies[0], READ, CATALOGUE)
        self.assertEqual(("", None), (answer["account"], answer["refusal"]))

    def test_no_answer_contains_a_key(self) -> None:
        """Guards against keys on a page that monitoring can read."""
        node = start_cluster(accounts=ACCOUNTS).proxies[0]
        answers = [query(node, READ, CATALOGUE, account=name) for name in ("hot", "free")]
        for key in (KEY, FREE_KEY):
            self.assertNotIn(key, json.dumps(answers))

    def test_key_is_not_accepted_as_an_account(self) -> None:
        """Operators must not have to put keys into addresses, which servers log."""
        node = start_cluster(accounts=ACCOUNTS).proxies[0]
        error = query_error(node, kind=READ, database=CATALOGUE, account=KEY)
        self.assertIn("no account", error)


class TestView(testtools.TestCase):
    def test_invalid_queries_get_a_clear_error(self) -> None:
        """A misspelt name must not look like an answer about another request."""
        node = start_cluster(accounts=ACCOUNTS).proxies[0]
        cases = (
            ("no route is called nothing", {"kind": READ, "database": "nothing"}),
            ("is called nobody", {"kind": READ, "database": JOBS, "account": "nobody"}),
            ("kind must be one of", {"kind": "delete", "database": JOBS}),
            ("kind must be one of", {"database": JOBS}),
            ("database is missing", {"kind": READ}),
            ("unknown parameters: acount", {"kind": READ, "database": JOBS, "acount": "hot"}),
            ("number of seconds", {"kind": READ, "database": JOBS, "age": "-1"}),
            ("number of seconds", {"kind": READ, "database": JOBS, "age": "nan"}),
            ("number of seconds", {"kind": READ, "database": JOBS, "age": "soon"}),
            ("applies only to reads", {"kind": WRITE, "database": JOBS, "age": "1"}),
            ("applies only to reads", {"kind": READ, "database": QUOTES, "age": "1"}),
        )
        for error, parameters in cases:
            with self.subTest(str(parameters)):
                self.assertIn(error, query_error(node, **parameters))

    def test_site_still_serves_the_metrics_on_other_paths(self) -> None:
        """A scrape configured with any path worked before there were queries."""
        view = start_cluster().proxies[0].gateway.placement_view
        site = view.build_site(None, lambda: Response(200, b"metrics"))
        for target in ("/metrics", "/", "/placements", "/metrics?a=b"):
            self.assertEqual(b"metrics", site.respond(Request("GET", target)).body)
        response = site.respond(Request("GET", "/placement?kind=read&database=catalogue"))
        self.assertEqual((200, "application/json"), (response.status, response.content_type))
        self.assertIn(b'"candidates"', response.body)
        self.assertNotIn(QUERY_ID.encode(), response.body)
