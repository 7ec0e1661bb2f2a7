"""Steps that stories of a site share."""

from __future__ import annotations

from orioleplank.decision.session import Code, Reply, Write
from orioleplank.tests._site import Site, SiteCaller

START_S = 3.0


def start_site(seed: int = 1, proxies: int = 3) -> Site:
    """Return a site whose proxies are ready."""
    site = Site(seed, proxies)
    site.run(START_S)
    return site


def find_code(reply: Reply) -> Code | None:
    """Return why a request failed; None when it succeeded."""
    return reply.failure.code if reply.failure else None


def keep_writing(
    site: Site, caller: SiteCaller, on_success: object = None, gap: float = 0.05
) -> None:
    """Let a caller write again and again, each after the answer before."""

    def take(reply: Reply) -> None:
        if reply.failure is None and callable(on_success):
            on_success(reply)
        site.fabric.after(gap, again)

    def again() -> None:
        if not caller.is_closed:
            site.send(caller, Write(f"w{len(caller.replies)} x"))

    caller.on_reply = take
    again()
