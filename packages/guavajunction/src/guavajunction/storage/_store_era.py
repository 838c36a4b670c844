"""The era of the store, as known from its answers."""

from __future__ import annotations

from . import _events as events
from ._position import MAX_ERA


class StoreEra:
    """Decides to which era an answer of the store belongs.

    An era that falls is either an answer that was on its way when the store came back,
    or an error of the sender. A call that was sent in the present era can only get the
    second kind.
    """

    MAX_DIGITS = len(str(MAX_ERA))

    def __init__(self) -> None:
        self.current = 0
        """The latest era, 0 until an answer names one."""
        self._refused: str | None = None

    def of_answer(self, sent_in: int, stated: str | None) -> int | None:
        """Return the era of an answer, or None if it is of an earlier era.

        Args:
            sent_in: The latest era that was known when the call was sent.
            stated: The era as the answer states it; None if it states none.
        """
        era = self._decode(stated)
        if era is not None and era >= self.current:
            self.learn(era)
            return era
        if self.current > sent_in:
            return None
        if era is not None or self.current:
            self._refuse(stated)
        return self.current

    def learn(self, era: int) -> None:
        """Adopt an era that an answer or a peer's position names, if it is later."""
        if era > self.current:
            events.ERA_BEGAN.log(era=era, before=self.current)
            self.current = era

    def _decode(self, stated: str | None) -> int | None:
        if stated is None:
            return None
        if stated.isascii() and stated.isdigit() and len(stated) <= self.MAX_DIGITS:
            era = int(stated)
            if era <= MAX_ERA:
                return era
        self._refuse(stated)
        return None

    def _refuse(self, stated: str | None) -> None:
        """Log a wrong era once, until another wrong one arrives."""
        shown = "" if stated is None else stated[:80]
        if shown != self._refused:
            self._refused = shown
            events.ERA_REFUSED.log(stated=shown, era=self.current)
