"""Sends orders to engines after writing each to the ledger of its engine."""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Callable, Iterable

import msgspec

from guavajunction.clock import Clock
from guavajunction.configuration import BackendServer, Configuration
from guavajunction.errors import (
    ConditionFailed,
    GuavaError,
    LeaseLost,
    OrderRefused,
    StaleFence,
    StoreAnswerLost,
    StoreUnavailable,
)
from guavajunction.storage import Row, TableService

from ._errors import (
    BackendUnreachable,
    LedgerUnsettled,
    OrderNotSent,
    OrderStale,
    OrderUnanswered,
)
from ._events import (
    LEDGER_CONFLICT,
    LEDGER_UNREADABLE,
    ORDER_CLOSED,
    ORDER_REFUSED,
    ORDER_SENT,
    ORDER_UNANSWERED,
    ORDERS_INHERITED,
)
from ._ledger import EMPTY_RECORD, Intent, Ledger, LedgerRecord
from ._model import Order
from ._protocols import BackendClient

PARTITION = "ledger"
"""Partition of the table that has one row for each backend server."""


class _Entry:
    """A ledger with the row that it was read from."""

    def __init__(self, ledger: Ledger, version: int) -> None:
        self.ledger = ledger
        self.version = version
        """Version of the row; 0 if there is none."""
        self.fence_is_own = False
        """Whether this leader has raised the fencing number for itself."""
        self.fence_written = False
        """Whether the row contains the raised fencing number."""
        self.lock = asyncio.Lock()
        """Held while an order to the backend server is prepared and sent."""


