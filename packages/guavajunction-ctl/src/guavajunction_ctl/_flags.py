"""Flags of guavactl and parsing of its command line."""

from __future__ import annotations

import getpass
import os
from typing import NamedTuple

from absl import flags

from ._errors import UsageError

DEFAULT_TIMEOUT_SECONDS = 10.0
DEFAULT_WAIT_SECONDS = 10.0
INSTANCES_VARIABLE = "GUAVACTL_INSTANCES"
TOKEN_FILE_VARIABLE = "GUAVACTL_TOKEN_FILE"


class CommandLine(NamedTuple):
    """The parsed command line."""

    words: list[str]
    """Words of the command, followed by its arguments."""
    instances: list[str]
    """URLs of instances to try, in order."""
    token_file: str | None
    json: bool
    """Whether to print JSON."""
    author: str
    """Name recorded as the author of a change."""
    attempt: str | None
    """Attempt id of an earlier run to repeat, or None for a new attempt."""
    wait: float
    """Seconds to wait until a version is in force everywhere."""
    timeout: float
    """Seconds to wait for one response."""
    help: bool
    logs: list[str]
    """Paths of log files."""


def new_flags() -> flags.FlagValues:
    """Return the flags with their defaults, independent of absl's global flags."""
    values = flags.FlagValues()
    values.set_gnu_getopt(True)
    flags.DEFINE_multi_string(
        "instance",
        os.environ.get(INSTANCES_VARIABLE, "").split(),
        f"URL of an instance. Default: ${INSTANCES_VARIABLE}.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "token_file",
        os.environ.get(TOKEN_FILE_VARIABLE),
        f"File with the operator token. Default: ${TOKEN_FILE_VARIABLE}.",
        flag_values=values,
    )
    flags.DEFINE_bool("json", False, "Print JSON.", flag_values=values)
    flags.DEFINE_string(
        "author",
        None,
        "Name recorded as the author of the change. Default: your login name.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "attempt",
        None,
        "Attempt id of a change whose outcome is unknown, to repeat it safely.",
        flag_values=values,
    )
    flags.DEFINE_float(
        "wait",
        DEFAULT_WAIT_SECONDS,
        "Seconds to wait until a version is in force everywhere.",
        lower_bound=0.0,
        flag_values=values,
    )
    flags.DEFINE_float(
        "timeout",
        DEFAULT_TIMEOUT_SECONDS,
        "Seconds to wait for one response.",
        lower_bound=0.1,
        flag_values=values,
    )
    flags.DEFINE_multi_string(
        "log",
        [],
        "Log file of an instance, read by the trace command.",
        flag_values=values,
    )
    flags.DEFINE_bool("help", False, "Print help.", flag_values=values)
    return values


def parse_command_line(argv: list[str]) -> CommandLine:
    """Parse the command line.

    Args:
        argv: The program's name and its arguments.

    Raises:
        UsageError: A flag is unknown or its value is invalid.
    """
    values = new_flags()
    try:
        _, *words = values(argv)
    except flags.Error as exc:
        raise UsageError(str(exc)) from exc
    return CommandLine(
        words,
        [url.rstrip("/") for url in values.instance],
        values.token_file,
        values.json,
        values.author or getpass.getuser(),
        values.attempt,
        values.wait,
        values.timeout,
        values.help,
        values.log,
    )


def flags_help() -> str:
    """Return the help text of all flags, sorted by name."""
    values = new_flags()
    lines = [f"  --{name}: {values[name].help}" for name in sorted(values)]
    return "\n".join(lines)
