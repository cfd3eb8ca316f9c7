"""Bounds the age of the configuration: daemons that watch the lead read the store beside it.

The lead tells a few watchers each answer of the store, and within which time the next one is due.
A watcher that misses it does not wait for the lead's own verdict: it reads the store itself, on a
new connection, each watcher a little later than the one before. If the store does not answer the
watchers either, they ask further daemons to read, three times as many in each step, until one is
answered. That one reads on as a substitute, and tells the watchers as a lead does. So the age is
bounded by the times in this module, whoever fails, as long as the store answers any daemon.

    0 s                    an answer to the lead; the next one is due within 1.3 s
    1.3 s                  the lead's next read is overdue; it reads again on a new connection
    1.45, 1.5, 1.55 s      the watchers read, unless they have heard of an answer
    1.6 s and each 0.1 s   3, 9, 27 ... further daemons read

A daemon that hears of no other daemon, and gets no answer to its probes, reads for itself.
"""

from __future__ import annotations

import random
from typing import Final

import anyio
import anyio.abc
import structlog
from attrs import field, frozen
from attrs.validators import and_, ge, le

from acaciayard_membership import Member, Membership
from acaciayard_timers import TimerService
from acaciayard_wire import Address, ControlPort

from ._age import ConfigurationAge
from ._feeding import Feeding
from ._follower import StoreFollower
from ._relay import VersionRelay
from ._versions import AcceptedVersions

__all__ = ["WATCH_MESSAGES", "StoreWatch"]

#: Seconds after the time at which an answer was due until the first watcher reads, and between two
#: watchers. The second read of the lead is usually answered in between.
_FIRST_TURN: Final = 0.15
_TURN_INTERVAL: Final = 0.05
#: The same for the lead itself, whose own second read goes out at once.
_LEAD_TURN: Final = 0.3
#: Seconds until the next answer of a watcher is due, which reads once only.
_WATCH_INTERVAL: Final = 0.8
#: Seconds for which a daemon that told of an answer is told of others too: a substitute has to hear
#: of the lead.
_TELLER_SECONDS: Final = 3.0
#: Seconds that a daemon that begins to watch waits for the first word of the lead.
_NEW_WATCHER_GRACE: Final = 0.5
#: Seconds for which a daemon must have led or watched to stay obliged after that. While a mesh
#: starts each daemon leads for a moment.
_ESTABLISHED_SECONDS: Final = 1.0
#: Seconds without word of any other daemon after which a daemon probes some, and after which it
#: reads for itself.
_QUIET_SECONDS: Final = 0.9
_CONTACT_TIMEOUT: Final = 1.2
#: Daemons that it probes.
_PROBED: Final = 3
#: Least seconds for the own read before further daemons are asked.
_MIN_LOOK_PATIENCE: Final = 0.15
#: Seconds between two steps in which further daemons are asked, and how many times as many daemons
#: each step asks, starting with this number.
_STEP_INTERVAL: Final = 0.1
_STEP_FACTOR: Final = 3
#: Daemons that one daemon asks in a second while the store has answered nobody for a whole round:
#: the store gets few requests when it returns.
_ASKED_PER_SECOND: Final = 12.0
#: Seconds that one round of asking lasts, and between two rounds.
_ROUND_SECONDS: Final = 1.0
_ROUND_INTERVAL: Final = 0.5
#: Seconds within which a daemon that was asked again does not read again.
_MIN_LOOK_INTERVAL: Final = 0.8
#: Milliseconds that a sender may take for its next word; readers wait for up to half of it.
_MAX_WITHIN_MS: Final = 60_000
#: Delay of a timer, in seconds, from which the process counts as paused, and the time it is given
#: to read what has arrived meanwhile.
_LATE_WAKE: Final = 0.05


@frozen
class StoreAnswered:
    """A datagram that tells that the store has answered the sender just now."""

    #: Version that the sender has in force.
    version: int
    #: Milliseconds within which the sender will send the next one.
    within_ms: int = field(validator=and_(ge(0), le(_MAX_WITHIN_MS)))


@frozen
class ReadRequest:
    """A datagram that asks a daemon to read the store, since it does not answer the sender."""

    #: Version that the sender has in force.
    version: int


WATCH_MESSAGES: Final[dict[int, type]] = {
    64: StoreAnswered,
    65: ReadRequest,
}


