"""Start and end of a daemon's process.

Imported before all else, so it imports only what the interpreter has loaded already.
"""

from __future__ import annotations

import os
import signal
import sys
from typing import NoReturn

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
"""Signals that request a planned stop."""


def stop_until_started() -> None:
    """Let stop signals end the process with status 0 until it handles them itself.

    Importing the daemon takes most of the time from start to listening. A process that
    is asked to stop in that time has accepted nothing.
    """
    for number in STOP_SIGNALS:
        signal.signal(number, lambda *_: os._exit(0))


def end(status: int) -> NoReturn:
    """End the process without the interpreter's clean-up.

    The daemon has closed all that it opened. The clean-up takes up to a second on a
    busy machine, in which the process counts as stopping.

    Args:
        status: Exit status of the process.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)
