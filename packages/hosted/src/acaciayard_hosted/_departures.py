"""Keeps the departures of targets in the platform's store, which outlives all daemons.

A departure takes effect at once, and is acknowledged to its target when the store has it.  So what
was acknowledged holds in whatever order daemons are restarted, also if all are killed together.
While the store is unavailable nothing is acknowledged, and the target reports again.
"""

from __future__ import annotations

import random
from typing import Final

import anyio
import structlog
from attrs import define

from acaciayard_admission import DEPARTURE_RETENTION_SECONDS, LocalTargets
from acaciayard_logservice import (
    Appended,
    AppendUnknown,
    KeyedLog,
    KeyedSlice,
    Unavailable,
)
from acaciayard_membership import Departure, Member, Membership
from acaciayard_timers import TimerService
from acaciayard_wire import Address, ControlPort, MessageError

from ._departure_messages import (
    DEPARTURE_STREAM,
    DepartureStored,
    HostDeparture,
    StoreDeparture,
    departure_key,
    pack_departure,
    unpack_departure,
)
from ._eras import EraChange

__all__ = ["DepartureStore"]

#: Seconds that a target's report waits for the store; a target takes an answer for an
#: acknowledgement if it arrives within a second.
_ACKNOWLEDGE_TIMEOUT: Final = 0.8
#: Shortest and longest timeout, in seconds, of a write.  A slow store answers within the first.  It
#: doubles with each failure, since a write without an answer may have been lost on a silent
#: connection, and may also only be late.
_WRITE_TIMEOUTS: Final = (0.3, 1.2)
#: Mean seconds between two attempts to write or to read.
_RETRY_INTERVAL: Final = 0.2
#: Seconds after which a departure of a target that is still heard of is written again, well before
#: its record expires.
_RENEW_INTERVAL: Final = DEPARTURE_RETENTION_SECONDS / 3
#: Seconds between two checks for departures to write again.
_RENEW_CHECK_INTERVAL: Final = 10.0
#: Daemons that are asked to write a departure at once, and requests of others that wait here.
_MAX_ASKED: Final = 2
_MAX_REQUESTS: Final = 64
#: Seconds from the start within which the store alone is relied on.  The other daemons may have
#: missed the last departure; after that time what they recall has to do.
_STORE_FIRST_SECONDS: Final = 0.6
#: Seconds from the start after which calls are admitted although neither the store nor another
#: daemon has told the departures.  Announcements from before the start have arrived by then.
_SETTLE_TIMEOUT: Final = 30.0


@define
class _Failures:
    """Counts failed attempts in a row, of which only the first is logged."""

    count: int = 0

    @property
    def write_timeout(self) -> float:
        """Timeout of the next write, in seconds."""
        first, longest = _WRITE_TIMEOUTS
        return float(min(longest, first * 2 ** min(self.count, 8)))


