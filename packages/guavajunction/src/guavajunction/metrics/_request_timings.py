"""Latencies of one inference request."""

from __future__ import annotations

from guavajunction.clock import Clock

from ._registry import MetricsRegistry


class RequestTimings:
    """Records the queue wait, time to first token and times between tokens."""

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
        """Create the timings of one request.

        Args:
            metrics: Registry to record in.
            clock: Source of time.
            arrived: Monotonic time, in seconds, when the request arrived.
            objective: Label value: name of the request's objective.
            customer: Label value: name of the customer.
            artifact: Value of the label `model`: name of the model or adapter.
        """
        self._clock = clock
        self._arrived = arrived
        self._last = arrived
        self._waits = (
            metrics.recorder("queue_wait_seconds", objective=objective),
            metrics.recorder("queue_wait_seconds", customer=customer),
        )
        name = "first_token_seconds"
        self._first_token = (
            metrics.recorder(name, objective=objective),
            metrics.recorder(name, customer=customer),
            metrics.recorder(name, model=artifact),
        )
        self._between = metrics.recorder("between_tokens_seconds", objective=objective)
        self._first_token_seen = False

    def on_slot_granted(self) -> None:
        """Record the queue wait: the request has been given a slot."""
        waited = self._clock.monotonic() - self._arrived
        for recorder in self._waits:
            recorder.record(waited)

    def on_tokens(self, count: int) -> None:
        """Record the times of events of the answer that arrived together.

        Args:
            count: Number of events.
        """
        now = self._clock.monotonic()
        elapsed = now - self._last
        self._last = now
        if self._first_token_seen:
            self._between.record(elapsed)
        else:
            self._first_token_seen = True
            for recorder in self._first_token:
                recorder.record(elapsed)
        if count > 1:
            self._between.record(0.0, count - 1)
