"""Monotonic clocks, behind a protocol so that tests can control the time."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """A source of monotonic time, on which tasks can sleep."""

    def monotonic(self) -> float:
        """Return the time in seconds; it never decreases."""
        ...

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task for a number of seconds."""
        ...


class SystemClock:
    """The operating system's boot-time clock.

    It includes the time during which the machine was suspended, because leases
    expire during that time too.
    """

    def monotonic(self) -> float:
        """Return seconds since the machine started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task on the event loop."""
        await asyncio.sleep(seconds)


class ManualClock:
    """A clock for tests whose time changes only by `advance`."""

    def __init__(self, start: float = 1000.0) -> None:
        self._now = start
        self._sleepers: list[tuple[float, asyncio.Future[None]]] = []

    def monotonic(self) -> float:
        """Return the current time of the clock, in seconds."""
        return self._now

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task until the clock has advanced by some seconds."""
        fut = asyncio.get_running_loop().create_future()
        self._sleepers.append((self._now + seconds, fut))
        await fut

    def advance(self, seconds: float) -> None:
        """Advance the time and resume every task whose sleep has ended.

        Args:
            seconds: Seconds to advance by, not negative.
        """
        self._now += seconds
        due = [fut for wake_at, fut in self._sleepers if wake_at <= self._now]
        self._sleepers = [s for s in self._sleepers if s[0] > self._now]
        for fut in due:
            if not fut.done():
                fut.set_result(None)
