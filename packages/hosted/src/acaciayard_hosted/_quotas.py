"""The part of a hosted daemon in keeping the caps of workspaces: its rules, its log lines."""

from __future__ import annotations

import random

import structlog

from acaciayard_membership import Membership
from acaciayard_quotas import ConnectedCaps, SeatOwnershipChange
from acaciayard_timers import TimerService
from acaciayard_wire import ControlPort

from ._settings import HostedSettings

__all__ = ["hosted_caps"]


def hosted_caps(
    settings: HostedSettings,
    *,
    members: Membership,
    port: ControlPort,
    timers: TimerService,
    seed: random.Random,
    log: structlog.typing.FilteringBoundLogger,
) -> ConnectedCaps:
    """The caps of a daemon; they do nothing until a configuration has workspaces with caps."""

    def tell(news: SeatOwnershipChange) -> None:
        log.info("cap_seat", workspace=news.workspace, seat=news.seat, held=news.is_held)

    return ConnectedCaps(
        members=members, port=port, rules=settings.caps, timers=timers, seed=seed, tell=tell
    )
