"""Demand source of the baseline placement policy, which ignores demand."""

from __future__ import annotations

from guavajunction.routing import DemandRate


class NoDemand:
    """Reports no demand, so that each model keeps its minimum number of replicas."""

    def demand(self) -> dict[str, DemandRate]:
        """Return an empty mapping."""
        return {}
