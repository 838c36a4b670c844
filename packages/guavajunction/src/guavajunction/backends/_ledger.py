"""The memory ledger of an engine, whose rules prevent overcommitted memory."""

from __future__ import annotations

from typing import NamedTuple

from ._errors import (
    AlreadyResident,
    BaseInUse,
    BaseMissing,
    MemoryCommitted,
    NotResident,
    OrderPending,
)
from ._model import READY, LoadReport, Order, Resident


class Intent(NamedTuple):
    """An order that is written to the ledger row before it is sent."""

    order_id: str
    fence: int
    action: str
    """`load` or `unload`."""
    artifact: str
    mib: int
    base: str | None

    @property
    def order(self) -> Order:
        """Return the order to send to the engine."""
        return Order(
            self.order_id, self.fence, self.action, self.artifact, self.mib, self.base
        )


class LedgerRecord(NamedTuple):
    """Content of the `ledger` row of one backend server."""

    attempt: str
    """Unique id of the write; it identifies the row after a lost response."""
    fence: int
    """Fencing number of the leader that wrote the row."""
    intents: tuple[Intent, ...]
    """Orders that may still take effect."""
    residents: tuple[Resident, ...]
    """Artifacts in memory according to the report with the number `seq`."""
    seq: int
    """Number of the newest report that was applied."""
    bases: tuple[tuple[str, str], ...] = ()
    """Pairs of adapter and base model, for adapters whose load was ordered."""


EMPTY_RECORD = LedgerRecord("", 0, (), (), -1)
"""Record of a backend server that has no row yet."""


class _DeliveryState:
    """Delivery state of an open intent, kept in memory by this leader only."""

    def __init__(self, opened_at: float, unanswered_copies: int) -> None:
        self.opened_at = opened_at
        self.last_sent_at = opened_at
        """Local monotonic time in seconds at which the last copy may have been sent."""
        self.unanswered_copies = unanswered_copies
        """Copies that may still take effect: sent, not known to be lost or refused."""
        self.sent_copies = unanswered_copies
        """Number of copies that were sent."""
        self.accepted = False
        self.refused = False
        self.applied_seq: int | None = None
        """Number of the first report that listed the order as carried out."""


