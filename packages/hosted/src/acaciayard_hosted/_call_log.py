"""Logs and counts the outcomes of calls."""

from __future__ import annotations

import zlib
from collections import Counter
from typing import Any, Final

import structlog
from hdrh.histogram import HdrHistogram

from acaciayard_callmodel import CallEnded, CallEvents, OfferEnded, Try
from acaciayard_calls import Loss, loss_of
from acaciayard_wire import trace_of

__all__ = ["CallLog"]

#: One in this many successful calls is logged; all daemons sample the same calls, by request id.
_SAMPLE_EVERY: Final = 64
#: Range of recorded times in microseconds, and their significant digits.
_MIN_US: Final = 100
_MAX_US: Final = 600_000_000
_SIGNIFICANT_DIGITS: Final = 2
#: Lowest status of a target that counts as failed.
_MIN_FAILED_STATUS: Final = 500
#: Number of workspaces counted by name; each has about five series of 100 bytes.
_MAX_WORKSPACES: Final = 200
#: Number of times buffered before they are recorded.
_MAX_PENDING: Final = 256


class CallLog(CallEvents):
    """Logs each call that did not end well, and a sample of the others."""

    def __init__(self, log: structlog.typing.FilteringBoundLogger) -> None:
        self._log = log
        self._tries = 0
        self._ended: Counter[tuple[str, str, str]] = Counter()
        self._losses: Counter[tuple[str, str]] = Counter()
        self._offers: Counter[tuple[str, str]] = Counter()
        self._by_workspace: Counter[tuple[str, str, str]] = Counter()
        self._workspaces: set[str] = set()
        self._histograms: dict[str, Any] = {}
        self._pending: list[tuple[str, float]] = []
        self._faults = 0
        self._pipelined = 0
        self._callers_cut: Counter[tuple[str]] = Counter()

    @property
    def faults(self) -> int:
        """Number of connections and datagrams ended by an unexpected exception."""
        return self._faults

    @property
    def tries(self) -> int:
        """Number of offers made for calls of local callers."""
        return self._tries

    @property
    def pipelined(self) -> int:
        """Number of requests read before an earlier one of their connection was answered."""
        return self._pipelined

    @property
    def callers_cut(self) -> Counter[tuple[str]]:
        """Number of connections of callers closed because of a limit, by reason."""
        return self._callers_cut

    @property
    def ended(self) -> Counter[tuple[str, str, str]]:
        """Number of calls by route, outcome and status."""
        return self._ended

    @property
    def by_workspace(self) -> Counter[tuple[str, str, str]]:
        """Number of calls by workspace, outcome and status, for a bounded number of workspaces."""
        return self._by_workspace

    @property
    def losses(self) -> Counter[tuple[str, str]]:
        """Number of calls without a good answer within their latency goal, by route and cause."""
        return self._losses

    @property
    def offers(self) -> Counter[tuple[str, str]]:
        """Number of calls handed over by other daemons, by service and outcome."""
        return self._offers

    def histograms(self) -> dict[str, Any]:
        """Histograms of the times of answered calls by route, in microseconds."""
        self._record_pending()
        return self._histograms

    def _record_pending(self) -> None:
        """Record the buffered times; batching keeps this work out of the calls."""
        for route, ms in self._pending:
            histogram = self._histograms.get(route)
            if histogram is None:
                histogram = HdrHistogram(_MIN_US, _MAX_US, _SIGNIFICANT_DIGITS)
                self._histograms[route] = histogram
            histogram.record_value(min(_MAX_US, max(_MIN_US, int(ms * 1000))))
        self._pending.clear()

    def call_ended(self, ended: CallEnded) -> None:
        self._tries += len(ended.tries)
        self._ended[(ended.route, ended.outcome, str(ended.status))] += 1
        if ended.workspace:
            self._count_workspace(ended)
        self._pipelined += ended.behind > 0
        loss = loss_of(ended)
        if loss is not None:
            self._losses[(ended.route, loss.value)] += 1
        is_good = ended.outcome == "answered" and ended.status < _MIN_FAILED_STATUS
        if is_good:
            self._pending.append((ended.route, ended.ms))
            if len(self._pending) >= _MAX_PENDING:
                self._record_pending()
            is_unremarkable = loss is None and len(ended.tries) <= 1
            if is_unremarkable and not _is_sampled(ended.request_id):
                return
        self._log_call(ended, loss)

    def _count_workspace(self, ended: CallEnded) -> None:
        """Count a call for its workspace, or for all others if too many workspaces have names."""
        name = ended.workspace
        if name not in self._workspaces:
            if len(self._workspaces) >= _MAX_WORKSPACES:
                name = "(others)"
            else:
                self._workspaces.add(name)
        self._by_workspace[(name, ended.outcome, str(ended.status))] += 1

    def _log_call(self, ended: CallEnded, loss: Loss | None) -> None:
        self._log.info(
            "call_ended",
            request=ended.request_id,
            route=ended.route,
            workspace=ended.workspace or None,
            service=ended.service,
            version=ended.version,
            outcome=ended.outcome,
            status=ended.status,
            loss=loss.value if loss else None,
            reason=ended.reason or None,
            retry_after_s=round(ended.retry_after, 3) if ended.retry_after >= 0 else None,
            ms=ended.ms,
            age_ms=ended.age_ms or None,
            behind=ended.behind or None,
            held_ms=ended.held_ms or None,
            fingerprint=ended.fingerprint or None,
            tries=_format_tries(ended.tries) or None,
            over_retry_budget=ended.is_over_retry_budget or None,
        )

    def offer_ended(self, ended: OfferEnded) -> None:
        self._offers[(ended.service, ended.outcome)] += 1
        if ended.outcome == "answered" and not _is_sampled(ended.request_id):
            return
        self._log.info(
            "offer_ended",
            request=ended.request_id,
            workspace=ended.workspace or None,
            service=ended.service,
            outcome=ended.outcome,
            reason=ended.reason or None,
            load=ended.load,
            ms=ended.ms,
        )

    def caller_cut(self, peer: str, reason: str, held: int, seconds: float) -> None:
        self._callers_cut[(reason,)] += 1
        self._log.info("caller_cut", peer=peer, reason=reason, held=held, seconds=seconds)

    def connection_failed(self, error: Exception) -> None:
        self._note_fault("connection_failed", error)

    def handler_failed(self, error: Exception) -> None:
        """Log an unexpected exception that ended a message or request for control."""
        self._note_fault("handler_failed", error)

    def _note_fault(self, event: str, error: Exception) -> None:
        self._faults += 1
        self._log.error(event, error=repr(error), trace=trace_of(error))


def _format_tries(tries: list[Try]) -> str:
    return "; ".join(f"{each.host} {each.ms:g}ms {each.outcome}" for each in tries)


def _is_sampled(request_id: str) -> bool:
    return zlib.crc32(request_id.encode()) % _SAMPLE_EVERY == 0
