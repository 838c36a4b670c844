"""Estimates the load of backend servers between their delayed load reports."""

from __future__ import annotations

from collections import defaultdict, deque

from guavajunction.clock import Clock

from ._model import ReplicaState, RoutedRequest


class LoadTracker:
    """Corrects the last load report by this instance's own requests.

    A load report describes a time in the past. It lacks requests that this instance has
    sent since then and still counts requests that have ended. The estimate adds the
    change in this instance's number of requests in flight since the time of the report.
    """

    HISTORY_SECONDS = 5.0
    """Age up to which the counts of own requests in flight are kept."""
    HISTORY_STEP_SECONDS = 0.02
    """Changes within this time are merged into one history entry."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._own: defaultdict[str, int] = defaultdict(int)
        self._own_batch: defaultdict[str, int] = defaultdict(int)
        self._by_artifact: defaultdict[tuple[str, str], int] = defaultdict(int)
        self._history: defaultdict[str, deque[tuple[float, int]]] = defaultdict(deque)

    def own_in_flight(self, backend: str) -> int:
        """Return how many requests this instance has in flight on a backend server."""
        return self._own[backend]

    def own_batch_in_flight(self, backend: str) -> int:
        """Return how many batch requests this instance has in flight on a server."""
        return self._own_batch[backend]

    def in_flight(self, backend: str, artifact: str) -> int:
        """Return this instance's requests in flight for an artifact on a server."""
        return self._by_artifact.get((backend, artifact), 0)

    @property
    def total(self) -> int:
        """Return how many requests this instance has in flight on all servers."""
        return sum(self._own.values())

    def add(self, backend: str, req: RoutedRequest) -> None:
        """Count a request that is about to be sent."""
        self._change(backend, req, 1)

    def remove(self, backend: str, req: RoutedRequest) -> None:
        """Stop counting a request that has ended."""
        self._change(backend, req, -1)

    def estimate(self, state: ReplicaState) -> float:
        """Return the estimated number of requests running or waiting on a server."""
        own_now = self._own[state.name]
        change = own_now - self._own_at(state.name, state.as_of)
        return float(max(own_now, state.running + state.waiting + change))

    def _change(self, backend: str, req: RoutedRequest, delta: int) -> None:
        now = self._clock.monotonic()
        self._own[backend] += delta
        if req.rank > 0:
            self._own_batch[backend] += delta
        self._count_artifact((backend, req.artifact), delta)
        history = self._history[backend]
        if history and now - history[-1][0] < self.HISTORY_STEP_SECONDS:
            history[-1] = (history[-1][0], self._own[backend])
        else:
            history.append((now, self._own[backend]))
        while len(history) > 1 and history[1][0] < now - self.HISTORY_SECONDS:
            history.popleft()

    def _count_artifact(self, key: tuple[str, str], delta: int) -> None:
        self._by_artifact[key] += delta
        if not self._by_artifact[key]:
            del self._by_artifact[key]

    def _own_at(self, backend: str, at: float) -> int:
        history = self._history[backend]
        for changed_at, count in reversed(history):
            if changed_at <= at:
                return count
        return 0
