"""Runs a case, and turns its result into an exit status."""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from .record import Record

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
CASE_SECONDS = 115.0

Case = Callable[[Record, bool], Awaitable[list[str]]]
"""Plays a case, with the disruption or without it; returns what broke the rule."""


def run(case: Case, folder: Path) -> None:
    """Play a case and end the process with its result."""
    record = Record(folder)
    try:
        with_trouble = os.environ.get("TROUBLE", "1") != "0"
        record.note("begin", trouble=with_trouble)
        broken = asyncio.run(_play(case, record, with_trouble))
        for reason in broken:
            record.note("BROKEN", reason=reason)
            print(f"broken: {reason}")
        print(f"{len(broken)} breaks of the rule")
        status = BROKEN if broken else HELD
    except Exception as exc:
        record.note("could not run", failure=repr(exc))
        print(f"could not run: {exc!r}")
        status = COULD_NOT_RUN
    record.note("end", status=status)
    record.close()
    sys.exit(status)


async def _play(case: Case, record: Record, with_trouble: bool) -> list[str]:
    async with asyncio.timeout(CASE_SECONDS):
        return await case(record, with_trouble)
