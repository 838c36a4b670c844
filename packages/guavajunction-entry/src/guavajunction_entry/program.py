"""The installed command `guavajunction`."""

from __future__ import annotations

from .process_life import end, stop_until_started


def run() -> None:
    """Run the command and end the process."""
    stop_until_started()
    from .main import run_command

    end(run_command())
