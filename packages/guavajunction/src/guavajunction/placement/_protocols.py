"""What the placement aggregate needs from its collaborators."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol


class DemandRate(Protocol):
    """Demand for one artifact."""

    @property
    def requests_per_s(self) -> float:
        """Return the arrivals a second."""
        ...

    @property
    def tokens_per_s(self) -> float:
        """Return the tokens of those arrivals a second."""
        ...

    @property
    def waiting(self) -> int:
        """Return the requests that wait now."""
        ...


class DemandSource(Protocol):
    """The demand that this instance sees."""

    def demand(self) -> Mapping[str, DemandRate]:
        """Return the demand by artifact."""
        ...


class PlannerLease(Protocol):
    """A lease that only one instance holds at a time."""

    async def acquire(self) -> None:
        """Wait until this instance holds the lease; it is then kept renewed."""
        ...

    def check(self) -> object:
        """Raise `LeaseLost` unless the lease is certainly held now."""
        ...

    async def release(self) -> None:
        """Give the lease up."""
        ...
