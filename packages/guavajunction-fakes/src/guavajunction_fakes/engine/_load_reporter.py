"""Load reports that are published with a lag after their measurement."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import Any


class LoadReporter:
    """Measures the load at intervals and publishes the reports with a lag."""

    MAX_REPORTS = 256

    def __init__(
        self,
        measure: Callable[[], dict[str, Any]],
        *,
        interval_seconds: float,
        lag_seconds: float,
    ) -> None:
        """Create a reporter without reports.

        Args:
            measure: Returns the current load.
            interval_seconds: Time between two measurements.
            lag_seconds: Time between a measurement and its publication.
        """
        self._measure = measure
        self._interval_seconds = interval_seconds
        self._lag_seconds = lag_seconds
        self._seq = 0
        self._reports: deque[tuple[float, dict[str, Any]]] = deque(
            maxlen=self.MAX_REPORTS
        )

    async def run(self) -> None:
        """Measure at intervals until cancelled."""
        while True:
            self._add_report()
            await asyncio.sleep(self._interval_seconds)

    def published_report(self) -> dict[str, Any]:
        """Return the latest report that is older than the lag.

        Until there is one, the first report is returned.
        """
        if not self._reports:
            self._add_report()
        now = time.monotonic()
        old = [entry for entry in self._reports if now - entry[0] >= self._lag_seconds]
        at, report = old[-1] if old else self._reports[0]
        return {**report, "age_seconds": round(now - at, 4)}

    def _add_report(self) -> None:
        self._seq += 1
        self._reports.append((time.monotonic(), {"seq": self._seq, **self._measure()}))
