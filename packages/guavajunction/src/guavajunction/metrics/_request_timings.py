"""Latencies of one inference request."""

from __future__ import annotations

from guavajunction.clock import Clock

from ._registry import MetricsRegistry


class RequestTimings:
    """Records the queue wait, the time to first token and the times between tokens."""

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
        self._arrived_at = arrived
        self._last_event_at = arrived
        self._queue_wait_recorders = (
            metrics.recorder("queue_wait_seconds", objective=objective),
            metrics.recorder("queue_wait_seconds", customer=customer),
        )
        name = "first_token_seconds"
        self._first_token_recorders = (
            metrics.recorder(name, objective=objective),
            metrics.recorder(name, customer=customer),
            metrics.recorder(name, model=artifact),
        )
        self._between_tokens_recorder = metrics.recorder(
            "between_tokens_seconds", objective=objective
        )
        self._first_token_received = False

    def on_slot_granted(self) -> None:
        """Record the queue wait: the request has been given a slot."""
        waited = self._clock.monotonic() - self._arrived_at
        for recorder in self._queue_wait_recorders:
            recorder.record(waited)

    def on_tokens(self, count: int) -> None:
        """Record the latencies of events of the answer that arrived together.

        Args:
            count: Number of events.
        """
        now = self._clock.monotonic()
        elapsed = now - self._last_event_at
        self._last_event_at = now
        if self._first_token_received:
            self._between_tokens_recorder.record(elapsed)
        else:
            self._first_token_received = True
            for recorder in self._first_token_recorders:
                recorder.record(elapsed)
        if count > 1:
            self._between_tokens_recorder.record(0.0, count - 1)
