"""Load reports that are published with a lag after their measurement."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import Any


class LoadReporter:
    """Measures the load at intervals and publishes the reports with a lag."""

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
        """Measure at intervals until cancelled."""
        while True:
            self._add_report()
            await asyncio.sleep(self._every)

    def published_report(self) -> dict[str, Any]:
        """Return the latest report that is older than the lag.

        Until there is one, the first report is returned.
        """
        if not self._reports:
            self._add_report()
        now = time.monotonic()
        old = [entry for entry in self._reports if now - entry[0] >= self._lag]
        at, report = old[-1] if old else self._reports[0]
        return {**report, "age_seconds": round(now - at, 4)}

    def _add_report(self) -> None:
        self._seq += 1
        self._reports.append((time.monotonic(), {"seq": self._seq, **self._measure()}))
