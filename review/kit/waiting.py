"""Waits for a condition."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


async def wait_until(
    test: Callable[[], bool], seconds: float = 30.0, pause: float = 0.005
) -> None:
    """Wait until a condition holds.

    Raises:
        TimeoutError: It does not hold in time.
    """
    async with asyncio.timeout(seconds):
        while True:
            if test():
                return
            await asyncio.sleep(pause)
