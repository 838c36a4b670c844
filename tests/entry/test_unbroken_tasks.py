"""Tests of work that outlives the caller that asked for it."""

from __future__ import annotations

import asyncio

import pytest

from guavajunction_entry.front._shielded_tasks import UnbrokenTasks


class TestUnbrokenTasks:
    """A call that may not be repeated is carried to its end."""

    async def test_caller_that_leaves_does_not_cancel_the_work(self):
        unbroken = UnbrokenTasks()
        sent, ended = asyncio.Event(), asyncio.Event()

        async def work():
            sent.set()
            await asyncio.sleep(0.05)
            ended.set()

        caller = asyncio.create_task(unbroken.run(work()))
        await sent.wait()
        caller.cancel()
        with pytest.raises(asyncio.CancelledError):
            await caller
        assert not ended.is_set()
        await unbroken.finish()
        assert ended.is_set()

    async def test_failure_nobody_waits_for_ends_quietly(self):
        unbroken = UnbrokenTasks()
        sent = asyncio.Event()

        async def work():
            sent.set()
            await asyncio.sleep(0.01)
            raise ValueError("refused")

        caller = asyncio.create_task(unbroken.run(work()))
        await sent.wait()
        caller.cancel()
        await unbroken.finish()

    async def test_caller_that_stays_gets_the_failure(self):
        async def work():
            raise ValueError("refused")

        with pytest.raises(ValueError, match="refused"):
            await UnbrokenTasks().run(work())
