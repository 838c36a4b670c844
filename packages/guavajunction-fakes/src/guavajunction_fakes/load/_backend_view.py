"""Compares what backend servers ran with the responses that callers received."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any, NamedTuple

import aiohttp

from guavajunction_fakes._errors import FleetUnreachable
from guavajunction_fakes.fleet import Roster

from ._outcome import Outcome, Verdict


class BackendSnapshot(NamedTuple):
    """Runs and statistics of all stand-ins, read before or after a load run."""

    engine_runs: Counter[str]
    """Number of runs on engines by request id."""
    call_runs: Counter[str]
    """Number of runs on the plain service by idempotency key."""
    stats: dict[str, dict[str, Any]]
    """Response of `GET /stats` of each stand-in, by URL."""

    def total(self, name: str) -> float:
        """Return the sum of a statistic over all stand-ins."""
        return sum(stats.get(name, 0) for stats in self.stats.values())

    def duplicate_call_runs(self) -> int:
        """Return the number of runs of calls beyond the first run of each call."""
        return sum(count - 1 for count in self.call_runs.values())

    def credentials_received(self) -> int:
        """Return how many customer credentials the stand-ins received."""
        seen = (stats.get("secrets_seen", {}) for stats in self.stats.values())
        return sum(sum(by_header.values()) for by_header in seen)


async def read_backend_snapshot(
    session: aiohttp.ClientSession, roster: Roster
) -> BackendSnapshot:
    """Read runs and statistics from every stand-in.

    Raises:
        FleetUnreachable: A stand-in did not respond, or responded with an error.
    """
    backends = [*roster.engines, *roster.services]
    urls = [*backends, *roster.platform.values()]
    stats = await asyncio.gather(*(_get(session, f"{url}/stats") for url in urls))
    engine_runs = await _runs(session, roster.engines, "request_id")
    call_runs = await _runs(session, roster.services, "idempotency_key")
    return BackendSnapshot(engine_runs, call_runs, dict(zip(urls, stats, strict=True)))


def count_false_not_run(outcomes: list[Outcome], snapshot: BackendSnapshot) -> int:
    """Return the number of refusals that state "not run" for a request that had run."""
    count = 0
    for outcome in outcomes:
        not_run_refusals = [r for r in outcome.refusals if r.not_run == "true"]
        if outcome.arrival.kind != "call":
            count += sum(
                snapshot.engine_runs[r.request_id] > 0 for r in not_run_refusals
            )
        elif outcome.verdict is Verdict.REFUSED and not_run_refusals:
            count += snapshot.call_runs[outcome.idempotency_key] > 0
    return count


def count_answered_without_run(
    outcomes: list[Outcome], snapshot: BackendSnapshot
) -> int:
    """Return the number of calls that succeeded although no server had run them."""
    return sum(
        snapshot.call_runs[outcome.idempotency_key] == 0
        for outcome in outcomes
        if outcome.arrival.kind == "call" and outcome.verdict is Verdict.WHOLE
    )


async def _runs(
    session: aiohttp.ClientSession, urls: list[str], field: str
) -> Counter[str]:
    bodies = await asyncio.gather(*(_get(session, f"{url}/runs") for url in urls))
    return Counter(run[field] for body in bodies for run in body["runs"] if run[field])


async def _get(session: aiohttp.ClientSession, url: str) -> dict[str, Any]:
    try:
        async with session.get(url) as resp:
            resp.raise_for_status()
            return await resp.json()
    except (aiohttp.ClientError, TimeoutError) as exc:
        raise FleetUnreachable(f"{url}: {exc}") from exc
