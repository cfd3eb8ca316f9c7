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

from ._dialect import Dialect

__all__ = ["NO_NOTICE", "NoticeRecord", "TargetNotice", "read_notice"]

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


class NoticeRecord:
    """What one start of a target has stated so far.

    Responses may arrive in another order than the target gave them.  A lower limit applies at once.
    A higher one, or none, applies only if its request was sent after the limit in force was last
    stated: otherwise the response may be older than that limit.  A target that leaves never stays.

    Example:
        record = NoticeRecord()
        record.hear(TargetNotice(max_rate=3.0), asked_at=1.0, now=1.2)      # True: it has changed
        record.hear(NO_NOTICE, asked_at=1.1, now=1.3)                       # False: may be older
        record.hear(NO_NOTICE, asked_at=1.4, now=1.5)                       # True: the limit ended
    """

    def __init__(self) -> None:
        self._notice = NO_NOTICE
        self._stated_at = -math.inf
        self._is_heard = False
        self._fault = ""

    @property
    def notice(self) -> TargetNotice:
        """What applies at present."""
        return self._notice

    @property
    def is_heard(self) -> bool:
        """Whether any readable response was recorded."""
        return self._is_heard

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
        before = self._notice
        max_rate = before.max_rate
        if not notice.fault:
            self._is_heard = True
            if notice.max_rate <= max_rate or asked_at >= self._stated_at:
                max_rate = notice.max_rate
                self._stated_at = now if notice.is_limited else self._stated_at
        is_leaving = before.is_leaving or notice.is_leaving
        if max_rate == before.max_rate and is_leaving == before.is_leaving:
            return False
        self._notice = TargetNotice(max_rate=max_rate, is_leaving=is_leaving)
        return True


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
