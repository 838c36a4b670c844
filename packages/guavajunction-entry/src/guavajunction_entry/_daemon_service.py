"""The daemon as an aiomisc service."""

from __future__ import annotations

import asyncio

import aiomisc

from guavajunction.settings import Settings

from . import _events as events
from ._incarnation import Ending, Incarnation
from .process_life import STOP_SIGNALS

EXIT_OK = 0
EXIT_FAILED = 1


class DaemonService(aiomisc.Service):
    """Runs one incarnation after the other until a signal requests a planned stop."""

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self._settings = settings
        self._stop_requested = asyncio.Event()
        self._task: asyncio.Task[int] | None = None

    async def start(self) -> None:
        """Install the signal handlers and start the first incarnation."""
        loop = asyncio.get_running_loop()
        for signum in STOP_SIGNALS:
            loop.add_signal_handler(signum, self._on_stop_signal)
        self._task = loop.create_task(self._run())

    async def stop(self, exception: Exception | None = None) -> None:
        """Request a planned stop and wait until the daemon has ended."""
        self._stop_requested.set()
        await self.finished()

    async def finished(self) -> int:
        """Wait until the daemon has ended and return its exit status."""
        assert self._task is not None
        return await self._task

    async def _run(self) -> int:
        ending = Ending.REVOKED
        try:
            while ending is Ending.REVOKED:
                ending = await Incarnation(self._settings, self._stop_requested).run()
        except* Exception as group:
            for exc in group.exceptions:
                events.FAILED.log(failure=type(exc).__name__, message=str(exc))
            events.log_traceback()
        return EXIT_OK if ending is Ending.STOPPED else EXIT_FAILED

    def _on_stop_signal(self) -> None:
        if self._stop_requested.is_set():
            events.SECOND_SIGNAL.log()
        self._stop_requested.set()
