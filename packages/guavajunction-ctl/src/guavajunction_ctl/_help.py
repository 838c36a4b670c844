"""Help texts of guavactl."""

from __future__ import annotations

from ._command import Command
from ._exit_status import ExitStatus
from ._flags import flags_help

_STATUS_MEANINGS = {
    ExitStatus.OK: "done, and in force on every instance",
    ExitStatus.REFUSED: "refused or in conflict; nothing was changed",
    ExitStatus.USAGE: "invalid command line; nothing was sent",
    ExitStatus.UNSURE: "outcome unknown, or not in force on every instance",
}


def general_help(commands: list[Command]) -> str:
    """Return the help that lists all commands, flags and exit statuses."""
    width = max(len(command.usage) for command in commands)
    lines = [f"  {c.usage.ljust(width)}  {c.summary}" for c in commands]
    statuses = [
        f"  {status.value}  {text}" for status, text in _STATUS_MEANINGS.items()
    ]
    parts = [
        "Usage: guavactl [FLAGS] COMMAND [ARGUMENTS]",
        "Commands:\n" + "\n".join(lines),
        "Flags:\n" + flags_help(),
        "Exit statuses:\n" + "\n".join(statuses),
    ]
    return "\n\n".join(parts)


def command_help(command: Command) -> str:
    """Return the help of one command."""
    parts = [f"Usage: guavactl [FLAGS] {command.usage}", command.summary]
    return "\n\n".join(parts + [command.details] * bool(command.details))
