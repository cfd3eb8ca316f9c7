"""Stand-ins for the platform: the log service and targets, with faults to switch on."""

from ._abrupt_peer import AbruptPeer, PeerEnd
from ._announcer import Announcer
from ._caller import Caller, CallResult
from ._fake_log import FakeLog
from ._fake_mesh import FakeDaemon, FakeMesh
from ._fake_network import FakeNetwork, FakePort
from ._log import Fault, LogStandIn, log_application
from ._mesh import HostPlan, LocalMesh, MeshHost, riga_plan, several_domains
from ._ports import claim_port
from ._process import LogLine, ProcessError, StandInProcess
from ._random_run import RandomRun, Verdict, random_run
from ._retry_audit import RetryAudit, RetryWindow
from ._scenario import ScenarioRun, run_scenario
from ._scenario_language import Scenario, ScenarioError, Statement, read_scenario
from ._target import Journal, TargetStandIn

__all__ = [
    "AbruptPeer",
    "Announcer",
    "CallResult",
    "Caller",
    "FakeDaemon",
    "FakeLog",
    "FakeMesh",
    "FakeNetwork",
    "FakePort",
    "Fault",
    "HostPlan",
    "Journal",
    "LocalMesh",
    "LogLine",
    "LogStandIn",
    "MeshHost",
    "PeerEnd",
    "ProcessError",
    "RandomRun",
    "RetryAudit",
    "RetryWindow",
    "Scenario",
    "ScenarioError",
    "ScenarioRun",
    "StandInProcess",
    "Statement",
    "TargetStandIn",
    "Verdict",
    "claim_port",
    "log_application",
    "random_run",
    "read_scenario",
    "riga_plan",
    "run_scenario",
    "several_domains",
]
