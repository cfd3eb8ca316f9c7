"""The language of scenarios: one statement a line, read with `lark`.

host near-1 in riga-a runs near slots 4
service near
route work to near path=/work idempotent=true
start

call one through near-1 GET /work?ms=500
until target near-1 runs 1
kill target near-1
expect one outcome_unknown
"""

from __future__ import annotations

from pathlib import Path
from typing import Any, Final

from attrs import field, frozen
from lark import Lark, Token, Transformer, UnexpectedInput

__all__ = ["Scenario", "ScenarioError", "Statement", "read_scenario"]

_GRAMMAR: Final = r"""
start: (_NL | statement _NL)*

?statement: "host" NAME "in" NAME ["runs" NAME] ["slots" NUMBER]     -> host
    | "service" NAME option*                                        -> service
    | "route" NAME "to" NAME option*                                -> route
    | "setting" NAME option*                                        -> setting
    | "start"                                                       -> start_mesh
    | "call" NAME "through" NAME METHOD PATH option*                -> call
    | "calls" NUMBER NAME "through" NAME METHOD PATH option*        -> calls
    | "expect" NAME WORD [NUMBER]                                   -> expect
    | "expect" "runs" "of" NAME NUMBER                              -> expect_runs
    | "expect" "no" "new" "runs" "at" NAME                          -> expect_no_new
    | "until" "target" NAME "runs" NUMBER                           -> until_runs
    | "until" "target" NAME "has" "started" NUMBER                  -> until_started
    | "until" "daemon" NAME "logs" WORD option*                     -> until_logs
    | "until" NAME "ends"                                           -> until_ends
    | DEED PART NAME                                                -> deed
    | "restart" "daemon" NAME                                       -> restart
    | "tell" "target" NAME PATH                                     -> tell
    | "drain" NAME                                                  -> drain
    | "log" WORD                                                    -> log_fault
    | "wait" NUMBER "s"                                             -> wait

option: OPTION
OPTION: /[a-z_-]+=[^\s]+/
DEED: "kill" | "freeze" | "thaw" | "stop"
PART: "daemon" | "target"
METHOD: /[A-Z]+/
PATH: /\/[^\s]*/
WORD: /[a-z_]+/
NAME: /[a-z][a-z0-9_-]*/
NUMBER: /[0-9]+(\.[0-9]+)?/
COMMENT: /#[^\n]*/
_NL: /(\r?\n[\t ]*)+/

%import common.WS_INLINE
%ignore WS_INLINE
%ignore COMMENT
"""


class ScenarioError(Exception):
    """A scenario that cannot be read, or whose expectation is not met."""


@frozen
class Statement:
    """One line of a scenario."""

    #: What is to be done.
    verb: str
    #: Names and numbers, in the order of the line; `None` for those left out.
    words: tuple[str | None, ...]
    #: Options, `key=value`.
    options: dict[str, str] = field(factory=dict)
    #: Line in the file.
    line: int = 0


@frozen
class Scenario:
    """A scenario that has been read."""

    #: Name of its file.
    name: str
    #: Its statements in order.
    statements: tuple[Statement, ...]


class _Reader(Transformer[Token, Any]):
    """Makes statements of parse trees."""

    def option(self, children: list[Token]) -> tuple[str, str]:
        key, _, value = str(children[0]).partition("=")
        return key, value

    def start(self, children: list[Statement]) -> tuple[Statement, ...]:
        return tuple(children)

    def __default__(self, data: Token, children: list[Any], meta: Any) -> Statement:
        words = tuple(None if c is None else str(c) for c in children if not isinstance(c, tuple))
        options: dict[str, str] = dict(c for c in children if isinstance(c, tuple))
        line = next((c.line for c in children if isinstance(c, Token)), 0)
        return Statement(str(data), words, options, line or 0)


_PARSER: Final = Lark(_GRAMMAR, maybe_placeholders=True, parser="earley", lexer="dynamic")


def read_scenario(path: Path) -> Scenario:
    """Read a file; raises `ScenarioError` with the line of a fault."""
    text = path.read_text(encoding="utf-8") + "\n"
    try:
        tree = _PARSER.parse(text)
    except UnexpectedInput as error:
        context = error.get_context(text).rstrip()
        raise ScenarioError(f"{path.name}:{error.line}: not understood:\n{context}") from error
    return Scenario(path.stem, _Reader().transform(tree))
