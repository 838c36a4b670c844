"""Waits until an accepted version is in force on every instance."""

from __future__ import annotations

import asyncio
from typing import Any

from ._client import JsonObject
from ._command import CommandResult, Context
from ._errors import NoInstanceAnswered, Refused
from ._exit_status import ExitStatus

POLL_SECONDS = 0.25
"""Interval between two reads of the fleet's status."""


async def wait_until_in_force(
    context: Context, answer: JsonObject, lines: list[str], data: dict[str, Any]
) -> CommandResult:
    """Wait until an accepted version is in force and report late instances.

    The wait ends after the `--wait` time of the command line at the latest.

    Args:
        context: Context of the command.
        answer: Response body of the accepted change, with its `version`.
        lines: Lines to print before the report.
        data: Fields to add to the JSON output.

    Returns:
        The result, with status `UNSURE` if an instance is not known to have the
        version in force.
    """
    version = answer["version"]
    instances = await _poll_until_in_force(context, version)
    late = [i["name"] for i in instances if not _has_version(i, version)]
    data = {**data, **answer, "not_reached": late, "instances": len(instances)}
    lines = [*lines, f"Version {version} is accepted."]
    if instances and not late:
        lines.append(f"In force on all {len(instances)} instances.")
        return CommandResult("\n".join(lines), data)
    lines.append(f"Not known to be in force on: {', '.join(late) or 'any instance'}.")
    return CommandResult("\n".join(lines), data, ExitStatus.UNSURE)


async def _poll_until_in_force(context: Context, version: int) -> list[JsonObject]:
    """Poll until every instance has the version in force or `--wait` has elapsed.

    Returns:
        The status of each instance as last read.
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + context.command_line.wait
    while True:
        instances = await _read_instances(context)
        complete = instances and all(_has_version(i, version) for i in instances)
        if complete or loop.time() >= until:
            return instances
        await asyncio.sleep(POLL_SECONDS)


async def _read_instances(context: Context) -> list[JsonObject]:
    try:
        status = await context.client.read("status")
    except (Refused, NoInstanceAnswered):
        return []
    return status["instances"]


def _has_version(instance: JsonObject, version: int) -> bool:
    return instance["version"] is not None and instance["version"] >= version
