"""Removes one replica: drains it in all instances, then unloads it."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress

from guavajunction.backends import (
    BackendUnreachable,
    LedgerRefused,
    OrderManager,
    Retirement,
)
from guavajunction.clock import Clock
from guavajunction.errors import OrderRefused

from ._events import UNLOAD_ABANDONED


class ReplicaRemoval:
    """The removal of one replica from an engine.

    The unload is ordered only after `IDLE_CHECKS` consecutive checks in which every
    instance has marked the artifact as draining and has none of its requests in
    flight. The marks are renewed until a report shows that the artifact was unloaded.
    """

    CHECK_INTERVAL_SECONDS = 0.5
    IDLE_CHECKS = 2
    """Consecutive checks without requests in flight before the unload is ordered."""
    DRAIN_TIMEOUT_SECONDS = 120.0
    """Time after which the removal is cancelled."""

    def __init__(
        self,
        backend: str,
        artifact: str,
        order_manager: OrderManager,
        retirement: Retirement,
        allowed: Callable[[str, str], bool],
        clock: Clock,
    ) -> None:
        """Prepare a removal.

        Args:
            backend: The engine.
            artifact: Artifact of the replica.
            order_manager: Sends the order.
            retirement: Drains the artifact.
            allowed: Returns whether enough replicas remain without this one; called
                with the engine and the artifact.
            clock: Time source.
        """
        self._backend = backend
        self._artifact = artifact
        self._order_manager = order_manager
        self._retirement = retirement
        self._allowed = allowed
        self._clock = clock

    async def run(self) -> None:
        """Drain and unload the replica; cancel once it may no longer be removed.

        Raises:
            StaleFence: Another leader has taken over the ledger.
            LeaseLost: The lease has expired.
            LedgerUnsettled: The intent could not be written to the row.
        """
        deadline = self._clock.monotonic() + self.DRAIN_TIMEOUT_SECONDS
        idle_checks = 0
        while self._clock.monotonic() < deadline:
            if not self._may_remove():
                self._abandon("replica_needed")
                return
            drained = await self._retirement.mark_and_check_drained(
                self._backend, self._artifact
            )
            idle_checks = idle_checks + 1 if drained else 0
            if idle_checks >= self.IDLE_CHECKS and await self._unload():
                return
            await self._clock.sleep(self.CHECK_INTERVAL_SECONDS)
        self._abandon("drain_limit")

    async def _unload(self) -> bool:
        """Order the unload, or repeat the order.

        Returns:
            True if the artifact is no longer in memory.
        """
        # A refusal is logged by the order manager. The next check tries again.
        with suppress(LedgerRefused, BackendUnreachable, OrderRefused):
            await self._order_manager.unload(
                self._backend, self._artifact, self._may_remove
            )
        ledger = self._order_manager.ledger(self._backend)
        return ledger is not None and ledger.resident(self._artifact) is None

    def _may_remove(self) -> bool:
        return self._allowed(self._backend, self._artifact)

    def _abandon(self, reason: str) -> None:
        self._retirement.release(self._backend, self._artifact)
        UNLOAD_ABANDONED.log(
            backend=self._backend, artifact=self._artifact, reason=reason
        )
