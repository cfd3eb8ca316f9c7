"""Responses that the mesh itself sends, which a header distinguishes from those of targets.

HTTP/1.1 503 Service Unavailable
x-outcome: not_run
retry-after: 1

{"outcome": "not_run", "reason": "…", "retry_after_s": 0.4}
"""

from __future__ import annotations

import json
from typing import Final

from acaciayard_admission import retry_after_header
from acaciayard_callmodel import OWN_DIALECT, Dialect, NotRun, OutcomeUnknown
from acaciayard_http1 import Framing, Headers, HttpError, render_fields, response_bytes

__all__ = ["OUTCOME_HEADER", "RejectedError", "error_bytes", "not_run_bytes", "unknown_bytes"]

#: Header of every response that the mesh itself sends.
OUTCOME_HEADER: Final = b"x-outcome"
_JSON: Final = (b"content-type", b"application/json")


class RejectedError(Exception):
    """The request is rejected before a call is made of it."""

    def __init__(self, status: int, refusal: NotRun) -> None:
        super().__init__(refusal.reason)
        self.status = status
        self.refusal = refusal


def not_run_bytes(
    refusal: NotRun,
    *,
    status: int,
    keep_alive: bool,
    bodiless: bool,
    dialect: Dialect = OWN_DIALECT,
) -> bytes:
    """The response to a call that certainly did not run."""
    body = {
        "outcome": "not_run",
        "reason": refusal.reason,
        "retry_after_s": round(refusal.retry_after, 3),
    }
    headers = (
        _JSON,
        (OUTCOME_HEADER, b"not_run"),
        (b"retry-after", _retry_after(refusal.retry_after, dialect)),
    )
    return _answer(status, headers, body, keep_alive=keep_alive, bodiless=bodiless)


def _retry_after(seconds: float, dialect: Dialect) -> bytes:
    if dialect.has_fractional_retry_after:
        return b"%.3f" % seconds
    return retry_after_header(seconds)


def unknown_bytes(
    unknown: OutcomeUnknown, *, status: int, keep_alive: bool, bodiless: bool
) -> bytes:
    """The response to a call of which it is unknown whether it ran."""
    body: dict[str, object] = {"outcome": "outcome_unknown", "reason": unknown.reason}
    headers = (_JSON, (OUTCOME_HEADER, b"outcome_unknown"))
    return _answer(status, headers, body, keep_alive=keep_alive, bodiless=bodiless)


def error_bytes(error: HttpError, *, may_have_run: bool) -> bytes:
    """The response to an invalid request, whose connection is closed."""
    outcome = "outcome_unknown" if may_have_run else "not_run"
    body: dict[str, object] = {"outcome": outcome, "reason": error.reason}
    headers = (_JSON, (OUTCOME_HEADER, outcome.encode()))
    return _answer(error.status, headers, body, keep_alive=False, bodiless=False)


def _answer(
    status: int, headers: Headers, body: dict[str, object], *, keep_alive: bool, bodiless: bool
) -> bytes:
    content = json.dumps(body).encode()
    head = response_bytes(
        status,
        render_fields(headers),
        framing=Framing.SIZED,
        length=len(content),
        keep_alive=keep_alive,
        bodiless=False,
    )
    return head if bodiless else head + content
