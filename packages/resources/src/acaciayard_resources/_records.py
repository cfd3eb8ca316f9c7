"""What stands in the configuration stream of the log."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final

import msgpack
from attrs import frozen

from ._configuration import Configuration, Stored
from ._findings import Finding, FindingsError, Place
from ._model import KINDS, Resource, ResourceKey, kind_of, spec_of
from ._rules import decode_fields

__all__ = [
    "RULE_SET",
    "Deletion",
    "Outcome",
    "Proposal",
    "Put",
    "Record",
    "SnapshotRecord",
    "UnknownRuleSet",
    "UnreadableRecord",
    "decode_record",
    "decode_resource",
    "encode_record",
]

#: The rules of acceptance that this release knows.  A change of the rules gets a new number, so
#: that two releases never judge one record differently.
RULE_SET: Final = 1


@frozen
class Put:
    """A resource to create or replace."""

    #: Its new form.
    resource: Resource
    #: Revision that the author has seen; `ABSENT` to create.
    revision: int


@frozen
class Deletion:
    """A resource to delete."""

    #: Its identity.
    key: ResourceKey
    #: Revision that the author has seen.
    revision: int


@frozen
class Proposal:
    """A change that an operator asks for; whether it is accepted follows from the log alone."""

    #: Identity of the change; an append that is repeated has the same one.
    change_id: str
    #: Who asks.
    author: str
    #: When, in seconds since the epoch by the proposing daemon; for people only.
    time: float
    #: Resources to create or replace.
    puts: tuple[Put, ...] = ()
    #: Resources to delete.
    deletions: tuple[Deletion, ...] = ()


@frozen
class Outcome:
    """What became of a proposal."""

    #: Identity of the change.
    change_id: str
    #: Version that the change made, or 0 when it was rejected.
    version: int
    #: Position of the log after the proposal.
    position: int
    #: Why it was rejected; empty when accepted.
    findings: tuple[Finding, ...] = ()

    @property
    def is_accepted(self) -> bool:
        """Whether the change was accepted."""
        return self.version > 0


@frozen
class SnapshotRecord:
    """The whole state after a prefix of the stream, so that the prefix may expire."""

    #: Position up to which records are contained.
    position: int
    #: Digest of the chain up to that position.
    digest: bytes
    #: The configuration there.
    configuration: Configuration
    #: Outcomes of recent changes, oldest first.
    outcomes: tuple[Outcome, ...]


@frozen
class UnknownRuleSet:
    """A record by a later release; a daemon that meets one holds its version and says so."""

    #: Number of the rule set.
    number: int


@frozen
class UnreadableRecord:
    """A record that is no record of ours; it changes nothing, the same on every daemon."""

    #: What is wrong with it.
    reason: str


Record = Proposal | SnapshotRecord | UnknownRuleSet | UnreadableRecord


def encode_record(record: Proposal | SnapshotRecord) -> bytes:
    """The bytes that are appended to the log."""
    match record:
        case Proposal():
            body = _proposal_map(record)
        case SnapshotRecord():
            body = _snapshot_map(record)
    packed: bytes = msgpack.packb({"rules": RULE_SET, **body})
    return packed


def decode_record(payload: bytes) -> Record:
    """The record that `payload` holds; never raises."""
    try:
        body = msgpack.unpackb(payload)
        if not isinstance(body, dict):
            return UnreadableRecord("a record is a map")
        if body.get("rules") != RULE_SET:
            return UnknownRuleSet(int(body.get("rules", 0)))
        match body.get("kind"):
            case "proposal":
                return _proposal(body)
            case "snapshot":
                return _snapshot(body)
            case kind:
                return UnreadableRecord(f"unknown kind {kind!r}")
    except FindingsError as findings:
        return UnreadableRecord(str(findings))
    except (ValueError, KeyError, TypeError, msgpack.exceptions.UnpackException) as error:
        return UnreadableRecord(f"{type(error).__name__}: {error}")


def decode_resource(
    kind: str, spec: Mapping[str, Any], *, place: Place, lines: Mapping[str, int] = {}
) -> Resource:
    """A resource made of plain values; raises `FindingsError`."""
    cls = KINDS.get(kind)
    if cls is None:
        raise FindingsError.of(
            [Finding(place, f"there is no kind {kind!r}", f"use {', '.join(KINDS)}")]
        )
    return decode_fields(cls, spec, place=place, lines=lines)


def _proposal_map(proposal: Proposal) -> dict[str, Any]:
    return {
        "kind": "proposal",
        "change": proposal.change_id,
        "author": proposal.author,
        "time": proposal.time,
        "puts": [
            {
                "kind": kind_of(type(put.resource)),
                "revision": put.revision,
                "spec": spec_of(put.resource),
            }
            for put in proposal.puts
        ],
        "deletions": [
            {"kind": d.key.kind, "name": d.key.name, "revision": d.revision}
            for d in proposal.deletions
        ],
    }


def _proposal(body: Mapping[str, Any]) -> Proposal:
    return Proposal(
        change_id=str(body["change"]),
        author=str(body["author"]),
        time=float(body["time"]),
        puts=tuple(
            Put(
                resource=decode_resource(put["kind"], put["spec"], place=Place(path=put["kind"])),
                revision=int(put["revision"]),
            )
            for put in body["puts"]
        ),
        deletions=tuple(
            Deletion(key=ResourceKey(d["kind"], d["name"]), revision=int(d["revision"]))
            for d in body["deletions"]
        ),
    )


def _snapshot_map(record: SnapshotRecord) -> dict[str, Any]:
    configuration = record.configuration
    return {
        "kind": "snapshot",
        "position": record.position,
        "digest": record.digest,
        "version": configuration.version,
        "resources": [
            [key.kind, spec_of(item.resource), item.revision, item.author, item.time]
            for key, item in sorted(configuration.stored.items())
        ],
        "outcomes": [_outcome_list(outcome) for outcome in record.outcomes],
    }


def _outcome_list(outcome: Outcome) -> list[Any]:
    findings = [[f.place.path, f.message, f.remedy] for f in outcome.findings]
    return [outcome.change_id, outcome.version, outcome.position, findings]


def _snapshot(body: Mapping[str, Any]) -> SnapshotRecord:
    stored = {}
    for kind, spec, revision, author, time in body["resources"]:
        resource = decode_resource(kind, spec, place=Place(path=kind))
        stored[ResourceKey(kind, resource.name)] = Stored(resource, revision, author, time)
    outcomes = tuple(
        Outcome(
            change_id=change_id,
            version=version,
            position=position,
            findings=tuple(Finding(Place(path=p), message, remedy) for p, message, remedy in items),
        )
        for change_id, version, position, items in body["outcomes"]
    )
    return SnapshotRecord(
        position=int(body["position"]),
        digest=bytes(body["digest"]),
        configuration=Configuration(version=int(body["version"]), stored=stored),
        outcomes=outcomes,
    )
