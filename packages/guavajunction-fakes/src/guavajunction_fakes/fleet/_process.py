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
    """CPU time and memory of a process."""

    cpu_seconds: float
    """User and system CPU time since the process started."""
    resident_mib: float
    """Resident memory at the moment of reading, in MiB."""


class FleetProcess:
    """Starts, signals and reaps a child process.

    The kernel kills the child when the launcher exits, even if the launcher crashes.
    """

    TAIL_BYTES = 2000

    def __init__(self, name: str, argv: Sequence[str], log_path: Path) -> None:
        self.name = name
        """Name of the process in the fleet."""
        self.log_path = log_path
        """File with the output of the process; a restart appends to it."""
        self._argv = list(argv)
        self._child: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Process id of the last start, 0 before the first start."""
        return self._child.pid if self._child is not None else 0

    @property
    def running(self) -> bool:
        """Whether the process has been started and has not exited."""
        return self._child is not None and self._child.poll() is None

    @property
    def exit_status(self) -> int | None:
        """Exit status of the last start, None before it and while the process runs."""
        return self._child.poll() if self._child is not None else None

    def start(self) -> None:
        """Start the process unless it already runs."""
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
        """Send a signal; does nothing if the process has exited."""
        if self.running and self._child is not None:
            self._child.send_signal(number)

    def freeze(self) -> None:
        """Pause the process with SIGSTOP."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the paused process with SIGCONT."""
        self.signal(signal.SIGCONT)

    async def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its exit."""
        self.signal(signal.SIGKILL)
        await self._wait_for_exit(within=5.0)

    async def stop(self, *, within: float) -> int:
        """Terminate the process with SIGTERM, then with SIGKILL after a timeout.

        Args:
            within: Seconds to wait for the exit after SIGTERM.

        Returns:
            Exit status of the process; -9 if it was killed after the timeout.
        """
        self.resume()
        self.signal(signal.SIGTERM)
        if not await self._wait_for_exit(within):
            await self.kill()
        status = self.exit_status
        return 0 if status is None else status

    def raise_if_ended(self) -> None:
        """Check that the process runs.

        Raises:
            ProcessEnded: The process has exited; the message has the end of its output.
        """
        if not self.running:
            raise ProcessEnded(
                f"{self.name} exited with status {self.exit_status}:\n{self.tail()}"
            )

    def usage(self) -> Usage:
        """Return CPU time and memory of the process, which must be running."""
        process = psutil.Process(self.pid)
        times = process.cpu_times()
        return Usage(times.user + times.system, process.memory_info().rss / 2**20)

    def tail(self) -> str:
        """Return the last `TAIL_BYTES` bytes of the output."""
        return self.log_path.read_bytes()[-self.TAIL_BYTES :].decode(errors="replace")

    async def _wait_for_exit(self, within: float) -> bool:
        if self._child is None:
            return True
        try:
            await asyncio.to_thread(self._child.wait, within)
        except subprocess.TimeoutExpired:
            return False
        return True
