"""Prints results as tables or JSON."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable, Sequence
from typing import Any, NoReturn

import click

from acaciayard_resources import FindingsError

from ._client import ApiAnswer, NoAnswer
from ._exit import Exit

__all__ = ["fail", "fail_with", "print_findings", "print_json", "print_table"]


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    click.echo(json.dumps(value, indent=2, sort_keys=True))


def print_table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print rows in columns as wide as they need."""
    texts = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[i]) for row in texts) for i in range(len(header))]
    for row in texts:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        click.echo("  ".join(cells).rstrip())


def print_findings(findings: FindingsError) -> None:
    """Print every finding on a line of its own."""
    for finding in findings.items:
        click.echo(str(finding), err=True)


def fail(message: str, status: Exit) -> NoReturn:
    """Print an error and end with a status."""
    click.echo(f"error: {message}", err=True)
    sys.exit(status)


def fail_with(answer: ApiAnswer | NoAnswer) -> NoReturn:
    """End because of what the daemon said, or did not say."""
    if isinstance(answer, NoAnswer):
        fail(answer.reason, Exit.UNKNOWN if answer.may_have_run else Exit.UNAVAILABLE)
    if isinstance(answer.body, dict):
        for finding in answer.body.get("findings", []):
            text = f"{finding['place']}: {finding['message']} (remedy: {finding['remedy']})"
            click.echo(text, err=True)
    match answer.status:
        case 400:
            fail(answer.error, Exit.INVALID)
        case 503:
            fail(answer.error, Exit.UNAVAILABLE)
        case 504:
            fail(answer.error, Exit.UNKNOWN)
        case status:
            fail(answer.error or f"the daemon answered {status}", Exit.REJECTED)
