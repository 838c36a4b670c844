"""Waits until a version is in force on every instance."""

from __future__ import annotations

import asyncio
from typing import Any

from ._client import Answer
from ._command import Context, Outcome
from ._errors import NoInstanceAnswered, Refused
from ._exit_status import ExitStatus

POLL_SECONDS = 0.25


async def report_in_force(
    context: Context, answer: Answer, lines: list[str], data: dict[str, Any]
) -> Outcome:
    """Wait for an accepted version and say who was not reached.

    Args:
        context: What the command works with.
        answer: The answer to the change, with its version.
        lines: What to print before.
        data: What to report before, for programs.
    """
    version = answer["version"]
    instances = await _wait(context, version)
    late = [i["name"] for i in instances if not _has(i, version)]
    data = {**data, **answer, "not_reached": late, "instances": len(instances)}
    lines = [*lines, f"Version {version} is accepted."]
    if instances and not late:
        lines.append(f"In force on all {len(instances)} instances.")
        return Outcome("\n".join(lines), data)
    lines.append(f"Not known to be in force on: {', '.join(late) or 'any instance'}.")
    return Outcome("\n".join(lines), data, ExitStatus.UNSURE)


async def _wait(context: Context, version: int) -> list[Answer]:
    """Return the last report of each instance, complete or not."""
    loop = asyncio.get_running_loop()
    until = loop.time() + context.line.wait
    while True:
        instances = await _instances(context)
        complete = instances and all(_has(i, version) for i in instances)
        if complete or loop.time() >= until:
            return instances
        await asyncio.sleep(POLL_SECONDS)


async def _instances(context: Context) -> list[Answer]:
    try:
        status = await context.client.read("status")
    except (Refused, NoInstanceAnswered):
        return []
    return status["instances"]


def _has(instance: Answer, version: int) -> bool:
    return instance["version"] is not None and instance["version"] >= version
