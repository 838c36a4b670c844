"""Tests of the manual clock that other tests rely on."""

from __future__ import annotations

import asyncio

from guavajunction.clock import ManualClock


class TestManualClock:
    """A sleep ends only when the clock has reached its deadline."""

    async def test_sleep_ends_only_at_its_deadline(self):
        clock = ManualClock()
        task = asyncio.create_task(clock.sleep(2))
        await asyncio.sleep(0)
        clock.advance(1)
        await asyncio.sleep(0)
        assert not task.done()
        clock.advance(1)
        await asyncio.wait_for(task, 1)
