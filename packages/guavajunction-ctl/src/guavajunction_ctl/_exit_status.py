"""Exit statuses of guavactl."""

from __future__ import annotations

from enum import IntEnum


class ExitStatus(IntEnum):
    """Exit statuses; scripts may rely on the numbers."""

    OK = 0
    """The command succeeded; a change is in force on every instance."""
    REFUSED = 1
    """The request was refused or in conflict; nothing was changed."""
    USAGE = 2
    """The command line is invalid; nothing was sent."""
    UNSURE = 3
    """The outcome is unknown, or the change is not yet in force on every instance."""
