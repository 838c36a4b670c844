"""Times of one request and of its answer's tokens."""

from __future__ import annotations

from guavajunction.clock import Clock

from ._registry import MetricsRegistry


class TokenTimes:
    """Records the wait, the first token and the gaps between tokens."""

    def __init__(
        self,
        metrics: MetricsRegistry,
        clock: Clock,
        arrived: float,
        *,
        objective: str,
        customer: str,
        artifact: str,
    ) -> None:
        self._clock = clock
        self._arrived = arrived
        self._last = arrived
        self._waits = (
            metrics.recorder("queue_wait_seconds", objective=objective),
            metrics.recorder("queue_wait_seconds", customer=customer),
        )
        name = "first_token_seconds"
        self._first = (
            metrics.recorder(name, objective=objective),
            metrics.recorder(name, customer=customer),
            metrics.recorder(name, model=artifact),
        )
        self._between = metrics.recorder("between_tokens_seconds", objective=objective)
        self._begun = False

    def on_slot(self) -> None:
        """Note that the request left the queue."""
        waited = self._clock.monotonic() - self._arrived
        for recorder in self._waits:
            recorder.record(waited)

    def on_tokens(self, count: int) -> None:
        """Note that some events of the answer arrived together."""
        now = self._clock.monotonic()
        elapsed = now - self._last
        self._last = now
        if self._begun:
            self._between.record(elapsed)
        else:
            self._begun = True
            for recorder in self._first:
                recorder.record(elapsed)
        if count > 1:
            self._between.record(0.0, count - 1)
