"""The memory ledger of one engine: the rules that keep it from overcommitment."""

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
    """An order that was written down before it was sent."""

    order_id: str
    fence: int
    action: str
    """`load` or `unload`."""
    artifact: str
    mib: int
    base: str | None

    @property
    def order(self) -> Order:
        """Return the order as it is sent."""
        return Order(
            self.order_id, self.fence, self.action, self.artifact, self.mib, self.base
        )


class LedgerRecord(NamedTuple):
    """Content of the `ledger` row of one backend server."""

    attempt: str
    """Identity of the write, to recognise one's own after a lost answer."""
    fence: int
    """Fencing number of the author that wrote it."""
    intents: tuple[Intent, ...]
    """Orders that may still take effect."""
    residents: tuple[Resident, ...]
    """What reports up to `seq` have shown in memory."""
    seq: int
    bases: tuple[tuple[str, str], ...] = ()
    """Adapter and base model of adapters that were ordered."""


EMPTY_RECORD = LedgerRecord("", 0, (), (), -1)
"""What holds for a backend server without a row."""


class _Progress:
    """What this author knows about an open intent beyond the row."""

    def __init__(self, since: float, unanswered: int) -> None:
        self.opened = since
        self.since = since
        """Local monotonic time in seconds of the last copy that may be on its way."""
        self.unanswered = unanswered
        """Copies that were sent and neither accepted nor refused."""
        self.sent = unanswered
        """Copies that were sent at all."""
        self.accepted = False
        self.refused = False
        self.applied_seq: int | None = None
        """Number of the first report that listed the order as carried out."""


