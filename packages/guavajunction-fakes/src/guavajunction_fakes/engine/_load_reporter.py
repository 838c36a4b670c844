"""Load reports that are published some time after they were measured."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import Any


class LoadReports:
    """Measures at intervals and publishes with a lag."""

    MAX_KEPT = 256

    def __init__(
        self, measure: Callable[[], dict[str, Any]], *, every: float, lag: float
    ) -> None:
        self._measure = measure
        self._every = every
        self._lag = lag
        self._seq = 0
        self._reports: deque[tuple[float, dict[str, Any]]] = deque(maxlen=self.MAX_KEPT)

    async def run(self) -> None:
        """Measure forever."""
        while True:
            self._take()
            await asyncio.sleep(self._every)

    def published(self) -> dict[str, Any]:
        """Return the latest report that is older than the lag, or else the first."""
        if not self._reports:
            self._take()
        now = time.monotonic()
        old = [entry for entry in self._reports if now - entry[0] >= self._lag]
        at, report = old[-1] if old else self._reports[0]
        return {**report, "age_seconds": round(now - at, 4)}

    def _take(self) -> None:
        self._seq += 1
        self._reports.append((time.monotonic(), {"seq": self._seq, **self._measure()}))
