"""Writes results as JSON files."""

from __future__ import annotations

import json
import os
import platform
from pathlib import Path
from typing import Any

__all__ = ["write_results"]


def write_results(folder: str, name: str, figures: dict[str, Any]) -> Path:
    """Write figures with what is known of the machine; returns the file."""
    path = Path(folder)
    path.mkdir(parents=True, exist_ok=True)
    file = path / f"{name}.json"
    machine = {"cores": os.cpu_count(), "python": platform.python_version()}
    file.write_text(json.dumps({"machine": machine, **figures}, indent=2, sort_keys=True) + "\n")
    return file
