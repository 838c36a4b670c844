"""Commands for customers' keys."""

from __future__ import annotations

from urllib.parse import quote

from ._command import Command, CommandResult, Context
from ._errors import KeyLost
from ._in_force import wait_until_in_force
from ._table import render_table


async def issue(context: Context, args: list[str]) -> CommandResult:
    """Issue a key and print it, which is possible only once."""
    body = {"customer": args[0], **context.change_metadata}
    answer = await context.client.change("POST", "keys", body)
    if "key" not in answer:
        raise KeyLost(
            f"A key was issued in version {answer['version']}, but its answer was"
            " lost.\nFind it by `guavactl keys list`, withdraw it and issue another."
        )
    lines = [f"Key {answer['key_id']}, shown this once:", answer["key"]]
    return await wait_until_in_force(context, answer, lines, {})


async def withdraw(context: Context, args: list[str]) -> CommandResult:
    """Withdraw a key and wait until every instance refuses it."""
    path = f"keys/{quote(args[0], safe='')}"
    answer = await context.client.change("DELETE", path, context.change_metadata)
    return await wait_until_in_force(context, answer, [f"Key {args[0]} withdrawn."], {})


async def list_keys(context: Context, args: list[str]) -> CommandResult:
    """List the ids and customers of the valid keys."""
    answer = await context.client.read("keys")
    rows = [[key["key_id"], key["customer"]] for key in answer["keys"]]
    return CommandResult(render_table(["key", "customer"], rows), answer)


KEY_COMMANDS = [
    Command(
        "keys issue",
        ("CUSTOMER",),
        "Issue a key to a customer and print it once.",
        "The fleet stores only a keyed digest of the key.",
        issue,
    ),
    Command(
        "keys withdraw",
        ("KEY_ID",),
        "Withdraw a key.",
        "The key stops working on each instance as soon as the version is in force.",
        withdraw,
    ),
    Command("keys list", (), "List the valid keys.", "", list_keys),
]
