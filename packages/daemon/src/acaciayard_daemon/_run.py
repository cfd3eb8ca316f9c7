"""Runs a daemon until it is told to stop."""

from __future__ import annotations

import gc
import signal
from collections.abc import AsyncIterator
from typing import Final

import anyio
import structlog

from acaciayard_settings import HostSettings

from ._build import build_daemon
from ._daemon import Daemon

__all__ = ["run_daemon"]

#: Objects made, less those freed, after which the collector looks through the young ones, and
#: such looks after which it looks through older ones.
_YOUNG_OBJECTS: Final = 20_000
_COLLECTIONS: Final = 10


async def run_daemon(settings: HostSettings, logger: structlog.typing.FilteringBoundLogger) -> None:
    """Run until SIGTERM or SIGINT; a second signal ends the grace for calls under way."""
    async with anyio.create_task_group() as tasks:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            daemon = await build_daemon(settings, logger, tasks)
            daemon.start_parts(tasks)
            _spare_collector()
            _log_ready(daemon)
            await _until_stopped(daemon, signals)
            tasks.cancel_scope.cancel()


def _spare_collector() -> None:
    """Have the cyclic garbage collector pass over what stands for good, and run seldom.

    A call makes a few hundred objects and hardly any cycles; by default the collector would look
    through the young ones every few calls.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(_YOUNG_OBJECTS, _COLLECTIONS, _COLLECTIONS)


async def _until_stopped(daemon: Daemon, signals: AsyncIterator[signal.Signals]) -> None:
    force = anyio.Event()
    async for number in signals:
        daemon.logger.info("stopping", signal=signal.Signals(number).name)
        break

    async def listen_for_force() -> None:
        async for number in signals:
            daemon.logger.warning("forced", signal=signal.Signals(number).name)
            force.set()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listen_for_force)
        cut = await daemon.stop(force)
        tasks.cancel_scope.cancel()
    daemon.logger.info("stopped", calls_cut=cut)


def _log_ready(daemon: Daemon) -> None:
    own = daemon.members.table.own
    daemon.logger.info(
        "ready",
        control=own.control_port,
        calls=own.call_port,
        entry=daemon.entry.port,
        api=own.api_port,
        incarnation=own.incarnation,
    )
