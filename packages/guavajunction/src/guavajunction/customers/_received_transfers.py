"""Remembers which transfers came, so that a repeat adds nothing."""

from __future__ import annotations


class ReceivedTransfers:
    """Sequence numbers by the run of the instance that sent them.

    Each transfer names a floor below which the sender has nothing unacknowledged,
    so that the numbers below need not be kept.
    """

    def __init__(self) -> None:
        self._floors: dict[str, int] = {}
        self._seen: dict[str, set[int]] = {}

    def is_new(self, incarnation: str, sequence: int, floor: int) -> bool:
        """Note a transfer and return whether it came for the first time.

        Args:
            incarnation: Run of the instance that sent it.
            sequence: Its number, unique for that run and customer.
            floor: The sender's lowest number that is not acknowledged.
        """
        known = max(self._floors.get(incarnation, 0), floor)
        self._floors[incarnation] = known
        seen = {n for n in self._seen.get(incarnation, set()) if n >= known}
        new = sequence >= known and sequence not in seen
        seen.add(sequence)
        self._seen[incarnation] = seen
        return new

    def clear(self) -> None:
        """Forget everything, as transfers of an earlier epoch are refused anyway."""
        self._floors.clear()
        self._seen.clear()
