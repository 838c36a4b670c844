"""Tests of the manual clock that other tests rely on."""

from __future__ import annotations

import asyncio

from guavajunction.clock import ManualClock


class TestManualClock:
    """The clock wakes sleepers exactly when they are due."""

    async def test_sleeper_wakes_only_when_due(self):
        clock = ManualClock()
        task = asyncio.create_task(clock.sleep(2))
        await asyncio.sleep(0)
        clock.advance(1)
        await asyncio.sleep(0)
        assert not task.done()
        clock.advance(1)
        await asyncio.wait_for(task, 1)
