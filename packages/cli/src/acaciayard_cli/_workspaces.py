"""Shows workspaces and who holds how much of their caps."""

from __future__ import annotations

from typing import Any

import click

from ._output import print_json, print_table

__all__ = ["print_workspace", "print_workspaces"]


def print_workspaces(body: dict[str, Any], *, as_json: bool) -> None:
    """Print one line for each workspace, with what all daemons that answered tell of it."""
    if as_json:
        print_json(body)
        return
    found: dict[str, list[dict[str, Any]]] = {}
    for views in body["hosts"].values():
        for view in views:
            found.setdefault(view["name"], []).append(view)
    rows = [_row(name, views) for name, views in sorted(found.items())]
    header = ("workspace", "keys", "priority", "calls/s", "burst", "refused", "held", "seats")
    print_table(header, rows)
    _print_silent(body)


def _row(name: str, views: list[dict[str, Any]]) -> tuple[object, ...]:
    first = views[0]
    return (
        name,
        first["keys"],
        first["priority"] or "-",
        _cap(first["calls_per_second"]),
        first["burst"],
        sum(view["refused"] for view in views),
        sum(view["held"] for view in views),
        sum(len(view["seats"]) for view in views),
    )


def _cap(calls: float) -> str:
    return f"{calls:g}" if calls else "no cap"


def print_workspace(body: dict[str, Any], *, as_json: bool) -> None:
    """Print what each daemon tells of one workspace, those left out that have nothing to tell."""
    if as_json:
        print_json(body)
        return
    views = {host: views[0] for host, views in sorted(body["hosts"].items()) if views}
    first = next(iter(views.values()))
    cap = _cap(first["calls_per_second"])
    click.echo(f"{first['name']}: {cap} calls/s, burst {first['burst']}, {first['keys']} keys")
    rows = [
        (host, view["refused"], view["held"], _seats(view["seats"]))
        for host, view in views.items()
        if view["refused"] or view["held"] or view["seats"]
    ]
    print_table(("host", "refused", "held", "seats"), rows)
    _print_silent(body)


def _seats(seats: list[dict[str, Any]]) -> str:
    return "; ".join(
        f"{each['seat']}: {each['tokens']:g} here, {each['held_elsewhere']} held,"
        f" {each['per_second']:g}/s"
        for each in seats
    )


def _print_silent(body: dict[str, Any]) -> None:
    if body["silent"]:
        click.echo(f"no answer from: {', '.join(body['silent'])}")
