"""Acceptance: the state that follows from a prefix of the configuration stream.

Every daemon folds the same records in the same order and so reaches the same verdicts; nothing
else decides.  The state after a record is a new immutable value; the old one stays whole.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final

from attrs import evolve, frozen

from ._checks import check
from ._configuration import EMPTY, Configuration, Stored
from ._findings import Finding, Place
from ._model import ResourceKey, key_of
from ._records import (
    Outcome,
    Proposal,
    SnapshotRecord,
    UnknownRuleSet,
    UnreadableRecord,
    decode_record,
)

__all__ = ["START", "FoldState", "Held", "fold", "restore", "snapshot_of"]

#: Outcomes of changes that are remembered, so that a repeated append is told its first outcome.
_OUTCOMES_KEPT: Final = 512
_DIGEST_BYTES: Final = 16


@frozen
class FoldState:
    """What follows from all records before `position`."""

    #: Offset of the next record to fold.
    position: int
    #: Digest chained over every record before the position.
    digest: bytes
    #: The configuration accepted so far.
    configuration: Configuration
    #: Outcomes of the latest changes by change id, oldest first.
    outcomes: Mapping[str, Outcome]
    #: Position after the latest snapshot record, 0 when there was none.
    last_snapshot: int = 0

    @property
    def version(self) -> int:
        """Version of the configuration."""
        return self.configuration.version

    def with_changes(self, **changes: Any) -> FoldState:
        """A copy with some attributes changed."""
        return evolve(self, **changes)


@frozen
class Held:
    """A record that cannot be folded by this release; the state stays where it is."""

    #: Why.
    reason: str


#: The state before the first record.
START: Final = FoldState(
    position=0, digest=bytes(_DIGEST_BYTES), configuration=EMPTY, outcomes=MappingProxyType({})
)


def fold(state: FoldState, payload: bytes) -> FoldState | Held:
    """The state after the record at `state.position`, whose bytes are `payload`.

    Example:

        state = fold(START, encode_record(proposal))
        state.outcomes[proposal.change_id].is_accepted
    """
    record = decode_record(payload)
    if isinstance(record, UnknownRuleSet):
        return Held(f"record {state.position} follows rule set {record.number}")
    advanced = state.with_changes(
        position=state.position + 1, digest=_chain(state.digest, state.position, payload)
    )
    match record:
        case Proposal():
            return _decide(advanced, record)
        case SnapshotRecord():
            return advanced.with_changes(last_snapshot=advanced.position)
        case UnreadableRecord():
            return advanced


def _chain(digest: bytes, offset: int, payload: bytes) -> bytes:
    link = hashlib.blake2b(digest, digest_size=_DIGEST_BYTES)
    link.update(offset.to_bytes(8, "big"))
    link.update(payload)
    return link.digest()


def _decide(state: FoldState, proposal: Proposal) -> FoldState:
    """Accept or reject `proposal`; `state` stands after its record already."""
    if proposal.change_id in state.outcomes:
        return state
    findings = _moved(state.configuration, proposal)
    changed = state.configuration
    if not findings:
        changed = _apply(state.configuration, proposal, version=state.position)
        findings = check(changed)
    outcome = Outcome(
        change_id=proposal.change_id,
        version=0 if findings else state.position,
        position=state.position,
        findings=findings,
    )
    return state.with_changes(
        configuration=state.configuration if findings else changed,
        outcomes=_remember(state.outcomes, outcome),
    )


def _moved(configuration: Configuration, proposal: Proposal) -> tuple[Finding, ...]:
    """A finding for every resource that has changed since the author read it."""
    read = [(key_of(put.resource), put.revision) for put in proposal.puts]
    read += [(deletion.key, deletion.revision) for deletion in proposal.deletions]
    findings = []
    for key, revision in read:
        present = configuration.revision_of(key)
        if present != revision:
            findings.append(_conflict(configuration, key, revision, present))
    return tuple(findings)


def _conflict(
    configuration: Configuration, key: ResourceKey, revision: int, present: int
) -> Finding:
    item = configuration.stored.get(key)
    by = f" by {item.author}" if item is not None else ""
    return Finding(
        Place(path=f"{key.kind}.{key.name}"),
        f"was read at revision {revision} but has moved to {present}{by}",
        "read it again and repeat the change",
    )


def _apply(configuration: Configuration, proposal: Proposal, *, version: int) -> Configuration:
    stored = dict(configuration.stored)
    for deletion in proposal.deletions:
        stored.pop(deletion.key, None)
    for put in proposal.puts:
        stored[key_of(put.resource)] = Stored(
            resource=put.resource, revision=version, author=proposal.author, time=proposal.time
        )
    return Configuration(version=version, stored=MappingProxyType(stored))


def _remember(outcomes: Mapping[str, Outcome], outcome: Outcome) -> Mapping[str, Outcome]:
    kept = list(outcomes.items())[-(_OUTCOMES_KEPT - 1) :]
    return MappingProxyType(dict([*kept, (outcome.change_id, outcome)]))


def snapshot_of(state: FoldState) -> SnapshotRecord:
    """The record from which `restore` makes the same state."""
    return SnapshotRecord(
        position=state.position,
        digest=state.digest,
        configuration=state.configuration,
        outcomes=tuple(state.outcomes.values()),
    )


def restore(record: SnapshotRecord) -> FoldState:
    """The state that a snapshot was made of."""
    return FoldState(
        position=record.position,
        digest=record.digest,
        configuration=record.configuration,
        outcomes=MappingProxyType({o.change_id: o for o in record.outcomes}),
    )
