"""The command line for operators."""

from ._main import main

__all__ = ["main"]
