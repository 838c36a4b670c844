"""An event loop whose time passes only while nothing is left to do."""

from __future__ import annotations

import asyncio


class _Selector:
    """Advances the loop's time instead of waiting."""

    def __init__(self, selector, loop):
        self._selector = selector
        self._loop = loop

    def select(self, timeout=None):
        if timeout:
            self._loop.now += timeout
        return self._selector.select(0)

    def __getattr__(self, name):
        return getattr(self._selector, name)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers in order without waiting for them."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0
        self._selector = _Selector(self._selector, self)

    def time(self):
        return self.now


class VirtualClock:
    """The clock of the running `VirtualLoop`."""

    def monotonic(self):
        return asyncio.get_running_loop().time()

    async def sleep(self, seconds):
        await asyncio.sleep(seconds)


def run(coro):
    """Run a coroutine on a `VirtualLoop` and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coro)
