"""Reduces the CPU time that a program of the product needs to start.

A restarting host accepts no calls until its daemon runs, so when all hosts restart at once, each
second of startup is a second of outage.  Imports take up most of the startup time, and all of their
work except executing the module code can be done at build time.
"""

from ._methods import PreparedMethods
from ._modules import PreparedModules, StoredModule
from ._prepared import Prepared, load_prepared, save_prepared

__all__ = [
    "Prepared",
    "PreparedMethods",
    "PreparedModules",
    "StoredModule",
    "load_prepared",
    "save_prepared",
]
