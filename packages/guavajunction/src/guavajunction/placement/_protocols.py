"""Interfaces that the placement aggregate requires."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol


class DemandRate(Protocol):
    """Demand for one artifact."""

    @property
    def requests_per_s(self) -> float:
        """Return the arriving requests per second."""
        ...

    @property
    def tokens_per_s(self) -> float:
        """Return the tokens per second of the arriving requests."""
        ...

    @property
    def waiting(self) -> int:
        """Return the number of requests that are waiting now."""
        ...


class DemandSource(Protocol):
    """The demand that arrives at this instance."""

    def demand(self) -> Mapping[str, DemandRate]:
        """Return the demand by artifact."""
        ...


class PlannerLease(Protocol):
    """A lease that only one instance holds at a time."""

    async def acquire(self) -> None:
        """Wait until this instance holds the lease, which is then renewed."""
        ...

    def check(self) -> object:
        """Raise `LeaseLost` unless this instance is certain to hold the lease."""
        ...

    async def release(self) -> None:
        """Release the lease."""
        ...
