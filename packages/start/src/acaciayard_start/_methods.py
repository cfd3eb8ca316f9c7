"""Precompiled code of the methods that attrs and dataclasses generate."""

from __future__ import annotations

import dataclasses
import hashlib
from collections.abc import Mapping
from types import CodeType, FunctionType, ModuleType
from typing import Any, Final

try:
    from attr import _make
except ImportError:  # other versions may lack this module; see `PreparedMethods.install`
    _make = ModuleType("attr._make")

__all__ = ["PreparedMethods"]

#: Function of attrs that compiles the methods of a class, and the names of its parameters.
_ATTRS_COMPILE_FUNCTION: Final = "_linecache_and_compile"
_ATTRS_PARAMETERS: Final = ("script", "filename", "globs", "locals")


class PreparedMethods:
    """Code objects of data class methods, keyed by a hash of their generated source.

    At each start, attrs and dataclasses generate and compile the source of `__init__`, `__eq__`
    and other methods of each class: about 230 sources for a daemon on the operators' platform,
    which takes a quarter of the CPU time of its imports.  A source without a precompiled code
    object is compiled as usual.

    Example:

        methods = PreparedMethods({})
        methods.install()
        import program              # compiles every method
        PreparedMethods(methods.codes).install()
        import program              # in another process: compiles none
    """

    def __init__(self, codes: dict[bytes, CodeType]) -> None:
        self._codes = codes
        self._compiled = 0

    @property
    def codes(self) -> dict[bytes, CodeType]:
        """All code objects by key, including those compiled since the process started."""
        return self._codes

    @property
    def compiled(self) -> int:
        """Number of sources that had to be compiled since the process started."""
        return self._compiled

    def install(self) -> tuple[str, ...]:
        """Patch attrs and dataclasses to use these code objects from now on.

        The patched functions are internal to both libraries, and another version may lack them.
        Returns the names of the libraries that could not be patched for this reason; these compile
        their methods as usual.
        """
        unpatched = []
        if _has_attrs_parameters(getattr(_make, _ATTRS_COMPILE_FUNCTION, None)):
            setattr(_make, _ATTRS_COMPILE_FUNCTION, self._execute_attrs_script)
        else:
            unpatched.append("attrs")
        if _dataclasses_calls_exec():
            dataclasses.exec = self._execute_dataclass_source  # type: ignore[attr-defined]
        else:
            unpatched.append("dataclasses")
        return tuple(unpatched)

    def _execute_attrs_script(
        self,
        script: str,
        filename: str,
        globs: dict[str, Any] | None,
        locals: Mapping[str, object] | None = None,
    ) -> dict[str, Any]:
        """Execute `script` with `globs` and `locals` as its namespaces; returns its definitions.

        Replaces the function of attrs, whose parameter names it has to use.  The original also
        keeps each source for debuggers, which takes 1.4 MB in a daemon.
        """
        defined: dict[str, Any] = {} if locals is None else dict(locals)
        eval(self._compile_cached(_without_salt(script), script, filename), globs, defined)
        return defined

    def _execute_dataclass_source(self, source: Any, *names: Any) -> None:
        """Execute `source` like the built-in `exec`, which this replaces in dataclasses."""
        code = (
            self._compile_cached(source, source, "<dataclass>")
            if isinstance(source, str)
            else source
        )
        exec(code, *names)

    def _compile_cached(self, key_source: str, source: str, filename: str) -> CodeType:
        """Return the code object of `source`, cached under a hash of `key_source`."""
        key = hashlib.blake2b(key_source.encode(), digest_size=16).digest()
        code = self._codes.get(key)
        if code is None:
            self._compiled += 1
            code = self._codes[key] = compile(source, filename, "exec")
        return code


def _without_salt(source: str) -> str:
    """Remove the salt from generated source: attrs mixes a per-process number into `__hash__`.

    The salt only makes the hashes of different classes differ, so the one from the process that
    compiled the method can be reused.
    """
    prefix, marker, suffix = source.partition("hash((")
    if not marker:
        return source
    _salt, _comma, rest = suffix.partition(",")
    return prefix + rest


def _has_attrs_parameters(function: object) -> bool:
    """Return whether `function` has the parameters expected of the attrs function."""
    if not isinstance(function, FunctionType):
        return False
    code = function.__code__
    return code.co_varnames[: code.co_argcount] == _ATTRS_PARAMETERS


def _dataclasses_calls_exec() -> bool:
    """Return whether dataclasses runs generated source by `exec`, looked up in its globals."""
    functions: list[object] = []
    for member in vars(dataclasses).values():
        functions.extend(vars(member).values() if isinstance(member, type) else (member,))
    return any(
        "exec" in function.__code__.co_names
        for function in functions
        if isinstance(function, FunctionType)
    )
