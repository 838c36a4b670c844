"""Definition, context and result of a guavactl command."""

from __future__ import annotations

import uuid
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from ._client import OperatorClient
from ._exit_status import ExitStatus
from ._flags import CommandLine


class CommandResult(NamedTuple):
    """Output and exit status of a command."""

    text: str
    """Human-readable output."""
    data: dict[str, Any]
    """Machine-readable output, printed with --json."""
    status: ExitStatus = ExitStatus.OK


class Context(NamedTuple):
    """Dependencies and parameters of a running command."""

    client: OperatorClient
    command_line: CommandLine
    attempt_id: str

    @classmethod
    def create(cls, client: OperatorClient, line: CommandLine) -> Context:
        """Return a context with the attempt id of the command line or a new one."""
        return cls(client, line, line.attempt or uuid.uuid4().hex)

    @property
    def change_metadata(self) -> dict[str, str]:
        """Return the body fields that every change must have."""
        return {"author": self.command_line.author, "attempt_id": self.attempt_id}


class Command(NamedTuple):
    """One command of guavactl."""

    words: str
    """Words that select the command, such as `keys issue`."""
    arguments: tuple[str, ...]
    """Names of the positional arguments, all of them required."""
    summary: str
    """One sentence for the list of commands."""
    details: str
    """Further help text, shown only in the help of this command."""
    run: Callable[[Context, list[str]], Awaitable[CommandResult]]
    offline: bool = False
    """Whether the command runs without contacting an instance."""

    @property
    def usage(self) -> str:
        """Return the command's words followed by its argument names."""
        return " ".join([self.words, *self.arguments])
