"""Base class of the replication tests: daemons on a fake network and log with a manual clock."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable

import anyio

from acaciayard_resources import Put, Service
from acaciayard_spread import SnapshotSettings
from acaciayard_standins import FakeMesh

DOMAINS = ("riga-a", "riga-b", "jelgava", "sigulda")


def hosts(count: int, domains: int = 4) -> dict[str, str]:
    return {f"h{i:02}": DOMAINS[i % domains] for i in range(count)}


def service(name: str, revision: int = 0, objective_ms: float = 1000.0) -> tuple[Put, ...]:
    return (Put(Service(name=name, objective_ms=objective_ms), revision),)


def first_error(group: ExceptionGroup[Exception]) -> Exception:
    first = group.exceptions[0]
    return first_error(first) if isinstance(first, ExceptionGroup) else first


class SpreadTest(unittest.TestCase):
    def run_mesh(
        self,
        body: Callable[[FakeMesh], Awaitable[None]],
        count: int = 12,
        snapshots: SnapshotSettings | None = None,
        domains: int = 4,
    ) -> None:
        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                mesh = FakeMesh(tasks, hosts(count, domains), seed=7, snapshots=snapshots)
                await body(mesh)
                self.assertEqual(mesh.violations(), {})
                tasks.cancel_scope.cancel()

        try:
            anyio.run(run)
        except ExceptionGroup as group:
            raise first_error(group) from group

    async def start_mesh(self, mesh: FakeMesh) -> None:
        mesh.start()
        await mesh.advance(6)
        self.assertEqual(set(mesh.versions().values()), {0})

    def assert_everywhere(self, mesh: FakeMesh, version: int) -> None:
        self.assertEqual(set(mesh.versions().values()), {version}, mesh.versions())
