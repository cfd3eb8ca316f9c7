"""Daemons lend each other what they do not need of their parts of a retry budget.

Each daemon has an equal part of the slack and earns retries by its own calls, while failures, and
the nested calls of retries, may come to few daemons.  One that has none left asks some others by
datagram; what they lend helps its later calls, since a call never waits for an answer.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final

from attrs import define, field, frozen
from attrs.validators import ge

from acaciayard_admission import SharedRetryBudgets
from acaciayard_membership import MemberTable
from acaciayard_timers import TimerService
from acaciayard_wire import Address, ControlPort

__all__ = ["RETRY_LOAN_MESSAGES", "RetryLoan", "RetryLoanRequest", "RetryLoans", "RetryShortage"]

#: Number of daemons that are asked at a time, and retries that each is asked for.
_ASKED: Final = 3
_WANTED: Final = 2
#: Seconds between two rounds of requests of a daemon.  With the sizes here, rounds at this interval
#: take 3 KB/s in each direction.
_ROUND_INTERVAL: Final = 0.1
#: First and longest interval, in seconds, between two rounds for one service.  It doubles while
#: nobody lends, since then all others are likely to be short as well.
_INTERVALS: Final = (0.1, 1.6)
#: Seconds after which a request counts as unanswered.
_REPLY_TIMEOUT: Final = 1.0
#: Seconds between two reports of a shortage of one service.
_REPORT_INTERVAL: Final = 1.0


@frozen
class RetryLoanRequest:
    """A datagram that asks for retries of a service."""

    #: Number that the sender has not used for another recent request; the response repeats it.
    number: int
    #: Name of the service.
    service: str
    #: Number of retries wanted.
    wanted: int = field(validator=ge(1))


@frozen
class RetryLoan:
    """The response to a `RetryLoanRequest` of a daemon that lends something."""

    #: Number of the request.
    number: int
    #: Number of retries lent.
    lent: int = field(validator=ge(1))


RETRY_LOAN_MESSAGES: Final[dict[int, type]] = {
    90: RetryLoanRequest,
    91: RetryLoan,
}


@frozen
class RetryShortage:
    """Tells operators that a service has needed more retries than this daemon may make."""

    #: Name of the service.
    service: str
    #: Retries that this daemon may still make, borrowed ones included.
    room: float
    #: Retries borrowed since the last report.
    borrowed: int


@define
class _Shortage:
    """What is done about a service whose retries are used up."""

    #: Seconds to the next round.
    interval: float = _INTERVALS[0]
    next_round_at: float = 0.0
    reported_at: float = float("-inf")
    #: Retries borrowed since the last report.
    borrowed: int = 0


@frozen
class _Request:
    service: str
    sent_at: float


class RetryLoans:
    """Borrows retries for this daemon, and lends to others.

    Example:
        RetryLoans(budgets=budgets, members=table, port=port, timers=timers, seed=random.Random())
    """

    def __init__(
        self,
        *,
        budgets: SharedRetryBudgets,
        members: MemberTable,
        port: ControlPort,
        timers: TimerService,
        seed: random.Random,
        on_shortage: Callable[[RetryShortage], None] = lambda _shortage: None,
    ) -> None:
        self._budgets = budgets
        self._members = members
        self._port = port
        self._timers = timers
        self._random = seed
        self._on_shortage = on_shortage
        self._shortages: dict[str, _Shortage] = {}
        self._requests: dict[int, _Request] = {}
        # A response to a request of a former start must not match one of this start.
        self._last_number = seed.getrandbits(48)
        self._next_round_at = 0.0
        budgets.on_shortage(self._borrow)
        port.on_datagram(RetryLoanRequest, self._on_request)
        port.on_datagram(RetryLoan, self._on_loan)

    def _borrow(self, service: str) -> None:
        """Ask some other daemons for retries, unless that was done a moment ago."""
        now = self._timers.now()
        shortage = self._shortages.setdefault(service, _Shortage())
        if now < max(self._next_round_at, shortage.next_round_at):
            return
        self._next_round_at = now + _ROUND_INTERVAL
        shortage.next_round_at = now + shortage.interval
        shortage.interval = min(_INTERVALS[1], 2 * shortage.interval)
        self._report(service, shortage)
        self._forget_unanswered()
        others = list(self._members.others())
        for member in self._random.sample(others, min(_ASKED, len(others))):
            self._last_number += 1
            self._requests[self._last_number] = _Request(service, now)
            request = RetryLoanRequest(self._last_number, service, _WANTED)
            self._port.send_datagram(request, member.control)

    def _report(self, service: str, shortage: _Shortage) -> None:
        now = self._timers.now()
        if now - shortage.reported_at >= _REPORT_INTERVAL:
            room = self._budgets.remaining(service)
            self._on_shortage(RetryShortage(service, round(room, 2), shortage.borrowed))
            shortage.reported_at = now
            shortage.borrowed = 0

    def _forget_unanswered(self) -> None:
        oldest = self._timers.now() - _REPLY_TIMEOUT
        for number in [n for n, r in self._requests.items() if r.sent_at < oldest]:
            del self._requests[number]

    def _on_request(self, request: RetryLoanRequest, sender: Address) -> None:
        lent = self._budgets.lend(request.service, request.wanted)
        if lent:
            self._port.send_datagram(RetryLoan(request.number, lent), sender)

    def _on_loan(self, loan: RetryLoan, _sender: Address) -> None:
        request = self._requests.pop(loan.number, None)
        if request is None or loan.lent > _WANTED:
            return  # repeated, late, or more than was asked for
        shortage = self._shortages[request.service]
        shortage.borrowed += loan.lent
        shortage.interval = _INTERVALS[0]
        self._budgets.borrow(request.service, loan.lent, asked_at=request.sent_at)
