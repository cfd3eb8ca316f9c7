"""Asks all daemons how far they are."""

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

__all__ = ["Census"]

#: Queries sent before the event loop gets its turn.
_BURST: Final = 32
#: Times that a query is sent to those that have not answered.
_ROUNDS: Final = 3


class Census:
    """Sends a query to many daemons by datagrams and gathers the answers.

    Example:

        answers = await census.ask(members, within=0.5)
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
        self._running: dict[int, dict[str, StatusAnswer]] = {}
        self._answered: dict[int, anyio.Event] = {}
        self._expected: dict[int, int] = {}
        port.on_datagram(StatusQuery, self._on_query)
        port.on_datagram(StatusAnswer, self._on_answer)

    async def ask(self, members: Iterable[Member], *, within: float) -> dict[str, StatusAnswer]:
        """Answers by host of those that answered in `within` seconds."""
        asked = list(members)
        number = next(self._numbers)
        answers: dict[str, StatusAnswer] = {}
        self._running[number] = answers
        self._answered[number] = anyio.Event()
        self._expected[number] = len(asked)
        try:
            for _ in range(_ROUNDS):
                await self._send(number, [m for m in asked if m.host not in answers])
                with self._timers.timeout(within / _ROUNDS):
                    await self._answered[number].wait()
                if len(answers) >= len(asked):
                    break
        finally:
            for book in (self._running, self._answered, self._expected):
                book.pop(number, None)
        return answers

    async def _send(self, number: int, members: list[Member]) -> None:
        for index, member in enumerate(members):
            self._port.send_datagram(StatusQuery(number), member.control)
            if index % _BURST == _BURST - 1:
                await anyio.lowlevel.checkpoint()

    def _on_query(self, query: StatusQuery, sender: Address) -> None:
        self._port.send_datagram(self._answer(query.number), sender)

    def _on_answer(self, answer: StatusAnswer, _sender: Address) -> None:
        answers = self._running.get(answer.number)
        if answers is None:
            return
        answers[answer.host] = answer
        if len(answers) >= self._expected[answer.number]:
            self._answered[answer.number].set()
