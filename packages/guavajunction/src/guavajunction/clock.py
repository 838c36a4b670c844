"""Monotonic time, behind a protocol so that tests can move it by hand."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """A source of monotonic time that a task can also sleep on."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back."""
        ...

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task for a number of seconds."""
        ...


class SystemClock:
    """The clock of the running process.

    It counts the time in which the machine was suspended, as a lease goes on running
    out meanwhile.
    """

    def monotonic(self) -> float:
        """Return seconds since the machine started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task on the event loop."""
        await asyncio.sleep(seconds)


class ManualClock:
    """A clock for tests that stands still until it is advanced."""

    def __init__(self, start: float = 1000.0) -> None:
        self._now = start
        self._sleepers: list[tuple[float, asyncio.Future[None]]] = []

    def monotonic(self) -> float:
        """Return the time it was last advanced to, in seconds."""
        return self._now

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task until the clock has been advanced far enough."""
        fut = asyncio.get_running_loop().create_future()
        self._sleepers.append((self._now + seconds, fut))
        await fut

    def advance(self, seconds: float) -> None:
        """Move the time on and wake every sleeper that is due.

        Args:
            seconds: How far to move, not negative.
        """
        self._now += seconds
        due = [fut for wake_at, fut in self._sleepers if wake_at <= self._now]
        self._sleepers = [s for s in self._sleepers if s[0] > self._now]
        for fut in due:
            if not fut.done():
                fut.set_result(None)
