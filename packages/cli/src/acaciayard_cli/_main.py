"""The commands."""

from __future__ import annotations

import getpass
import json
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final, TextIO

import click
from attrs import frozen
from click.shell_completion import get_completion_class

from acaciayard_resources import FindingsError, digest_of_key
from acaciayard_settings import load_settings

from ._apply import apply_changes, plan_changes, print_plan
from ._client import ApiAnswer, ApiClient, NoAnswer
from ._exit import Exit
from ._explain import explain, print_explanation, print_summary, summarize
from ._log_lines import read_lines
from ._losses import count_losses, print_losses
from ._output import fail, fail_with, print_findings, print_json, print_table
from ._report import merge_levels, write_html
from ._workspaces import print_workspace, print_workspaces

__all__ = ["main"]

_DEFAULT_API: Final = "http://127.0.0.1:7403"
_SHELLS: Final = ("bash", "zsh", "fish")


@frozen
class _Context:
    client: ApiClient
    as_json: bool

    def read(self, path: str, **params: str) -> Any:
        """What the daemon says at a path; ends the program when it does not."""
        answer = self.client.get(path, **params)
        if isinstance(answer, NoAnswer) or answer.status != 200:
            fail_with(answer)
        return answer.body

    def delete(self, path: str) -> None:
        """Have the daemon take something away; ends the program when it does not."""
        answer = self.client.delete(path)
        if isinstance(answer, NoAnswer) or answer.status != 200:
            fail_with(answer)


@click.group(
    epilog="Exit status: 0 done, 1 rejected, 2 input not valid, 3 daemon or log not available,"
    " 4 outcome unknown, 5 accepted but not everywhere in time."
)
@click.option(
    "--api",
    default=_DEFAULT_API,
    envvar="ACACIAYARD_API",
    show_default=True,
    help="API of any daemon.",
)
@click.option(
    "--output",
    type=click.Choice(("table", "json")),
    default="table",
    show_default=True,
    help="How results are printed.",
)
@click.pass_context
def main(context: click.Context, api: str, output: str) -> None:
    """Operate a mesh through the API of any of its daemons."""
    context.obj = _Context(ApiClient(api), output == "json")


_manifest = click.argument("manifest", type=click.Path(path_type=Path))
_prune = click.option("--prune", is_flag=True, help="Delete what the manifest does not hold.")


@main.command()
@_manifest
@_prune
@click.pass_obj
def plan(context: _Context, manifest: Path, prune: bool) -> None:
    """Show what applying MANIFEST would change, and everything that is wrong with it."""
    planned = plan_changes(context.client, manifest, prune=prune)
    print_plan(planned, as_json=context.as_json)


@main.command()
@_manifest
@_prune
@click.option("--author", default=getpass.getuser, help="Who makes the change.")
@click.option("--change", "change_id", default="", help="Identity; repeat one to find out.")
@click.option("--follow/--no-follow", default=True, help="Wait until it is in force everywhere.")
@click.pass_obj
def apply(
    context: _Context, manifest: Path, prune: bool, author: str, change_id: str, follow: bool
) -> None:
    """Make the mesh run what MANIFEST says, as one change."""
    planned = plan_changes(context.client, manifest, prune=prune)
    if not context.as_json:
        print_plan(planned, as_json=False)
    apply_changes(
        context.client,
        planned,
        author=author,
        change_id=change_id,
        follow=follow,
        as_json=context.as_json,
    )


@main.command()
@click.argument("kind", required=False)
@click.argument("name", required=False)
@click.pass_obj
def get(context: _Context, kind: str | None, name: str | None) -> None:
    """Show resources: all, those of KIND, or the one with NAME."""
    if kind and name:
        print_json(context.read(f"/v1/resources/{kind}/{name}"))
        return
    body = context.read("/v1/resources", **({"kind": kind} if kind else {}))
    if context.as_json:
        print_json(body)
        return
    rows = [
        (item["kind"], item["name"], item["revision"], item["author"], _spec_text(item["spec"]))
        for item in body["resources"]
    ]
    click.echo(f"version {body['version']}")
    print_table(("kind", "name", "revision", "author", "spec"), rows)


def _spec_text(spec: dict[str, Any]) -> str:
    shown = {k: v for k, v in spec.items() if k != "name" and v not in ("", [], False)}
    return " ".join(f"{k}={v}" for k, v in shown.items())


