"""Collects counters and latencies and prints them in Prometheus' text format."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

Labels = tuple[tuple[str, str], ...]


class _Series(NamedTuple):
    """Identity of one counter or histogram."""

    name: str
    labels: Labels

    def text(self, suffix: str = "", extra: Labels = ()) -> str:
        """Return the series as it stands before its value."""
        pairs = ",".join(
            f'{key}="{_escape(value)}"' for key, value in (*self.labels, *extra)
        )
        return f"{self.name}{suffix}{{{pairs}}}" if pairs else f"{self.name}{suffix}"


class MetricsRegistry:
    """All metrics of one instance.

    >>> metrics = MetricsRegistry()
    >>> metrics.count("refusals_total", type="overloaded")
    >>> print(metrics.exposition().strip())
    # TYPE guavajunction_refusals_total counter
    guavajunction_refusals_total{type="overloaded"} 1
    """

    PREFIX = "guavajunction_"
    MIN_MILLISECONDS = 1
    MAX_MILLISECONDS = 600_000
    SIGNIFICANT_DIGITS = 1
    QUANTILES = (0.5, 0.95, 0.99)

    def __init__(self) -> None:
        self._counters: Counter[_Series] = Counter()
        self._histograms: dict[_Series, HdrHistogram] = {}
        self._gauges: dict[str, Callable[[], float]] = {}

    def count(self, name: str, by: int = 1, **labels: str) -> None:
        """Add to a counter."""
        self._counters[self._series(name, labels)] += by

    def value(self, name: str, **labels: str) -> int:
        """Return a counter's value."""
        return self._counters[self._series(name, labels)]

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Add a value that is read whenever the metrics are printed."""
        self._gauges[name] = read

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration."""
        series = self._series(name, labels)
        histogram = self._histograms.get(series)
        if histogram is None:
            histogram = HdrHistogram(
                self.MIN_MILLISECONDS, self.MAX_MILLISECONDS, self.SIGNIFICANT_DIGITS
            )
            self._histograms[series] = histogram
        milliseconds = round(seconds * 1000)
        histogram.record_value(min(self.MAX_MILLISECONDS, max(1, milliseconds)))

    def exposition(self) -> str:
        """Return every metric in Prometheus' text format."""
        lines: list[str] = []
        for name in sorted({s.name for s in self._counters}):
            lines.append(f"# TYPE {name} counter")
            lines.extend(self._counter_lines(name))
        for name in sorted({s.name for s in self._histograms}):
            lines.append(f"# TYPE {name} summary")
            lines.extend(self._histogram_lines(name))
        for name, read in sorted(self._gauges.items()):
            lines.append(f"# TYPE {self.PREFIX}{name} gauge")
            lines.append(f"{self.PREFIX}{name} {read():g}")
        return "\n".join(lines) + "\n"

    def _series(self, name: str, labels: dict[str, str]) -> _Series:
        return _Series(self.PREFIX + name, tuple(sorted(labels.items())))

    def _counter_lines(self, name: str) -> list[str]:
        rows = [(s, n) for s, n in self._counters.items() if s.name == name]
        return [f"{series.text()} {number}" for series, number in sorted(rows)]

    def _histogram_lines(self, name: str) -> list[str]:
        lines: list[str] = []
        series_of_name = sorted(s for s in self._histograms if s.name == name)
        for series in series_of_name:
            histogram = self._histograms[series]
            for quantile in self.QUANTILES:
                milliseconds = histogram.get_value_at_percentile(quantile * 100)
                label = series.text(extra=(("quantile", str(quantile)),))
                lines.append(f"{label} {milliseconds / 1000:g}")
            lines.append(f"{series.text('_count')} {histogram.get_total_count()}")
        return lines


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
