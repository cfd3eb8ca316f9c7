"""One real daemon among many light peers."""

from __future__ import annotations

import secrets
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, Final

import httpx
from attrs import frozen

from acaciayard_standins import HostPlan, LocalMesh, MeshHost, StandInProcess
from acaciayard_timers import EventLoopTimers

from ._sampling import guard_machine

__all__ = ["DOMAINS", "PEERS_PER_PROCESS", "Crowd", "crowd"]

#: The size to design for has five failure domains.
DOMAINS: Final = ("riga-a", "riga-b", "jelgava", "sigulda", "valmiera")
#: Peers in one process.
PEERS_PER_PROCESS: Final = 90
_MB_PER_DAEMON: Final = 60
_MB_PER_PROCESS: Final = 350
_SEEDS: Final = 5
_KNOWN_WITHIN: Final = 60.0


@frozen
class Crowd:
    """The processes of one run."""

    #: The log and the real daemon.
    mesh: LocalMesh
    #: The real daemon.
    daemon: MeshHost
    #: The processes of the peers.
    processes: tuple[StandInProcess, ...]
    #: Members in all.
    size: int

    def known(self) -> int:
        """Members that the real daemon knows as running."""
        status: dict[str, Any] = self.daemon.status()
        return sum(status["members"].values())

    def wait_known(self, within: float = _KNOWN_WITHIN) -> float:
        """Seconds until the real daemon knows all; raises `TimeoutError`."""
        started = time.monotonic()
        while (found := self.known()) < self.size:
            if time.monotonic() - started > within:
                raise TimeoutError(f"{found} of {self.size} members known after {within:g} s")
            time.sleep(0.1)
        return time.monotonic() - started

    def propose(self, name: str, count: int = 1) -> tuple[int, float]:
        """Publish some services in one change; the version, and when it was asked for."""
        puts = [
            {"kind": "service", "spec": {"name": f"{name}-{number}"}} for number in range(count)
        ]
        asked = EventLoopTimers().now()
        body = {"author": "bench", "puts": puts}
        answer = httpx.post(
            f"{self.daemon.api}/v1/changes", json=body, timeout=20.0, trust_env=False
        )
        answer.raise_for_status()
        return int(answer.json()["version"]), asked

    def wait_in_force(self, version: int, asked: float, within: float = 30.0) -> float:
        """Seconds from the request until all members have a version in force."""
        times = []
        for process in self.processes:
            line = process.wait_for(
                lambda line: line.event == "peers_in_force"
                and int(line.pairs["version"]) == version,
                within=within,
            )
            times.append(float(line.pairs["monotonic"]))
        line = self.daemon.daemon.wait_for(
            lambda line: line.event == "in_force" and int(line.pairs["version"]) >= version,
            within=within,
        )
        times.append(float(line.pairs["monotonic"]))
        return max(times) - asked


@contextmanager
def crowd(size: int, *, seed: int, churn: float = 0.0, services: int = 35) -> Iterator[Crowd]:
    """Start one real daemon and `size - 1` light peers, and wait until all know each other."""
    peers = size - 1
    count = -(-peers // PEERS_PER_PROCESS)
    guard_machine(processes=count + 3, megabytes=_MB_PER_DAEMON + count * _MB_PER_PROCESS)
    network = f"127.{secrets.randbelow(100) + 120}"
    with LocalMesh([HostPlan("real-1", DOMAINS[0], "service-0")]) as mesh:
        daemon = mesh.hosts[0]
        port = 20_000 + secrets.randbelow(10_000)
        seeds = [f"{network}.0.{number + 1}:{port}" for number in range(min(_SEEDS, peers))]
        processes = tuple(
            StandInProcess(
                f"peers-{index}",
                [
                    *("-m", "acaciayard_bench", "peers"),
                    *("--first", str(index * PEERS_PER_PROCESS)),
                    *("--count", str(min(PEERS_PER_PROCESS, peers - index * PEERS_PER_PROCESS))),
                    *("--of", str(peers)),
                    *("--network", network, "--port", str(port), "--log-url", mesh.log_url),
                    *("--domains", ",".join(DOMAINS), "--services", str(services)),
                    *("--seeds", ",".join(seeds), "--seed", str(seed)),
                    *("--churn", str(churn / count)),
                ],
            )
            for index in range(count)
        )
        mesh.log.start()
        mesh.log.wait_ready()
        try:
            for process in processes:
                process.start()
            for process in processes:
                process.wait_ready()
            daemon.write_settings(log_url=mesh.log_url, seeds=seeds)
            daemon.daemon.start()
            daemon.daemon.wait_ready()
            daemon.target.start()
            running = Crowd(mesh, daemon, processes, size)
            running.wait_known()
            daemon.wait_in_force(0, within=_KNOWN_WITHIN)
            yield running
        finally:
            for process in processes:
                process.kill()
