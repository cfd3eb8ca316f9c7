"""Enforcement of workspace caps in a hosted daemon: its rules and its log lines."""

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
    """Create the caps of a daemon, inactive until a configuration has workspaces with caps."""

    def log_seat_news(news: SeatOwnershipChange) -> None:
        log.info("cap_seat", workspace=news.workspace, seat=news.seat, held=news.is_held)

    return ConnectedCaps(
        members=members,
        port=port,
        rules=settings.caps,
        timers=timers,
        seed=seed,
        tell=log_seat_news,
    )
