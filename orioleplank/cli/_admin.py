"""Client of a proxy's admin API."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any
from urllib.error import HTTPError, URLError
from urllib.parse import urlencode
from urllib.request import Request, urlopen

from orioleplank._exceptions import OrioleplankError

CALL_TIMEOUT_S = 20.0


class AdminUnreachableError(OrioleplankError):
    """A proxy's admin API could not be reached or did not respond in time."""


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """A response of the admin API, also one that reports an error."""

    # HTTP status code.
    code: int
    # Decoded JSON values, or text from `call_admin_text`.
    body: Any


def call_admin(
    address: str, method: str, path: str, body: object = None, **params: str
) -> AdminResponse:
    """Call the admin API and decode the JSON body of its response.

    Raise `AdminUnreachableError` when there is no response within `CALL_TIMEOUT_S` seconds.
    """
    response = call_admin_text(address, method, path, body, **params)
    return AdminResponse(response.code, json.loads(response.body))


def call_admin_text(
    address: str, method: str, path: str, body: object = None, **params: str
) -> AdminResponse:
    """Call the admin API like `call_admin`, but return the body as text."""
    url = f"http://{address}/{path}" + (f"?{urlencode(params)}" if params else "")
    request_body = json.dumps(body).encode() if body is not None else None
    try:
        with urlopen(
            Request(url, data=request_body, method=method), timeout=CALL_TIMEOUT_S
        ) as response:
            return AdminResponse(response.status, response.read().decode())
    except HTTPError as error:
        return AdminResponse(error.code, error.read().decode())
    except (URLError, OSError) as error:
        raise AdminUnreachableError("call admin API", address, str(error)) from error