class OrderManager:
    """Sends the orders of one leader during one term of its lease.

    An order is written to the ledger row of the backend server by compare-and-set,
    then the lease is checked again, and only then is the order sent. A later leader
    reads the row and inherits the intent. An earlier leader fails on its next write.
    """

    def __init__(
        self,
        client: BackendClient,
        table: TableService,
        configuration: Callable[[], Configuration],
        check_lease: Callable[[], object],
        clock: Clock,
    ) -> None:
        """Create a manager without ledgers; `take_over` reads them.

        Args:
            client: Calls the engines.
            table: Stores the ledger rows.
            configuration: Returns the configuration in force.
            check_lease: Raises `LeaseLost` if orders may no longer be sent.
            clock: Time source.
        """
        self._client = client
        self._table = table
        self._configuration = configuration
        self._check_lease = check_lease
        self._clock = clock
        self._entries: dict[str, _Entry] = {}
        self._unsent_order_ids: set[str] = set()
        """Orders that were not sent because the write to the ledger row failed."""

    def ledger(self, name: str) -> Ledger | None:
        """Return the ledger of a backend server, None if it has not been read."""
        entry = self._entries.get(name)
        return entry.ledger if entry else None

    async def take_over(self, names: Iterable[str]) -> None:
        """Read the ledgers of backend servers that have not been read yet.

        A backend server whose row cannot be decoded gets no orders.

        Raises:
            StoreUnavailable: The table service is unavailable.
        """
        missing = [name for name in names if name not in self._entries]
        if not missing:
            return
        rows = {row.sort: row for row in await self._table.query(PARTITION)}
        for name in missing:
            if name not in self._configuration().backends:
                continue
            try:
                self._add_ledger(name, rows.get(name))
            except msgspec.DecodeError as exc:
                LEDGER_UNREADABLE.log(backend=name, reason=str(exc))

    async def load(
        self, name: str, artifact: str, mib: int, base: str | None = None
    ) -> None:
        """Order an engine to load an artifact.

        Returns once the order was accepted or got no response. `settle` later checks
        the outcome of the order.

        Raises:
            LedgerRefused: The rules of the ledger forbid the order.
            LedgerUnsettled: The intent could not be written to the row.
            StaleFence: Another leader has taken over the ledger.
            LeaseLost: The lease has expired.
            BackendUnreachable: The engine did not report its memory.
            OrderRefused: The engine refused the order.
        """
        entry = self._entry(name)
        async with entry.lock:
            await self._observe(name, entry)
            self._raise_fence(entry)
            intent = entry.ledger.open_load(
                _new_id(), artifact, mib, base, self._clock.monotonic()
            )
            await self._write_and_send(name, entry, intent)

    async def unload(
        self, name: str, artifact: str, allowed: Callable[[], bool] = lambda: True
    ) -> bool:
        """Order an engine to unload an artifact, or repeat an open unload.

        Args:
            name: The engine.
            artifact: The artifact to unload.
            allowed: Called right before the order is sent; False cancels it.

        Returns:
            Whether the unload was allowed, and so was sent or is open.

        Raises:
            LedgerRefused: The rules of the ledger forbid the order.
            LedgerUnsettled: The intent could not be written to the row.
            StaleFence: Another leader has taken over the ledger.
            LeaseLost: The lease has expired.
            BackendUnreachable: The engine did not report its memory.
            OrderRefused: The engine refused the order.
        """
        entry = self._entry(name)
        async with entry.lock:
            await self._observe(name, entry)
            intent = entry.ledger.pending(artifact)
            if intent is not None and intent.action == "unload":
                return await self._send_if_allowed(name, entry, intent, allowed)
            self._raise_fence(entry)
            intent = entry.ledger.open_unload(
                _new_id(), artifact, self._clock.monotonic()
            )
            return await self._write_and_send(name, entry, intent, allowed)

    async def change_role(self, name: str, role: str) -> None:
        """Order an engine to change its role.

        A role uses no memory, so no intent is written to the ledger.

        Raises:
            LedgerUnsettled: The fencing number could not be written to the row.
            StaleFence: Another leader has taken over the ledger.
            LeaseLost: The lease has expired.
            OrderRefused: The engine refused the order.
            OrderUnanswered: No response; the order may still take effect.
            OrderNotSent: No connection was made; the order did not arrive.
        """
        entry = self._entry(name)
        async with entry.lock:
            self._raise_fence(entry)
            if not entry.fence_written:
                await self._write(name, entry)
            self._check_lease()
            order = Order(_new_id(), entry.ledger.fence, "role", "", role=role)
            ORDER_SENT.log(backend=name, **order._asdict())
            await self._client.order(self._server(name).address, order)

    async def settle(self) -> None:
        """Check the outcome of every open order and repeat loads if needed."""
        open_names = [n for n, e in self._entries.items() if e.ledger.intents]
        await asyncio.gather(*(self._settle(name) for name in open_names))

    async def _settle(self, name: str) -> None:
        entry = self._entries[name]
        if entry.lock.locked() or name not in self._configuration().backends:
            return
        async with entry.lock:
            try:
                await self._observe(name, entry)
                await self._repeat_loads(name, entry)
            except (BackendUnreachable, LedgerUnsettled, OrderRefused, LeaseLost):
                return

    async def _repeat_loads(self, name: str, entry: _Entry) -> None:
        """Send loads without visible effect again, under the same order id.

        Otherwise a lost order would stay open for `Ledger.ARRIVAL_BOUND_SECONDS`.
        Unloads are repeated only through `unload`, whose caller knows whether the
        replica may still be removed.
        """
        ledger = entry.ledger
        for intent in ledger.intents:
            is_own = intent.order_id not in ledger.inherited
            load = is_own and intent.action == "load"
            if load and ledger.needs_resend(intent, self._clock.monotonic()):
                await self._send(name, entry, intent)

    def _entry(self, name: str) -> _Entry:
        entry = self._entries.get(name)
        if entry is None:
            raise LedgerUnsettled(f"the ledger of {name} has not been read")
        server = self._server(name)
        entry.ledger.capacity_mib = server.weights_mib
        entry.ledger.checks_orders = server.checks_orders
        return entry

    def _server(self, name: str) -> BackendServer:
        server = self._configuration().backends.get(name)
        if server is None:
            raise LedgerUnsettled(f"{name} is not configured")
        return server

    def _add_ledger(self, name: str, row: Row | None) -> None:
        record = EMPTY_RECORD
        if row is not None:
            record = msgspec.msgpack.decode(row.body, type=LedgerRecord)
        server = self._configuration().backends[name]
        ledger = Ledger(
            record,
            self._clock.monotonic(),
            capacity_mib=server.weights_mib,
            checks_orders=server.checks_orders,
        )
        for intent in record.intents:
            if intent.order_id in self._unsent_order_ids:
                ledger.drop(intent)
        self._entries[name] = _Entry(ledger, row.version if row else 0)
        if record.intents:
            ORDERS_INHERITED.log(
                backend=name, orders=[i.order_id for i in record.intents]
            )

    def _raise_fence(self, entry: _Entry) -> None:
        if entry.fence_is_own:
            return
        entry.ledger.fence += 1
        entry.fence_is_own = True
        entry.fence_written = False

    async def _observe(self, name: str, entry: _Entry) -> None:
        requested_at = self._clock.monotonic()
        report = await self._client.load(self._server(name).address)
        for intent in entry.ledger.observe(report, requested_at):
            ORDER_CLOSED.log(backend=name, order=intent.order_id, action=intent.action)
        if report.last_fence > entry.ledger.fence:
            entry.ledger.fence = report.last_fence
            entry.fence_is_own = False
        if report.memory_mib:
            server = self._server(name)
            reported = report.memory_mib - server.kv_reserve_mib
            entry.ledger.capacity_mib = min(server.weights_mib, reported)

    async def _write_and_send(
        self,
        name: str,
        entry: _Entry,
        intent: Intent,
        allowed: Callable[[], bool] = lambda: True,
    ) -> bool:
        try:
            await self._write(name, entry)
        except GuavaError:
            self._unsent_order_ids.add(intent.order_id)
            self._entries.pop(name, None)
            raise
        return await self._send_if_allowed(name, entry, intent, allowed)

    async def _send_if_allowed(
        self, name: str, entry: _Entry, intent: Intent, allowed: Callable[[], bool]
    ) -> bool:
        if not allowed():
            entry.ledger.withdraw(intent)
            return False
        if entry.ledger.needs_resend(intent, self._clock.monotonic()):
            await self._send(name, entry, intent)
        return True

    async def _send(self, name: str, entry: _Entry, intent: Intent) -> None:
        server = self._server(name)
        self._check_lease()
        ledger = entry.ledger
        ledger.record_sent(intent.order_id, self._clock.monotonic())
        ORDER_SENT.log(backend=name, **intent.order._asdict())
        try:
            await self._client.order(server.address, intent.order)
        except OrderNotSent:
            ledger.record_not_sent(intent.order_id)
        except OrderUnanswered as exc:
            ORDER_UNANSWERED.log(
                backend=name, order=intent.order_id, reason=exc.message
            )
        except OrderRefused as exc:
            self._handle_refusal(name, entry, intent, exc)
            raise
        else:
            ledger.record_accepted(intent.order_id)

    def _handle_refusal(
        self, name: str, entry: _Entry, intent: Intent, exc: OrderRefused
    ) -> None:
        stale = isinstance(exc, OrderStale)
        closed = entry.ledger.record_refused(intent.order_id, stale=stale)
        if isinstance(exc, OrderStale):
            entry.ledger.fence = max(entry.ledger.fence, exc.last_fence)
            entry.fence_is_own = False
        ORDER_REFUSED.log(
            backend=name, order=intent.order_id, closed=closed, reason=exc.message
        )

    async def _write(self, name: str, entry: _Entry) -> None:
        """Write a ledger row; on failure drop the ledger so that it is read again."""
        self._check_lease()
        body = msgspec.msgpack.encode(entry.ledger.record(_new_id()))
        try:
            row = await self._put(name, body, entry.version)
        except ConditionFailed as exc:
            self._entries.pop(name, None)
            LEDGER_CONFLICT.log(backend=name)
            raise StaleFence(
                f"the ledger of {name} was written by another leader"
            ) from exc
        except (StoreUnavailable, StoreAnswerLost) as exc:
            self._entries.pop(name, None)
            raise LedgerUnsettled(f"the ledger of {name} could not be written") from exc
        entry.version = row.version
        entry.fence_written = True

    async def _put(self, name: str, body: bytes, expected: int) -> Row:
        try:
            return await self._table.put(PARTITION, name, body, expected=expected)
        except (StoreAnswerLost, ConditionFailed):
            # The write may have been stored and only its response lost.
            row = await self._table.get(PARTITION, name)
            if row is not None and row.body == body:
                return row
            raise


def _new_id() -> str:
    return uuid.uuid4().hex
