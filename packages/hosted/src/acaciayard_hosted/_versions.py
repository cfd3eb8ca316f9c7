"""Puts complete configurations that the platform's store has accepted in force.

The store accepts a configuration before any daemon receives it, and keeps the newest one for ever.
So a daemon needs no earlier records, no witnesses and no floor, unlike one that distributes
changes: it puts a configuration in force as soon as it holds the whole document and the version is
newer than the one in force.

Calls wait while a document is parsed, so a long document is parsed in slices with calls in between.
The version in force stays until the next one is parsed completely; documents that arrive meanwhile
wait, and only the newest of these is parsed.
"""

from __future__ import annotations

from collections.abc import Callable, Generator, Iterator
from typing import Final

import anyio
import structlog
from attrs import define, evolve, field, frozen

from acaciayard_resources import (
    Configuration,
    Finding,
    FindingsError,
    Invariant,
    Invariants,
    Place,
)
from acaciayard_timers import ProcessorPart, Signal, TimerService
from acaciayard_wire import trace_of

__all__ = ["AcceptedVersion", "AcceptedVersions", "ConfigurationReader"]

#: A generator that yields between slices of work, so that other tasks can run, and returns the
#: configuration.
ConfigurationSlices = Generator[None, None, Configuration]
#: Parses a document into a configuration, at once or in slices; reuses unchanged parts of the
#: earlier configuration. Raises `FindingsError`.
ConfigurationReader = Callable[[bytes, Configuration | None], Configuration | ConfigurationSlices]
#: Seconds that one slice takes before other tasks run. A slice may overrun by up to a millisecond,
#: and a call must not wait for five.
_SLICE_SECONDS: Final = 0.002
#: Findings of one invalid document that are logged.
_MAX_LOGGED_FINDINGS: Final = 5


@frozen
class AcceptedVersion:
    """A configuration and the document that it was parsed from."""

    #: The document as the operators' store holds it.
    document: bytes
    #: The parsed configuration.
    configuration: Configuration
    #: Time at which this daemon put it in force, on the clock of the timer service.
    since: float
    #: Position from which to continue reading the store, negative if unknown.
    offset: int = -1
    #: Whether this daemon read it from the store itself, so that others may not have it yet.
    is_first_hand: bool = False
    #: Position of the newest rollout order that may precede `offset`, 0 if there is none.
    newest_order: int = 0


@frozen
class _Offer:
    """A document offered for activation."""

    #: The document.
    document: bytes
    #: Where it came from.
    source: str
    #: Its version as announced by the sender, 0 if unknown.
    version: int
    #: Position from which to continue reading the store, negative if unknown.
    offset: int
    #: Whether this daemon read it from the store itself.
    is_first_hand: bool
    #: Position of the newest rollout order that may precede `offset`, 0 if there is none.
    newest_order: int
    #: Documents that were published before it, the last one of which is tried if it is invalid.
    earlier: tuple[bytes, ...] = ()


@define
class _Reading:
    """A document that is being parsed."""

    #: The offer that is being parsed.
    offer: _Offer
    #: The generator that parses it.
    slices: ConfigurationSlices
    #: Number of slices so far.
    count: int = 0
    #: Set once parsing has ended.
    done: anyio.Event = field(factory=anyio.Event)


#: Called with the previous version, `None` for the first one, and the version put in force.
VersionListener = Callable[[AcceptedVersion | None, AcceptedVersion], None]


