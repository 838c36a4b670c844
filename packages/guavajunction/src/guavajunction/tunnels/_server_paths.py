"""Decides whether this instance is cut from all backend servers.

The load that this answers: some or nearly all instances reach no backend server for
seconds, while callers, the store and the other instances reach them. Connections hang,
or are reset, or live on while new ones are refused; or new ones are accepted on the way
and pass nothing. A cut must be told from the end of a few backend servers, and from one
that is silent for a second.

Failures and silence only raise a suspicion. Then several backend servers are asked for
an answer; an instance that gets none is cut, until it gets one.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple

from guavajunction.bounded import drop_oldest
from guavajunction.clock import Clock
from guavajunction.quarantine import BackendId


class PathState(StrEnum):
    """What an instance knows of its paths to backend servers."""

    OPEN = "open"
    SUSPECT = "suspect"
    """Connections have failed, and others are being tried."""
    CUT = "cut"


class ProbeTarget(NamedTuple):
    """A backend server that can be tried."""

    service: str
    name: str


class ServerPaths:
    """State of the paths, from failures, signs of life and tried connections."""

    SILENCE_SECONDS = 0.5
    """Time in which requests wait and no backend server sends a byte, after which the
    paths are suspect. A backend server alone may be silent for longer."""
    FAILURE_SECONDS = 2.0
    """Time for which a failed or lost connection counts."""
    MIN_FAILED = 2
    """Number of backend servers whose connections must have failed."""
    MIN_PAUSE_SECONDS = 0.25
    """Time after a successful probe until the next one. It doubles with each that finds
    the paths open, up to the maximum, as connections to backend servers are priced."""
    MAX_PAUSE_SECONDS = 2.0
    CALM_SECONDS = 10.0
    """Time without a probe after which the pause is the shortest again."""
    PROBE_INTERVAL_SECONDS = 0.5
    """Interval of the probes while this instance is cut."""
    MAX_PROBED = 3
    """Number of connections that one probe tries."""
    MAX_FAILURES = 64
    """Number of failures that are remembered."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._state = PathState.OPEN
        self._refused: dict[BackendId, float] = {}
        self._lost: dict[BackendId, float] = {}
        self._waiting = 0
        self._silent_since = float("inf")
        self._probe_at = float("-inf")
        self._pause = self.MIN_PAUSE_SECONDS
        self._probed_at = float("-inf")

    @property
    def state(self) -> PathState:
        """Return the present state."""
        return self._state

    @property
    def is_cut(self) -> bool:
        """Return whether this instance reaches no backend server."""
        return self._state is PathState.CUT

    def begin(self) -> None:
        """Count a request that waits for bytes of its backend server."""
        if not self._waiting:
            self._silent_since = self._clock.monotonic()
        self._waiting += 1

    def end(self) -> None:
        """Stop counting a request."""
        self._waiting -= 1

    def note_bytes(self, now: float) -> None:
        """Record that a backend server sent bytes.

        Args:
            now: Time on the monotonic clock.
        """
        self._silent_since = now
        if self._lost:
            self._lost.clear()

    def note_refused(self, backend: BackendId) -> None:
        """Record that a connection could not be opened."""
        self._note(self._refused, backend)

    def note_lost(self, backend: BackendId) -> None:
        """Record that an open connection was lost."""
        self._note(self._lost, backend)

    def is_probe_due(self, known_servers: int) -> bool:
        """Return whether connections should be tried now.

        Args:
            known_servers: Number of backend servers that could be tried.
        """
        now = self._clock.monotonic()
        if not known_servers or now < self._probe_at:
            return False
        if self._state is PathState.CUT:
            return True
        failed = {
            backend
            for backend, at in (*self._refused.items(), *self._lost.items())
            if now - at <= self.FAILURE_SECONDS
        }
        is_silent = (
            self._waiting > 0 and now - self._silent_since >= self.SILENCE_SECONDS
        )
        return is_silent or len(failed) >= min(self.MIN_FAILED, known_servers)

    def begin_probe(self) -> None:
        """Record that connections are being tried."""
        if self._state is PathState.OPEN:
            self._state = PathState.SUSPECT
        self._probe_at = float("inf")

    def end_probe(self, reached: bool) -> None:
        """Apply the result of a probe.

        Args:
            reached: Whether any backend server answered.
        """
        now = self._clock.monotonic()
        was_cut = self._state is PathState.CUT
        self._state = PathState.OPEN if reached else PathState.CUT
        self._probe_at = now + self._next_pause(now, reached, was_cut)
        self._probed_at = now
        if reached:
            self._refused.clear()
            self._lost.clear()
            self._silent_since = now

    def _next_pause(self, now: float, reached: bool, was_cut: bool) -> float:
        if not reached:
            return self.PROBE_INTERVAL_SECONDS
        if was_cut or now - self._probed_at > self.CALM_SECONDS:
            self._pause = self.MIN_PAUSE_SECONDS
        pause = self._pause
        self._pause = min(self.MAX_PAUSE_SECONDS, 2 * self._pause)
        return pause

    def _note(self, failures: dict[BackendId, float], backend: BackendId) -> None:
        failures.pop(backend, None)
        failures[backend] = self._clock.monotonic()
        drop_oldest(failures, self.MAX_FAILURES)


def choose_probed(targets: Sequence[ProbeTarget]) -> list[ProbeTarget]:
    """Return the backend servers to try, of as many services as possible.

    Args:
        targets: All backend servers, in random order.

    >>> choose_probed([ProbeTarget("a", "1"), ProbeTarget("a", "2"),
    ...                ProbeTarget("b", "3"), ProbeTarget("a", "4")])
    [ProbeTarget(service='a', name='1'), ProbeTarget(service='b', name='3'), \
ProbeTarget(service='a', name='2')]
    """
    of_service: Counter[str] = Counter()
    ranks: list[int] = []
    for target in targets:
        ranks.append(of_service[target.service])
        of_service[target.service] += 1
    order = sorted(range(len(targets)), key=ranks.__getitem__)
    return [targets[number] for number in order[: ServerPaths.MAX_PROBED]]
