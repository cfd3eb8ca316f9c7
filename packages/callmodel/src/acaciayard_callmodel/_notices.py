"""What a target states about itself in a response, beside the response itself.

A response is mostly payload for its caller.  Some of its header fields are addressed to whoever
sends calls to the target, and bind all daemons that forward them.  They are read here, once:

    notice = read_notice(head.headers, dialect)
    notice.max_rate        # calls per second that the target takes from all daemons together
    notice.is_leaving      # whether it is about to stop
"""

from __future__ import annotations

import math
import re
from typing import Any, Final

from attrs import evolve, frozen

from acaciayard_http1 import Headers, first_header
from acaciayard_membership import MAX_NAME_LENGTH

from ._dialect import Dialect

__all__ = ["NO_NOTICE", "NoticeRecord", "StartNotice", "TargetNotice", "read_notice"]

_DECIMAL: Final = re.compile(rb"[0-9]{1,15}(\.[0-9]{0,15})?|\.[0-9]{1,15}")
#: Value of the field for leaving that states the opposite.
_NOT_LEAVING: Final = b"0"
#: Maximum number of bytes of an unreadable value that are repeated in logs.
_MAX_QUOTED_BYTES: Final = 40


@frozen
class TargetNotice:
    """What a target states about itself in a response."""

    #: Calls per second that it takes from all daemons together; `inf` if it states no limit.
    max_rate: float = math.inf
    #: Whether it is leaving, so that it must not get calls of callers that have yet to send them.
    is_leaving: bool = False
    #: Why its limit cannot be read, empty if it can; the earlier limit then stays in force.
    fault: str = ""

    def with_changes(self, **changes: Any) -> TargetNotice:
        """A copy with the given attributes changed."""
        return evolve(self, **changes)

    @property
    def is_limited(self) -> bool:
        """Whether it states a limit."""
        return self.max_rate < math.inf


#: The notice of a response that states nothing.
NO_NOTICE: Final = TargetNotice()


@frozen
class StartNotice:
    """What applies to one start of a target, as daemons tell each other.

    The daemon beside the target tells it with each response, and whoever forwarded the response
    tells it back with each call to that host, since the daemon there may have restarted.
    """

    #: Name of the target, unique on its host.
    target: str
    #: Start time of the target in Unix milliseconds; 0 if unknown.
    born: int
    #: Calls per second that it takes from all daemons together; `inf` for no limit.
    max_rate: float
    #: Seconds until its limit allows another call, as of a response.
    opens_in: float = 0.0
    #: Whether it is leaving.
    is_leaving: bool = False

    def check_fields(self) -> None:
        """Raise `ValueError` for what no daemon sends."""
        if len(self.target) > MAX_NAME_LENGTH or self.born < 0:
            raise ValueError(f"target {self.target[:MAX_NAME_LENGTH]!r}, born {self.born}")
        if not self.max_rate >= 0 or not 0 <= self.opens_in < math.inf:
            raise ValueError(f"max_rate {self.max_rate}, opens_in {self.opens_in}")

    @property
    def notice(self) -> TargetNotice:
        """What applies to the target."""
        return TargetNotice(max_rate=self.max_rate, is_leaving=self.is_leaving)


class NoticeRecord:
    """What one start of a target has stated so far.

    Responses may arrive in another order than the target gave them.  Therefore a stated limit
    applies until a response arrives whose request was sent after the limit was heard.  Of several
    limits the lowest one applies.  A target that leaves never stays.

    Example:
        record = NoticeRecord()
        record.hear(TargetNotice(max_rate=3.0), asked_at=1.0, now=1.2)      # True: it has changed
        record.hear(NO_NOTICE, asked_at=1.1, now=1.3)                       # False: may be older
        record.hear(NO_NOTICE, asked_at=1.4, now=1.5)                       # True: the limit ended
    """

    def __init__(self) -> None:
        self._notice = NO_NOTICE
        #: Limits that may apply with the times at which they were heard, both increasing.
        self._limits: list[tuple[float, float]] = []
        self._is_heard = False
        self._has_stated = False
        self._fault = ""

    @property
    def notice(self) -> TargetNotice:
        """What applies at present."""
        return self._notice

    @property
    def has_stated(self) -> bool:
        """Whether anything was ever stated, so that others may have to be told of its end."""
        return self._has_stated

    def note_fault(self, fault: str) -> bool:
        """Record the fault of a response, empty for none; return whether it is a new one."""
        is_new = bool(fault) and fault != self._fault
        self._fault = fault or self._fault
        return is_new

    def hear(self, notice: TargetNotice, *, asked_at: float, now: float) -> bool:
        """Record the notice of a response; return whether what applies has changed.

        `asked_at` is when the request was sent, `now` when the response arrived, in seconds by the
        timer service.
        """
        if notice == NO_NOTICE and not self._has_stated:
            self._is_heard = True
            return False
        self._has_stated = True
        max_rate = self._notice.max_rate
        if not notice.fault:
            max_rate = self._lowest_limit(notice.max_rate, asked_at, now)
        is_leaving = self._notice.is_leaving or notice.is_leaving
        before = self._notice
        self._notice = TargetNotice(max_rate=max_rate, is_leaving=is_leaving)
        return self._notice != before

    def _lowest_limit(self, max_rate: float, asked_at: float, now: float) -> float:
        """Record a limit, `inf` for none, and return the one that applies."""
        self._is_heard = True
        self._limits = [
            (heard_at, rate)
            for heard_at, rate in self._limits
            if heard_at > asked_at and rate < max_rate
        ]
        if max_rate < math.inf:
            self._limits.append((now, max_rate))
        return self._limits[0][1] if self._limits else math.inf

    def adopt(self, notice: TargetNotice) -> bool:
        """Record what another daemon was told; return whether what applies has changed.

        The limit applies until the first response of the target itself.
        """
        self._has_stated = True
        before = self._notice
        max_rate = before.max_rate if self._is_heard else min(before.max_rate, notice.max_rate)
        is_leaving = before.is_leaving or notice.is_leaving
        self._notice = TargetNotice(max_rate=max_rate, is_leaving=is_leaving)
        return self._notice != before


def read_notice(headers: Headers, dialect: Dialect) -> TargetNotice:
    """Read the notice of a response from its header fields."""
    rate = first_header(headers, dialect.rate_limit) if dialect.rate_limit else b""
    leaving = first_header(headers, dialect.leaving) if dialect.leaving else b""
    if not rate and not leaving:
        return NO_NOTICE
    notice = TargetNotice(is_leaving=bool(leaving) and leaving.strip() != _NOT_LEAVING)
    if not rate:
        return notice
    if not _DECIMAL.fullmatch(rate.strip()):
        name = dialect.rate_limit.decode("latin-1")
        return notice.with_changes(
            fault=f"{name}: {rate[:_MAX_QUOTED_BYTES]!r} is no decimal number"
        )
    return notice.with_changes(max_rate=float(rate))