class DepartureStore:
    """Writes the departures of targets on this host, and reads those of earlier processes.

    Until the earlier departures are known, no call is admitted to a target here.

    Example:

        targets.leave("novero-1")
        if await departures.wait_stored("novero-1"):
            ...  # acknowledge
    """

    def __init__(
        self,
        *,
        store: KeyedLog,
        targets: LocalTargets,
        members: Membership,
        port: ControlPort,
        timers: TimerService,
        seed: random.Random,
        log: structlog.typing.FilteringBoundLogger,
    ) -> None:
        self._store = store
        self._targets = targets
        self._members = members
        self._port = port
        self._timers = timers
        self._random = seed
        self._log = log
        self._started = timers.now()
        self._host = members.table.own.host
        #: When departures of this host were last written or read, in the present era of the store.
        self._stored_at: dict[Departure, float] = {}
        self._on_stored = anyio.Event()
        self._has_work = anyio.Event()
        self._write_failures = _Failures()
        #: Departures of other hosts to write, with the daemons that have asked for it.
        self._requests: dict[HostDeparture, Address] = {}
        self._is_settled = False
        self._is_recalled = False
        members.table.on_previous_incarnation(self._recall)
        port.on_datagram(StoreDeparture, self._on_request)
        port.on_datagram(DepartureStored, self._on_answer)

    @property
    def known(self) -> int:
        """Number of departures that have to outlive this process."""
        return len(self._targets.departures_within(DEPARTURE_RETENTION_SECONDS))

    @property
    def unstored(self) -> int:
        """Number of departures that the store does not have yet."""
        known = self._targets.departures_within(DEPARTURE_RETENTION_SECONDS)
        return sum(departure not in self._stored_at for departure in known)

    async def wait_stored(self, target: str) -> bool:
        """Wait until the store has the departure of a target; return whether it has in time."""
        with self._timers.timeout(_ACKNOWLEDGE_TIMEOUT):
            while self._is_unstored(target):
                await self._on_stored.wait()
            return True
        self._log.info("departure_not_acknowledged", target=target)
        return False

    def _is_unstored(self, target: str) -> bool:
        departure = self._targets.departure_of(target)
        return departure is not None and departure not in self._stored_at

    def publish(self, departures: tuple[Departure, ...]) -> None:
        """Publish changed departures to the other daemons, and write new ones to the store."""
        table = self._members.table
        is_new = not set(departures) <= set(table.own.departures)
        table.set_departures(departures, is_complete=table.own.knows_departures)
        if is_new:
            self._members.flush()
        self._has_work.set()

    def note_era(self, _change: EraChange) -> None:
        """Write all departures again: the store was restored from a copy that may lack them."""
        self._stored_at.clear()
        self._has_work.set()

    async def run(self) -> None:
        """Read, settle and write; never returns."""
        self._timers.call_at(self._started + _STORE_FIRST_SECONDS, self._settle_by_recall)
        self._timers.call_at(self._started + _SETTLE_TIMEOUT, lambda: self._settle("timeout"))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._read)
            await self._write_all()

    # --- earlier departures -------------------------------------------------------------------

    def _recall(self, past: Member) -> None:
        """Take over what an earlier process on this host knew, as another daemon recalls it.

        This holds whatever has ended that process: a target goes on leaving while the daemon beside
        it is restarted in order.
        """
        for departure in self._targets.restore(past.departures):
            self._log.info(
                "leaving_recalled",
                target=departure.target,
                born=departure.born,
                of=past.incarnation,
            )
        if past.knows_departures and not self._is_recalled:
            # The next process may be told by those that hold the record of this one alone.
            self._is_recalled = True
            self._members.table.set_departures(self._targets.departures, is_complete=True)
        if self._timers.now() >= self._started + _STORE_FIRST_SECONDS:
            self._settle_by_recall()

    def _settle_by_recall(self) -> None:
        if self._is_recalled:
            self._settle("members")

    def _settle(self, source: str) -> None:
        """Admit calls: the earlier departures are known, or too old to matter."""
        if self._is_settled:
            return
        self._is_settled = True
        seconds = round(self._timers.now() - self._started, 3)
        self._log.info("departures_known", source=source, seconds=seconds)
        self._members.table.set_departures(self._targets.departures, is_complete=True)
        self._targets.settle()

    async def _read(self) -> None:
        """Read the departures of earlier processes, and settle."""
        is_first_failure = True
        while True:
            match await self._store.newest(DEPARTURE_STREAM):
                case KeyedSlice() as found:
                    self._restore(found)
                    self._settle("store")
                    return
                case Unavailable(reason):
                    if is_first_failure:
                        self._log.warning("departures_not_read", reason=reason)
                    is_first_failure = False
            await self._timers.sleep(_RETRY_INTERVAL * self._random.uniform(0.5, 1.5))

    def _restore(self, found: KeyedSlice) -> None:
        """Take over the departures of this host among all that the store has."""
        own: list[Departure] = []
        errors: list[str] = []
        for record in found.records:
            try:
                unpacked = unpack_departure(record)
            except MessageError as error:
                errors.append(str(error))
                continue
            if unpacked.host == self._host:
                own.append(unpacked.departure)
        now = self._timers.now()
        self._stored_at.update({departure: now for departure in own})
        restored = self._targets.restore(own)
        self._log.info(
            "departures_read",
            records=len(found.records),
            restored=" ".join(departure.target for departure in restored) or None,
            unusable=len(errors) + found.unreadable or None,
            first_error=errors[0] if errors else None,
        )

    # --- writing ------------------------------------------------------------------------------

    async def _write_all(self) -> None:
        """Write departures until cancelled."""
        while True:
            self._has_work = anyio.Event()
            for departure in self._due():
                await self._write_own(departure)
            for request in list(self._requests):
                await self._write_requested(request)
            if not self._due():
                with self._timers.timeout(_RENEW_CHECK_INTERVAL):
                    await self._has_work.wait()

    def _due(self) -> list[Departure]:
        """Departures that the store does not have, or that have to be renewed there."""
        known = self._targets.departures_within(DEPARTURE_RETENTION_SECONDS)
        self._stored_at = {d: at for d, at in self._stored_at.items() if d in known}
        heard = self._targets.departures_within(_RENEW_INTERVAL)
        oldest = self._timers.now() - _RENEW_INTERVAL
        return [
            departure
            for departure in known
            if departure not in self._stored_at
            or (departure in heard and self._stored_at[departure] < oldest)
        ]

    async def _put(self, host: str, departure: Departure, within: float) -> str:
        """Write a departure; return the reason if that failed."""
        key = departure_key(host, departure.target)
        with self._timers.timeout(within):
            result = await self._store.put(
                DEPARTURE_STREAM, key, pack_departure(host, departure), at=None
            )
            return "" if isinstance(result, Appended) else result.reason
        return AppendUnknown(f"no answer in {within:g} s").reason

    async def _write_own(self, departure: Departure) -> None:
        failures = self._write_failures
        reason = await self._put(self._host, departure, failures.write_timeout)
        if not reason:
            failures.count = 0
            self._note_stored(departure, by=self._host)
            return
        failures.count += 1
        if failures.count == 1:
            self._log.warning("departure_not_stored", target=departure.target, reason=reason)
        self._ask_others(departure)
        await self._timers.sleep(_RETRY_INTERVAL * self._random.uniform(0.5, 1.5))

    def _note_stored(self, departure: Departure, *, by: str) -> None:
        self._stored_at[departure] = self._timers.now()
        self._log.info("departure_stored", target=departure.target, born=departure.born, by=by)
        self._on_stored.set()
        self._on_stored = anyio.Event()

    # --- daemons that the store turns away ----------------------------------------------------

    def _ask_others(self, departure: Departure) -> None:
        """Ask some daemons to write a departure; the store may turn away this one alone."""
        others = [member for member in self._members.table.others() if member.has_store_access]
        for member in self._random.sample(others, min(_MAX_ASKED, len(others))):
            self._port.send_datagram(
                StoreDeparture(self._host, departure.target, departure.born, departure.is_exact),
                member.control,
            )

    def _on_request(self, request: StoreDeparture, sender: Address) -> None:
        if request in self._requests or len(self._requests) < _MAX_REQUESTS:
            self._requests[request] = sender
            self._has_work.set()

    async def _write_requested(self, request: HostDeparture) -> None:
        """Write a departure for another daemon, which asks again if it gets no answer."""
        sender = self._requests.pop(request)
        reason = await self._put(request.host, request.departure, _WRITE_TIMEOUTS[0])
        self._log.info(
            "departure_stored_for", target=request.target, of=request.host, reason=reason or None
        )
        if not reason:
            self._port.send_datagram(
                DepartureStored(request.host, request.target, request.born, request.is_exact),
                sender,
            )

    def _on_answer(self, answer: DepartureStored, sender: Address) -> None:
        known = self._targets.departures_within(DEPARTURE_RETENTION_SECONDS)
        if answer.host == self._host and answer.departure in known:
            self._note_stored(answer.departure, by=str(sender))
