"""One fault of a configuration document."""

from __future__ import annotations

from typing import NamedTuple


class Fault(NamedTuple):
    """One violation of a rule of the document."""

    path: str
    """Path of the value, as `section.entry.key`."""
    found: str
    """Value that was found, as text for operators."""
    expected: str
    """Values that the rule allows, as text for operators."""

    def __str__(self) -> str:
        """Return the fault as one line of text.

        >>> str(Fault("customers.a.rate", "-1", "more than 0"))
        'customers.a.rate: found -1, expected more than 0'
        """
        return f"{self.path}: found {self.found}, expected {self.expected}"
