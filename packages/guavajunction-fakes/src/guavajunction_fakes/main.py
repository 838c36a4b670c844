"""Command line of the stand-ins: ``guavafakes COMMAND --flag=value``."""

from __future__ import annotations

import sys

from absl import flags

from .commands import SUMMARIES, find_command

EXIT_USAGE = 2
"""Exit status for wrong arguments."""


def run(argv: list[str] | None = None) -> int:
    """Run a command.

    Args:
        argv: Program name, command and flags; `sys.argv` if None.

    Returns:
        Exit status of the command; 2 for wrong arguments.
    """
    argv = sys.argv if argv is None else argv
    name = argv[1] if len(argv) > 1 else ""
    command = find_command(name)
    if command is None:
        print(_usage(), file=sys.stderr)
        return EXIT_USAGE
    values = flags.FlagValues()
    command.define(values)
    try:
        rest = values([f"{argv[0]} {name}", *argv[2:]])
    except flags.Error as exc:
        print(f"{exc}\n{values.get_help()}", file=sys.stderr)
        return EXIT_USAGE
    if len(rest) > 1:
        print(f"unexpected arguments: {rest[1:]}", file=sys.stderr)
        return EXIT_USAGE
    return command.run(values)


def _usage() -> str:
    lines = [f"  {name:10} {summary}" for name, summary in SUMMARIES.items()]
    return "\n".join(["usage: guavafakes COMMAND [flags]", *lines])


if __name__ == "__main__":
    sys.exit(run())
