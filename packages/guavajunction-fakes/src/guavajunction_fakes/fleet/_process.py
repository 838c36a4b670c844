"""One operating-system process of a fleet."""

from __future__ import annotations

import asyncio
import ctypes
import signal
import subprocess
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

import psutil

from guavajunction_fakes._errors import ProcessEnded

_PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None)


def _kill_when_parent_exits() -> None:
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class Usage(NamedTuple):
    """What a process has used."""

    cpu_seconds: float
    """Processor time of user and system since its start."""
    resident_mib: float
    """Memory now."""


class FleetProcess:
    """Starts, signals and reaps a child; the kernel ends it with the launcher."""

    TAIL_BYTES = 2000

    def __init__(self, name: str, argv: Sequence[str], log_path: Path) -> None:
        self.name = name
        """Name of the process in the fleet."""
        self.log_path = log_path
        """Where its output goes; all runs of this object share it."""
        self._argv = list(argv)
        self._child: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Process id of the latest run, 0 before the first."""
        return self._child.pid if self._child is not None else 0

    @property
    def running(self) -> bool:
        """Whether it has been started and has not ended."""
        return self._child is not None and self._child.poll() is None

    @property
    def exit_status(self) -> int | None:
        """Exit status of the latest run, None while it runs."""
        return self._child.poll() if self._child is not None else None

    def start(self) -> None:
        """Start it unless it runs already."""
        if self.running:
            return
        mode = "wb" if self._child is None else "ab"
        with self.log_path.open(mode) as log:
            self._child = subprocess.Popen(
                self._argv,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                preexec_fn=_kill_when_parent_exits,
            )

    def signal(self, number: int) -> None:
        """Send a signal; nothing happens if it has ended."""
        if self.running and self._child is not None:
            self._child.send_signal(number)

    def freeze(self) -> None:
        """Pause it with SIGSTOP."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let it go on after `freeze`."""
        self.signal(signal.SIGCONT)

    async def kill(self) -> None:
        """End it at once with SIGKILL."""
        self.signal(signal.SIGKILL)
        await self._wait_for_exit(within=5.0)

    async def stop(self, *, within: float) -> int:
        """End it by SIGTERM, and by SIGKILL if it does not end in time.

        Args:
            within: Seconds that it may take.

        Returns:
            Its exit status; -9 when it had to be killed.
        """
        self.resume()
        self.signal(signal.SIGTERM)
        if not await self._wait_for_exit(within):
            await self.kill()
        status = self.exit_status
        return 0 if status is None else status

    def raise_if_ended(self) -> None:
        """Raise `ProcessEnded` with the end of its output if it has ended."""
        if not self.running:
            raise ProcessEnded(
                f"{self.name} ended with status {self.exit_status}:\n{self.tail()}"
            )

    def usage(self) -> Usage:
        """Return what it has used; it must be running."""
        process = psutil.Process(self.pid)
        times = process.cpu_times()
        return Usage(times.user + times.system, process.memory_info().rss / 2**20)

    def tail(self) -> str:
        """Return the end of its output."""
        return self.log_path.read_bytes()[-self.TAIL_BYTES :].decode(errors="replace")

    async def _wait_for_exit(self, within: float) -> bool:
        if self._child is None:
            return True
        try:
            await asyncio.to_thread(self._child.wait, within)
        except subprocess.TimeoutExpired:
            return False
        return True
