"""Record of the requests that a backend server executed."""

from __future__ import annotations

import re
from collections import Counter
from typing import Any, NamedTuple

from aiohttp import web


class Run(NamedTuple):
    """One request that a backend server executed."""

    request_id: str
    idempotency_key: str
    """Idempotency key of the request, empty if it had none."""
    operation: str
    """Method and path; for an inference request, the artifact."""


class RunLog:
    """Records runs and counts credentials that must not reach a backend server."""

    SECRET_HEADERS = frozenset(
        {
            "authorization",
            "proxy-authorization",
            "cookie",
            "x-api-key",
            "api-key",
            "x-guava-key",
        }
    )

    KEY_PATTERN = re.compile(r"gj_[0-9a-f]{6,}")
    """Pattern of a customer's API key."""

    def __init__(self) -> None:
        self.runs: list[Run] = []
        """All runs in order of their start."""
        self.secrets_seen: Counter[str] = Counter()
        """Number of requests with a caller's credentials, by lower-case header name or
        `path`."""
        self.watched_secrets: set[str] = set()
        """Further secrets that must not appear in a request's path or headers."""

    def count_secrets(self, req: web.Request) -> None:
        """Count the headers and paths of a request that contain credentials."""
        for name, value in req.headers.items():
            if name.lower() in self.SECRET_HEADERS or self._contains_secret(value):
                self.secrets_seen[name.lower()] += 1
        if self._contains_secret(req.raw_path):
            self.secrets_seen["path"] += 1

    def add(self, req: web.Request, operation: str) -> None:
        """Record the start of a request's execution."""
        headers = req.headers
        run = Run(
            headers.get("X-Request-Id", ""),
            headers.get("Idempotency-Key", ""),
            operation,
        )
        self.runs.append(run)

    def runs_by_key(self) -> Counter[str]:
        """Return the number of runs of each call.

        A call is identified by its idempotency key, or else by its request id.
        """
        return Counter(run.idempotency_key or run.request_id for run in self.runs)

    def duplicate_runs(self) -> int:
        """Return the number of runs that repeated an earlier run of the same call."""
        return sum(count - 1 for count in self.runs_by_key().values())

    def _contains_secret(self, text: str) -> bool:
        if self.KEY_PATTERN.search(text):
            return True
        return any(secret in text for secret in self.watched_secrets)

    def stats(self) -> dict[str, Any]:
        """Return figures for `GET /stats`."""
        return {
            "runs": len(self.runs),
            "doubled_runs": self.duplicate_runs(),
            "secrets_seen": dict(self.secrets_seen),
        }

    def routes(self) -> list[web.RouteDef]:
        """Return the control routes `GET /runs` and `POST /runs`."""
        return [
            web.get("/runs", self._handle_get),
            web.post("/runs", self._handle_post),
        ]

    async def _handle_get(self, req: web.Request) -> web.Response:
        return web.json_response({"runs": [run._asdict() for run in self.runs]})

    async def _handle_post(self, req: web.Request) -> web.Response:
        self.watched_secrets.update((await req.json())["watch_for"])
        return web.Response(status=204)
