"""Bounds what heads with very many fields hold before anything is known of them.

Designed for 7,000 connections that each send such a head at once.
"""

from __future__ import annotations


class HeadAllowance:
    """Bytes for the heads of one process that have more than `USUAL_FIELDS`."""

    USUAL_FIELDS = 128
    """Heads with fewer fields count with the fixed costs of their connection."""
    FIELD_BYTES = 400
    """Cost of a field, which is kept as text and as bytes. Measured: 1,900 fields of
    seven bytes take 0.75 MB."""

    def __init__(self, limit: int | None) -> None:
        """Create the allowance.

        Args:
            limit: Bytes that may be held; None for no limit.
        """
        self._limit = limit
        self.held = 0
        """Bytes that all heads hold."""

    def take(self, fields: int) -> int | None:
        """Return the bytes that a head now holds, or None if there are too few."""
        if fields <= self.USUAL_FIELDS:
            return 0
        size = fields * self.FIELD_BYTES
        # The only such head is served whatever its size.
        if self._limit is not None and self.held and self.held + size > self._limit:
            return None
        self.held += size
        return size

    def give_back(self, size: int) -> None:
        """Return the bytes of a head that is no longer held."""
        self.held -= size
