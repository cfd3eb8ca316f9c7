"""Connects the caps of one daemon to the control port and to cluster membership."""

from __future__ import annotations

import random
from collections.abc import Callable

from acaciayard_membership import Member, Membership, MemberState
from acaciayard_timers import TimerService
from acaciayard_wire import ControlPort

from ._granting import SeatOwnershipChange
from ._limits import CapRules
from ._mesh_caps import MeshCaps
from ._messages import TokenRequest, TokenResponse, TokenReturn
from ._seats import Seats

__all__ = ["ConnectedCaps"]


class ConnectedCaps:
    """The caps of one daemon, with seat ownership derived from its view of the membership.

    Example:
        connected = ConnectedCaps(members=members, port=port, rules=rules, timers=timers, seed=seed)
        versions.on_in_force(connected.caps.use)
        connected.settle()          # after contacting the other daemons
    """

    def __init__(
        self,
        *,
        members: Membership,
        port: ControlPort,
        rules: CapRules,
        timers: TimerService,
        seed: random.Random,
        tell: Callable[[SeatOwnershipChange], None] = lambda _: None,
    ) -> None:
        self._members = members
        self._port = port
        own = members.table.own.host
        self._seats = Seats(own, timers=timers)
        self._caps = MeshCaps(
            own,
            seats=self._seats,
            rules=rules,
            timers=timers,
            seed=seed,
            send=self._send,
            tell=tell,
        )
        for member in members.table.others():
            self._update_member(None, member)
        members.table.subscribe(self._update_member)
        members.on_position(lambda _host, _position: self._seats.note_message())
        port.on_datagram(TokenRequest, lambda request, _sender: self._caps.handle_request(request))
        port.on_datagram(TokenResponse, lambda reply, _sender: self._caps.handle_response(reply))
        port.on_datagram(TokenReturn, lambda returned, _sender: self._caps.handle_return(returned))

    @property
    def caps(self) -> MeshCaps:
        """The caps that entries consult for each call."""
        return self._caps

    def settle(self) -> None:
        """Note that this daemon has contacted the other daemons, if there are any."""
        self._seats.settle()

    def _update_member(self, _before: Member | None, now: Member) -> None:
        if now.host == self._members.table.own.host:
            return
        if now.state == MemberState.ALIVE:
            self._seats.note_message()  # only another daemon can report a member as alive
        if now.is_present:
            self._seats.note_present(now.host)
        else:
            self._seats.note_departed(now.host, has_left=now.state == MemberState.LEFT)

    def _send(self, host: str, message: object) -> None:
        member = self._members.table.find(host)
        if member is not None:
            self._port.send_datagram(message, member.control)
