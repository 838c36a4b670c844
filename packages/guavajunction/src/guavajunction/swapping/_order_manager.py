"""Sends orders to backend servers and maintains their ledgers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping

from guavajunction.clock import Clock
from guavajunction.errors import LeaseLost, NotSent, OrderRefused, OutcomeUnknown
from guavajunction.gateway import BackendRecord, EngineSpec

from . import _events as events
from ._ledger import BackendLedger
from ._protocols import EngineReport, Order, OrderKind, OrderOutcome, OrderSender


async def _always(_: BackendRecord) -> bool:
    return True


class OrderManager:
    """Sends the orders of one leader term.

    The ledgers are initialized from the records at the start of the term.
    """

    MAX_SENDS = 5
    """Attempts to send an order before it fails; up to a third of them may get no
    answer."""
    UNREACHABLE_PAUSE_SECONDS = 1.0
    """Time without orders to a backend server that an order did not reach."""
    REPORT_LAG_SECONDS = 0.4
    """Time after an order until reports reflect it. Reports show a state that is some
    hundred milliseconds old."""

    def __init__(
        self,
        sender: OrderSender,
        instance: str,
        fence: Callable[[], int],
        clock: Clock,
        *,
        not_before: Mapping[str, float] | None = None,
        acquire_send: Callable[[BackendRecord], Awaitable[bool]] = _always,
    ) -> None:
        """Create a manager without ledgers.

        Args:
            sender: Sends the orders.
            instance: Name of this instance.
            fence: Returns the fencing number, or raises `LeaseLost`.
            clock: Source of time.
            not_before: When backend servers with a recent order of the previous leader
                may get orders, by name, on the monotonic clock.
            acquire_send: Waits until a backend server takes an order or a report;
                returns whether it does.
        """
        self._sender = sender
        self._instance = instance
        self._fence = fence
        self._clock = clock
        self._not_before = not_before or {}
        self._acquire_send = acquire_send
        self._ordered_at: dict[str, float] = {}
        self._ledgers: dict[str, BackendLedger] = {}
        self._locks: dict[str, asyncio.Lock] = {}

    def ledgers(self) -> list[BackendLedger]:
        """Return the ledgers of all backend servers that accept orders."""
        return list(self._ledgers.values())

    def recent_orders(self, seconds: float) -> dict[str, float]:
        """Return the time of each backend server's last order, if it is recent.

        Args:
            seconds: Maximum age of an order.
        """
        since = self._clock.monotonic() - seconds
        return {name: at for name, at in self._ordered_at.items() if at > since}

    def sync(self, records: dict[str, tuple[BackendRecord, EngineSpec]]) -> None:
        """Create, update and remove ledgers to match the records."""
        for name in set(self._ledgers) - set(records):
            del self._ledgers[name]
        for name, (record, spec) in records.items():
            known = self._ledgers.get(name)
            if known is None or known.record.identity != record.identity:
                ledger = self._ledgers[name] = BackendLedger(record, spec)
                ledger.unreachable_until = self._not_before.get(name, float("-inf"))
                self._locks[name] = asyncio.Lock()
                continue
            known.spec = spec
            if known.record is not record:
                known.sync(record)

    async def order(
        self, ledger: BackendLedger, kind: OrderKind, model: str, adapter: str = ""
    ) -> None:
        """Send an order until it is accepted or the ordered state is already reached.

        An unload that was accepted may still be in progress.

        Raises:
            OrderRefused: The order was refused, not sent or repeatedly not answered.
            LeaseLost: This instance is no longer the leader.
        """
        may_be_accepted = False
        async with self._locks[ledger.record.name]:
            for _ in range(self.MAX_SENDS):
                known = ledger.orders_accepted
                if known is None:
                    known = await self._resync(ledger)
                if known is None:
                    continue
                order = Order(kind, model, adapter, known, self._instance, 0)
                if self._is_done(ledger, order):
                    return
                outcome = await self._attempt(ledger, order)
                if outcome is None:
                    may_be_accepted = True
                elif await self._apply(ledger, order, outcome, may_be_accepted):
                    return
        raise OrderRefused(
            f"backend server {ledger.record.name!r} did not accept the order to "
            f"{kind} {model}/{adapter}"
        )

    async def refresh_unknown(self) -> None:
        """Fetch reports that are missing or that showed an order in progress."""
        unknown = [le for le in self.ledgers() if le.needs_report]
        await asyncio.gather(*(self.refresh(ledger) for ledger in unknown))

    async def refresh(self, ledger: BackendLedger) -> None:
        """Replace the contents of a ledger that proved wrong with a new report."""
        async with self._locks[ledger.record.name]:
            await self._resync(ledger)

    async def settle_unloads(self, ledger: BackendLedger) -> None:
        """Fetch a report and free the slots of adapters whose unload has ended."""
        report = await self._fetch_report(ledger)
        if report is not None:
            ledger.settle_unloads(report)

    def _is_done(self, ledger: BackendLedger, order: Order) -> bool:
        """Return whether an order has nothing to do since its model is gone.

        Raises:
            OrderRefused: The backend server has restarted, or an adapter's model is
                gone, since the order was planned.
        """
        name = ledger.record.name
        if self._ledgers.get(name) is not ledger:
            raise OrderRefused(f"backend server {name!r} has restarted or left")
        if not order.adapter or order.model in ledger.models:
            return False
        if order.kind is OrderKind.UNLOAD:
            return True
        raise OrderRefused(f"backend server {name!r} no longer has {order.model!r}")

    async def _attempt(
        self, ledger: BackendLedger, order: Order
    ) -> OrderOutcome | None:
        """Send an order once.

        Returns:
            The answer, or None if the order may have been accepted or may be accepted
            later.

        Raises:
            OrderRefused: The order does not fit or was not sent.
            LeaseLost: This instance is no longer the leader.
        """
        if not ledger.has_capacity(order):
            raise OrderRefused(
                f"backend server {ledger.record.name!r} has no free capacity for "
                f"{order.model}/{order.adapter}: {ledger.used_mb():g} of "
                f"{ledger.spec.memory_mb:g} MB and {ledger.adapter_count} of "
                f"{ledger.spec.adapter_slots} adapter slots are used"
            )
        if self._clock.monotonic() < self._not_before.get(
            ledger.record.name, float("-inf")
        ):
            raise OrderRefused(
                f"backend server {ledger.record.name!r} recently had an order of "
                "the previous leader"
            )
        if not await self._acquire_send(ledger.record):
            raise OrderRefused(
                f"backend server {ledger.record.name!r} takes no order now: it has "
                "named a limit, leaves or is evacuated"
            )
        order = order._replace(fence=self._fence())
        self._ordered_at[ledger.record.name] = self._clock.monotonic()
        try:
            outcome = await self._sender.send(ledger.record, order)
        except (NotSent, OutcomeUnknown) as exc:
            self._log_failure(ledger, order, exc.message)
            if isinstance(exc, OutcomeUnknown):
                return None
            ledger.unreachable_until = (
                self._clock.monotonic() + self.UNREACHABLE_PAUSE_SECONDS
            )
            raise OrderRefused(exc.message) from exc
        events.ORDERED.log(
            backend=ledger.record.name,
            order=order.kind,
            model=order.model,
            adapter=order.adapter,
            expected_orders=order.expected_orders,
            fence=order.fence,
            outcome=outcome,
        )
        return outcome

    async def _apply(
        self,
        ledger: BackendLedger,
        order: Order,
        outcome: OrderOutcome,
        may_be_accepted: bool,
    ) -> bool:
        """Apply the answer to an order.

        Args:
            ledger: Ledger of the backend server.
            order: The order.
            outcome: The answer.
            may_be_accepted: Whether an earlier copy of the order was not answered.

        Returns:
            Whether the order was accepted or its state is already reached.
        """
        if outcome is OrderOutcome.ACCEPTED:
            ledger.accepted(order, self._clock.monotonic())
            return True
        unload_holds = (
            outcome is OrderOutcome.HOLDS
            and order.kind is OrderKind.UNLOAD
            and ledger.holds(order)
        )
        if unload_holds and not may_be_accepted:
            ledger.unload_ended(order)
            return True
        done = await self._handle_refusal(ledger, order, outcome)
        if unload_holds and ledger.holds(order):
            ledger.unload_unconfirmed(order)
        return done

    async def _handle_refusal(
        self, ledger: BackendLedger, order: Order, outcome: OrderOutcome
    ) -> bool:
        if outcome is OrderOutcome.STALE:
            raise LeaseLost(
                f"backend server {ledger.record.name!r} has seen a higher fencing "
                f"number than {order.fence}"
            )
        if outcome is OrderOutcome.REJECTED:
            raise OrderRefused(
                f"backend server {ledger.record.name!r} rejects the order to "
                f"{order.kind} {order.model}/{order.adapter}"
            )
        await self._resync(ledger)
        return outcome is OrderOutcome.HOLDS

    async def _resync(self, ledger: BackendLedger) -> int | None:
        """Replace the contents of a ledger with a new report.

        Returns:
            Number of orders accepted, or None if the report could not be fetched.
        """
        name = ledger.record.name
        since = self._clock.monotonic() - self._ordered_at.get(name, float("-inf"))
        if since < self.REPORT_LAG_SECONDS:
            await self._clock.sleep(self.REPORT_LAG_SECONDS - since)
        report = await self._fetch_report(ledger)
        if report is None:
            return None
        ledger.resync(report)
        events.RESYNCED.log(
            backend=name,
            orders_accepted=report.orders_accepted,
            models=sorted(report.models),
            busy=report.busy,
        )
        return report.orders_accepted

    async def _fetch_report(self, ledger: BackendLedger) -> EngineReport | None:
        """Return a new report, or None if it could not be fetched."""
        name = ledger.record.name
        if not await self._acquire_send(ledger.record):
            events.REPORT_FAILED.log(backend=name, reason="it takes no report now")
            return None
        try:
            return await self._sender.report(ledger.record)
        except NotSent as exc:
            events.REPORT_FAILED.log(backend=name, reason=exc.message)
            await self._clock.sleep(self.REPORT_LAG_SECONDS)
            return None

    def _log_failure(self, ledger: BackendLedger, order: Order, reason: str) -> None:
        events.ORDER_FAILED.log(
            backend=ledger.record.name,
            order=order.kind,
            model=order.model,
            adapter=order.adapter,
            expected_orders=order.expected_orders,
            reason=reason,
        )
