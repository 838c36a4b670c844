"""A clock for tests in which nothing has to be waited for."""

from __future__ import annotations

import asyncio

from guavajunction.clock import ManualClock


class QuickClock(ManualClock):
    """A clock on which every sleep ends at once and takes its time."""

    async def sleep(self, seconds: float) -> None:
        """Move the time on and let other tasks run."""
        self.advance(seconds)
        await asyncio.sleep(0)