class Ledger:
    """What is, or may come to be, in the memory of one engine.

    Counted are the residents of the newest report and every load that may still
    take effect. A load stops being counted as an intent once a report shows it
    carried out, or once it can no longer arrive; memory is freed only by a report
    that no longer shows the artifact.
    """

    ARRIVAL_BOUND_SECONDS = 120.0
    """Longest time after which an order that was sent may still arrive."""
    REPEAT_SECONDS = 3.0
    """Time after which an accepted order that does not show is sent again."""
    RESTART_SECONDS = 5.0
    """Lower report numbers for this long mean that the engine was restarted."""

    def __init__(
        self,
        record: LedgerRecord,
        now: float,
        *,
        capacity_mib: int,
        checks_orders: bool,
    ) -> None:
        """Take over a ledger with all its open intents.

        Args:
            record: Content of the row.
            now: Local monotonic time in seconds, after the row was read.
            capacity_mib: Memory for weights and adapters.
            checks_orders: Whether the engine refuses orders with an old fence.
        """
        self.fence = record.fence
        """Fencing number under which orders are sent."""
        self.capacity_mib = capacity_mib
        self.checks_orders = checks_orders
        self.seq = record.seq
        """Number of the newest report that was taken in."""
        self.as_of = float("-inf")
        """Local monotonic time in seconds that this author's newest report is of."""
        self.inherited = frozenset(intent.order_id for intent in record.intents)
        """Open intents of earlier authors."""
        self._intents = {intent.order_id: intent for intent in record.intents}
        self._progress = {order_id: _Progress(now, 1) for order_id in self._intents}
        self._residents = {r.artifact: r for r in record.residents}
        self._bases = dict(record.bases)
        self._lower_since: float | None = None

    @property
    def intents(self) -> list[Intent]:
        """Return the orders that may still take effect."""
        return list(self._intents.values())

    @property
    def residents(self) -> list[Resident]:
        """Return the artifacts that the newest report showed."""
        return list(self._residents.values())

    def record(self, attempt: str) -> LedgerRecord:
        """Return the content for the row."""
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
        """Return the memory that is taken or may yet be taken."""
        resident = sum(r.mib for r in self._residents.values())
        coming = sum(i.mib for i in self._intents.values() if i.action == "load")
        return resident + coming

    def free_mib(self) -> int:
        """Return the memory that a new load may count on."""
        return self.capacity_mib - self.committed_mib()

    def resident(self, artifact: str) -> Resident | None:
        """Return an artifact in memory, None if it is not there."""
        return self._residents.get(artifact)

    def pending(self, artifact: str) -> Intent | None:
        """Return the open order for an artifact, if any."""
        found = (i for i in self._intents.values() if i.artifact == artifact)
        return next(found, None)

    def needs_copy(self, intent: Intent, now: float) -> bool:
        """Return whether another copy of an open order would help to settle it.

        An order that was accepted may still have been lost; a repeat of one that
        was not has no effect.
        """
        progress = self._progress[intent.order_id]
        if progress.refused or progress.applied_seq is not None:
            return False
        return not progress.accepted or now - progress.since >= self.REPEAT_SECONDS

    def age(self, intent: Intent, now: float) -> float:
        """Return for how many seconds an order has been open in this ledger."""
        return now - self._progress[intent.order_id].opened

    def open_load(
        self, order_id: str, artifact: str, mib: int, base: str | None, now: float
    ) -> Intent:
        """Add the intent to load an artifact.

        Raises:
            AlreadyResident: It is in memory.
            OrderPending: Another order for it may still take effect.
            BaseMissing: It is an adapter and its base model is not ready.
            MemoryCommitted: The memory does not suffice.
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
            NotResident: It is not in memory.
            OrderPending: Another order for it may still take effect.
            BaseInUse: Adapters of it are in memory.
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
        """Return the adapters of a base model that are, or may come, in memory."""
        coming = {i.artifact for i in self._intents.values() if i.action == "load"}
        present = coming | set(self._residents)
        return sorted(a for a in present if self._bases.get(a) == base)

    def base_of(self, artifact: str) -> str | None:
        """Return the base model that an adapter was loaded on, None if unknown."""
        return self._bases.get(artifact)

    def withdraw(self, intent: Intent) -> None:
        """Drop an intent if this author knows that no copy was sent."""
        if self._progress[intent.order_id].sent == 0:
            self.drop(intent)

    def drop(self, intent: Intent) -> None:
        """Drop an intent that was certainly never sent."""
        self._close(intent.order_id)

    def sent(self, order_id: str, now: float) -> None:
        """Note that a copy of an order is about to leave."""
        progress = self._progress[order_id]
        progress.since = now
        progress.unanswered += 1
        progress.sent += 1

    def not_sent(self, order_id: str) -> None:
        """Note that the copy noted last certainly did not arrive."""
        progress = self._progress[order_id]
        progress.unanswered -= 1
        progress.sent -= 1

    def record_accepted(self, order_id: str) -> None:
        """Note that a copy was accepted; further copies have no effect."""
        self._progress[order_id].accepted = True

    def record_refused(self, order_id: str, *, stale: bool = False) -> bool:
        """Note that a copy was refused.

        Args:
            order_id: The order.
            stale: Whether it was refused for its fencing number.

        Returns:
            Whether the order is closed; it is not while other copies are on the way,
            unless the engine will refuse those for the same reason.
        """
        progress = self._progress[order_id]
        progress.refused = True
        progress.unanswered -= 1
        if progress.unanswered > 0 and not (stale and self.checks_orders):
            return False
        self._close(order_id)
        return True

    def observe(self, report: LoadReport, read_at: float) -> list[Intent]:
        """Take in a report that was asked for after all orders noted so far.

        Args:
            report: The engine's report.
            read_at: Local monotonic time in seconds at which it was asked for.

        Returns:
            The intents that are closed by it.
        """
        if not self._is_newer(report, read_at):
            return []
        self.seq = report.seq
        self.as_of = read_at - report.age_seconds
        self._residents = {r.artifact: self._count(r) for r in report.resident}
        done = [i for i in self._intents.values() if self._is_over(i, report, read_at)]
        for intent in done:
            self._close(intent.order_id)
        return done

    def _open(self, intent: Intent, now: float) -> Intent:
        self._intents[intent.order_id] = intent
        self._progress[intent.order_id] = _Progress(now, 0)
        return intent

    def _close(self, order_id: str) -> None:
        del self._intents[order_id]
        del self._progress[order_id]

    def _check_base(self, artifact: str, base: str) -> None:
        resident = self._residents.get(base)
        if resident is None or resident.state != READY:
            raise BaseMissing(f"{artifact} needs {base}")
        if self.pending(base) is not None:
            raise OrderPending(f"an order for {base} is open")

    def _count(self, resident: Resident) -> Resident:
        known = self._residents.get(resident.artifact)
        ordered = self._intents.get(resident.order_id)
        sizes = [r.mib for r in (resident, known, ordered) if r is not None]
        return resident._replace(mib=max(sizes))

    def _is_newer(self, report: LoadReport, read_at: float) -> bool:
        if report.seq >= self.seq:
            self._lower_since = None
            return True
        if self._lower_since is None:
            self._lower_since = read_at
        if read_at - self._lower_since < self.RESTART_SECONDS:
            return False
        self._lower_since = None
        return True

    def _is_over(self, intent: Intent, report: LoadReport, read_at: float) -> bool:
        shown = self._residents.get(intent.artifact)
        if intent.action == "load" and shown and shown.order_id == intent.order_id:
            return True
        if intent.order_id in report.applied_orders:
            return self._is_settled(intent, report, gone=shown is None)
        if self.checks_orders and report.last_fence > intent.fence:
            return True
        progress = self._progress[intent.order_id]
        inherited = intent.order_id in self.inherited
        if intent.order_id in report.refused_orders and not inherited:
            return progress.accepted or progress.sent == 1
        shown_at = read_at - report.age_seconds
        return shown_at - progress.since >= self.ARRIVAL_BOUND_SECONDS

    def _is_settled(self, intent: Intent, report: LoadReport, *, gone: bool) -> bool:
        """Return whether an order that was carried out shows in the residents.

        A load's memory may show only one report after the order's id does.
        """
        if intent.action == "unload":
            return gone
        progress = self._progress[intent.order_id]
        if progress.applied_seq is None:
            progress.applied_seq = report.seq
        return report.seq > progress.applied_seq
