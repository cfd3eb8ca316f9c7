"""Runs scenarios on real daemons, and checks the promises on calls at the end of each."""

from __future__ import annotations

import functools
import secrets
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from typing import Any, Final

import anyio
import httpx

from ._caller import Caller, CallResult
from ._mesh import HostPlan, LocalMesh
from ._scenario_language import Scenario, ScenarioError, Statement

__all__ = ["ScenarioRun", "run_scenario"]

_END_WITHIN: Final = 60.0
_UNTIL_WITHIN: Final = 20.0
_LOOK_EVERY: Final = 0.02
#: Detector settings that find a failure in about two seconds.
_QUICK: Final = "[detector]\nperiod_s = 0.3\ndirect_s = 0.2\nindirect_s = 0.3\nsuspicion_s = 1.0\n"
_BODY_METHODS: Final = ("POST", "PUT")


class _BackgroundCall:
    """A call that runs in a thread of its own."""

    def __init__(self, address: tuple[str, int], statement: Statement, method: str, path: str):
        self.token = secrets.token_hex(8)
        self.key = statement.options.get("key", "")
        self._address = address
        self._method = method
        self._path = path
        self._options = statement.options
        self._result: CallResult | None = None
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        self._result = anyio.run(self._call)

    async def _call(self) -> CallResult:
        headers = []
        if self.key:
            headers.append((b"idempotency-key", self.key.encode()))
        if "deadline_ms" in self._options:
            headers.append((b"x-deadline-ms", self._options["deadline_ms"].encode()))
        body = secrets.token_bytes(int(self._options.get("body", "64")))
        return await Caller(self._address, name=self._options.get("caller", "scenario")).call(
            self._path,
            token=self.token,
            method=self._method,
            body=body if self._method in _BODY_METHODS else b"",
            headers=tuple(headers),
        )

    def result(self, within: float = _END_WITHIN) -> CallResult:
        """What the call ended with."""
        self._thread.join(within)
        if self._result is None:
            raise ScenarioError(f"the call did not end within {within:g} s")
        return self._result

    @property
    def has_ended(self) -> bool:
        """Whether the call has ended."""
        return self._result is not None


def _outcome(result: CallResult) -> str:
    """The word that scenarios use for what a call ended with."""
    if result.status == 0:
        return "cut"
    if result.outcome:
        return result.outcome
    return "answer"


