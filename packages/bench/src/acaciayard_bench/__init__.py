"""Load and experiments on a mesh of plain processes."""

from ._main import main

__all__ = ["main"]
