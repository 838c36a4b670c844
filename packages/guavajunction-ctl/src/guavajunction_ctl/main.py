"""Entry point of guavactl."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import NoReturn, TextIO

import aiohttp

from guavajunction.connections import StrictConnector

from ._client import OperatorClient
from ._command import Command, CommandResult, Context
from ._document_commands import DOCUMENT_COMMANDS
from ._errors import CommandError, Refused, UsageError
from ._exit_status import ExitStatus
from ._flags import CommandLine, parse_command_line
from ._fleet_commands import FLEET_COMMANDS
from ._help import command_help, general_help
from ._key_commands import KEY_COMMANDS
from ._log_commands import LOG_COMMANDS
from ._table import render_table

COMMANDS: list[Command] = [
    *DOCUMENT_COMMANDS,
    *KEY_COMMANDS,
    *FLEET_COMMANDS,
    *LOG_COMMANDS,
]


def run() -> NoReturn:
    """Run the command line of this process and exit with the command's status."""
    sys.exit(asyncio.run(execute(sys.argv, sys.stdout, sys.stderr)))


async def execute(argv: list[str], out: TextIO, err: TextIO) -> ExitStatus:
    """Run a command line.

    Args:
        argv: The program's name and its arguments.
        out: Stream for results.
        err: Stream for error messages.

    Returns:
        The exit status of the process.
    """
    as_json = False
    try:
        line = parse_command_line(argv)
        as_json = line.json
        outcome = await _run_command_line(line)
    except CommandError as exc:
        print(_format_failure(exc, as_json), file=err)
        return exc.EXIT_STATUS
    print(json.dumps(outcome.data) if as_json else outcome.text, file=out)
    return outcome.status


async def _run_command_line(line: CommandLine) -> CommandResult:
    help_requested = line.help or line.words[:1] == ["help"]
    words = line.words[1:] if line.words[:1] == ["help"] else line.words
    if help_requested:
        text = command_help(_find_command(words)) if words else general_help(COMMANDS)
        return CommandResult(text, {"help": text})
    command = _find_command(words)
    args = words[len(command.words.split()) :]
    if len(args) != len(command.arguments):
        raise UsageError(f"Usage: guavactl [FLAGS] {command.usage}")
    return await _run_command(line, command, args)


def _find_command(words: list[str]) -> Command:
    for command in COMMANDS:
        own = command.words.split()
        if words[: len(own)] == own:
            return command
    given = " ".join(words) or "no command"
    raise UsageError(f"Unknown command: {given}. See guavactl --help.")


async def _run_command(
    line: CommandLine, command: Command, args: list[str]
) -> CommandResult:
    if not line.instances and not command.offline:
        raise UsageError("No instance is named. Give --instance=URL.")
    token = "" if command.offline else _read_token(line.token_file)
    connector = StrictConnector(force_close=True)
    async with aiohttp.ClientSession(connector=connector) as session:
        client = OperatorClient(session, line.instances, token, timeout=line.timeout)
        return await command.run(Context.create(client, line), args)


def _read_token(path: str | None) -> str:
    if path is None:
        raise UsageError("No operator token is given. Give --token_file=FILE.")
    try:
        return Path(path).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as exc:
        raise UsageError(f"The operator token cannot be read: {exc}") from exc


def _format_failure(exc: CommandError, as_json: bool) -> str:
    faults = exc.faults if isinstance(exc, Refused) else []
    if as_json:
        kind = exc.type if isinstance(exc, Refused) else type(exc).__name__
        return json.dumps(
            {"error": {"type": kind, "message": exc.message, "faults": faults}}
        )
    if not faults:
        return exc.message
    rows = [[fault["path"], fault["found"], fault["expected"]] for fault in faults]
    count = f"{len(rows)} fault" + "s" * (len(rows) > 1)
    return f"The document has {count}:\n" + render_table(
        ["value", "found", "expected"], rows
    )
