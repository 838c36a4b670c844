"""Estimates of the load on each backend server between its lagging reports."""

from __future__ import annotations

from collections import defaultdict, deque

from guavajunction.clock import Clock

from ._model import ReplicaState, RoutedRequest


class LoadBook:
    """Adds this instance's own requests in flight to the last report.

    A report speaks of a moment that has passed. What this instance sent since then is
    not in it, and what ended since then still is; the difference is added.
    """

    HISTORY_SECONDS = 5.0
    """How long changes of the own load are kept."""
    HISTORY_STEP_SECONDS = 0.02
    """Changes closer together than this share one entry."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._own: defaultdict[str, int] = defaultdict(int)
        self._own_batch: defaultdict[str, int] = defaultdict(int)
        self._by_artifact: defaultdict[tuple[str, str], int] = defaultdict(int)
        self._history: defaultdict[str, deque[tuple[float, int]]] = defaultdict(deque)

    def own(self, backend: str) -> int:
        """Return the requests of this instance in flight on a backend server."""
        return self._own[backend]

    def own_batch(self, backend: str) -> int:
        """Return the batch requests among them."""
        return self._own_batch[backend]

    def in_flight(self, backend: str, artifact: str) -> int:
        """Return the requests of this instance for one artifact of one server."""
        return self._by_artifact.get((backend, artifact), 0)

    @property
    def total(self) -> int:
        """Return the requests of this instance in flight anywhere."""
        return sum(self._own.values())

    def add(self, backend: str, req: RoutedRequest) -> None:
        """Count a request that is being sent."""
        self._change(backend, req, 1)

    def remove(self, backend: str, req: RoutedRequest) -> None:
        """Count a request that ended."""
        self._change(backend, req, -1)

    def estimate(self, state: ReplicaState) -> float:
        """Return the estimated number of requests on a backend server now."""
        own_now = self._own[state.name]
        change = own_now - self._own_at(state.name, state.as_of)
        return float(max(own_now, state.running + state.waiting + change))

    def _change(self, backend: str, req: RoutedRequest, by: int) -> None:
        now = self._clock.monotonic()
        self._own[backend] += by
        if req.rank > 0:
            self._own_batch[backend] += by
        self._count_artifact((backend, req.artifact), by)
        history = self._history[backend]
        if history and now - history[-1][0] < self.HISTORY_STEP_SECONDS:
            history[-1] = (history[-1][0], self._own[backend])
        else:
            history.append((now, self._own[backend]))
        while len(history) > 1 and history[1][0] < now - self.HISTORY_SECONDS:
            history.popleft()

    def _count_artifact(self, key: tuple[str, str], by: int) -> None:
        self._by_artifact[key] += by
        if not self._by_artifact[key]:
            del self._by_artifact[key]

    def _own_at(self, backend: str, moment: float) -> int:
        history = self._history[backend]
        for when, count in reversed(history):
            if when <= moment:
                return count
        return 0
