"""Answers the platform's readiness checks."""

from __future__ import annotations

import structlog

from acaciayard_http1 import HttpReply, RequestHead

from ._versions import AcceptedVersions

__all__ = ["Readiness"]


class Readiness:
    """Ready from the first configuration in force until the daemon begins to stop."""

    def __init__(
        self,
        path: bytes,
        versions: AcceptedVersions,
        *,
        log: structlog.typing.FilteringBoundLogger,
    ) -> None:
        self._path = path
        self._versions = versions
        self._log = log
        self._is_stopping = False
        self._refusals = 0
        self._logged_reason: str | None = None

    @property
    def refusals(self) -> int:
        """Number of not-ready answers since the stop began."""
        return self._refusals

    def stop(self) -> None:
        """Report not ready from now on."""
        self._is_stopping = True

    def reason(self) -> str:
        """Return why the daemon is not ready, empty if it is."""
        if self._is_stopping:
            return "stopping"
        if self._versions.newest is None:
            return "no configuration yet"
        return ""

    async def answer(self, head: RequestHead, _body: bytes) -> HttpReply:
        """Answer a readiness check."""
        if head.path != self._path:
            return HttpReply(404)
        reason = self.reason()
        if reason != self._logged_reason:
            self._logged_reason = reason
            self._log.info("readiness", ready=not reason, reason=reason or None)
        if self._is_stopping:
            self._refusals += 1
        return HttpReply(503 if reason else 200)
