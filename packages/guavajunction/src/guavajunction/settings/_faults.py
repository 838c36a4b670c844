"""Faults of a settings file."""

from __future__ import annotations

from typing import NamedTuple


class SettingsFault(NamedTuple):
    """One error in a settings file."""

    path: str
    """Name of the settings file."""
    section: str
    """Name of the section, empty if the error concerns the whole file."""
    key: str
    """Name of the key, empty if the error concerns the whole section."""
    found: str
    """Value that was found, in words."""
    expected: str
    """Value that is required, in words."""

    def __str__(self) -> str:
        parts = [self.path]
        if self.section:
            parts.append(f"[{self.section}] {self.key}".rstrip())
        parts.append(f"found {self.found}, expected {self.expected}")
        return ": ".join(parts)


class ValueFault(Exception):
    """A value does not have the format that its key requires."""

    def __init__(self, found: str, expected: str) -> None:
        super().__init__(f"found {found}, expected {expected}")
        self.found = found
        """The value, quoted."""
        self.expected = expected
        """The required format, in words."""
