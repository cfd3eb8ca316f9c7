"""Reads what operators and targets send, and reports all that is wrong with it at once."""

from __future__ import annotations

import secrets
from collections.abc import Mapping
from typing import Any, Final

from attrs import frozen

from acaciayard_admission import Announcement
from acaciayard_membership import TargetState
from acaciayard_resources import (
    KINDS,
    Choice,
    Deletion,
    Finding,
    FindingsError,
    Number,
    Place,
    Proposal,
    Put,
    Resource,
    ResourceKey,
    Text,
    checked,
    decode_fields,
    decode_resource,
)
from acaciayard_wire import Address

__all__ = ["read_announcement", "read_change"]

_STATES: Final = tuple(state.name.lower() for state in TargetState)
_CHANGE_FIELDS: Final = ("change", "author", "puts", "deletions")
_BODY: Final = Place(source="request body")


@frozen
class _AnnouncementBody:
    service: str = checked(Text(is_name=True))
    name: str = checked(Text())
    address: str = checked(Text())
    slots: int = checked(Number(1, 100_000, whole=True))
    connections: int = checked(Number(1, 1_000_000, whole=True), default=100)
    state: str = checked(Choice(_STATES), default="ready")


def read_announcement(body: Any) -> Announcement:
    """What a target says of itself; raises `FindingsError`."""
    values = decode_fields(_AnnouncementBody, _mapping(body, _BODY), place=_BODY)
    try:
        address = Address.parse(values.address)
    except ValueError as error:
        place = _BODY.at("address")
        raise FindingsError.of([Finding(place, str(error), 'use "ip:port"')]) from error
    return Announcement(
        service=values.service,
        name=values.name,
        address=address,
        slots=values.slots,
        connections=values.connections,
        state=TargetState[values.state.upper()],
    )


def read_change(body: Any, *, time: float) -> Proposal:
    """A change of several resources; raises `FindingsError`."""
    return _ChangeReader().read(_mapping(body, _BODY), time)


def _mapping(value: Any, place: Place) -> Mapping[str, Any]:
    if not isinstance(value, dict):
        raise FindingsError.of([Finding(place, "is no object", "send a JSON object")])
    return value


class _ChangeReader:
    """Reads a change and collects what is wrong with any part of it."""

    def __init__(self) -> None:
        self._findings: list[Finding] = []

    def read(self, body: Mapping[str, Any], time: float) -> Proposal:
        for name in body:
            if name not in _CHANGE_FIELDS:
                self._report(_BODY.at(name), "is not known", f"use {', '.join(_CHANGE_FIELDS)}")
        puts = [self._put(i, item) for i, item in enumerate(self._list(body, "puts"))]
        deletions = [
            self._deletion(i, item) for i, item in enumerate(self._list(body, "deletions"))
        ]
        if not puts and not deletions and not self._findings:
            self._report(_BODY, "changes nothing", "add puts or deletions")
        if self._findings:
            raise FindingsError.of(self._findings)
        return Proposal(
            change_id=str(body.get("change") or secrets.token_hex(8)),
            author=str(body.get("author") or "unknown"),
            time=time,
            puts=tuple(put for put in puts if put is not None),
            deletions=tuple(deletion for deletion in deletions if deletion is not None),
        )

    def _report(self, place: Place, message: str, remedy: str) -> None:
        self._findings.append(Finding(place, message, remedy))

    def _list(self, body: Mapping[str, Any], name: str) -> list[Any]:
        value = body.get(name, [])
        if not isinstance(value, list):
            self._report(_BODY.at(name), "is no list", "send a JSON array")
            return []
        return value

    def _put(self, index: int, item: Any) -> Put | None:
        place = _BODY.at(f"puts[{index}]")
        if not isinstance(item, dict) or not isinstance(item.get("spec"), dict):
            self._report(place, "is no resource", 'send {"kind": …, "spec": {…}, "revision": …}')
            return None
        try:
            resource: Resource = decode_resource(
                str(item.get("kind")), item["spec"], place=place.at("spec")
            )
        except FindingsError as findings:
            self._findings.extend(findings.items)
            return None
        return Put(resource, self._revision(item, place))

    def _deletion(self, index: int, item: Any) -> Deletion | None:
        place = _BODY.at(f"deletions[{index}]")
        if not isinstance(item, dict) or item.get("kind") not in KINDS or "name" not in item:
            self._report(place, "names no resource", 'send {"kind": …, "name": …, "revision": …}')
            return None
        key = ResourceKey(item["kind"], str(item["name"]))
        return Deletion(key, self._revision(item, place))

    def _revision(self, item: Mapping[str, Any], place: Place) -> int:
        revision: Any = item.get("revision", 0)
        if isinstance(revision, bool) or not isinstance(revision, int) or revision < 0:
            self._report(place.at("revision"), f"{revision!r} is no revision", "use a whole number")
            return 0
        return int(revision)
