"""Queries the replication status of other daemons."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable
from typing import Final

import anyio
import anyio.lowlevel

from acaciayard_membership import Member
from acaciayard_timers import TimerService
from acaciayard_wire import Address, ControlPort

from ._messages import StatusAnswer, StatusQuery

__all__ = ["StatusCollector"]

#: Queries sent between two yields to the event loop.
_QUERIES_PER_YIELD: Final = 32
#: Number of times that a query is sent to daemons that have not answered.
_MAX_ROUNDS: Final = 3


class StatusCollector:
    """Sends a status query to many daemons by datagram and collects the answers.

    Example:

        answers = await status_collector.collect(members, within=0.5)
        lacking = [m.host for m in members if m.host not in answers]
    """

    def __init__(
        self,
        *,
        port: ControlPort,
        timers: TimerService,
        answer: Callable[[int], StatusAnswer],
    ) -> None:
        self._port = port
        self._timers = timers
        self._answer = answer
        self._numbers = itertools.count(1)
        self._answers: dict[int, dict[str, StatusAnswer]] = {}
        self._complete: dict[int, anyio.Event] = {}
        self._expected: dict[int, int] = {}
        port.on_datagram(StatusQuery, self._on_query)
        port.on_datagram(StatusAnswer, self._on_answer)

    async def collect(self, members: Iterable[Member], *, within: float) -> dict[str, StatusAnswer]:
        """The answers received within `within` seconds, by host."""
        asked = list(members)
        number = next(self._numbers)
        answers: dict[str, StatusAnswer] = {}
        self._answers[number] = answers
        self._complete[number] = anyio.Event()
        self._expected[number] = len(asked)
        try:
            for _ in range(_MAX_ROUNDS):
                await self._send(number, [m for m in asked if m.host not in answers])
                with self._timers.timeout(within / _MAX_ROUNDS):
                    await self._complete[number].wait()
                if len(answers) >= len(asked):
                    break
        finally:
            for mapping in (self._answers, self._complete, self._expected):
                mapping.pop(number, None)
        return answers

    async def _send(self, number: int, members: list[Member]) -> None:
        for index, member in enumerate(members):
            self._port.send_datagram(StatusQuery(number), member.control)
            if index % _QUERIES_PER_YIELD == _QUERIES_PER_YIELD - 1:
                await anyio.lowlevel.checkpoint()

    def _on_query(self, query: StatusQuery, sender: Address) -> None:
        self._port.send_datagram(self._answer(query.number), sender)

    def _on_answer(self, answer: StatusAnswer, _sender: Address) -> None:
        answers = self._answers.get(answer.number)
        if answers is None:
            return
        answers[answer.host] = answer
        if len(answers) >= self._expected[answer.number]:
            self._complete[answer.number].set()
