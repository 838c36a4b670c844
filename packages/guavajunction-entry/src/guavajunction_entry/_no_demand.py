"""Baseline policy: placement that ignores the demand."""

from __future__ import annotations

from guavajunction.routing import DemandRate


class NoDemand:
    """Demand source without demand: each model keeps its minimum of replicas."""

    def demand(self) -> dict[str, DemandRate]:
        """Return an empty mapping."""
        return {}
