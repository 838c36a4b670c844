"""Sends orders to engines, each written into its ledger beforehand."""

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


class _Entry:
    """A ledger with the row that it was read from."""

    def __init__(self, ledger: Ledger, version: int) -> None:
        self.ledger = ledger
        self.version = version
        """Version of the row; 0 if there is none."""
        self.mine = False
        """Whether the fencing number is this author's own."""
        self.written = False
        """Whether the row has that fencing number."""
        self.lock = asyncio.Lock()
        """Held while an order for the backend server is under way."""


class OrderDesk:
    """The orders of one author, for one term of its lease.

    An order is written into the backend server's ledger row by compare-and-set, the
    lease is checked again, and only then is the order sent. A later author reads the
    row and inherits the intent; an earlier one fails on its next write.
    """

    def __init__(
        self,
        client: BackendClient,
        table: TableService,
        configuration: Callable[[], Configuration],
        check_lease: Callable[[], object],
        clock: Clock,
    ) -> None:
        """Start without any ledger; `take_over` reads them.

        Args:
            client: Calls the engines.
            table: Keeps the ledgers.
            configuration: Returns the configuration in force.
            check_lease: Raises `LeaseLost` once orders may no longer be sent.
            clock: Time source.
        """
        self._client = client
        self._table = table
        self._configuration = configuration
        self._check_lease = check_lease
        self._clock = clock
        self._entries: dict[str, _Entry] = {}
        self._never_sent: set[str] = set()
        """Orders whose writing down failed, so that they were not sent."""

    def ledger(self, name: str) -> Ledger | None:
        """Return a backend server's ledger, None if it must be read first."""
        entry = self._entries.get(name)
        return entry.ledger if entry else None

    async def take_over(self, names: Iterable[str]) -> None:
        """Read the ledgers of backend servers that have none here yet.

        A backend server whose row cannot be read gets no orders.

        Raises:
            StoreUnavailable: The table service is down.
        """
        missing = [name for name in names if name not in self._entries]
        if not missing:
            return
        rows = {row.sort: row for row in await self._table.query(PARTITION)}
        for name in missing:
            if name not in self._configuration().backends:
                continue
            try:
                self._enter(name, rows.get(name))
            except msgspec.DecodeError as exc:
                LEDGER_UNREADABLE.log(backend=name, reason=str(exc))

    async def load(
        self, name: str, artifact: str, mib: int, base: str | None = None
    ) -> None:
        """Order an engine to load an artifact.

        Returns once the order was accepted or its answer was lost; `settle` follows
        it up.

        Raises:
            LedgerRefused: The ledger's rules forbid it.
            LedgerUnsettled: The intent could not be written down.
            StaleFence: Another author has taken the ledger over.
            LeaseLost: The lease has lapsed.
            BackendUnreachable: The engine did not report its memory.
            OrderRefused: The engine refused.
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
        """Order an engine to unload an artifact.

        Args:
            name: The engine.
            artifact: What to unload.
            allowed: Asked again right before the order is sent.

        Returns:
            Whether an order was sent.

        Raises:
            LedgerRefused: The ledger's rules forbid it.
            LedgerUnsettled: The intent could not be written down.
            StaleFence: Another author has taken the ledger over.
            LeaseLost: The lease has lapsed.
            BackendUnreachable: The engine did not report its memory.
            OrderRefused: The engine refused.
        """
        entry = self._entry(name)
        async with entry.lock:
            await self._observe(name, entry)
            intent = entry.ledger.pending(artifact)
            if intent is not None and intent.action == "unload":
                return await self._send_if(name, entry, intent, allowed)
            self._raise_fence(entry)
            intent = entry.ledger.open_unload(
                _new_id(), artifact, self._clock.monotonic()
            )
            return await self._write_and_send(name, entry, intent, allowed)

    async def change_role(self, name: str, role: str) -> None:
        """Order an engine to change its role; takes no memory.

        Raises:
            LedgerUnsettled: The fencing number could not be written down.
            StaleFence: Another author has taken the ledger over.
            LeaseLost: The lease has lapsed.
            OrderRefused: The engine refused.
            OrderUnanswered: The order may or may not have arrived.
            OrderNotSent: The order has not arrived.
        """
        entry = self._entry(name)
        async with entry.lock:
            self._raise_fence(entry)
            if not entry.written:
                await self._write(name, entry)
            self._check_lease()
            order = Order(_new_id(), entry.ledger.fence, "role", "", role=role)
            ORDER_SENT.log(backend=name, **order._asdict())
            await self._client.order(self._server(name).address, order)

    async def settle(self) -> None:
        """Follow up every open order: read reports and repeat unanswered loads."""
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
        """Send unanswered loads again under their id, which settles them sooner.

        Unloads are repeated only through `unload`, whose caller knows whether the
        replica may still go.
        """
        ledger = entry.ledger
        for intent in ledger.intents:
            own = intent.order_id not in ledger.inherited
            load = own and intent.action == "load"
            if load and ledger.needs_copy(intent, self._clock.monotonic()):
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

    def _enter(self, name: str, row: Row | None) -> None:
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
            if intent.order_id in self._never_sent:
                ledger.drop(intent)
        self._entries[name] = _Entry(ledger, row.version if row else 0)
        if record.intents:
            ORDERS_INHERITED.log(
                backend=name, orders=[i.order_id for i in record.intents]
            )

    def _raise_fence(self, entry: _Entry) -> None:
        if entry.mine:
            return
        entry.ledger.fence += 1
        entry.mine = True
        entry.written = False

    async def _observe(self, name: str, entry: _Entry) -> None:
        asked_at = self._clock.monotonic()
        report = await self._client.load(self._server(name).address)
        for intent in entry.ledger.observe(report, asked_at):
            ORDER_CLOSED.log(backend=name, order=intent.order_id, action=intent.action)
        if report.last_fence > entry.ledger.fence:
            entry.ledger.fence = report.last_fence
            entry.mine = False
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
            self._never_sent.add(intent.order_id)
            self._entries.pop(name, None)
            raise
        return await self._send_if(name, entry, intent, allowed)

    async def _send_if(
        self, name: str, entry: _Entry, intent: Intent, allowed: Callable[[], bool]
    ) -> bool:
        if not allowed():
            entry.ledger.withdraw(intent)
            return False
        if entry.ledger.needs_copy(intent, self._clock.monotonic()):
            await self._send(name, entry, intent)
        return True

    async def _send(self, name: str, entry: _Entry, intent: Intent) -> None:
        server = self._server(name)
        self._check_lease()
        ledger = entry.ledger
        ledger.sent(intent.order_id, self._clock.monotonic())
        ORDER_SENT.log(backend=name, **intent.order._asdict())
        try:
            await self._client.order(server.address, intent.order)
        except OrderNotSent:
            ledger.not_sent(intent.order_id)
        except OrderUnanswered as exc:
            ORDER_UNANSWERED.log(
                backend=name, order=intent.order_id, reason=exc.message
            )
        except OrderRefused as exc:
            self._refused(name, entry, intent, exc)
            raise
        else:
            ledger.accepted(intent.order_id)

    def _refused(
        self, name: str, entry: _Entry, intent: Intent, exc: OrderRefused
    ) -> None:
        stale = isinstance(exc, OrderStale)
        closed = entry.ledger.refused(intent.order_id, stale=stale)
        if isinstance(exc, OrderStale):
            entry.ledger.fence = max(entry.ledger.fence, exc.last_fence)
            entry.mine = False
        ORDER_REFUSED.log(
            backend=name, order=intent.order_id, closed=closed, reason=exc.message
        )

    async def _write(self, name: str, entry: _Entry) -> None:
        """Write a ledger's row, or forget the ledger so that it is read again."""
        self._check_lease()
        body = msgspec.msgpack.encode(entry.ledger.record(_new_id()))
        try:
            row = await self._put(name, body, entry.version)
        except ConditionFailed as exc:
            self._entries.pop(name, None)
            LEDGER_CONFLICT.log(backend=name)
            raise StaleFence(f"the ledger of {name} has another author") from exc
        except (StoreUnavailable, StoreAnswerLost) as exc:
            self._entries.pop(name, None)
            raise LedgerUnsettled(f"the ledger of {name} was not written") from exc
        entry.version = row.version
        entry.written = True

    async def _put(self, name: str, body: bytes, expected: int) -> Row:
        try:
            return await self._table.put(PARTITION, name, body, expected=expected)
        except (StoreAnswerLost, ConditionFailed):
            # The write may be this one, taken but not answered.
            row = await self._table.get(PARTITION, name)
            if row is not None and row.body == body:
                return row
            raise


def _new_id() -> str:
    return uuid.uuid4().hex
