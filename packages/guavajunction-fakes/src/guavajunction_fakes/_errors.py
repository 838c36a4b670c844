"""Exceptions that the stand-ins raise."""

from __future__ import annotations


class FakesError(Exception):
    """Base of all exceptions that the stand-ins raise."""


class FaultsInvalid(FakesError):
    """A request for faults has an unknown fault name or an invalid value."""


class TableError(FakesError):
    """The table service rejects an operation with one of its error types."""

    def __init__(self, name: str, message: str) -> None:
        super().__init__(message)
        self.name = name
        """Name of the error type in the response, such as `ValidationException`."""


class FleetError(FakesError):
    """Base of the exceptions of the fleet launcher."""


class ProcessEnded(FleetError):
    """A process exited before it was ready to serve."""


class StartTimeout(FleetError):
    """A process was not ready to serve within its start timeout."""


class OperationRefused(FleetError):
    """An instance or a stand-in responded with status 400 or above."""


class ProfileUnknown(FleetError):
    """The launcher has no profile with the given name."""


class FleetUnreachable(FakesError):
    """A stand-in of the fleet did not return its statistics or runs."""


class NoInstance(FakesError):
    """No entry instance responded to a directory request."""
