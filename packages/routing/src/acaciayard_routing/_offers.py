"""The sequence of hosts that a call is offered to, and whether it may wait in their queues."""

from __future__ import annotations

from typing import Final

from attrs import frozen

from acaciayard_callmodel import NotRun

from ._candidates import Candidate
from ._picker import Picker
from ._router import Plan, Router

__all__ = ["MAX_OFFERS", "Offer", "Offers"]

#: Maximum number of hosts that a call is offered to when each of them refuses it.
MAX_OFFERS: Final = 4
#: First offers of a call that are accepted only if a slot is free.  Load reports are some
#: milliseconds old, and a refusal costs 0.2 to 3 ms where waiting costs tens of milliseconds.  A
#: host that has recently reported no free slot gets no such offer: if targets are short of slots,
#: calls then make a quarter to a third fewer offers for the same result (0.002 less earned over
#: eight modelled loads, within the spread of their seeds).
_NO_WAIT_OFFERS: Final = 2


@frozen
class Offer:
    """An offer of a call to a host."""

    #: The host that the call is offered to.
    candidate: Candidate
    #: Whether the call may wait for a slot; otherwise the host accepts it only if a slot is free.
    may_wait: bool


class Offers:
    """The offers of one call.

    The first offers ask for a free slot, unless the best candidate is known to have none.  A host
    without a free slot reports its load when it refuses, so that a later offer lets the call wait
    where the expected wait is shortest, which may be at a host that has refused before.  A call
    that `is_late` has no time left to wait, so it gets only the offers for a free slot.

    Example:
        while (offer := offers.next()) is not None:
            ...  # send the offer
            offers.note_refused(offer, refusal)
    """

    def __init__(
        self,
        picker: Picker,
        plan: Plan,
        router: Router,
        *,
        is_late: bool = False,
        prefers_fastest: bool = False,
    ) -> None:
        self._max_offers = _NO_WAIT_OFFERS if is_late else MAX_OFFERS
        self._prefers_fastest = prefers_fastest
        self._picker = picker
        self._plan = plan
        self._router = router
        self._excluded: set[str] = set()
        self._full_hosts: set[str] = set()
        self._refusals = 0

    @property
    def tried(self) -> set[str]:
        """Hosts that a further attempt must not go to."""
        return self._excluded | self._full_hosts

    @property
    def failed(self) -> set[str]:
        """Hosts at which an attempt failed, or that refused for another reason than load."""
        return self._excluded

    def next(self) -> Offer | None:
        """Return the next offer, or `None` if there is none."""
        if self._refusals >= self._max_offers:
            return None
        if self._refusals < _NO_WAIT_OFFERS:
            candidate = self._pick(self._excluded | self._full_hosts)
            if candidate is not None:
                return Offer(candidate, may_wait=self._picker.is_full(candidate))
        candidate = self._pick(self._excluded)
        return None if candidate is None else Offer(candidate, may_wait=True)

    def _pick(self, avoid: set[str]) -> Candidate | None:
        return self._picker.pick(
            self._plan, self._router, avoid=avoid, prefers_fastest=self._prefers_fastest
        )

    def note_refused(self, offer: Offer, refusal: NotRun) -> None:
        """Record that the host has refused the call."""
        self._refusals += 1
        has_no_free_slot = refusal.is_overload and not refusal.is_by_target and not offer.may_wait
        (self._full_hosts if has_no_free_slot else self._excluded).add(offer.candidate.host)

    def exclude(self, host: str) -> None:
        """Exclude a host at which an attempt has failed from further offers."""
        self._excluded.add(host)
