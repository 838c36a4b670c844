"""Rows by which the operator evacuates data centres."""

from __future__ import annotations

from collections.abc import Callable

from guavajunction.errors import DocumentInvalid
from guavajunction.evacuation import Evacuations
from guavajunction.storage import Changes, RowChange, era_of


class EvacuationRows:
    """Applies what was read from the partition of the configuration.

    A row counts as long as it exists, whatever its body is.
    """

    def __init__(
        self, evacuations: Evacuations, decode: Callable[[str], str | None]
    ) -> None:
        """Create it before the first read.

        Args:
            evacuations: The evacuations of this instance.
            decode: Returns the data centre that a sort key names, None for other rows.
        """
        self._evacuations = evacuations
        self._decode = decode
        self._era = 0
        self.is_read = False
        """Whether all rows have been read at least once."""

    def apply(self, changes: Changes) -> None:
        """Apply all rows of the partition, or changes in order."""
        era = era_of(changes.version)
        came_back, self._era = era > self._era, era
        named = [(self._name(row), row.body is not None) for row in changes.rows]
        rows = [(name, exists) for name, exists in named if name is not None]
        if changes.complete:
            self.is_read = True
            listed = [name for name, exists in rows if exists]
            self._evacuations.replace_all(listed, keep_missing=came_back)
            return
        for name, exists in rows:
            if exists:
                self._evacuations.begin(name)
            else:
                self._evacuations.end(name, came_back=came_back)

    def _name(self, row: RowChange) -> str | None:
        try:
            return self._decode(row.sort)
        except DocumentInvalid as exc:
            if row.body is not None:
                self._evacuations.note_unreadable(row.sort, exc.message)
            return None