class Ledger:
    """The committed memory of one engine.

    Committed memory is the memory of the residents in the newest report and of every
    load that may still take effect. A load intent is closed once a report shows that
    the load was carried out, or once the order can no longer arrive. Memory is freed
    only by a report that no longer shows the artifact.
    """

    ARRIVAL_BOUND_SECONDS = 120.0
    """Time after which an order that was sent can no longer arrive."""
    REPEAT_SECONDS = 3.0
    """Time after which an accepted order without a reported effect is sent again."""
    RESTART_SECONDS = 5.0
    """Time for which report numbers must be too low before a restart is assumed."""

    def __init__(
        self,
        record: LedgerRecord,
        now: float,
        *,
        capacity_mib: int,
        checks_orders: bool,
    ) -> None:
        """Restore the ledger with all its open intents.

        Args:
            record: Content of the ledger row.
            now: Local monotonic time in seconds, after the row was read.
            capacity_mib: Memory for weights and adapters.
            checks_orders: Whether the engine refuses orders with an old fence.
        """
        self.fence = record.fence
        """Fencing number of the orders that are sent."""
        self.capacity_mib = capacity_mib
        self.checks_orders = checks_orders
        self.seq = record.seq
        """Number of the newest report that was applied."""
        self.as_of = float("-inf")
        """Local monotonic time, in seconds, of the newest report that this leader
        applied; minus infinity before the first."""
        self.inherited = frozenset(intent.order_id for intent in record.intents)
        """Ids of the open intents of earlier leaders."""
        self._intents = {intent.order_id: intent for intent in record.intents}
        self._deliveries = {
            order_id: _DeliveryState(now, 1) for order_id in self._intents
        }
        self._residents = {r.artifact: r for r in record.residents}
        self._bases = dict(record.bases)
        self._lower_seq_since: float | None = None

    @property
    def intents(self) -> list[Intent]:
        """Return the orders that may still take effect."""
        return list(self._intents.values())

    @property
    def residents(self) -> list[Resident]:
        """Return the artifacts in memory according to the newest report."""
        return list(self._residents.values())

    def record(self, attempt: str) -> LedgerRecord:
        """Return the content for the ledger row.

        Args:
            attempt: Unique id of the write.
        """
        coming = {intent.artifact for intent in self._intents.values()}
        bases = [
            (adapter, base)
            for adapter, base in self._bases.items()
            if adapter in coming or adapter in self._residents
        ]
        return LedgerRecord(
            attempt,
            self.fence,
            tuple(self._intents.values()),
            tuple(self._residents.values()),
            self.seq,
            tuple(bases),
        )

    def committed_mib(self) -> int:
        """Return the memory, in MiB, of residents and of loads that may take effect."""
        resident = sum(r.mib for r in self._residents.values())
        coming = sum(i.mib for i in self._intents.values() if i.action == "load")
        return resident + coming

    def free_mib(self) -> int:
        """Return the memory, in MiB, that a new load may use."""
        return self.capacity_mib - self.committed_mib()

    def resident(self, artifact: str) -> Resident | None:
        """Return the resident for an artifact, None if it is not in memory."""
        return self._residents.get(artifact)

    def pending(self, artifact: str) -> Intent | None:
        """Return the open intent for an artifact, None without one."""
        found = (i for i in self._intents.values() if i.artifact == artifact)
        return next(found, None)

    def needs_resend(self, intent: Intent, now: float) -> bool:
        """Return whether to send another copy of an open order.

        An accepted order may still be lost in the engine. The engine ignores a
        copy of an order that it has carried out.
        """
        delivery = self._deliveries[intent.order_id]
        if delivery.refused or delivery.applied_seq is not None:
            return False
        return (
            not delivery.accepted or now - delivery.last_sent_at >= self.REPEAT_SECONDS
        )

    def age(self, intent: Intent, now: float) -> float:
        """Return the seconds since this leader opened or inherited an intent."""
        return now - self._deliveries[intent.order_id].opened_at

    def open_load(
        self, order_id: str, artifact: str, mib: int, base: str | None, now: float
    ) -> Intent:
        """Add the intent to load an artifact.

        Raises:
            AlreadyResident: The artifact is in memory.
            OrderPending: Another order for the artifact, or for its base model, may
                still take effect.
            BaseMissing: The base model of the adapter is not ready.
            MemoryCommitted: The free memory is too small.
        """
        if artifact in self._residents:
            raise AlreadyResident(f"{artifact} is resident")
        if self.pending(artifact) is not None:
            raise OrderPending(f"an order for {artifact} is open")
        if base is not None:
            self._check_base(artifact, base)
        if mib > self.free_mib():
            raise MemoryCommitted(f"{artifact} needs {mib} of {self.free_mib()} MiB")
        if base is not None:
            self._bases[artifact] = base
        return self._open(
            Intent(order_id, self.fence, "load", artifact, mib, base), now
        )

    def open_unload(self, order_id: str, artifact: str, now: float) -> Intent:
        """Add the intent to unload an artifact.

        Raises:
            NotResident: The artifact is not in memory.
            OrderPending: Another order for the artifact may still take effect.
            BaseInUse: Adapters of the base model are in memory or may be loaded.
        """
        resident = self._residents.get(artifact)
        if resident is None:
            raise NotResident(f"{artifact} is not resident")
        if self.pending(artifact) is not None:
            raise OrderPending(f"an order for {artifact} is open")
        if self.adapters_of(artifact):
            raise BaseInUse(f"{artifact} has adapters in memory")
        intent = Intent(order_id, self.fence, "unload", artifact, resident.mib, None)
        return self._open(intent, now)

    def adapters_of(self, base: str) -> list[str]:
        """Return the adapters of a base model that are in memory or may be loaded."""
        coming = {i.artifact for i in self._intents.values() if i.action == "load"}
        present = coming | set(self._residents)
        return sorted(a for a in present if self._bases.get(a) == base)

    def base_of(self, artifact: str) -> str | None:
        """Return the base model that an adapter was loaded on, None if unknown."""
        return self._bases.get(artifact)

    def withdraw(self, intent: Intent) -> None:
        """Drop an intent unless a copy of the order may have been sent."""
        if self._deliveries[intent.order_id].sent_copies == 0:
            self.drop(intent)

    def drop(self, intent: Intent) -> None:
        """Drop an intent that was never sent."""
        self._close(intent.order_id)

    def record_sent(self, order_id: str, now: float) -> None:
        """Record that a copy of an order is about to be sent."""
        delivery = self._deliveries[order_id]
        delivery.last_sent_at = now
        delivery.unanswered_copies += 1
        delivery.sent_copies += 1

    def record_not_sent(self, order_id: str) -> None:
        """Record that the copy recorded last did not reach the engine."""
        delivery = self._deliveries[order_id]
        delivery.unanswered_copies -= 1
        delivery.sent_copies -= 1

    def record_accepted(self, order_id: str) -> None:
        """Record that a copy was accepted; further copies have no effect."""
        self._deliveries[order_id].accepted = True

    def record_refused(self, order_id: str, *, stale: bool = False) -> bool:
        """Record that a copy was refused.

        Args:
            order_id: The order.
            stale: Whether the reason was a fencing number that is too low.

        Returns:
            Whether the intent is closed. It stays open while other copies may arrive,
            unless the engine will refuse them for the same reason.
        """
        delivery = self._deliveries[order_id]
        delivery.refused = True
        delivery.unanswered_copies -= 1
        if delivery.unanswered_copies > 0 and not (stale and self.checks_orders):
            return False
        self._close(order_id)
        return True

    def observe(self, report: LoadReport, read_at: float) -> list[Intent]:
        """Apply a report that was requested after all orders recorded so far.

        Args:
            report: The engine's report.
            read_at: Local monotonic time, in seconds, of the request for the report.

        Returns:
            The intents that the report closes.
        """
        if not self._is_newer(report, read_at):
            return []
        self.seq = report.seq
        self.as_of = read_at - report.age_seconds
        self._residents = {
            r.artifact: self._with_largest_size(r) for r in report.resident
        }
        closed = [
            i for i in self._intents.values() if self._is_closed_by(i, report, read_at)
        ]
        for intent in closed:
            self._close(intent.order_id)
        return closed

    def _open(self, intent: Intent, now: float) -> Intent:
        self._intents[intent.order_id] = intent
        self._deliveries[intent.order_id] = _DeliveryState(now, 0)
        return intent

    def _close(self, order_id: str) -> None:
        del self._intents[order_id]
        del self._deliveries[order_id]

    def _check_base(self, artifact: str, base: str) -> None:
        resident = self._residents.get(base)
        if resident is None or resident.state != READY:
            raise BaseMissing(f"{artifact} needs {base}")
        if self.pending(base) is not None:
            raise OrderPending(f"an order for {base} is open")

    def _with_largest_size(self, resident: Resident) -> Resident:
        """Return a resident with the largest of its known sizes.

        These are the sizes in this report, in the last report and in the order.
        """
        known = self._residents.get(resident.artifact)
        ordered = self._intents.get(resident.order_id)
        sizes = [r.mib for r in (resident, known, ordered) if r is not None]
        return resident._replace(mib=max(sizes))

    def _is_newer(self, report: LoadReport, read_at: float) -> bool:
        if report.seq >= self.seq:
            self._lower_seq_since = None
            return True
        if self._lower_seq_since is None:
            self._lower_seq_since = read_at
        if read_at - self._lower_seq_since < self.RESTART_SECONDS:
            return False
        self._lower_seq_since = None
        return True

    def _is_closed_by(self, intent: Intent, report: LoadReport, read_at: float) -> bool:
        """Return whether a report shows that an order took effect or never will."""
        shown = self._residents.get(intent.artifact)
        if intent.action == "load" and shown and shown.order_id == intent.order_id:
            return True
        if intent.order_id in report.applied_orders:
            return self._is_visible(intent, report, removed=shown is None)
        if self.checks_orders and report.last_fence > intent.fence:
            return True
        delivery = self._deliveries[intent.order_id]
        inherited = intent.order_id in self.inherited
        if intent.order_id in report.refused_orders and not inherited:
            return delivery.accepted or delivery.sent_copies == 1
        measured_at = read_at - report.age_seconds
        return measured_at - delivery.last_sent_at >= self.ARRIVAL_BOUND_SECONDS

    def _is_visible(self, intent: Intent, report: LoadReport, *, removed: bool) -> bool:
        """Return whether the residents show the effect of an order carried out.

        The memory of a load may appear one report later than the id of the order.
        """
        if intent.action == "unload":
            return removed
        delivery = self._deliveries[intent.order_id]
        if delivery.applied_seq is None:
            delivery.applied_seq = report.seq
        return report.seq > delivery.applied_seq