@main.command()
@click.option("--from", "version", type=int, help="Version after which to start; default: now.")
@click.pass_obj
def watch(context: _Context, version: int | None) -> None:
    """Print accepted changes as they come, one JSON object a line."""
    if version is None:
        version = int(context.read("/v1/status")["version_accepted"])
    for event in context.client.lines("/v1/watch", **{"from": str(version)}):
        if isinstance(event, ApiAnswer | NoAnswer):
            fail_with(event)
        if event.get("type") == "error":
            fail(f"{event['error']} (version {event['version']})", Exit.REJECTED)
        click.echo(_event_text(event, context.as_json))


def _event_text(event: dict[str, Any], as_json: bool) -> str:
    if as_json:
        return json.dumps(event)
    parts = [f"version={event['version']}", f"change={event['change']}"]
    parts += [f"put={key}" for key in event["puts"]]
    parts += [f"deleted={key}" for key in event["deletions"]]
    return " ".join(parts)


_logs = click.argument("logs", nargs=-1, type=click.File(errors="replace"))


@main.command(name="explain")
@click.argument("request")
@_logs
@click.pass_obj
def explain_request(context: _Context, request: str, logs: tuple[TextIO, ...]) -> None:
    """Tell from LOGS, or from standard input, why the request with id REQUEST ended as it did."""
    explanation = explain(request, read_lines(_all_lines(logs)))
    print_explanation(explanation, as_json=context.as_json)
    if not explanation.lines:
        sys.exit(Exit.INVALID)


@main.command()
@click.option(
    "--losses", is_flag=True, help="Count calls not answered in their goal, by second and cause."
)
@_logs
@click.pass_obj
def events(context: _Context, logs: tuple[TextIO, ...], *, losses: bool) -> None:
    """Summarize LOGS, or standard input: why calls failed, and what the daemons came to believe."""
    if losses:
        print_losses(count_losses(read_lines(_all_lines(logs))), as_json=context.as_json)
        return
    print_summary(summarize(read_lines(_all_lines(logs))), as_json=context.as_json)


def _all_lines(logs: tuple[TextIO, ...]) -> Iterator[str]:
    for log in logs or (sys.stdin,):
        yield from log


@main.command()
@click.argument("host")
@click.option("--service", default="", help="Only the targets of this service.")
@click.option("--undo", is_flag=True, help="End the drain instead.")
@click.option("--author", default=getpass.getuser, help="Who gives the order.")
@click.pass_obj
def drain(context: _Context, host: str, service: str, undo: bool, author: str) -> None:
    """Have the targets on HOST get no new calls."""
    name = f"drain-{host}" + (f"-{service}" if service else "")
    present = context.client.get(f"/v1/resources/drain_order/{name}")
    if isinstance(present, NoAnswer) or present.status not in (200, 404):
        fail_with(present)
    exists = present.status == 200
    if undo != exists:
        click.echo(f"{host} is {'not drained' if undo else 'drained already'}")
        return
    revision = present.body["revision"] if exists else 0
    spec = {"name": name, "host": host, "service": service}
    order = {"kind": "drain_order", "name": name, "spec": spec, "revision": revision}
    body = {"author": author, "deletions" if undo else "puts": [order]}
    answer = context.client.post("/v1/changes", body)
    if isinstance(answer, NoAnswer) or answer.status != 200:
        fail_with(answer)
    click.echo(f"accepted  version={answer.body['version']}")


@main.command()
@click.option("--all", "all_hosts", is_flag=True, help="One line for every daemon.")
@click.pass_obj
def status(context: _Context, all_hosts: bool) -> None:
    """Show the state of the daemon, its view of the mesh, and both measures."""
    body = context.read("/v1/status")
    if all_hosts:
        _print_members(context)
    elif context.as_json:
        print_json(body)
    else:
        print_table(("what", "value"), _flatten(body, ""))


def _flatten(value: dict[str, Any], prefix: str) -> list[tuple[str, object]]:
    rows: list[tuple[str, object]] = []
    for key, item in value.items():
        if isinstance(item, dict):
            rows += _flatten(item, f"{prefix}{key}.")
        else:
            rows.append((f"{prefix}{key}", item))
    return rows


