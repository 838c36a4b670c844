"""HDR histogram of durations."""

from __future__ import annotations

from collections.abc import Iterable

from hdrh.histogram import HdrHistogram


class TimeHistogram:
    """Records durations from 1 microsecond to 10 minutes."""

    LOWEST_MICROSECONDS = 1
    HIGHEST_MICROSECONDS = 600_000_000
    SIGNIFICANT_DIGITS = 3
    PERCENTILES = (50, 95, 99)

    def __init__(self, values: Iterable[float] = ()) -> None:
        self._histogram = HdrHistogram(
            self.LOWEST_MICROSECONDS,
            self.HIGHEST_MICROSECONDS,
            self.SIGNIFICANT_DIGITS,
        )
        for value in values:
            self.record(value)

    def record(self, seconds: float) -> None:
        """Record one duration; values outside the range are clamped to it."""
        microseconds = int(seconds * 1e6)
        highest = self.HIGHEST_MICROSECONDS
        self._histogram.record_value(max(1, min(microseconds, highest)))

    def milliseconds(self) -> dict[str, float]:
        """Return the count, and percentiles and maximum in milliseconds."""
        count = self._histogram.get_total_count()
        if not count:
            return {"count": 0}
        values = {
            f"p{percentile}": self._percentile_ms(percentile)
            for percentile in self.PERCENTILES
        }
        return {"count": count, **values, "max": self._percentile_ms(100)}

    def _percentile_ms(self, percentile: float) -> float:
        return round(self._histogram.get_value_at_percentile(percentile) / 1000, 2)
