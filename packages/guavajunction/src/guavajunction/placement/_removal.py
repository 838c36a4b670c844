"""Removes one replica: drain it everywhere, then unload it."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress

from guavajunction.backends import (
    BackendUnreachable,
    LedgerRefused,
    OrderDesk,
    Retirement,
)
from guavajunction.clock import Clock
from guavajunction.errors import OrderRefused

from ._events import UNLOAD_ABANDONED


class Removal:
    """The way of one replica out of an engine's memory.

    Every instance must have marked the artifact and have none of its requests in
    flight, twice in a row, before the unload is ordered. The mark is kept until a
    report shows that the artifact is gone.
    """

    STEP_SECONDS = 0.5
    CLEAR_ROUNDS = 2
    """Rounds in a row without work in flight before the order."""
    LIMIT_SECONDS = 120.0
    """Time after which the replica is kept instead."""

    def __init__(
        self,
        backend: str,
        artifact: str,
        desk: OrderDesk,
        retirement: Retirement,
        allowed: Callable[[str, str], bool],
        clock: Clock,
    ) -> None:
        """Prepare a removal.

        Args:
            backend: The engine.
            artifact: The replica's artifact.
            desk: Sends the order.
            retirement: Drains the artifact.
            allowed: Returns whether enough replicas remain without this one.
            clock: Time source.
        """
        self._backend = backend
        self._artifact = artifact
        self._desk = desk
        self._retirement = retirement
        self._allowed = allowed
        self._clock = clock

    async def run(self) -> None:
        """Drain and unload; give up when it is not allowed any more.

        Raises:
            StaleFence: Another author has taken the ledger over.
            LeaseLost: The lease has lapsed.
            LedgerUnsettled: The intent could not be written down.
        """
        until = self._clock.monotonic() + self.LIMIT_SECONDS
        clear = 0
        while self._clock.monotonic() < until:
            if not self._may_go():
                self._abandon("replica_needed")
                return
            drained = await self._retirement.drained(self._backend, self._artifact)
            clear = clear + 1 if drained else 0
            if clear >= self.CLEAR_ROUNDS and await self._unload():
                return
            await self._clock.sleep(self.STEP_SECONDS)
        self._abandon("drain_limit")

    async def _unload(self) -> bool:
        """Order the unload, or repeat the order.

        Returns:
            Whether the artifact is gone.
        """
        # The desk has logged what failed; the next step tries again.
        with suppress(LedgerRefused, BackendUnreachable, OrderRefused):
            await self._desk.unload(self._backend, self._artifact, self._may_go)
        ledger = self._desk.ledger(self._backend)
        return ledger is not None and ledger.resident(self._artifact) is None

    def _may_go(self) -> bool:
        return self._allowed(self._backend, self._artifact)

    def _abandon(self, reason: str) -> None:
        self._retirement.release(self._backend, self._artifact)
        UNLOAD_ABANDONED.log(
            backend=self._backend, artifact=self._artifact, reason=reason
        )