def _print_members(context: _Context) -> None:
    members = context.read("/v1/members")
    if context.as_json:
        print_json(members)
        return
    rows = [
        (
            member["host"],
            member["failure_domain"],
            member["state"],
            " ".join(f"{t['service']}:{t['state']}" for t in member["targets"]),
        )
        for member in members
    ]
    print_table(("host", "failure domain", "state", "targets"), rows)


@main.command()
@click.option("--lift", default="", help="Clear the request with this fingerprint.")
@click.pass_obj
def suspects(context: _Context, lift: str) -> None:
    """Show the requests that are suspected of ending targets, or clear one."""
    if lift:
        context.delete(f"/v1/suspects/{lift}")
        click.echo(f"lifted  fingerprint={lift}")
        return
    body = context.read("/v1/suspects")
    if context.as_json:
        print_json(body)
        return
    rows = [(s["fingerprint"], s["ends"], "barred" if s["barred"] else "on trial") for s in body]
    print_table(("fingerprint", "targets ended", "state"), rows)


@main.group(invoke_without_command=True)
@click.pass_context
def workspaces(context: click.Context) -> None:
    """Show the workspaces with their caps, and the calls refused for them, over all daemons."""
    if context.invoked_subcommand is None:
        found: _Context = context.obj
        body = found.read("/v1/workspaces", scope="mesh")
        print_workspaces(body, as_json=found.as_json)


@workspaces.command(name="show")
@click.argument("name")
@click.pass_obj
def show_workspace(context: _Context, name: str) -> None:
    """Show what each daemon knows of the workspace NAME: refused, held, seats."""
    body = context.read(f"/v1/workspaces/{name}", scope="mesh")
    print_workspace(body, as_json=context.as_json)


@workspaces.command(name="digest")
def digest_key() -> None:
    """Print the digest, for a manifest, of the key that stands on standard input."""
    key = sys.stdin.readline().strip()
    if not key:
        fail("there is no key on standard input", Exit.INVALID)
    click.echo(digest_of_key(key.encode()))


@main.command()
@click.pass_obj
def history(context: _Context) -> None:
    """Show recent accepted changes."""
    body = context.read("/v1/history")
    if context.as_json:
        print_json(body)
        return
    rows = [
        (c["version"], c["change"], " ".join(c["puts"]), " ".join(c["deletions"]))
        for c in body["changes"]
    ]
    print_table(("version", "change", "puts", "deletions"), rows)


@main.command()
@click.option("--html", type=click.Path(path_type=Path), help="Write a page with plots here.")
@click.pass_obj
def report(context: _Context, html: Path | None) -> None:
    """Show how fast the error budget of every service burns, over all daemons."""
    body = context.read("/v1/report", scope="mesh")
    levels = merge_levels(body["hosts"])
    if html is not None:
        write_html(levels, html)
    if context.as_json:
        print_json({"services": [lv.as_json() for lv in levels], "silent": body["silent"]})
        return
    rows = [
        (
            level.service,
            f"{level.objective_percent:g}%",
            level.good + level.bad,
            level.bad,
            f"{level.percentile_ms(50):.2f}",
            f"{level.percentile_ms(99):.2f}",
            " ".join(f"{burn.minutes}m={burn.rate:.2f}" for burn in level.burns),
            level.verdict,
        )
        for level in levels
    ]
    header = ("service", "objective", "calls", "bad", "p50 ms", "p99 ms", "burn", "verdict")
    print_table(header, rows)
    if body["silent"]:
        click.echo(f"no answer from: {', '.join(body['silent'])}")


@main.group()
def settings() -> None:
    """Settings files of daemons."""


@settings.command(name="check")
@click.argument("path", type=click.Path(path_type=Path))
def check_settings(path: Path) -> None:
    """Check a settings file; prints everything that is wrong with it."""
    try:
        checked = load_settings(path)
    except FindingsError as findings:
        print_findings(findings)
        sys.exit(Exit.INVALID)
    click.echo(f"{path}: ok, host {checked.host.name} in {checked.host.failure_domain}")


@main.command()
@click.argument("shell", type=click.Choice(_SHELLS))
def completion(shell: str) -> None:
    """Print the completion script for SHELL; source it to use it."""
    cls = get_completion_class(shell)
    assert cls is not None, f"click knows {shell}"
    click.echo(cls(main, {}, "acaciayard", "_ACACIAYARD_COMPLETE").source())
