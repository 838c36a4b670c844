"""Commands for instances, backend servers and single requests."""

from __future__ import annotations

import asyncio
import json
from urllib.parse import quote

from ._client import JsonObject
from ._command import Command, CommandResult, Context
from ._errors import NoInstanceAnswered, NotFoundAnywhere, OutcomeUnknown, Refused
from ._exit_status import ExitStatus
from ._in_force import wait_until_in_force
from ._table import render_table, render_time


async def status(context: Context, args: list[str]) -> CommandResult:
    """Show the accepted version and the version in force on each instance."""
    answer = await context.client.read("status")
    sections = [
        [name, ref["version"], render_time(ref["changed_at"]), ref["author"]]
        for name, ref in answer["sections"].items()
    ]
    instances = [[i["name"], i["version"], i["reached"]] for i in answer["instances"]]
    parts = [
        f"Version {answer['accepted']} is accepted; seen from {answer['instance']}.",
        render_table(["section", "version", "changed (UTC)", "author"], sections),
        render_table(["instance", "in force", "reached"], instances),
    ]
    late = answer["not_reached"]
    if late:
        parts.append(f"Not known to be in force on: {', '.join(late)}.")
    exit_status = ExitStatus.UNSURE if late else ExitStatus.OK
    return CommandResult("\n\n".join(parts), answer, exit_status)


async def explain(context: Context, args: list[str]) -> CommandResult:
    """Show the decisions that the instances recorded for a request."""
    urls = await _all_urls(context)
    answers = await asyncio.gather(
        *[_read_decisions(context, url, args[0]) for url in urls]
    )
    failed_urls = [
        url for url, answer in zip(urls, answers, strict=True) if answer is None
    ]
    found = [answer for answer in answers if answer and answer["decisions"]]
    if not found:
        failure_note = (
            f" Failed to query: {', '.join(failed_urls)}." if failed_urls else ""
        )
        raise NotFoundAnywhere(f"No instance knows request {args[0]}.{failure_note}")
    text = "\n".join(line for answer in found for line in _decision_lines(answer))
    return CommandResult(text, {"instances": found})


async def _read_decisions(
    context: Context, url: str, request_id: str
) -> JsonObject | None:
    path = f"explain/{quote(request_id, safe='')}"
    try:
        return await context.client.call(url, "GET", path)
    except (NoInstanceAnswered, Refused):
        return None


async def drain_backend(context: Context, args: list[str]) -> CommandResult:
    """Drain a backend server and wait until the change is in force."""
    path = f"backends/{quote(args[0], safe='')}/drain"
    answer = await context.client.change("POST", path, context.change_metadata)
    lines = [f"Backend server {args[0]} gets no new work."]
    return await wait_until_in_force(context, answer, lines, {})


async def drain_instance(context: Context, args: list[str]) -> CommandResult:
    """Start the graceful stop of one instance."""
    url = await _find_url(context, args[0])
    try:
        answer = await context.client.call(url, "POST", "instance/drain", {})
    except OutcomeUnknown as exc:
        raise OutcomeUnknown(
            f"{exc.message} It is not known whether {args[0]} drains; repeat safely."
        ) from exc
    return CommandResult(f"Instance {args[0]} stops gracefully.", answer)


async def _all_urls(context: Context) -> list[str]:
    """Return the URLs of the command line and of the fleet's status report."""
    urls = dict.fromkeys(context.client.instances)
    answer = await context.client.read("status")
    urls |= dict.fromkeys(i["url"] for i in answer["instances"] if i["url"])
    return list(urls)


async def _find_url(context: Context, name: str) -> str:
    """Return the URL of the instance that reports the given name.

    Raises:
        NotFoundAnywhere: No reachable instance reports this name.
    """
    for url in await _all_urls(context):
        try:
            answer = await context.client.call(url, "GET", "status")
        except (NoInstanceAnswered, Refused):
            continue
        if answer["instance"] == name:
            return url
    raise NotFoundAnywhere(f"No reachable instance is named {name}.")


def _decision_lines(answer: JsonObject) -> list[str]:
    lines = [f"On {answer['instance']}:"]
    for decision in answer["decisions"]:
        pairs = [f"{key}={_format_value(value)}" for key, value in decision.items()]
        lines.append("  " + " ".join(pairs))
    return lines


def _format_value(value: object) -> str:
    return value if isinstance(value, str) else json.dumps(value)


FLEET_COMMANDS = [
    Command(
        "status",
        (),
        "Show the accepted version and the version in force on each instance.",
        "",
        status,
    ),
    Command(
        "explain",
        ("REQUEST_ID",),
        "Show the decisions that were made for a request, with reasons.",
        "Queries every known instance.",
        explain,
    ),
    Command(
        "drain backend",
        ("NAME",),
        "Stop sending new requests to a backend server.",
        "The command is refused if the other backend servers cannot hold all models\n"
        "and replicas that must stay loaded.",
        drain_backend,
    ),
    Command(
        "drain instance",
        ("NAME",),
        "Stop an instance gracefully.",
        "Requests in progress are completed first.",
        drain_instance,
    ),
]
