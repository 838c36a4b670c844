"""Compares the calls of an instance around a return of the store with a golden file.

After an intended change, run `pytest tests/platform/test_golden_return.py
--update-golden` and review the diff.
"""

from __future__ import annotations

from pathlib import Path

import aiohttp
import pytest

from guavajunction.clock import ManualClock
from guavajunction.errors import GuavaError
from guavajunction.membership import Lease
from guavajunction.peers import PeerId
from guavajunction.storage import era_of, version_of
from guavajunction_fakes.deployment import FakeStore
from guavajunction_platform import _names as names
from guavajunction_platform._store import StoreClient
from wire_session import check_golden

GOLDEN = Path(__file__).parent / "golden" / "store_return.txt"
DURATION_SECONDS = 3.0


class RecordedStore(FakeStore):
    """A store that adds each call and its answer to a transcript."""

    def __init__(self, lines):
        super().__init__()
        self.lines = lines

    def app(self):
        app = super().app()
        app.on_response_prepare.append(self._record)
        return app

    async def _record(self, req, resp):
        call = f"{req.method} {req.path_qs}"
        if req.method == "POST":
            body = await req.json()
            (condition,) = body["precondition"]
            call += f" {condition['table']}/{condition['key']} ver {condition['ver']}"
        era = resp.headers.get(names.STORE_ERA)
        self.lines.append(f"> {call}")
        self.lines.append(f"< {resp.status}, {names.STORE_ERA}: {era}")


class Session:
    """One instance that follows the configuration and holds a lease."""

    def __init__(self, store, client, clock):
        self.store = store
        self.client = client
        self.clock = clock
        self.lease = self.new_lease("front-1")

    def new_lease(self, name):
        return Lease(
            self.client,
            "orders",
            PeerId(name, "1"),
            self.clock,
            duration=DURATION_SECONDS,
            drift_margin=0.5,
        )

    def note(self, text):
        self.store.lines.append(f"-- {text}")

    async def attempt(self, text, call):
        """Await a call and note its result or its failure."""
        try:
            result = await call
        except GuavaError as exc:
            self.note(f"{text}: {type(exc).__name__}: {exc.message}")
            return None
        self.note(f"{text}: {_show(result)}")
        return result

    def show_lease(self, lease):
        held = lease.held(self.clock.monotonic())
        fence = f"{era_of(lease.fence)}/{version_of(lease.fence)}"
        self.note(f"lease held: {held}, fencing number {fence} (era/number)")


def _show(result):
    if hasattr(result, "rows"):
        rows = ", ".join(f"{r.sort} {_era_and_version(r.version)}" for r in result.rows)
        return f"rows [{rows}] at {_era_and_version(result.version)} (era/version)"
    return str(result)


def _era_and_version(position):
    return f"{era_of(position)}/{version_of(position)}"


@pytest.fixture
async def session():
    store = RecordedStore([])
    store.era = 0
    async with store.serve() as url, aiohttp.ClientSession() as http:
        client = StoreClient(http, url.removeprefix("http://"))
        yield Session(store, client, ManualClock())


class TestGoldenSession:
    """A return is recognized by the first answer of the new era."""

    async def test_return_while_a_lease_is_held(self, session, request):
        store, client, clock = session.store, session.client, session.clock
        store.write("op", "config", {"version": 1})
        await session.attempt("acquire", session.lease.try_acquire())
        rows = await session.attempt("read", client.snapshot("op"))
        store.write("op", "config", {"version": 2})
        changes = client.changes("op", rows.version, wait_seconds=0.0)
        rows = await session.attempt("changes", changes)
        session.show_lease(session.lease)

        store.restore(3600.0)
        store.write("op", "config", {"version": 1})
        session.note("the store comes back from a copy without rows")
        changes = client.changes("op", rows.version, wait_seconds=0.0)
        await session.attempt("changes", changes)
        await session.attempt("read", client.snapshot("op"))
        await session.attempt("renew", session.lease.renew())
        session.show_lease(session.lease)

        other = session.new_lease("front-2")
        await session.attempt("another acquires", other.try_acquire())
        await session.attempt("another acquires", other.try_acquire())
        clock.advance(DURATION_SECONDS + 0.5)
        session.note("the duration and the margin pass")
        await session.attempt("another acquires", other.try_acquire())
        session.show_lease(other)
        update = request.config.getoption("--update-golden")
        check_golden(GOLDEN, "\n".join(store.lines) + "\n", update=update)
