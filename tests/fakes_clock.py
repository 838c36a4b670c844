"""A clock for tests in which sleeps take no real time."""

from __future__ import annotations

import asyncio

from guavajunction.clock import ManualClock


class QuickClock(ManualClock):
    """A clock on which every sleep ends immediately and advances the time."""

    async def sleep(self, seconds: float) -> None:
        """Advance the time by the sleep and let other tasks run."""
        self.advance(seconds)
        await asyncio.sleep(0)
