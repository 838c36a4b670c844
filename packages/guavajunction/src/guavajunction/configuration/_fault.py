"""One fault of a configuration document."""

from __future__ import annotations

from typing import NamedTuple


class Fault(NamedTuple):
    """One place where a document breaks a rule."""

    path: str
    """Where, as `section.entry.key`."""
    found: str
    """What stands there."""
    expected: str
    """What the rule asks for."""

    def __str__(self) -> str:
        """Return the fault as one line of text.

        >>> str(Fault("customers.a.rate", "-1", "more than 0"))
        'customers.a.rate: found -1, expected more than 0'
        """
        return f"{self.path}: found {self.found}, expected {self.expected}"
