"""Failures of the operator command."""

from __future__ import annotations

from typing import Any, ClassVar

from guavajunction.errors import GuavaError

from ._exit_status import ExitStatus


class CommandError(GuavaError):
    """Base of the failures that end the command."""

    EXIT_STATUS: ClassVar[ExitStatus] = ExitStatus.REFUSED
    """What the shell is told."""


class UsageError(CommandError):
    """The command line is wrong."""

    EXIT_STATUS = ExitStatus.USAGE


class Refused(CommandError):
    """An instance refused the request; nothing was changed."""

    def __init__(self, error: dict[str, Any]) -> None:
        super().__init__(error["message"])
        self.type: str = error["type"]
        """Name of the failure."""
        self.faults: list[dict[str, str]] = error.get("faults", [])
        """Faults of the document, if it has any."""


class NotAccepted(CommandError):
    """No instance could get the change accepted; nothing was changed."""


class NotFoundAnywhere(CommandError):
    """No instance knows what was asked for."""


class OutcomeUnknown(CommandError):
    """A change was sent and may or may not have been accepted."""

    EXIT_STATUS = ExitStatus.UNSURE


class KeyLost(CommandError):
    """A key was issued, but the answer that shows it was lost."""

    EXIT_STATUS = ExitStatus.UNSURE


class NoInstanceAnswered(CommandError):
    """No instance was reached."""

    EXIT_STATUS = ExitStatus.UNSURE
