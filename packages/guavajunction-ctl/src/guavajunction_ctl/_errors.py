"""Exceptions that end a guavactl command."""

from __future__ import annotations

from typing import Any, ClassVar

from guavajunction.errors import GuavaError

from ._exit_status import ExitStatus


class CommandError(GuavaError):
    """Base class of the exceptions that end a command."""

    EXIT_STATUS: ClassVar[ExitStatus] = ExitStatus.REFUSED
    """Exit status of the process."""


class UsageError(CommandError):
    """The command line is wrong."""

    EXIT_STATUS = ExitStatus.USAGE


class Refused(CommandError):
    """An instance refused the request; nothing was changed."""

    def __init__(self, error: dict[str, Any]) -> None:
        super().__init__(error["message"])
        self.type: str = error["type"]
        """Error type, as in the response body."""
        self.faults: list[dict[str, str]] = error.get("faults", [])
        """Faults of the submitted document: dicts of `path`, `found`, `expected`."""


class NotAccepted(CommandError):
    """No instance accepted the change; nothing was changed."""


class NotFoundAnywhere(CommandError):
    """No instance or log has a record of the requested name or request id."""


class OutcomeUnknown(CommandError):
    """A change was sent and may or may not have been accepted."""

    EXIT_STATUS = ExitStatus.UNSURE


class KeyLost(CommandError):
    """A key was issued, but the response that contains it was lost."""

    EXIT_STATUS = ExitStatus.UNSURE


class NoInstanceAnswered(CommandError):
    """No instance answered the request."""

    EXIT_STATUS = ExitStatus.UNSURE
