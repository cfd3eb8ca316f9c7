"""A small mesh of plain processes on loopback addresses, for runs, tests and measurements."""

from __future__ import annotations

import secrets
import tempfile
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, Final

import httpx
from attrs import evolve, frozen

from ._ports import claim_port
from ._process import StandInProcess

__all__ = ["HostPlan", "LocalMesh", "MeshHost", "riga_plan", "several_domains"]

#: Hosts whose daemons others meet first.
_SEEDS: Final = 3
#: Where the target stand-ins of all hosts listen.
_TARGET_IP: Final = "127.0.0.1"


@frozen
class HostPlan:
    """A host to be started."""

    #: Name of the host.
    name: str
    #: Its failure domain.
    domain: str
    #: Service of its target; empty for none.
    service: str = ""
    #: Slots of its target.
    slots: int = 9
    #: Connections that its target takes.
    connections: int = 130


def several_domains(count: int, domains: Iterable[str], **changes: Any) -> list[HostPlan]:
    """Plans for `count` hosts, spread evenly over failure domains."""
    names = list(domains)
    return [evolve(HostPlan(f"host-{i}", names[i % len(names)]), **changes) for i in range(count)]


def riga_plan() -> list[HostPlan]:
    """A small mesh of the shape of the Riga network."""
    domains = ("riga-a", "riga-b", "jelgava", "sigulda")
    novero = [HostPlan(f"novero-{i}", d, "novero") for i, d in enumerate(domains, start=1)]
    krajums = [HostPlan(f"krajums-{i}", d, "krajums") for i, d in enumerate(domains[:2], start=1)]
    return novero + krajums


@frozen
class _Ports:
    control: int
    calls: int
    entry: int
    api: int


class MeshHost:
    """A daemon with its target, as two processes on one loopback address."""

    def __init__(self, plan: HostPlan, ip: str, folder: Path, *, extra_settings: str = "") -> None:
        self._plan = plan
        self._ip = ip
        self._ports = _free_ports(ip)
        self._path = folder / f"{plan.name}.toml"
        self._extra = extra_settings
        self._daemon = StandInProcess(
            plan.name, ["-m", "acaciayard_daemon", "--config", str(self._path)]
        )
        self._target = self._make_target() if plan.service else None

    def _make_target(self) -> StandInProcess:
        plan = self._plan
        port = claim_port(_TARGET_IP)
        self._target_port = port
        options = {
            "--api": self.api,
            "--service": plan.service,
            "--name": f"{plan.name}-target",
            "--slots": str(plan.slots),
            "--connections": str(plan.connections),
            "--port": str(port),
        }
        words = [word for option in options.items() for word in option]
        return StandInProcess(
            f"{plan.name}-target", ["-m", "acaciayard_standins", "target", *words]
        )

    @property
    def plan(self) -> HostPlan:
        """What was asked for."""
        return self._plan

    @property
    def name(self) -> str:
        """Name of the host."""
        return self._plan.name

    @property
    def daemon(self) -> StandInProcess:
        """The daemon."""
        return self._daemon

    @property
    def target(self) -> StandInProcess:
        """The target."""
        assert self._target is not None, f"{self.name} has no target"
        return self._target

    @property
    def has_target(self) -> bool:
        """Whether there is a target on this host."""
        return self._target is not None

    @property
    def seed(self) -> str:
        """Address of the control port."""
        return f"{self._ip}:{self._ports.control}"

    @property
    def api(self) -> str:
        """Address of the API."""
        return f"http://{self._ip}:{self._ports.api}"

    @property
    def entry(self) -> str:
        """Address for callers."""
        return f"http://{self._ip}:{self._ports.entry}"

    @property
    def entry_address(self) -> tuple[str, int]:
        """Address for callers as IP number and port."""
        return (self._ip, self._ports.entry)

    @property
    def target_url(self) -> str:
        """Address of the target itself."""
        return f"http://{_TARGET_IP}:{self._target_port}"

    def write_settings(self, *, log_url: str, seeds: list[str]) -> None:
        """Write the settings file of the daemon."""
        quoted = ", ".join(f'"{seed}"' for seed in seeds)
        ports = self._ports
        self._path.write_text(
            f'[host]\nname = "{self.name}"\nfailure_domain = "{self._plan.domain}"\n'
            f'address = "{self._ip}"\n\n'
            f"[ports]\ncontrol = {ports.control}\ncalls = {ports.calls}\n"
            f"entry = {ports.entry}\napi = {ports.api}\n\n"
            f'[log]\nurl = "{log_url}"\n\n[mesh]\nseeds = [{quoted}]\n{self._extra}'
        )

    def status(self) -> dict[str, Any]:
        """What the daemon says of itself."""
        answer = httpx.get(f"{self.api}/v1/status", timeout=5.0, trust_env=False)
        status: dict[str, Any] = answer.json()
        return status

    def journal(self) -> dict[str, Any]:
        """What the target ran."""
        return self.tell_target("journal")

    def tell_target(self, what: str) -> dict[str, Any]:
        """Throw a switch of the target stand-in."""
        url = f"{self.target_url}/standin/{what}"
        answer: dict[str, Any] = httpx.get(url, timeout=5.0, trust_env=False).json()
        return answer

    def wait_in_force(self, version: int, *, within: float = 20.0) -> None:
        """Wait until the daemon has a version, or a later one, in force."""
        self._daemon.wait_for(
            lambda line: line.event == "in_force" and int(line.pairs["version"]) >= version,
            within=within,
        )

    def processes(self) -> Iterator[StandInProcess]:
        """The target and the daemon."""
        if self._target is not None:
            yield self._target
        yield self._daemon


