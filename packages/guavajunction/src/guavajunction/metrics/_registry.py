"""Counters, gauges and latency histograms in Prometheus' text format."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

Labels = tuple[tuple[str, str], ...]
"""Pairs of label name and value."""


class _Series(NamedTuple):
    """Identity of one counter or histogram."""

    name: str
    labels: Labels

    def format(self, suffix: str = "", extra: Labels = ()) -> str:
        """Return the name and labels in Prometheus' text format, without a value.

        Args:
            suffix: Appended to the name.
            extra: Labels to add.
        """
        pairs = ",".join(
            f'{key}="{_escape(value)}"' for key, value in (*self.labels, *extra)
        )
        return f"{self.name}{suffix}{{{pairs}}}" if pairs else f"{self.name}{suffix}"


class DurationRecorder:
    """Records durations in the histogram of one series."""

    MAX_MILLISECONDS = 600_000
    """Longer durations are recorded with this value."""
    SIGNIFICANT_DIGITS = 1
    """Decimal digits that the histogram preserves of a duration."""

    def __init__(self) -> None:
        self.histogram = HdrHistogram(1, self.MAX_MILLISECONDS, self.SIGNIFICANT_DIGITS)
        """Durations in milliseconds."""

    def record(self, seconds: float, count: int = 1) -> None:
        """Record a duration.

        Args:
            seconds: Duration in seconds.
            count: How many times to record it.
        """
        milliseconds = min(self.MAX_MILLISECONDS, max(1, round(seconds * 1000)))
        self.histogram.record_value(milliseconds, count)


class MetricsRegistry:
    """All metrics of one instance.

    >>> metrics = MetricsRegistry()
    >>> metrics.count("refusals_total", type="overloaded")
    >>> print(metrics.exposition().strip())
    # TYPE guavajunction_refusals_total counter
    guavajunction_refusals_total{type="overloaded"} 1
    """

    PREFIX = "guavajunction_"
    """Prefix of the name of every metric."""
    QUANTILES = (0.5, 0.95, 0.99)
    """Quantiles printed for each histogram."""

    def __init__(self) -> None:
        self._counters: Counter[_Series] = Counter()
        self._recorders: dict[_Series, DurationRecorder] = {}
        self._gauges: dict[str, Callable[[], float]] = {}

    def count(self, name: str, by: int = 1, **labels: str) -> None:
        """Increase a counter.

        Args:
            name: Name without the prefix.
            by: Increment.
            labels: Labels of the series.
        """
        self._counters[self._series(name, labels)] += by

    def value(self, name: str, **labels: str) -> int:
        """Return the value of a counter; 0 if it was never increased."""
        return self._counters[self._series(name, labels)]

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge.

        Args:
            name: Name without the prefix.
            read: Returns the value; called by `exposition`.
        """
        self._gauges[name] = read

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration in seconds in a series."""
        self.recorder(name, **labels).record(seconds)

    def recorder(self, name: str, **labels: str) -> DurationRecorder:
        """Return the recorder of one series, created on first use.

        A caller that records often should keep the recorder to avoid the lookup.
        """
        series = self._series(name, labels)
        recorder = self._recorders.get(series)
        if recorder is None:
            recorder = self._recorders[series] = DurationRecorder()
        return recorder

    def exposition(self) -> str:
        """Return every metric in Prometheus' text format."""
        lines: list[str] = []
        for name in sorted({s.name for s in self._counters}):
            lines.append(f"# TYPE {name} counter")
            lines.extend(self._counter_lines(name))
        for name in sorted({s.name for s in self._recorders}):
            lines.append(f"# TYPE {name} summary")
            lines.extend(self._histogram_lines(name))
        for name, read in sorted(self._gauges.items()):
            lines.append(f"# TYPE {self.PREFIX}{name} gauge")
            lines.append(f"{self.PREFIX}{name} {read():g}")
        return "\n".join(lines) + "\n"

    def _series(self, name: str, labels: dict[str, str]) -> _Series:
        return _Series(self.PREFIX + name, tuple(sorted(labels.items())))

    def _counter_lines(self, name: str) -> list[str]:
        values = [(s, n) for s, n in self._counters.items() if s.name == name]
        return [f"{series.format()} {value}" for series, value in sorted(values)]

    def _histogram_lines(self, name: str) -> list[str]:
        lines: list[str] = []
        series_of_name = sorted(s for s in self._recorders if s.name == name)
        for series in series_of_name:
            histogram = self._recorders[series].histogram
            for quantile in self.QUANTILES:
                milliseconds = histogram.get_value_at_percentile(quantile * 100)
                series_text = series.format(extra=(("quantile", str(quantile)),))
                lines.append(f"{series_text} {milliseconds / 1000:g}")
            lines.append(f"{series.format('_count')} {histogram.get_total_count()}")
        return lines


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
