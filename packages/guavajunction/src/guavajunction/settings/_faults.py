"""Faults of a settings file."""

from __future__ import annotations

from typing import NamedTuple


class SettingsFault(NamedTuple):
    """One thing that is wrong in a settings file."""

    path: str
    section: str
    key: str
    """Empty when the fault is the section itself."""
    found: str
    expected: str

    def __str__(self) -> str:
        parts = [self.path]
        if self.section:
            parts.append(f"[{self.section}] {self.key}".rstrip())
        parts.append(f"found {self.found}, expected {self.expected}")
        return ": ".join(parts)


class ValueFault(Exception):
    """A value does not have the form that its key takes."""

    def __init__(self, found: str, expected: str) -> None:
        super().__init__(f"found {found}, expected {expected}")
        self.found = found
        """The value, quoted."""
        self.expected = expected
        """The form that the key takes."""
