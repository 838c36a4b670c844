"""Operator routes for the configuration document and its history."""

from __future__ import annotations

import asyncio
from typing import Any

from aiohttp import web

from guavajunction.errors import OperatorRequestInvalid

from ._diff import differences
from ._document import Document, parse_document
from ._head import Head
from ._operator_dependencies import OperatorDependencies, OperatorRoute
from ._operator_guard import read_body
from ._operator_messages import ApplyRequest, DocumentRequest, RollBackRequest
from ._store import Accepted, Change
from ._tables import Sections
from ._toml import write_toml

HISTORY_LENGTH = 20
"""Maximum number of versions in a response to a history request."""


class DocumentRoutes:
    """Handlers that show, check, compare and change the document."""

    def __init__(self, dependencies: OperatorDependencies) -> None:
        self._store = dependencies.store
        self._editor = dependencies.editor

    def routes(self) -> list[OperatorRoute]:
        """Return the handlers by method and path."""
        return [
            ("GET", "document", self.show),
            ("POST", "validate", self.validate),
            ("POST", "diff", self.diff),
            ("POST", "apply", self.apply),
            ("POST", "rollback", self.roll_back),
            ("GET", "attempts/{attempt_id}", self.attempt),
            ("GET", "history", self.history),
        ]

    async def show(self, req: web.Request) -> web.Response:
        """Return the accepted document without its keys."""
        head = await self._store.read_head()
        sections = await self._store.load_sections(head)
        shown = {name: table for name, table in sections.items() if name != "keys"}
        versions = {name: head.section_version(name) for name in shown}
        answer = {"version": head.version, "based_on": versions, "sections": shown}
        return web.json_response({**answer, "document": write_toml(shown, versions)})

    async def validate(self, req: web.Request) -> web.Response:
        """Check a document; sections that it lacks are taken from the accepted one."""
        body = await read_body(req, DocumentRequest)
        head, _, doc = await self._parse(body["document"])
        entries = {name: len(section) for name, section in doc.given.items()}
        return web.json_response({"version": head.version, "entries": entries})

    async def diff(self, req: web.Request) -> web.Response:
        """Compare a document with the accepted one."""
        body = await read_body(req, DocumentRequest)
        head, base, doc = await self._parse(body["document"])
        changes = await asyncio.to_thread(differences, base, doc.merged_over(base))
        versions = {name: head.section_version(name) for name in doc.given}
        return web.json_response(
            {
                "version": head.version,
                "based_on": {**versions, **doc.based_on},
                "changes": [change._asdict() for change in changes],
            }
        )

    async def apply(self, req: web.Request) -> web.Response:
        """Submit a document for acceptance."""
        body = await read_body(req, ApplyRequest)
        _, _, doc = await self._parse(body["document"])
        based_on = {**body.get("based_on", {}), **doc.based_on}
        for name in doc.given.keys() - based_on.keys():
            raise OperatorRequestInvalid(f"based_on lacks section {name}.")
        change = Change(doc.given, based_on, body["author"], body["attempt_id"])
        return accepted_response(await self._editor.apply(change))

    async def roll_back(self, req: web.Request) -> web.Response:
        """Accept the content of an earlier version as a new version."""
        body = await read_body(req, RollBackRequest)
        accepted = await self._editor.roll_back(
            body["version"], body["author"], body["attempt_id"]
        )
        return accepted_response(accepted)

    async def attempt(self, req: web.Request) -> web.Response:
        """Return the version that an attempt created.

        The version is null if the attempt is not among the recent ones.
        """
        head = await self._store.read_head()
        version = head.accepted_version(req.match_info["attempt_id"])
        return web.json_response({"version": version, "accepted": head.version})

    async def history(self, req: web.Request) -> web.Response:
        """List the latest accepted versions."""
        heads = await self._store.history(HISTORY_LENGTH)
        return web.json_response({"versions": [_history_entry(h) for h in heads]})

    async def _parse(self, text: str) -> tuple[Head, Sections, Document]:
        head = await self._store.read_head()
        base = await self._store.load_sections(head)
        doc = await asyncio.to_thread(parse_document, text, base)
        return head, base, doc


def accepted_response(accepted: Accepted) -> web.Response:
    """Return the response to an accepted change."""
    return web.json_response({"version": accepted.version})


def _history_entry(head: Head) -> dict[str, Any]:
    return {
        "version": head.version,
        "author": head.author,
        "changed_at": head.changed_at,
        "changed": head.changed,
        "attempt_id": head.attempts[-1].attempt_id,
    }
