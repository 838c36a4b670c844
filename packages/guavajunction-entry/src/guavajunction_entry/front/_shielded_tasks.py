"""Tasks that continue after their caller has disconnected."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class ShieldedTasks:
    """Runs coroutines to their end even if the waiting task is cancelled.

    A non-idempotent call must not be cancelled when its caller disconnects, because
    the outcome of the call would then be unknown.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    async def run(self, work: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine and return its result; a cancel ends only the wait."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return await asyncio.shield(task)

    async def finish(self) -> None:
        """Wait until all coroutines have ended."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            # asyncio logs an error if a task's exception is never retrieved, which
            # happens when the caller has disconnected.
            task.exception()
