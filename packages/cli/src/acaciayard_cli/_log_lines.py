"""Reads the key=value lines that daemons write."""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator, Mapping
from typing import Final

from attrs import frozen

__all__ = ["LogLine", "read_lines"]

#: A pair: a bare value ends at a space, a quoted one at its closing quote.
_PAIR: Final = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
_ESCAPED: Final = re.compile(r"\\(.)")


@frozen
class LogLine:
    """One line of a log.

    Example:
        line = next(read_lines(['time=… level=info event=started host=riga-1 version=4']))
        line.event, line["version"]     # "started", "4"
    """

    #: When it was written, by the clock of its host.
    time: str
    #: What happened.
    event: str
    #: Host that wrote it.
    host: str
    #: All pairs of the line.
    fields: Mapping[str, str]

    def __getitem__(self, name: str) -> str:
        """The value of a field, empty where the line has none."""
        return self.fields.get(name, "")


def read_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """The lines that a daemon wrote among some; others, such as tracebacks, are passed over."""
    for text in lines:
        fields = {name: _plain(value) for name, value in _PAIR.findall(text)}
        if "time" in fields and "event" in fields:
            yield LogLine(fields["time"], fields["event"], fields.get("host", ""), fields)


def _plain(value: str) -> str:
    if not value.startswith('"'):
        return value
    return _ESCAPED.sub(r"\1", value[1:-1])
