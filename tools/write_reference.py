"""Writes docs/REFERENCE.md: every resource and setting, from the comments in the source.

python tools/write_reference.py            writes the page
python tools/write_reference.py --check    ends with status 1 if the page is out of date
"""

from __future__ import annotations

import argparse
import inspect
import re
import sys
from pathlib import Path
from typing import Any, Final

import attrs

from acaciayard_resources import (
    KINDS,
    Choice,
    Digests,
    Flag,
    Names,
    Number,
    Reference,
    Rule,
    Shares,
    Text,
    rule_of,
)
from acaciayard_settings import HostSettings, parse_settings

ROOT: Final = Path(__file__).resolve().parent.parent
PAGE: Final = ROOT / "docs" / "REFERENCE.md"
_COMMENT: Final = re.compile(r"((?:^    #: .*\n)+)    (\w+):", re.MULTILINE)
_MINIMAL: Final = (
    '[host]\nname = "a"\nfailure_domain = "d"\naddress = "127.0.0.1"\n[log]\nurl = "http://x"\n'
)


def comments_of(cls: type) -> dict[str, str]:
    """The `#:` comment of every attribute."""
    found = {}
    for lines, name in _COMMENT.findall(inspect.getsource(cls)):
        found[name] = " ".join(line.strip().removeprefix("#: ") for line in lines.splitlines())
    return found


def rule_text(rule: Rule) -> str:
    """What a field may hold, for people."""
    match rule:
        case Text(longest=longest, is_name=is_name):
            return f"{'name' if is_name else 'text'} up to {longest}"
        case Number(least, most, whole):
            return f"{'whole number' if whole else 'number'} {least:g} to {most:g}"
        case Choice(words):
            return " or ".join(f"`{word}`" for word in words)
        case Flag():
            return "`true` or `false`"
        case Reference(kind=kind):
            return f"name of a `{kind}`"
        case Shares(kind=kind):
            return f"list of `{kind}` and weight"
        case Digests(longest=longest):
            return f"list of up to {longest} SHA-256 digests"
        case Names(longest=longest):
            return f"list of up to {longest} texts"


def default_text(attribute: attrs.Attribute[Any]) -> str:
    """The default of a field, for people."""
    if attribute.default is attrs.NOTHING:
        return "required"
    if attribute.default in ("", ()):
        return "none"
    if isinstance(attribute.default, bool):
        return str(attribute.default).lower()
    return (
        f"{attribute.default:g}"
        if isinstance(attribute.default, float)
        else (f"{attribute.default}")
    )


def table_of(cls: type) -> list[str]:
    """The rows of a class."""
    comments = comments_of(cls)
    rows = ["| field | holds | default | meaning |", "|---|---|---|---|"]
    for attribute in attrs.fields(cls):
        rows.append(
            f"| `{attribute.name}` | {rule_text(rule_of(attribute))} |"
            f" {default_text(attribute)} | {comments[attribute.name]} |"
        )
    return rows


def first_line(cls: type) -> str:
    """The first line of a doc comment."""
    return (inspect.getdoc(cls) or "").splitlines()[0]


def page() -> str:
    """The whole page."""
    lines = [
        "# Reference",
        "",
        "Written by `tools/write_reference.py` from the comments in the source.",
        "",
        "## Resources",
        "",
        "In manifests as `[[kind]]` tables, in the API as `{kind, spec}`.",
    ]
    for kind, cls in KINDS.items():
        lines += ["", f"### `{kind}`", "", first_line(cls), "", *table_of(cls)]
    lines += ["", "## Settings of a host"]
    settings = parse_settings(_MINIMAL)
    for section in attrs.fields(HostSettings):
        cls = type(getattr(settings, section.name))
        lines += ["", f"### `[{section.name}]`", "", first_line(cls), "", *table_of(cls)]
    return "\n".join(lines) + "\n"


def main() -> int:
    """Write or check the page; the exit status."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--check", action="store_true")
    if not parser.parse_args().check:
        PAGE.write_text(page(), encoding="utf-8")
        return 0
    if PAGE.exists() and PAGE.read_text(encoding="utf-8") == page():
        return 0
    print(f"{PAGE.relative_to(ROOT)} is out of date: run tools/write_reference.py")
    return 1


if __name__ == "__main__":
    sys.exit(main())
