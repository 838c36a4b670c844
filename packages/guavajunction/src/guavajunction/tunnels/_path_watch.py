"""Asks backend servers for an answer when this instance may be cut from them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable

from guavajunction.clock import Clock
from guavajunction.gateway import BackendRecord
from guavajunction.quarantine import BackendId

from . import _events as events
from ._server_paths import PathState, ProbeTarget, ServerPaths, choose_probed

Probe = Callable[[BackendRecord], Awaitable[bool]]
"""Returns whether a backend server answers on a new connection.

That a connection opens is not enough: something on the way may accept connections and
pass nothing on.
"""


class PathWatch:
    """Runs the probes that `ServerPaths` asks for, one at a time.

    Implements `ServerWatch` of the gateway.
    """

    OTHERS_SECONDS = 0.05
    """Time for the other backend servers of a probe once one has answered."""
    ANSWER_SECONDS = 0.5
    """Timeout of a probed backend server, which answers within milliseconds."""

    def __init__(
        self,
        paths: ServerPaths,
        records: Callable[[], Iterable[BackendRecord]],
        clock: Clock,
        rng: random.Random,
        probe: Probe,
    ) -> None:
        """Create a watch without a running probe.

        Args:
            paths: State of the paths.
            records: Returns the known backend servers.
            clock: Source of time.
            rng: Chooses the backend servers to try.
            probe: Asks a backend server for an answer.
        """
        self.paths = paths
        """State of the paths."""
        self._records = records
        self._clock = clock
        self._rng = rng
        self._ask = probe
        self._probe: asyncio.Task[None] | None = None
        self.on_change: Callable[[PathState], None] = lambda _: None
        """Called when this instance was cut, and when it has a path again."""
        self.on_reached: Callable[[BackendRecord], None] = lambda _: None
        """Called with each backend server that answered a probe."""

    @property
    def is_cut(self) -> bool:
        """Return whether this instance reaches no backend server."""
        return self.paths.is_cut

    def begin(self) -> None:
        """Count a request that waits for bytes of its backend server."""
        self.paths.begin()

    def end(self) -> None:
        """Stop counting a request."""
        self.paths.end()

    def note_bytes(self, now: float) -> None:
        """Record that a backend server sent bytes."""
        self.paths.note_bytes(now)

    def note_refused(self, backend: BackendId) -> None:
        """Record that a connection could not be opened."""
        self.paths.note_refused(backend)
        self.check()

    def note_lost(self, backend: BackendId) -> None:
        """Record that an open connection was lost."""
        self.paths.note_lost(backend)
        self.check()

    def check(self) -> None:
        """Begin a probe if one is due."""
        if self._probe is None and self.paths.is_probe_due(len(self._candidates())):
            before = self.paths.state
            self.paths.begin_probe()
            self._probe = asyncio.ensure_future(self._run_probe(before))
            self._probe.add_done_callback(self._on_probe_done)

    async def settle(self) -> None:
        """Wait for the running probe, if any."""
        self.check()
        if self._probe is not None:
            await asyncio.wait([self._probe])

    def _candidates(self) -> list[BackendRecord]:
        return list(self._records())

    async def _run_probe(self, before: PathState) -> None:
        found: list[BackendRecord] = []
        records = {record.name: record for record in self._candidates()}
        targets = [ProbeTarget(r.service, r.name) for r in records.values()]
        self._rng.shuffle(targets)
        chosen = choose_probed(targets)
        try:
            found = await self._reach([records[target.name] for target in chosen])
        finally:
            self.paths.end_probe(bool(found))
        for record in found:
            self.on_reached(record)
        events.PATHS_PROBED.log(
            backends=[target.name for target in chosen],
            reached=[record.name for record in found],
            state=str(self.paths.state),
        )
        was_cut = before is PathState.CUT
        if self.paths.is_cut and not was_cut:
            events.PATHS_LOST.log(backends=len(records))
            self.on_change(self.paths.state)
        elif was_cut and not self.paths.is_cut:
            events.PATHS_FOUND.log(backends=len(records))
            self.on_change(self.paths.state)

    async def _reach(self, records: list[BackendRecord]) -> list[BackendRecord]:
        """Return the backend servers that answer, soon after the first."""
        attempts = {
            asyncio.ensure_future(self._answers(record)): record for record in records
        }
        try:
            for attempt in asyncio.as_completed(attempts):
                if await attempt:
                    await asyncio.wait(attempts, timeout=self.OTHERS_SECONDS)
                    break
            return [r for a, r in attempts.items() if a.done() and a.result()]
        finally:
            for attempt in attempts:
                attempt.cancel()

    async def _answers(self, record: BackendRecord) -> bool:
        try:
            async with asyncio.timeout(self.ANSWER_SECONDS):
                return await self._ask(record)
        except TimeoutError:
            return False

    def _on_probe_done(self, probe: asyncio.Task[None]) -> None:
        self._probe = None
        if not probe.cancelled() and probe.exception() is not None:
            asyncio.get_running_loop().call_exception_handler(
                {
                    "message": "a probe of the paths failed",
                    "exception": probe.exception(),
                }
            )
