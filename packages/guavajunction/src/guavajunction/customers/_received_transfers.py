"""Deduplicates received transfers."""

from __future__ import annotations


class ReceivedTransfers:
    """Sequence numbers of the received transfers, by incarnation of the sender.

    Each transfer carries a floor. The sender has no unacknowledged transfer below the
    floor, so lower sequence numbers need not be stored.
    """

    def __init__(self) -> None:
        self._floors: dict[str, int] = {}
        self._seen: dict[str, set[int]] = {}

    def record(self, incarnation: str, sequence: int, floor: int) -> bool:
        """Record a transfer and return whether it is received for the first time.

        Args:
            incarnation: Incarnation of the sender.
            sequence: Sequence number, unique for the incarnation and customer.
            floor: The sender's lowest unacknowledged sequence number.
        """
        known = max(self._floors.get(incarnation, 0), floor)
        self._floors[incarnation] = known
        seen = {n for n in self._seen.get(incarnation, set()) if n >= known}
        new = sequence >= known and sequence not in seen
        seen.add(sequence)
        self._seen[incarnation] = seen
        return new

    def clear(self) -> None:
        """Clear all numbers, as transfers of an earlier epoch are rejected anyway."""
        self._floors.clear()
        self._seen.clear()
