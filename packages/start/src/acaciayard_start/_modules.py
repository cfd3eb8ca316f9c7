"""Importer that reads the code of all modules from a single file."""

from __future__ import annotations

import marshal
import os
import sys
from importlib.machinery import ModuleSpec, SourceFileLoader
from types import CodeType, ModuleType

from attrs import frozen

__all__ = ["PreparedModules", "StoredModule", "collect_loaded_modules"]


@frozen
class StoredModule:
    """Position of a module in the cache file, and the metadata that its import needs."""

    #: Path of the source file, for tracebacks.
    path: str
    #: Whether the module is a package, whose directory may contain modules that are not stored.
    is_package: bool
    #: Offset of the marshalled code in bytes, from the start of the section with the module code
    #: while writing and from the start of the file while reading.
    offset: int
    #: Length of the marshalled code in bytes.
    length: int


class PreparedModules:
    """Meta path finder and loader for modules that were stored when the program was built.

    The default finder searches each directory of `sys.path` for each module and opens a file: 2,400
    system calls for the 255 modules of a daemon, where this needs one per module.  Modules that
    are not stored, such as extension modules, are left to the default finders.
    """

    def __init__(self, descriptor: int, stored: dict[str, StoredModule]) -> None:
        self._descriptor = descriptor
        self._stored = stored

    def install(self) -> None:
        """Register this finder after those for built-in and frozen modules."""
        class_finders = [finder for finder in sys.meta_path if isinstance(finder, type)]
        sys.meta_path.insert(min(2, len(class_finders)), self)  # type: ignore[arg-type]

    def find_spec(
        self, name: str, _path: object = None, _target: ModuleType | None = None
    ) -> ModuleSpec | None:
        """Return the spec of a stored module, or `None` if the module is not stored."""
        stored = self._stored.get(name)
        if stored is None:
            return None
        spec = ModuleSpec(name, self, origin=stored.path)  # type: ignore[arg-type]
        spec.has_location = True
        if stored.is_package:
            spec.submodule_search_locations = [stored.path.rpartition("/")[0]]
        return spec

    def create_module(self, _spec: ModuleSpec) -> ModuleType | None:
        """Return `None`, which makes the import system create a module of the default type."""
        return None

    def exec_module(self, module: ModuleType) -> None:
        """Execute the stored code in the namespace of the module."""
        stored = self._stored[module.__name__]
        code = marshal.loads(os.pread(self._descriptor, stored.length, stored.offset))
        exec(code, module.__dict__)


def collect_loaded_modules() -> dict[str, tuple[ModuleSpec, CodeType]]:
    """Return spec and code of all loaded modules that come from source files, by name."""
    modules = {}
    for name, module in list(sys.modules.items()):
        spec = getattr(module, "__spec__", None)
        if spec is None or spec.name != name or not isinstance(spec.loader, SourceFileLoader):
            continue
        code = spec.loader.get_code(name)
        if code is not None:
            modules[name] = (spec, code)
    return modules