class ScenarioRun:
    """A scenario under way."""

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._plans: list[HostPlan] = []
        self._settings: dict[str, list[str]] = {}
        self._puts: list[dict[str, Any]] = []
        self._calls: dict[str, list[_BackgroundCall]] = {}
        self._mesh: LocalMesh | None = None
        self._last_journals: dict[str, dict[str, Any]] = {}

    def run(self) -> None:
        """Run all statements and check the promises; raises `ScenarioError`."""
        try:
            for statement in self._scenario.statements:
                self._step(statement)
            self._check_promises()
        finally:
            if self._mesh is not None:
                self._mesh.stop()

    def _step(self, statement: Statement) -> None:
        handler: Callable[[Statement], None] = getattr(self, f"_do_{statement.verb}")
        try:
            handler(statement)
        except ScenarioError as error:
            place = f"{self._scenario.name}:{statement.line}"
            raise ScenarioError(f"{place}: {statement.verb}: {error}") from error

    @property
    def mesh(self) -> LocalMesh:
        """The mesh, once started."""
        if self._mesh is None:
            raise ScenarioError("the mesh is not started yet")
        return self._mesh

    # --- before the start ---------------------------------------------------------------------

    def _do_host(self, statement: Statement) -> None:
        name, domain, service, slots = statement.words
        assert name is not None and domain is not None
        self._plans.append(HostPlan(name, domain, service or "", int(slots or "9")))

    def _do_setting(self, statement: Statement) -> None:
        (section,) = statement.words
        lines = [f"{key} = {value}" for key, value in statement.options.items()]
        self._settings.setdefault(str(section), []).extend(lines)

    def _do_service(self, statement: Statement) -> None:
        spec = {"name": statement.words[0], **_values(statement.options)}
        self._puts.append({"kind": "service", "spec": spec})

    def _do_route(self, statement: Statement) -> None:
        name, service = statement.words
        options = _values(statement.options)
        for kind, fields in (("retry", "retry_policy"), ("timeout", "timeout_policy")):
            inner = {
                key.partition("_of_")[0]: options.pop(key)
                for key in list(options)
                if key.endswith(f"_of_{kind}")
            }
            if inner:
                self._puts.append({"kind": fields, "spec": {"name": str(name), **inner}})
                options[kind] = name
        self._puts.append({"kind": "route", "spec": {"name": name, "service": service, **options}})

    def _do_start_mesh(self, _statement: Statement) -> None:
        extra = _QUICK + "".join(
            f"[{section}]\n" + "\n".join(lines) + "\n" for section, lines in self._settings.items()
        )
        self._mesh = LocalMesh(self._plans, extra_settings=extra)
        self._mesh.start()
        body = {"author": "scenario", "puts": self._puts}
        answer = httpx.post(f"{self.mesh.hosts[0].api}/v1/changes", json=body, trust_env=False)
        if answer.status_code != 200:
            raise ScenarioError(f"the configuration was not accepted: {answer.text}")
        for host in self.mesh.hosts:
            host.wait_in_force(answer.json()["version"])
        wanted = sum(host.has_target for host in self.mesh.hosts)
        for host in self.mesh.hosts:
            self._until(functools.partial(_knows_targets, host.api, wanted), "targets known")

    # --- calls --------------------------------------------------------------------------------

    def _do_call(self, statement: Statement) -> None:
        name, host, method, path = map(str, statement.words)
        address = self.mesh.host(host).entry_address
        self._calls[name] = [_BackgroundCall(address, statement, method, path)]

    def _do_calls(self, statement: Statement) -> None:
        count, name, host, method, path = map(str, statement.words)
        address = self.mesh.host(host).entry_address
        self._calls[name] = [
            _BackgroundCall(address, statement, method, path) for _ in range(int(count))
        ]

    def _do_until_ends(self, statement: Statement) -> None:
        for call in self._calls[str(statement.words[0])]:
            call.result()

    def _do_expect(self, statement: Statement) -> None:
        name, outcome, number = statement.words
        for call in self._calls[str(name)]:
            result = call.result()
            found = _outcome(result)
            if found != outcome or (number is not None and result.status != int(number)):
                raise ScenarioError(
                    f"{name} ended with {found} {result.status} {result.body[:300]!r}"
                )

    def _do_expect_runs(self, statement: Statement) -> None:
        name, number = map(str, statement.words)
        call = self._calls[name][0]
        runs = sum(
            journal["keys"].get(call.key, 0) if call.key else journal["started"].get(call.token, 0)
            for journal in self._journals().values()
        )
        if runs != int(number):
            raise ScenarioError(f"{name} ran {runs} times")

    # --- what goes wrong ----------------------------------------------------------------------

    def _do_deed(self, statement: Statement) -> None:
        deed, part, name = map(str, statement.words)
        host = self.mesh.host(name)
        if deed == "kill" and part == "target":
            self._last_journals[name] = host.journal()
        getattr(host.daemon if part == "daemon" else host.target, deed)()

    def _do_restart(self, statement: Statement) -> None:
        host = self.mesh.host(str(statement.words[0]))
        host.daemon.stop()
        host.daemon.start()
        host.daemon.wait_ready()

    def _do_tell(self, statement: Statement) -> None:
        name, path = map(str, statement.words)
        self.mesh.host(name).tell_target(path.removeprefix("/"))

    def _do_drain(self, statement: Statement) -> None:
        host = str(statement.words[0])
        command = [sys.executable, "-m", "acaciayard_cli", "--api", self.mesh.hosts[0].api]
        done = subprocess.run(
            [*command, "drain", host], capture_output=True, text=True, check=False
        )
        if done.returncode != 0:
            raise ScenarioError(done.stderr)

    def _do_log_fault(self, statement: Statement) -> None:
        self.mesh.set_log_fault(str(statement.words[0]))

    # --- waiting ------------------------------------------------------------------------------

    def _do_wait(self, statement: Statement) -> None:
        time.sleep(float(str(statement.words[0])))

    def _do_until_runs(self, statement: Statement) -> None:
        name, number = map(str, statement.words)
        host = self.mesh.host(name)
        self._until(lambda: host.journal()["running"] >= int(number), f"{number} runs at {name}")

    def _do_until_started(self, statement: Statement) -> None:
        name, number = map(str, statement.words)
        host = self.mesh.host(name)
        self._until(
            lambda: sum(host.journal()["started"].values()) >= int(number),
            f"{number} starts at {name}",
        )

    def _do_until_logs(self, statement: Statement) -> None:
        name, event = map(str, statement.words)
        wanted = statement.options
        self.mesh.host(name).daemon.wait_for(
            lambda line: line.event == event
            and all(line.pairs.get(key) == value for key, value in wanted.items()),
            within=_UNTIL_WITHIN,
        )

    def _do_expect_no_new(self, statement: Statement) -> None:
        """No call starts at a host's target while calls go on through all daemons."""
        host = self.mesh.host(str(statement.words[0]))
        before = sum(host.journal()["started"].values())
        path = next(p["spec"]["path"] for p in self._puts if p["kind"] == "route")
        probe = Statement("call", (), {})
        for other in self.mesh.hosts:
            if not other.daemon.is_running:
                continue
            for _ in range(5):
                _BackgroundCall(other.entry_address, probe, "GET", path).result()
        after = sum(host.journal()["started"].values())
        if after != before:
            raise ScenarioError(f"{after - before} calls started at {host.name}")

    def _until(self, condition: Callable[[], bool], what: str) -> None:
        deadline = time.monotonic() + _UNTIL_WITHIN
        while time.monotonic() < deadline:
            if condition():
                return
            time.sleep(_LOOK_EVERY)
        raise ScenarioError(f"waited {_UNTIL_WITHIN:g} s in vain for {what}")

    # --- promises -----------------------------------------------------------------------------

    def _journals(self) -> dict[str, dict[str, Any]]:
        journals = dict(self._last_journals)
        for host in self.mesh.hosts:
            if host.has_target and host.target.is_running:
                host.target.thaw()
                journals[host.name] = host.journal()
        return journals

    def _check_promises(self) -> None:
        """What must hold after every scenario, whatever happened in it."""
        for host in self.mesh.hosts:
            host.daemon.thaw()
        journals = self._journals()
        for calls in self._calls.values():
            for call in calls:
                _check_call(call, journals)
        for name, journal in journals.items():
            slots = self.mesh.host(name).plan.slots
            if journal["most_running"] > slots:
                raise ScenarioError(f"{name} ran {journal['most_running']} calls on {slots} slots")
            for key, runs in journal["keys"].items():
                if sum(j["keys"].get(key, 0) for j in journals.values()) > 1:
                    raise ScenarioError(f"key {key} ran more than once ({runs} at {name})")
        for host in self.mesh.hosts:
            if host.daemon.is_running:
                broken = {k: v for k, v in host.status()["violations"].items() if v}
                if broken:
                    raise ScenarioError(f"{host.name} counts violations: {broken}")


def _check_call(call: _BackgroundCall, journals: dict[str, dict[str, Any]]) -> None:
    result = call.result()
    started = sum(journal["started"].get(call.token, 0) for journal in journals.values())
    if _outcome(result) == "not_run" and started:
        raise ScenarioError(f"a call was told not_run and started {started} times")
    if _outcome(result) != "answer":
        return
    if result.is_replayed and not call.key:
        raise ScenarioError("a call without a key got the answer of another one")
    if not result.is_replayed and not result.is_whole:
        raise ScenarioError("an answer is not its call's own, or not whole")


def _values(options: dict[str, str]) -> dict[str, Any]:
    """Options with numbers and truth values in place of texts."""

    def value(text: str) -> Any:
        if text in ("true", "false"):
            return text == "true"
        try:
            return int(text) if text.isdigit() else float(text)
        except ValueError:
            return text

    return {key: value(text) for key, text in options.items()}


def _knows_targets(api: str, wanted: int) -> bool:
    members = httpx.get(f"{api}/v1/members", trust_env=False).json()
    return sum(len(member["targets"]) for member in members) >= wanted


def run_scenario(scenario: Scenario) -> None:
    """Run a scenario; raises `ScenarioError` with the line where it failed."""
    ScenarioRun(scenario).run()
