"""Writes what a case sent, answered and ran, with the time of each line."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any


class Record:
    """The file `record.txt` of a case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()

    def note(self, what: str, **fields: Any) -> None:
        """Write one line."""
        seconds = time.monotonic() - self._began
        self._file.write(f"{seconds:8.3f} {what} {json.dumps(fields)}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
