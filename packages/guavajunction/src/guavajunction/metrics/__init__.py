"""Counters and latency histograms of one instance."""

from __future__ import annotations

from ._registry import MetricsRegistry
from ._request_timings import TokenTimes

__all__ = ["MetricsRegistry", "TokenTimes"]
