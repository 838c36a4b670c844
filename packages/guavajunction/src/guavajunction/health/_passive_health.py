"""Judges backend servers by the requests that fail on them."""

from __future__ import annotations

from collections import deque

from guavajunction.clock import Clock


class PassiveHealth:
    """Leaves out a backend server for a while after several failures."""

    FAILURES = 3
    """Failures within the window that make a backend server suspect."""
    WINDOW_SECONDS = 5.0
    SUSPECT_SECONDS = 2.0

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._failures: dict[str, deque[float]] = {}
        self._suspect_until: dict[str, float] = {}

    def note_failure(self, name: str) -> bool:
        """Count a failed request.

        Returns:
            Whether the backend server has become suspect by it.
        """
        now = self._clock.monotonic()
        times = self._failures.setdefault(name, deque(maxlen=self.FAILURES))
        times.append(now)
        recent = [at for at in times if now - at <= self.WINDOW_SECONDS]
        if len(recent) < self.FAILURES:
            return False
        fresh = name not in self._suspect_until
        self._suspect_until[name] = now + self.SUSPECT_SECONDS
        return fresh

    def is_suspect(self, name: str) -> bool:
        """Return whether a backend server is left out now."""
        return name in self._suspect_until

    def expire(self) -> bool:
        """Take back the backend servers whose time is over.

        Returns:
            Whether there were any.
        """
        now = self._clock.monotonic()
        over = [name for name, until in self._suspect_until.items() if until <= now]
        for name in over:
            del self._suspect_until[name]
            self._failures.pop(name, None)
        return bool(over)
