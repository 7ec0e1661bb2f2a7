"""Calls of a proxy's admin API."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any
from urllib.error import HTTPError, URLError
from urllib.parse import urlencode
from urllib.request import Request, urlopen

from orioleplank._exceptions import OrioleplankError

CALL_LIMIT_S = 20.0


class AdminUnreachableError(OrioleplankError):
    """A proxy's admin API gave no answer."""


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """An answer of the admin API."""

    # HTTP code.
    code: int
    # The body's JSON values.
    body: Any


def call_admin(
    address: str, method: str, path: str, body: object = None, **params: str
) -> AdminResponse:
    """Call the admin API; raise `AdminUnreachableError` when it does not answer."""
    text = call_admin_text(address, method, path, body, **params)
    return AdminResponse(text.code, json.loads(text.body))


def call_admin_text(
    address: str, method: str, path: str, body: object = None, **params: str
) -> AdminResponse:
    """Call the admin API and return the body as text."""
    url = f"http://{address}/{path}" + (f"?{urlencode(params)}" if params else "")
    data = json.dumps(body).encode() if body is not None else None
    try:
        with urlopen(Request(url, data=data, method=method), timeout=CALL_LIMIT_S) as response:
            return AdminResponse(response.status, response.read().decode())
    except HTTPError as error:
        return AdminResponse(error.code, error.read().decode())
    except (URLError, OSError) as error:
        raise AdminUnreachableError("call admin API", address, str(error)) from error
