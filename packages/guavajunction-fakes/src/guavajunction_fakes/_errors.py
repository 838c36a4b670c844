"""The exception tree of the stand-ins."""

from __future__ import annotations


class FakesError(Exception):
    """Base of every failure that the stand-ins raise on purpose."""


class FaultsInvalid(FakesError):
    """A request for faults names an unknown fault or a wrong value."""


class TableError(FakesError):
    """An operation is refused with one of the table service's error types."""

    def __init__(self, name: str, message: str) -> None:
        super().__init__(message)
        self.name = name
        """Type name on the wire."""


class FleetError(FakesError):
    """Base of the failures of the launcher."""


class ProcessEnded(FleetError):
    """A process ended before it served."""


class StartTimeout(FleetError):
    """A process did not serve in time."""


class OperationRefused(FleetError):
    """An instance refused an operator's request."""


class ProfileUnknown(FleetError):
    """No profile has the name."""


class FleetUnreachable(FakesError):
    """A stand-in of the fleet does not answer a question for figures."""


class NoInstance(FakesError):
    """No entry instance answered where to go."""
