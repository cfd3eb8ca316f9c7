"""Daemons as processes: what the kernel shows of them, and configuration under failure."""

from __future__ import annotations

import os
import signal
import unittest
from pathlib import Path
from typing import Any

import httpx

from acaciayard_standins import LocalMesh, MeshHost, several_domains

QUICK = "[detector]\nperiod_s = 0.3\ndirect_s = 0.2\nindirect_s = 0.3\nsuspicion_s = 1.0\n"


def propose(host: MeshHost, name: str, revision: int = 0, change: str = "") -> httpx.Response:
    put = {"kind": "service", "spec": {"name": name}, "revision": revision}
    body: dict[str, Any] = {"author": "tester", "puts": [put]}
    if change:
        body["change"] = change
    return httpx.post(f"{host.api}/v1/changes", json=body, timeout=15.0, trust_env=False)


class DaemonProcessTest(unittest.TestCase):
    """One mesh for all tests; each leaves it whole."""

    mesh: LocalMesh

    @classmethod
    def setUpClass(cls) -> None:
        domains = ("riga-a", "riga-b", "jelgava")
        cls.mesh = LocalMesh(several_domains(6, domains), extra_settings=QUICK)
        cls.addClassCleanup(cls.mesh.stop)
        cls.mesh.start()

    def wait_all(self, version: int) -> None:
        for host in self.mesh.hosts:
            host.wait_in_force(version)

    def test_no_io_uring_no_children_no_shared_memory(self) -> None:
        for host in self.mesh.hosts:
            process = Path(f"/proc/{host.daemon.pid}")
            links = [os.readlink(link) for link in (process / "fd").iterdir()]
            self.assertFalse([link for link in links if "io_uring" in link or "/dev/shm" in link])
            children = (process / "task" / str(host.daemon.pid) / "children").read_text()
            self.assertEqual(children.strip(), "")

    def test_change_reaches_all_and_watches_show_it(self) -> None:
        host = self.mesh.hosts[2]
        answer = propose(host, "watched")
        self.assertEqual(answer.status_code, 200, answer.text)
        version = answer.json()["version"]
        self.wait_all(version)
        for other in self.mesh.hosts:
            listed = httpx.get(f"{other.api}/v1/resources/service/watched", trust_env=False)
            self.assertEqual(listed.json()["revision"], version)
        url = f"{host.api}/v1/watch?from={version - 1}"
        with httpx.stream("GET", url, trust_env=False) as watch:
            line = next(watch.iter_lines())
        self.assertIn(f'"version": {version}', line)

    def test_repeated_change_through_another_daemon_has_one_outcome(self) -> None:
        self.mesh.set_log_fault("lose_answers")
        first = propose(self.mesh.hosts[0], "twice", change="same-change")
        self.mesh.set_log_fault("none")
        second = propose(self.mesh.hosts[3], "twice", change="same-change")
        self.assertEqual(second.status_code, 200, second.text)
        self.assertIn(first.status_code, (200, 504))
        if first.status_code == 200:
            self.assertEqual(first.json()["version"], second.json()["version"])

    def test_log_down_is_told_at_once_and_nothing_is_lost(self) -> None:
        before = self.mesh.hosts[0].status()["version_in_force"]
        self.mesh.set_log_fault("down")
        refused = propose(self.mesh.hosts[0], "refused")
        self.assertEqual(refused.status_code, 503)
        self.assertEqual(self.mesh.hosts[1].status()["version_in_force"], before)
        self.mesh.set_log_fault("none")
        self.assertEqual(propose(self.mesh.hosts[0], "taken").status_code, 200)

    def test_restart_with_the_log_down_comes_back_to_its_version(self) -> None:
        answer = propose(self.mesh.hosts[0], "kept")
        version = answer.json()["version"]
        self.wait_all(version)
        self.mesh.set_log_fault("down")
        host = self.mesh.hosts[4]
        host.daemon.kill()
        host.daemon.start()
        host.daemon.wait_ready()
        host.wait_in_force(version)
        versions = [
            int(line.pairs["version"]) for line in host.daemon.lines if line.event == "in_force"
        ]
        self.assertEqual(min(versions), version)
        self.mesh.set_log_fault("none")

    def test_frozen_daemon_catches_up_without_going_back(self) -> None:
        host = self.mesh.hosts[5]
        host.daemon.freeze()
        answer = propose(self.mesh.hosts[0], "missed")
        self.assertEqual(answer.status_code, 200, answer.text)
        host.daemon.thaw()
        host.wait_in_force(answer.json()["version"])
        self.assertEqual(host.status()["violations"]["never_back"], 0)

    def test_herd_restart(self) -> None:
        version = max(host.status()["version_in_force"] for host in self.mesh.hosts)
        self.wait_all(version)
        for host in self.mesh.hosts:
            host.daemon.kill()
        self.mesh.start_daemons(self.mesh.hosts)
        self.wait_all(version)
        for host in self.mesh.hosts:
            self.assertEqual(sum(host.status()["violations"].values()), 0)

    def test_second_signal_is_not_needed_to_stop(self) -> None:
        host = self.mesh.hosts[1]
        host.daemon.signal(signal.SIGTERM)
        status = host.daemon.wait_end(10.0)
        self.assertEqual(status, 0, "\n".join(str(line.pairs) for line in host.daemon.lines[-60:]))
        stopped = next(line for line in host.daemon.lines if line.event == "stopped")
        self.assertEqual(stopped.pairs["calls_cut"], "0")
        host.daemon.start()
        host.daemon.wait_ready()
        host.wait_in_force(0)


class SettingsOfDaemonTest(unittest.TestCase):
    def test_faulty_settings_end_with_all_findings(self) -> None:
        import subprocess
        import sys
        import tempfile

        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "host.toml"
            path.write_text('[host]\nname = "A B"\n[port]\n[log]\nurl = 3\n')
            done = subprocess.run(
                [sys.executable, "-m", "acaciayard_daemon", "--config", str(path)],
                capture_output=True,
                text=True,
                check=False,
            )
        self.assertEqual(done.returncode, 2)
        for part in ("host.toml:2: host.name", "host.failure_domain", "port: is not", "log.url"):
            self.assertIn(part, done.stderr)
