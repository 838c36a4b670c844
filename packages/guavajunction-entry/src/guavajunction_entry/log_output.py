"""Writes log lines to a standard stream or a file."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from typing import IO

import eliot

_STREAMS = {"stdout": sys.stdout, "stderr": sys.stderr}


@contextmanager
def open_log(destination: str) -> Iterator[None]:
    """Write log lines to a destination while the context is open.

    Args:
        destination: `stdout`, `stderr`, or the path of a file to append to.
    """
    with ExitStack() as stack:
        stream: IO[str] | None = _STREAMS.get(destination)
        if stream is None:
            stream = stack.enter_context(
                open(destination, "a", encoding="utf-8", buffering=1)
            )
        target = eliot.FileDestination(file=stream)
        eliot.add_destinations(target)
        stack.callback(eliot.remove_destination, target)
        yield
