"""Record of the requests that reached a backend server."""

from __future__ import annotations

import re
from collections import Counter
from typing import Any, NamedTuple

from aiohttp import web


class Run(NamedTuple):
    """One request that a backend server ran."""

    request_id: str
    idempotency_key: str
    """Empty if the request had none."""
    operation: str
    """Method and path, or the artifact that was asked."""


class RunLog:
    """Counts runs and watches for secrets that must not reach a backend server."""

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
    """Matches customers' keys."""

    def __init__(self) -> None:
        self.runs: list[Run] = []
        """Every run, in order."""
        self.secrets_seen: Counter[str] = Counter()
        """Headers with a caller's credentials that arrived, by lower-case name."""
        self.watched_secrets: set[str] = set()
        """Further secrets that must not appear anywhere in a request's head."""

    def count_secrets(self, req: web.Request) -> None:
        """Look for credentials in the head of a request."""
        for name, value in req.headers.items():
            if name.lower() in self.SECRET_HEADERS or self._contains_secret(value):
                self.secrets_seen[name.lower()] += 1
        if self._contains_secret(req.raw_path):
            self.secrets_seen["path"] += 1

    def add(self, req: web.Request, operation: str) -> None:
        """Record that a request runs now."""
        headers = req.headers
        run = Run(
            headers.get("X-Request-Id", ""),
            headers.get("Idempotency-Key", ""),
            operation,
        )
        self.runs.append(run)

    def runs_by_key(self) -> Counter[str]:
        """Return how often each call ran, by idempotency key or request id."""
        return Counter(run.idempotency_key or run.request_id for run in self.runs)

    def duplicate_runs(self) -> int:
        """Return how many runs were repeats of an earlier one."""
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
