"""Work that goes on when the caller that asked for it has left."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class UnbrokenTasks:
    """Runs work to its end whatever happens to the task that waits for it.

    A call that may not be repeated is not cancelled when its caller disconnects: its
    outcome would be unknown for no reason.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    async def run(self, work: Coroutine[Any, Any, T]) -> T:
        """Run work and return its result, unless the waiting task is cancelled."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return await asyncio.shield(task)

    async def finish(self) -> None:
        """Wait until all work has ended."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            # Marks the failure as seen if no caller is left to be told.
            task.exception()
