"""Commands that read log files without contacting an instance."""

from __future__ import annotations

from pathlib import Path

from ._command import Command, CommandResult, Context
from ._errors import NotFoundAnywhere, UsageError
from ._trace import LogRecord, read_records, render, trace


async def trace_request(context: Context, args: list[str]) -> CommandResult:
    """Show the log lines of a request and related lines that explain its outcome."""
    if not context.command_line.logs:
        raise UsageError("No log is named. Give --log=FILE for each instance.")
    records = [
        record for path in context.command_line.logs for record in _read_log(path)
    ]
    found = trace(records, args[0])
    if not found.own:
        count = len(context.command_line.logs)
        raise NotFoundAnywhere(f"None of {count} logs knows request {args[0]}.")
    data = {
        "own": [record.fields for record in found.own],
        "related": [record.fields for record in found.related],
        "notes": found.notes,
    }
    return CommandResult(render(found), data)


def _read_log(path: str) -> list[LogRecord]:
    try:
        with Path(path).open(encoding="utf-8", errors="replace") as file:
            return list(read_records(Path(path).stem, file))
    except OSError as exc:
        raise UsageError(f"The log {path!r} cannot be read: {exc.strerror}") from exc


LOG_COMMANDS = [
    Command(
        "trace",
        ("REQUEST_ID",),
        "Show the log lines that explain the outcome of a request.",
        "Give --log=FILE for each instance. The request's own lines are marked with >.",
        trace_request,
        offline=True,
    ),
]
