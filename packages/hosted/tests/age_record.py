"""Records how late each version is in force on each daemon of a modelled mesh."""

from __future__ import annotations

from attrs import define, field, frozen
from version_mesh import VersionMesh

__all__ = ["AgeRecord", "Late"]

#: Seconds after its start from which a daemon has to have the newest version.
_START_SECONDS = 1.0


@frozen(order=True)
class Late:
    """A version that was in force late on a daemon."""

    #: Seconds from its acknowledgement until it was in force, `inf` if it never was.
    seconds: float
    #: The version.
    version: int
    #: The daemon.
    host: str


@define(eq=False)
class AgeRecord:
    """Publishes versions and measures when they are in force.

    A version counts for each daemon that runs at its acknowledgement or starts later, and for those
    from `_START_SECONDS` after their start at the earliest. A daemon that ends takes with it what
    it had not got.
    """

    _mesh: VersionMesh
    _published: dict[int, float] = field(factory=dict)
    _started: dict[str, float] = field(factory=dict)
    _in_force: dict[str, int] = field(factory=dict)
    _pending: dict[str, list[int]] = field(factory=dict)
    #: Seconds that each version was late, for each daemon.
    all: list[Late] = field(factory=list)
    #: Daemons on which a version was followed by an older one.
    regressed: list[str] = field(factory=list)

    def begin(self) -> None:
        """Record all daemons that run now."""
        self._mesh.on_version = self._note
        for host, daemon in self._mesh.daemons.items():
            self._started[host] = self._mesh.timers.now() - _START_SECONDS
            self._in_force[host] = daemon.versions.version
            self._pending[host] = []

    def publish(self) -> None:
        """Publish the next version."""
        version = max(self._published, default=self._highest()) + 1
        self._published[version] = self._mesh.timers.now()
        for host in self._mesh.daemons:
            self._pending[host].append(version)
        self._mesh.publish(version)

    def _highest(self) -> int:
        return max(self._in_force.values(), default=0)

    def note_start(self, host: str) -> None:
        """Record that a daemon has started; it has to catch up with the newest version."""
        self._started[host] = self._mesh.timers.now()
        self._in_force[host] = 0
        self._pending[host] = list(self._published)[-1:]

    def note_end(self, host: str) -> None:
        """Record that a daemon has ended."""
        del self._pending[host]

    def _note(self, host: str, version: int) -> None:
        if version < self._in_force[host]:
            self.regressed.append(host)
        self._in_force[host] = version
        now = self._mesh.timers.now()
        for each in [v for v in self._pending.get(host, []) if v <= version]:
            self._pending[host].remove(each)
            self.all.append(Late(self._age_of(each, host, now), each, host))

    def _age_of(self, version: int, host: str, now: float) -> float:
        due_from = max(self._published[version], self._started[host] + _START_SECONDS)
        return max(0.0, now - due_from)

    def end(self) -> None:
        """Count what is not in force anywhere yet, by its age now."""
        now = self._mesh.timers.now()
        for host, versions in self._pending.items():
            self.all.extend(Late(self._age_of(each, host, now), each, host) for each in versions)

    @property
    def worst(self) -> Late:
        """The version and daemon that were latest."""
        return max(self.all)

    def share_above(self, seconds: float) -> float:
        """The share of versions and daemons that were later than `seconds`."""
        return sum(late.seconds > seconds for late in self.all) / len(self.all)
