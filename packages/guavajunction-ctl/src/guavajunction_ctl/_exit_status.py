"""What guavactl tells the shell."""

from __future__ import annotations

from enum import IntEnum


class ExitStatus(IntEnum):
    """Exit statuses, part of the command's interface."""

    OK = 0
    """Done, and in force on every instance."""
    REFUSED = 1
    """Refused or in conflict: nothing was changed."""
    USAGE = 2
    """The command line is wrong: nothing was sent."""
    UNSURE = 3
    """Not known to be accepted, or accepted but not in force on every instance."""
