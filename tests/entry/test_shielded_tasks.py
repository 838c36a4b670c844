"""Tests of `ShieldedTasks`: tasks that continue after their caller disconnects."""

from __future__ import annotations

import asyncio

import pytest

from guavajunction_entry.front._shielded_tasks import ShieldedTasks


class TestShieldedTasks:
    """A coroutine runs to its end even if the task that awaits it is cancelled."""

    async def test_caller_that_disconnects_does_not_cancel_the_work(self):
        shielded = ShieldedTasks()
        sent, ended = asyncio.Event(), asyncio.Event()

        async def work():
            sent.set()
            await asyncio.sleep(0.05)
            ended.set()

        caller = asyncio.create_task(shielded.run(work()))
        await sent.wait()
        caller.cancel()
        with pytest.raises(asyncio.CancelledError):
            await caller
        assert not ended.is_set()
        await shielded.finish()
        assert ended.is_set()

    async def test_failure_without_a_waiting_caller_is_ignored(self):
        shielded = ShieldedTasks()
        sent = asyncio.Event()

        async def work():
            sent.set()
            await asyncio.sleep(0.01)
            raise ValueError("refused")

        caller = asyncio.create_task(shielded.run(work()))
        await sent.wait()
        caller.cancel()
        await shielded.finish()

    async def test_waiting_caller_receives_the_failure(self):
        async def work():
            raise ValueError("refused")

        with pytest.raises(ValueError, match="refused"):
            await ShieldedTasks().run(work())
