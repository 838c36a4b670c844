"""Baseline: placement that does not follow the demand."""

from __future__ import annotations

from guavajunction.routing import DemandRate


class NoDemand:
    """Reports no demand, so that each model keeps its least replicas and no more."""

    def demand(self) -> dict[str, DemandRate]:
        """Return no demand for anything."""
        return {}
