"""Commands for the configuration document and its versions."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from ._command import Command, CommandResult, Context
from ._errors import UsageError
from ._in_force import wait_until_in_force
from ._table import render_table, render_time


async def validate(context: Context, args: list[str]) -> CommandResult:
    """Validate a document without changing anything."""
    body = {"document": _read_document(args[0])}
    answer = await context.client.read("validate", body)
    entries = [f"{count} {name}" for name, count in answer["entries"].items()]
    text = f"The document is valid: {', '.join(entries) or 'no section'}."
    return CommandResult(text, answer)


async def diff(context: Context, args: list[str]) -> CommandResult:
    """Compare a document with the accepted document."""
    body = {"document": _read_document(args[0])}
    answer = await context.client.read("diff", body)
    return CommandResult("\n".join(_diff_lines(answer)), answer)


async def apply(context: Context, args: list[str]) -> CommandResult:
    """Submit a document and wait until it is in force on every instance."""
    document = _read_document(args[0])
    compared = await context.client.read("diff", {"document": document})
    body = {
        "document": document,
        "based_on": compared["based_on"],
        **context.change_metadata,
    }
    answer = await context.client.change("POST", "apply", body)
    return await wait_until_in_force(context, answer, _diff_lines(compared), compared)


async def show(context: Context, args: list[str]) -> CommandResult:
    """Print the accepted document."""
    answer = await context.client.read("document")
    return CommandResult(answer["document"].rstrip("\n"), answer)


async def history(context: Context, args: list[str]) -> CommandResult:
    """List the latest accepted versions."""
    answer = await context.client.read("history")
    rows = [
        [v["version"], render_time(v["changed_at"]), v["author"], v["changed"]]
        for v in answer["versions"]
    ]
    headings = ["version", "accepted (UTC)", "author", "sections"]
    return CommandResult(render_table(headings, rows), answer)


async def roll_back(context: Context, args: list[str]) -> CommandResult:
    """Submit an earlier version as a new one and wait until it is in force."""
    if not args[0].isascii() or not args[0].isdigit():
        raise UsageError(f"{args[0]!r} is not a version.")
    body = {"version": int(args[0]), **context.change_metadata}
    answer = await context.client.change("POST", "rollback", body)
    return await wait_until_in_force(context, answer, [], {})


def _read_document(path: str) -> str:
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise UsageError(f"{path} cannot be read: {exc}") from exc


def _diff_lines(answer: dict[str, Any]) -> list[str]:
    if not answer["changes"]:
        return [f"No difference from version {answer['version']}."]
    rows = [
        [
            change["path"],
            _format_value(change["before"]),
            _format_value(change["after"]),
        ]
        for change in answer["changes"]
    ]
    return [render_table(["value", f"version {answer['version']}", "document"], rows)]


def _format_value(value: Any) -> str | None:
    return None if value is None else json.dumps(value, ensure_ascii=False)


DOCUMENT_COMMANDS = [
    Command(
        "validate",
        ("FILE",),
        "Check a document and list all faults.",
        "Sections that are not in the file are taken from the accepted document.",
        validate,
    ),
    Command(
        "diff",
        ("FILE",),
        "Compare a document with the accepted document.",
        "In the last column, - marks values that the document removes.",
        diff,
    ),
    Command(
        "apply",
        ("FILE",),
        "Apply a document and wait until it is in force everywhere.",
        "Sections that are not in the file are not changed. The command fails with a\n"
        "conflict if another operator changed one of the file's sections since the\n"
        "version in [based_on], or, without [based_on], since the command read the\n"
        "accepted document.",
        apply,
    ),
    Command(
        "document",
        (),
        "Print the accepted document, with [based_on].",
        "The printed document does not contain customers' keys.",
        show,
    ),
    Command("history", (), "List the latest accepted versions.", "", history),
    Command(
        "rollback",
        ("VERSION",),
        "Restore an earlier version as a new version.",
        "Keys are not rolled back: a withdrawn key stays withdrawn.",
        roll_back,
    ),
]