class LocalMesh:
    """The log stand-in and some hosts.

    Example:

        with LocalMesh(riga_plan()) as mesh:
            mesh.start()
            mesh.apply('[[service]]\\nname = "novero"')
    """

    def __init__(
        self,
        plans: Iterable[HostPlan],
        *,
        extra_settings: str = "",
        retention: float = 86_400.0,
        appends_per_second: float = 400.0,
    ) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="acaciayard-")
        net = secrets.randbelow(200) + 20
        subnet = secrets.randbelow(254) + 1
        port = claim_port("127.0.0.1")
        self._log_url = f"http://127.0.0.1:{port}"
        self.log = StandInProcess(
            "log",
            [
                *("-m", "acaciayard_standins", "log"),
                *("--port", str(port)),
                *("--retention", str(retention)),
                *("--appends-per-second", str(appends_per_second)),
            ],
        )
        folder = Path(self._folder.name)
        self._hosts = {
            plan.name: MeshHost(
                plan,
                f"127.{net}.{subnet + index // 250}.{index % 250 + 1}",
                folder,
                extra_settings=extra_settings,
            )
            for index, plan in enumerate(plans)
        }

    @property
    def hosts(self) -> list[MeshHost]:
        """All hosts."""
        return list(self._hosts.values())

    @property
    def log_url(self) -> str:
        """Address of the log stand-in."""
        return self._log_url

    def host(self, name: str) -> MeshHost:
        """A host by name."""
        return self._hosts[name]

    def __enter__(self) -> LocalMesh:
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def start(self) -> None:
        """Start everything and wait until all daemons serve."""
        self.log.start()
        self.log.wait_ready()
        self.start_daemons(self.hosts)
        for host in self.hosts:
            if host.has_target:
                host.target.start()
        for host in self.hosts:
            if host.has_target:
                host.target.wait_ready()

    def start_daemons(self, hosts: Iterable[MeshHost]) -> None:
        """Start daemons at once and wait until each has a version in force."""
        chosen = list(hosts)
        seeds = self._seeds()
        for host in chosen:
            host.write_settings(log_url=self._log_url, seeds=seeds)
            host.daemon.start()
        for host in chosen:
            host.daemon.wait_ready()
        for host in chosen:
            host.wait_in_force(0, within=30.0)

    def _seeds(self) -> list[str]:
        return [host.seed for host in self.hosts[:_SEEDS]]

    def stop(self) -> None:
        """End every process."""
        everything = [p for host in self.hosts for p in host.processes()] + [self.log]
        for process in everything:
            process.kill()
        self._folder.cleanup()

    def set_log_fault(self, fault: str, **more: Any) -> None:
        """Switch a fault of the log stand-in on, or all off with `"none"`."""
        body = {"fault": fault, **more}
        httpx.post(f"{self._log_url}/faults", json=body, timeout=5.0, trust_env=False)

    def log_counters(self) -> dict[str, int]:
        """Reads and appends that the log has seen."""
        answer = httpx.get(f"{self._log_url}/counters", timeout=5.0, trust_env=False)
        counters: dict[str, int] = answer.json()
        return counters


def _free_ports(ip: str) -> _Ports:
    return _Ports(*(claim_port(ip, udp=True) for _ in range(4)))
