"""Operator routes for instances, backend servers and decisions on a request."""

from __future__ import annotations

from typing import Any

import msgspec
from aiohttp import web

from guavajunction.errors import EntryUnknown, PlatformError
from guavajunction.storage import InstanceRecord

from ._document_routes import accepted_response
from ._events import BACKEND_DRAINED
from ._manager import InstanceVersion
from ._operator_dependencies import OperatorDependencies, OperatorRoute
from ._operator_guard import read_body
from ._operator_messages import EditRequest
from ._tables import Section


class FleetRoutes:
    """Handlers that report versions in force, drain, and explain requests."""

    def __init__(self, dependencies: OperatorDependencies) -> None:
        self._dependencies = dependencies
        self._store = dependencies.store
        self._manager = dependencies.manager
        self._editor = dependencies.editor

    def routes(self) -> list[OperatorRoute]:
        """Return the handlers by method and path."""
        return [
            ("GET", "status", self.status),
            ("POST", "backends/{name}/drain", self.drain_backend),
            ("POST", "instance/drain", self.drain_instance),
            ("GET", "explain/{request_id}", self.explain),
        ]

    async def status(self, req: web.Request) -> web.Response:
        """Return the accepted version and the version in force on each instance."""
        accepted = await self._accepted_version()
        records = {record.name: record for record in self._dependencies.instances()}
        reports = self._manager.versions_by_instance(records)
        instances = [
            _instance_status(r, records.get(r.name), accepted) for r in reports
        ]
        refs = self._manager.head.sections
        return web.json_response(
            {
                "instance": self._manager.me.name,
                "accepted": accepted,
                "in_force": self._manager.current.version,
                "sections": {name: ref._asdict() for name, ref in refs.items()},
                "instances": instances,
                "not_reached": [i["name"] for i in instances if not i["reached"]],
            }
        )

    async def drain_backend(self, req: web.Request) -> web.Response:
        """Mark a backend server as leaving, so that it gets no new work."""
        body = await read_body(req, EditRequest)
        name = req.match_info["name"]

        def drain(backends: Section) -> None:
            if name not in backends:
                raise EntryUnknown(f"There is no backend server {name}.")
            backends[name]["leaving"] = True

        accepted = await self._editor.edit(
            "backends", drain, body["author"], body["attempt_id"]
        )
        BACKEND_DRAINED.log(backend=name)
        return accepted_response(accepted)

    async def drain_instance(self, req: web.Request) -> web.Response:
        """Start the graceful stop of this instance."""
        self._dependencies.drain_instance()
        return web.json_response({"instance": self._manager.me.name}, status=202)

    async def explain(self, req: web.Request) -> web.Response:
        """Return the decisions that this instance made for a request."""
        decisions = self._dependencies.explainer.explain(req.match_info["request_id"])
        answer = {"instance": self._manager.me.name, "decisions": decisions}
        body = msgspec.json.encode(answer)
        return web.Response(body=body, content_type="application/json")

    async def _accepted_version(self) -> int:
        """Return the accepted version.

        If the store cannot be read, return the highest version that this instance
        knows of.
        """
        try:
            head = await self._store.read_head()
        except PlatformError:
            return self._manager.highest_known_version
        return head.version


def _instance_status(
    report: InstanceVersion, record: InstanceRecord | None, accepted: int
) -> dict[str, Any]:
    reached = report.version is not None and report.version >= accepted
    return {**report._asdict(), "reached": reached, "url": _url(record)}


def _url(record: InstanceRecord | None) -> str | None:
    if record is None:
        return None
    host = f"[{record.address}]" if ":" in record.address else record.address
    return f"http://{host}:{record.http_port}"
