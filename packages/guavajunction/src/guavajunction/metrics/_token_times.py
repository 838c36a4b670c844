"""Times of one answer's tokens."""

from __future__ import annotations

from ..clock import Clock
from ._registry import MetricsRegistry


class TokenTimes:
    """Records the first token and the gaps between tokens of one answer."""

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
        self._metrics = metrics
        self._clock = clock
        self._last = arrived
        self._objective = objective
        self._customer = customer
        self._artifact = artifact
        self._tokens = 0

    def on_token(self) -> None:
        """Note that one event of the answer arrived."""
        now = self._clock.monotonic()
        elapsed = now - self._last
        self._last = now
        self._tokens += 1
        if self._tokens > 1:
            self._metrics.observe(
                "between_tokens_seconds", elapsed, objective=self._objective
            )
            return
        name = "first_token_seconds"
        self._metrics.observe(name, elapsed, objective=self._objective)
        self._metrics.observe(name, elapsed, customer=self._customer)
        self._metrics.observe(name, elapsed, model=self._artifact)
