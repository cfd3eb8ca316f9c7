"""Cache file with precompiled modules and methods, written at build time and read at startup.

The file consists of the length of the index in four bytes, the marshalled index, and the marshalled
code of each module.
"""

from __future__ import annotations

import marshal
import os
from importlib.util import MAGIC_NUMBER
from pathlib import Path
from typing import Final

import attrs
from attrs import frozen

from ._methods import PreparedMethods
from ._modules import PreparedModules, StoredModule, collect_loaded_modules

__all__ = ["Prepared", "load_prepared", "save_prepared"]

#: Size of the length field of the index, in bytes.
_INDEX_LENGTH_BYTES: Final = 4


@frozen
class Prepared:
    """Precompiled modules and methods of one program."""

    #: Code objects of data class methods.
    methods: PreparedMethods
    #: Importer of the stored modules, or `None` if there are none.
    modules: PreparedModules | None

    def install(self) -> tuple[str, ...]:
        """Use the cache for further imports; returns the libraries that could not be patched."""
        unpatched = self.methods.install()
        if self.modules is not None:
            self.modules.install()
        return unpatched


def save_prepared(path: Path, methods: PreparedMethods) -> None:
    """Write the methods in `methods` and all modules imported so far to `path`."""
    body = bytearray()
    modules = {}
    for name, (spec, code) in collect_loaded_modules().items():
        marshalled_code = marshal.dumps(code)
        stored = StoredModule(
            path=spec.origin or "",
            is_package=spec.submodule_search_locations is not None,
            offset=len(body),
            length=len(marshalled_code),
        )
        modules[name] = attrs.astuple(stored)
        body += marshalled_code
    index = marshal.dumps((MAGIC_NUMBER, methods.codes, modules, len(body)))
    path.write_bytes(len(index).to_bytes(_INDEX_LENGTH_BYTES, "big") + index + body)


def load_prepared(path: Path) -> Prepared:
    """Read the cache file at `path`.

    Returns an empty cache if the file is missing, damaged or written by another interpreter
    version.  This only affects startup time: modules and methods that are not in the cache are
    found and compiled as usual.
    """
    try:
        # The descriptor stays open for modules that are imported later.
        descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
    except OSError:
        return Prepared(PreparedMethods({}), None)
    index_bytes = int.from_bytes(os.read(descriptor, _INDEX_LENGTH_BYTES), "big")
    body_offset = _INDEX_LENGTH_BYTES + index_bytes
    try:
        magic, codes, modules, body_bytes = marshal.loads(os.read(descriptor, index_bytes))
    except (ValueError, EOFError, TypeError):
        # The file is truncated, or from a Python release with another marshal format.
        magic, codes, modules, body_bytes = b"", {}, {}, 0
    if magic != MAGIC_NUMBER or os.fstat(descriptor).st_size != body_offset + body_bytes:
        os.close(descriptor)
        return Prepared(PreparedMethods({}), None)
    stored = {
        name: StoredModule(path, is_package, body_offset + offset, length)
        for name, (path, is_package, offset, length) in modules.items()
    }
    return Prepared(PreparedMethods(codes), PreparedModules(descriptor, stored))
