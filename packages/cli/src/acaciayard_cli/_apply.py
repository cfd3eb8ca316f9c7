"""`plan` and `apply`: from a manifest to a configuration in force."""

from __future__ import annotations

import secrets
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import click

from acaciayard_resources import (
    Change,
    Configuration,
    FindingsError,
    Manifest,
    Stored,
    changes_between,
    check,
    parse_manifest,
    spec_of,
)

from ._client import ApiAnswer, ApiClient, NoAnswer
from ._exit import Exit
from ._output import fail, fail_with, print_findings, print_json, print_table

__all__ = ["Planned", "apply_changes", "plan_changes", "print_plan"]


class Planned:
    """A manifest held against the present configuration."""

    def __init__(self, manifest: Manifest, configuration: Configuration, *, prune: bool) -> None:
        self._manifest = manifest
        self._configuration = configuration
        self._changes = changes_between(manifest, configuration, prune=prune)

    @property
    def changes(self) -> Sequence[Change]:
        """What would change."""
        return self._changes

    def findings(self) -> FindingsError:
        """What would be wrong with the result, with lines of the manifest."""
        stored = dict(self._configuration.stored)
        for change in self._changes:
            if change.wanted is None:
                stored.pop(change.key, None)
            else:
                stored[change.key] = Stored(change.wanted, 0, "", 0.0)
        result = self._configuration.with_changes(stored=stored)
        return FindingsError.of(self._manifest.locate(finding) for finding in check(result))


def plan_changes(client: ApiClient, path: Path, *, prune: bool) -> Planned:
    """Read a manifest and compare it; ends the program when either is not possible."""
    try:
        manifest = parse_manifest(path.read_text(encoding="utf-8"), source=str(path))
    except (OSError, UnicodeDecodeError) as error:
        fail(f"{path} cannot be read: {error}", Exit.INVALID)
    except FindingsError as findings:
        print_findings(findings)
        sys.exit(Exit.INVALID)
    match client.configuration():
        case Configuration() as configuration:
            planned = Planned(manifest, configuration, prune=prune)
        case failure:
            fail_with(failure)
    wrong = planned.findings()
    if wrong.items:
        print_findings(wrong)
        sys.exit(Exit.INVALID)
    return planned


def print_plan(planned: Planned, *, as_json: bool) -> None:
    """Print what would change."""
    rows = [(change.verb, str(change.key), _difference(change)) for change in planned.changes]
    if as_json:
        print_json([{"verb": v, "resource": key, "difference": text} for v, key, text in rows])
    elif rows:
        print_table(("change", "resource", "difference"), rows)
    else:
        click.echo("nothing to change")


def _difference(change: Change) -> str:
    if change.wanted is None or change.present is None:
        return ""
    before = spec_of(change.present.resource)
    after = spec_of(change.wanted)
    changed = [f"{k}: {before[k]!r} -> {after[k]!r}" for k in after if before[k] != after[k]]
    return ", ".join(changed)


def apply_changes(
    client: ApiClient, planned: Planned, *, author: str, change_id: str, follow: bool, as_json: bool
) -> None:
    """Propose the changes and follow them; ends the program with the outcome."""
    if not planned.changes:
        click.echo("nothing to change")
        return
    body = _body(planned.changes, author, change_id or secrets.token_hex(8))
    if not as_json:
        click.echo(f"proposed  change={body['change']}")
    answer = client.post("/v1/changes", body)
    if isinstance(answer, NoAnswer) or answer.status != 200:
        _explain(answer, body["change"])
        fail_with(answer)
    if not as_json:
        click.echo(f"accepted  version={answer.body['version']}")
    result = dict(answer.body)
    if follow:
        result["progress"] = _follow(client, body["change"], quiet=as_json)
    if as_json:
        print_json(result)
    if follow and not result["progress"].get("everywhere"):
        fail("it is not in force everywhere yet", Exit.NOT_EVERYWHERE)


def _explain(answer: ApiAnswer | NoAnswer, change_id: str) -> None:
    unsure = isinstance(answer, NoAnswer) and answer.may_have_run
    if unsure or (isinstance(answer, ApiAnswer) and answer.status == 504):
        click.echo(f"repeat with --change {change_id} to find out", err=True)


def _body(changes: Sequence[Change], author: str, change_id: str) -> dict[str, Any]:
    puts = []
    deletions = []
    for change in changes:
        revision = change.present.revision if change.present is not None else 0
        if change.wanted is not None:
            spec = spec_of(change.wanted)
            puts.append({"kind": change.key.kind, "spec": spec, "revision": revision})
        else:
            deletions.append(
                {"kind": change.key.kind, "name": change.key.name, "revision": revision}
            )
    return {"change": change_id, "author": author, "puts": puts, "deletions": deletions}


def _follow(client: ApiClient, change_id: str, *, quiet: bool) -> dict[str, Any]:
    """Print how a change spreads; returns the last progress."""
    last: dict[str, Any] = {}
    for event in client.lines(f"/v1/changes/{change_id}/watch"):
        if not isinstance(event, dict):
            fail_with(event)
        last = event
        if not quiet:
            click.echo(_progress_text(event))
    return last


def _progress_text(event: dict[str, Any]) -> str:
    members = event["members"]
    text = f"held by {event['held']} of {members}, in force on {event['in_force']} of {members}"
    if event["everywhere"]:
        return f"{text}  ({event['seconds']:.3f} s)"
    return f"{text}; lacking: {', '.join(event['lacking'])}"