class StoreWatch:
    """Reads the store, or has others read it, once the answers of the lead are overdue.

    Example:
        watch = StoreWatch(feeding=feeding, follower=follower, ...)
        tasks.start_soon(watch.run)
    """

    def __init__(
        self,
        *,
        feeding: Feeding,
        follower: StoreFollower,
        members: Membership,
        port: ControlPort,
        versions: AcceptedVersions,
        relay: VersionRelay,
        age: ConfigurationAge,
        timers: TimerService,
        seed: random.Random,
        log: structlog.typing.FilteringBoundLogger,
    ) -> None:
        self._feeding = feeding
        self._follower = follower
        self._members = members
        self._port = port
        self._versions = versions
        self._relay = relay
        self._age = age
        self._timers = timers
        self._random = seed
        self._log = log
        self._tasks: anyio.abc.TaskGroup | None = None
        self._due = timers.now() + _ROUND_SECONDS + _CONTACT_TIMEOUT
        self._confirmed_at = timers.now()
        self._confirmed = anyio.Event()
        self._looked_at = timers.now() - _MIN_LOOK_INTERVAL
        #: Whether this daemon reads when the next answer is overdue. One that led or watched stays
        #: obliged until it has heard of an answer: its successors may not know that they are.
        self._is_obliged = False
        self._relied_on_since = timers.now()
        #: Whether the last answer was one to a read of this daemon beside the lead.
        self._answered_alone = False
        #: When other daemons last told of an answer, by host.
        self._told_by: dict[str, float] = {}
        self._doubts = 0
        self._failed_rounds = 0
        follower.on_answer(self._note_own_answer)
        follower.on_confirmed(self._announce)
        port.on_datagram(StoreAnswered, self._on_answered)
        port.on_datagram(ReadRequest, self._on_request)

    @property
    def doubts(self) -> int:
        """Number of times that this daemon has missed an answer of the store."""
        return self._doubts

    # --- telling ------------------------------------------------------------------------------

    def _announce(self, within: float) -> None:
        """Tell those who watch that the store has answered this daemon."""
        told = StoreAnswered(self._versions.version, round(within * 1000))
        audience = {member.host: member for member in self._feeding.watch_audience()}
        audience |= self._recent_tellers()
        for member in audience.values():
            self._port.send_datagram(told, member.control)
        self._note_confirmed(within + _LEAD_TURN)

    def _recent_tellers(self) -> dict[str, Member]:
        """The daemons that have told of answers a moment ago: substitutes, among others."""
        horizon = self._timers.now() - _TELLER_SECONDS
        self._told_by = {host: at for host, at in self._told_by.items() if at >= horizon}
        found = (self._members.table.find(host) for host in self._told_by)
        return {member.host: member for member in found if member is not None}

    def _on_answered(self, told: StoreAnswered, sender: Address) -> None:
        member = self._member_at(sender)
        if member is None:
            return
        self._told_by[member.host] = self._timers.now()
        self._answered_alone = False
        self._age.note_answer(f"peer {sender.ip}")
        self._note_confirmed(told.within_ms / 1000 + self._turn())
        self._feeding.note_lead_served(member.host)
        self._relay.note_ahead(member.host, told.version)

    def _note_confirmed(self, seconds: float) -> None:
        """Record an answer of the store; the next one is due within `seconds`."""
        self._confirmed_at = self._timers.now()
        self._due = self._confirmed_at + seconds
        self._is_obliged = self._is_relied_on()
        self._failed_rounds = 0
        self._confirmed.set()
        self._confirmed = anyio.Event()

    def _note_own_answer(self) -> None:
        """The age is known for a moment, even if nothing is heard of the lead."""
        turn = _WATCH_INTERVAL + self._turn()
        self._note_confirmed(max(turn, self._due - self._timers.now()))

    def _member_at(self, address: Address) -> Member | None:
        others = self._members.table.others()
        return next((member for member in others if member.control == address), None)

    def _turn(self) -> float:
        """Seconds after an answer was due at which this daemon reads."""
        own = self._members.table.own.host
        for number, member in enumerate(self._feeding.watchers):
            if member.host == own:
                return _FIRST_TURN + number * _TURN_INTERVAL
        return _LEAD_TURN

    # --- watching -----------------------------------------------------------------------------

    async def run(self) -> None:
        """Watch the lead; never returns."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                selections = self._feeding.selections.count
                due = self._next_due()
                with self._timers.timeout(due - self._timers.now()):
                    await self._feeding.selections.wait_beyond(selections)
                if self._timers.now() - due > _LATE_WAKE:
                    await self._timers.sleep(_LATE_WAKE)
                if self._timers.now() < self._next_due():
                    continue
                if self._is_obliged:
                    await self._doubt()
                else:
                    await self._look_if_isolated()

    def _next_due(self) -> float:
        """When this daemon reads if nothing is heard until then."""
        now = self._timers.now()
        if not self._is_relied_on():
            was_brief = now - self._relied_on_since < _ESTABLISHED_SECONDS
            self._is_obliged &= not was_brief
        elif not self._is_obliged:
            self._is_obliged = True
            self._relied_on_since = now
            self._due = max(self._due, now + _NEW_WATCHER_GRACE)
        if self._is_obliged:
            return self._due
        return max(self._due, self._feeding.heard_at + _QUIET_SECONDS)

    async def _look_if_isolated(self) -> None:
        """Read for this daemon alone if no other one answers a probe."""
        heard_at = self._feeding.heard_at
        self._members.probe_some(_PROBED)
        await self._timers.sleep(_CONTACT_TIMEOUT - _QUIET_SECONDS)
        if self._feeding.heard_at == heard_at and not self._is_obliged:
            self._log.info("store_doubted", reason="no word of another daemon")
            self._doubts += 1
            await self._follower.look()
            self._due = max(self._due, self._timers.now() + _WATCH_INTERVAL)

    def _is_relied_on(self) -> bool:
        own = self._members.table.own.host
        is_watcher = any(member.host == own for member in self._feeding.watchers)
        return is_watcher or self._feeding.polls_often

    async def _doubt(self) -> None:
        """Read the store, and have others read it, until anyone is answered or the round ends."""
        self._doubts += 1
        began = self._timers.now()
        lead = self._feeding.lead
        self._log.info(
            "store_doubted",
            lead=lead.host if lead is not None else None,
            role=self._feeding.role,
            overdue_s=round(began - self._confirmed_at, 3),
            age_s=round(self._age.seconds, 3),
            round=self._failed_rounds,
        )
        with self._timers.timeout(_ROUND_SECONDS):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._look)
                tasks.start_soon(self._ask_others)
                await self._confirmed.wait()
                tasks.cancel_scope.cancel()
        if self._confirmed_at < began:
            self._failed_rounds += 1
            self._due = self._timers.now() + _ROUND_INTERVAL * self._random.uniform(0.5, 1.5)

    async def _look(self, asked_by: str | None = None) -> None:
        """Read the store; if it answers, and others rely on that, go on reading.

        A watcher goes on if it has been answered twice without any word of another reader: the
        first time it may have missed a datagram of the lead.
        """
        self._looked_at = self._timers.now()
        if await self._follower.look():
            self._log.info("store_answered_beside", role=self._feeding.role, asked_by=asked_by)
            self._announce(_WATCH_INTERVAL)
            if asked_by is not None or self._answered_alone:
                self._feeding.substitute()
            self._answered_alone = True

    async def _ask_others(self) -> None:
        """Ask further daemons to read, more of them in each step."""
        overdue_after = max(_MIN_LOOK_PATIENCE, self._follower.reads.times.overdue_after)
        await self._timers.sleep(overdue_after)
        while self._timers.now() - self._follower.received_at < overdue_after:
            await self._timers.sleep(_STEP_INTERVAL)  # an answer is arriving
        left = self._others_to_ask()
        count = float(_STEP_FACTOR)
        is_first_round = self._failed_rounds == 0
        while left:
            if not is_first_round:
                count = _ASKED_PER_SECOND * _STEP_INTERVAL
            asked, left = left[: max(1, round(count))], left[max(1, round(count)) :]
            for member in asked:
                self._port.send_datagram(ReadRequest(self._versions.version), member.control)
            self._log.info("store_read_asked_for", asked=len(asked), left=len(left))
            count *= _STEP_FACTOR
            await self._timers.sleep(_STEP_INTERVAL)

    def _others_to_ask(self) -> list[Member]:
        """Daemons that neither lead nor watch, in a random order, those served before first."""
        known = {member.host for member in self._feeding.watchers}
        lead = self._feeding.lead
        others = [
            member
            for member in self._members.table.others()
            if member.host not in known and member is not lead
        ]
        self._random.shuffle(others)
        others.sort(key=lambda member: not member.has_store_access)
        return others

    # --- reading for others -------------------------------------------------------------------

    def _on_request(self, request: ReadRequest, sender: Address) -> None:
        member = self._member_at(sender)
        if member is not None:
            self._relay.note_ahead(member.host, request.version)
        is_recent = self._timers.now() - self._looked_at < _MIN_LOOK_INTERVAL
        if self._tasks is not None and member is not None and not is_recent:
            self._tasks.start_soon(self._look, member.host)
