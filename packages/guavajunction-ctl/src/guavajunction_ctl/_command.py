"""What a command is made of."""

from __future__ import annotations

import uuid
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from ._client import OperatorClient
from ._exit_status import ExitStatus
from ._flags import CommandLine


class CommandResult(NamedTuple):
    """What a command prints and tells the shell."""

    text: str
    """For people."""
    data: dict[str, Any]
    """For programs, with --json."""
    status: ExitStatus = ExitStatus.OK


class Context(NamedTuple):
    """What a command works with."""

    client: OperatorClient
    command_line: CommandLine
    attempt_id: str

    @classmethod
    def create(cls, client: OperatorClient, line: CommandLine) -> Context:
        """Return a context with the given attempt id or a new one."""
        return cls(client, line, line.attempt or uuid.uuid4().hex)

    @property
    def change_metadata(self) -> dict[str, str]:
        """Return what every change carries."""
        return {"author": self.command_line.author, "attempt_id": self.attempt_id}


class Command(NamedTuple):
    """One command of guavactl."""

    words: str
    """Its words, such as `keys issue`."""
    arguments: tuple[str, ...]
    """Names of its arguments."""
    summary: str
    """One sentence for the list of commands."""
    details: str
    """What the command's own help says further."""
    run: Callable[[Context, list[str]], Awaitable[CommandResult]]
    offline: bool = False
    """Whether it asks no instance."""

    @property
    def usage(self) -> str:
        """Return the words and arguments."""
        return " ".join([self.words, *self.arguments])
