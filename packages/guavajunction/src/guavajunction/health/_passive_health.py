"""Passive health checks of backend servers, based on failed requests."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from guavajunction.clock import Clock


class PassiveHealth:
    """Excludes a backend server temporarily after several failed requests."""

    FAILURE_THRESHOLD = 3
    """Number of failures within the window that make a backend server suspect."""
    WINDOW_SECONDS = 5.0
    """Window in which failures are counted."""
    SUSPECT_SECONDS = 2.0
    """How long a suspect backend server is excluded."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._failures: dict[str, deque[float]] = {}
        self._suspect_until: dict[str, float] = {}
        self.on_readmitted: Callable[[str], None] = lambda _: None
        """Called with the name of a backend server that is no longer suspect."""

    def note_failure(self, name: str) -> bool:
        """Count a failed request.

        Returns:
            Whether this failure made the backend server suspect.
        """
        now = self._clock.monotonic()
        times = self._failures.setdefault(name, deque(maxlen=self.FAILURE_THRESHOLD))
        times.append(now)
        recent = [at for at in times if now - at <= self.WINDOW_SECONDS]
        if len(recent) < self.FAILURE_THRESHOLD:
            return False
        newly_suspect = name not in self._suspect_until
        self._suspect_until[name] = now + self.SUSPECT_SECONDS
        return newly_suspect

    def is_suspect(self, name: str) -> bool:
        """Return whether a backend server is currently excluded as suspect."""
        return name in self._suspect_until

    def forget(self) -> None:
        """Readmit all backend servers; their failures had another cause."""
        self._suspect_until.clear()
        self._failures.clear()

    def expire(self) -> bool:
        """Readmit the backend servers that have been suspect for `SUSPECT_SECONDS`.

        Returns:
            Whether any backend server was readmitted.
        """
        now = self._clock.monotonic()
        expired = [name for name, until in self._suspect_until.items() if until <= now]
        for name in expired:
            del self._suspect_until[name]
            self._failures.pop(name, None)
            self.on_readmitted(name)
        return bool(expired)