class AcceptedVersions:
    """Puts complete configurations in force, each newer than the previous one.

    Example:
        versions = AcceptedVersions(read_document, timers=timers, invariants=invariants, log=log)
        versions.on_in_force(entry.use)
        versions.offer(document, source="store")
    """

    def __init__(
        self,
        read: ConfigurationReader,
        *,
        timers: TimerService,
        invariants: Invariants,
        log: structlog.typing.FilteringBoundLogger,
    ) -> None:
        self._read = read
        self._timers = timers
        self._invariants = invariants
        self._log = log
        self._newest: AcceptedVersion | None = None
        self._rejected = 0
        self._last_rejected = b""
        self._passed_over = 0
        self._reading: _Reading | None = None
        #: Offers that wait for the current parse to end, keyed by whether their version was
        #: announced.
        self._waiting: dict[bool, _Offer] = {}
        self._preparations: list[Callable[[Configuration], Iterator[None]]] = []
        self._listeners: list[Callable[[Configuration], None]] = []
        self._version_listeners: list[VersionListener] = []
        self._changed = Signal()

    @property
    def newest(self) -> AcceptedVersion | None:
        """The version in force, `None` before the first one."""
        return self._newest

    @property
    def version(self) -> int:
        """Number of the version in force, 0 before the first one."""
        return 0 if self._newest is None else self._newest.configuration.version

    @property
    def rejected(self) -> int:
        """Number of documents rejected as invalid."""
        return self._rejected

    @property
    def passed_over(self) -> int:
        """Number of documents skipped because a newer one arrived while they waited."""
        return self._passed_over

    @property
    def changed(self) -> Signal:
        """Notified with each version put in force."""
        return self._changed

    def on_prepare(self, prepare: Callable[[Configuration], Iterator[None]]) -> None:
        """Run `prepare` on each configuration, in slices, before it is put in force."""
        self._preparations.append(prepare)

    def on_in_force(self, listener: Callable[[Configuration], None]) -> None:
        """Call `listener` with each configuration that is put in force."""
        self._listeners.append(listener)

    def on_version(self, listener: VersionListener) -> None:
        """Call `listener` with the previous version and the one put in force."""
        self._version_listeners.append(listener)

    async def until_read(self) -> None:
        """Return once no offered document is being parsed."""
        while self._reading is not None:
            await self._reading.done.wait()

    def offer(
        self,
        document: bytes,
        *,
        source: str,
        version: int = 0,
        offset: int = -1,
        is_first_hand: bool = False,
        newest_order: int = 0,
        earlier: tuple[bytes, ...] = (),
    ) -> bool:
        """Put a document in force if it is valid and newer.

        Returns true if it was put in force or is being parsed. `version` is the number that the
        sender announced, 0 if unknown. `offset` is the position from which to continue reading the
        store, negative if unknown; `newest_order` is the position of the newest rollout order that
        may precede it. `earlier` are documents published before it that nobody has offered yet; of
        these the last valid one counts if this one is invalid.
        """
        return self._consider(
            _Offer(document, source, version, offset, is_first_hand, newest_order, earlier)
        )

    def _consider(self, offer: _Offer) -> bool:
        """Parse an offer now or later, or the one before it if it is known to be invalid."""
        if offer.document == self._last_rejected:
            return self._consider_earlier(offer)
        if self._is_known(offer.document) or 0 < offer.version <= self.version:
            return False
        if self._reading is not None:
            return self._enqueue(offer)
        before = self.version
        self._read_offer(offer)
        return self._reading is not None or self.version > before

    def _consider_earlier(self, offer: _Offer) -> bool:
        """Consider the last document that was published before an invalid one, if it is known."""
        if not offer.earlier:
            return False
        *rest, last = offer.earlier
        return self._consider(evolve(offer, document=last, version=0, earlier=tuple(rest)))

    def _is_known(self, document: bytes) -> bool:
        """Whether a document can be skipped: it is in force, was rejected, or is being parsed."""
        if self._newest is not None and document == self._newest.document:
            return True
        if self._reading is not None and document == self._reading.offer.document:
            return True
        return document == self._last_rejected

    # --- waiting offers -----------------------------------------------------------------------

    def _enqueue(self, offer: _Offer) -> bool:
        """Queue an offer until the current parse ends, replacing an older one.

        Among offers with an announced version the highest is kept; among the others, which come
        from the store in order, the last.
        """
        is_announced = offer.version > 0
        known = self._waiting.get(is_announced)
        if known is not None:
            if known.document == offer.document or offer.version < known.version:
                return False
            self._passed_over += 1
            self._log.info(
                "version_passed_over", version=known.version or None, source=known.source
            )
        self._waiting[is_announced] = offer
        return True

    def _read_waiting(self) -> None:
        """Parse the waiting offers that are still newer."""
        while self._waiting and self._reading is None:
            offer = self._waiting.pop(min(self._waiting))
            if not (self._is_known(offer.document) or 0 < offer.version <= self.version):
                self._read_offer(offer)

    # --- parsing ------------------------------------------------------------------------------

    def _read_offer(self, offer: _Offer) -> None:
        """Start to parse an offer; a newer one is put in force, maybe after further slices."""
        self._reading = _Reading(offer, self._slices_of(offer.document))
        self._continue_reading()

    def _slices_of(self, document: bytes) -> ConfigurationSlices:
        """Parse a document and prepare its configuration, in slices; one slice may suffice."""
        earlier = self._newest.configuration if self._newest is not None else None
        found = self._read(document, earlier)
        configuration = found if isinstance(found, Configuration) else (yield from found)
        if configuration.version > self.version:
            for prepare in self._preparations:
                yield from prepare(configuration)
        return configuration

    def _continue_reading(self) -> None:
        """Run one slice, with its processor time accounted to versions."""
        account = self._timers.account
        before = account.switch(ProcessorPart.VERSIONS)
        try:
            self._read_slice()
        finally:
            account.switch(before)

    def _read_slice(self) -> None:
        reading = self._reading
        if reading is None:
            return
        reading.count += 1
        ends = self._timers.now() + _SLICE_SECONDS
        try:
            while self._timers.now() <= ends:
                next(reading.slices)
        except StopIteration as end:
            self._end_reading(reading)
            self._take(reading, end.value)
        except FindingsError as findings:
            self._end_reading(reading)
            self._reject(reading.offer, findings)
        except Exception as error:
            # An exception from the parser would recur with this document: it would end each daemon
            # that reads it, one after the other, and again at each start. The version in force
            # stays.
            self._end_reading(reading)
            self._log.error("configuration_not_read", trace=trace_of(error))
            fault = _unreadable_finding(Place(source=reading.offer.source), error)
            self._reject(reading.offer, FindingsError.of([fault]))
        else:
            self._timers.call_at(self._timers.now(), self._continue_reading)
            return
        self._read_waiting()

    def _end_reading(self, reading: _Reading) -> None:
        self._reading = None
        reading.done.set()

    def _take(self, reading: _Reading, configuration: Configuration) -> None:
        """Put the parsed configuration in force if it is newer."""
        if configuration.version <= self.version:
            return
        self._invariants.expect(configuration.version > self.version, Invariant.NEVER_BACK)
        offer = reading.offer
        accepted = AcceptedVersion(
            offer.document,
            configuration,
            self._timers.now(),
            offer.offset,
            offer.is_first_hand,
            offer.newest_order,
        )
        self._put_in_force(accepted, offer.source, reading.count)

    def _reject(self, offer: _Offer, findings: FindingsError) -> None:
        self._rejected += 1
        self._last_rejected = offer.document
        shown = [str(finding) for finding in findings.items[:_MAX_LOGGED_FINDINGS]]
        self._log.warning(
            "configuration_rejected",
            source=offer.source,
            kept_version=self.version,
            findings=len(findings.items),
            first="; ".join(shown),
        )
        self._consider_earlier(offer)

    def _put_in_force(self, accepted: AcceptedVersion, source: str, slices: int) -> None:
        before = self._newest
        self._newest = accepted
        for listener in self._listeners:
            listener(accepted.configuration)
        self._log.info(
            "in_force",
            version=accepted.configuration.version,
            before=before.configuration.version if before is not None else 0,
            source=source,
            resources=len(accepted.configuration.stored),
            document_bytes=len(accepted.document),
            slices=slices,
        )
        for version_listener in self._version_listeners:
            version_listener(before, accepted)
        self._changed.notify()


def _unreadable_finding(place: Place, error: Exception) -> Finding:
    """The finding for a document whose parser raised an unexpected exception."""
    message = f"cannot be read by this release: {type(error).__name__}: {error}"
    return Finding(place, message, "leave out what is new in it, and report the fault")
