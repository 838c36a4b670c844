"""Operator routes for the keys of customers."""

from __future__ import annotations

from aiohttp import web

from guavajunction.errors import (
    AcceptanceUnknown,
    EntryUnknown,
    KeyAlreadyIssued,
    PlatformError,
)

from ._document_routes import accepted_response
from ._events import KEY_ISSUED, KEY_WITHDRAWN
from ._head import Head
from ._operator_dependencies import OperatorDependencies, OperatorRoute
from ._operator_guard import read_body
from ._operator_messages import EditRequest, IssueRequest
from ._tables import Section


class KeyRoutes:
    """Handlers that list, issue and withdraw keys."""

    def __init__(self, dependencies: OperatorDependencies) -> None:
        self._store = dependencies.store
        self._editor = dependencies.editor
        self._issue_key = dependencies.issue_key

    def routes(self) -> list[OperatorRoute]:
        """Return the handlers by method and path."""
        return [
            ("GET", "keys", self.list_keys),
            ("POST", "keys", self.issue),
            ("DELETE", "keys/{key_id}", self.withdraw),
        ]

    async def list_keys(self, req: web.Request) -> web.Response:
        """Return the public id and the customer of each key."""
        head = await self._store.read_head()
        keys = await self._keys(head)
        listed = [{"key_id": k, "customer": keys[k]["customer"]} for k in sorted(keys)]
        return web.json_response({"version": head.version, "keys": listed})

    async def issue(self, req: web.Request) -> web.Response:
        """Issue a key to a customer. This response is the only one with the key."""
        body = await read_body(req, IssueRequest)
        key, record = self._issue_key(body["customer"])
        table = {"customer": record.customer, "digest": record.digest}

        def add(keys: Section) -> None:
            keys[record.key_id] = table

        author, attempt_id = body["author"], body["attempt_id"]
        accepted = await self._editor.edit("keys", add, author, attempt_id)
        await self._check_issued(record.key_id, accepted.head, attempt_id)
        KEY_ISSUED.log(key_id=record.key_id, customer=record.customer)
        answer = {"version": accepted.version, "key_id": record.key_id, "key": key}
        return web.json_response(answer)

    async def withdraw(self, req: web.Request) -> web.Response:
        """Withdraw a key."""
        body = await read_body(req, EditRequest)
        key_id = req.match_info["key_id"]

        def remove(keys: Section) -> None:
            if keys.pop(key_id, None) is None:
                raise EntryUnknown(f"There is no key {key_id}.")

        accepted = await self._editor.edit(
            "keys", remove, body["author"], body["attempt_id"]
        )
        KEY_WITHDRAWN.log(key_id=key_id)
        return accepted_response(accepted)

    async def _check_issued(self, key_id: str, head: Head, attempt_id: str) -> None:
        """Raise an error if an earlier request of this attempt issued another key.

        Each request of an attempt generates a key, but an attempt is accepted only
        once. The key of a later request is not in the configuration and is refused.
        """
        try:
            keys = await self._keys(head)
        except PlatformError as exc:
            raise AcceptanceUnknown(f"Key {key_id} may have been issued.") from exc
        if key_id not in keys:
            raise KeyAlreadyIssued(
                f"Attempt {attempt_id} has issued a key before, whose answer was lost."
                " Withdraw that key and issue another."
            )

    async def _keys(self, head: Head) -> Section:
        return (await self._store.load_sections(head))["keys"]
