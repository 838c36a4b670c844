"""The backend servers known to this instance and the models they hold."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from guavajunction.bounded import drop_oldest
from guavajunction.clock import Clock
from guavajunction.evacuation import Evacuations
from guavajunction.quarantine import BackendId
from guavajunction.statements import ServerStatements

from . import _events as events
from ._backend import BackendRecord


class HoldingNotice(NamedTuple):
    """Models and adapters that a backend server holds after its latest order.

    Sent by the order leader, ahead of the backend server's own record.
    """

    backend: str
    incarnation: int
    orders_accepted: int
    """Orders accepted so far; a notice with a lower number is older."""
    models: dict[str, tuple[str, ...]]
    """Adapters by resident model."""


class RetireNotice(NamedTuple):
    """Announces the unload of a model: no new requests for it may be sent."""

    backend: str
    incarnation: int
    model: str


class BackendRegistry:
    """Merges the records of backend servers with newer notices of the order leader."""

    RETIRED_SECONDS = 12.0
    """How long a retire notice is valid; it expires if the unload does not follow."""
    UNREACHABLE_PAUSE_SECONDS = 1.5
    """Time without requests after a refused connection. The record of a crashed
    backend server persists for some heartbeats."""
    MAX_REPORT_NUMBERS = 4096
    """Number of incarnations whose newest report number is kept; several times the
    number of backend servers in the largest deployment."""
    RETURN_SECONDS = 2.5
    """How long a backend server is kept whose record is missing since the store came
    back from a copy. Within two seconds each one writes its record again."""
    MISSING_SECONDS = 1.0
    """How long a "model missing" refusal overrides the record."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[str, BackendRecord] = {}
        self._notices: dict[str, HoldingNotice] = {}
        self._retired_until: dict[tuple[str, int, str], float] = {}
        self._missing_until: dict[tuple[str, str], float] = {}
        self._newest_report_numbers: dict[tuple[str, int], int] = {}
        self._expected_until: dict[str, float] = {}
        self._unreachable_until: dict[tuple[str, int], float] = {}
        self._replaced: dict[BackendId, int] = {}
        """Newest report numbers of backend servers that others have replaced at their
        addresses."""
        self._versions_seen: defaultdict[str, set[str]] = defaultdict(set)
        self.statements = ServerStatements(clock)
        """What backend servers say of themselves."""
        self.evacuations = Evacuations(clock)
        """Data centres whose backend servers get nothing."""

    def records(self) -> Iterable[BackendRecord]:
        """Return every known backend server."""
        return self._records.values()

    def get(self, name: str) -> BackendRecord | None:
        """Return a backend server by name, or None if it has no record."""
        return self._records.get(name)

    def outside_evacuations(self) -> list[BackendRecord]:
        """Return every known backend server that may be contacted at all."""
        return self._outside_evacuations(list(self._records.values()))

    def is_evacuated(self, record: BackendRecord) -> bool:
        """Return whether nothing may be sent to a backend server."""
        return self.evacuations.is_evacuated(record.data_centre)

    def _outside_evacuations(self, records: list[BackendRecord]) -> list[BackendRecord]:
        if not self.evacuations:
            return records
        return [r for r in records if not self.is_evacuated(r)]

    def put(self, record: BackendRecord) -> None:
        """Store the record of a backend server, unless a newer one is known."""
        before = self._records.get(record.name)
        if before is not None and before.incarnation > record.incarnation:
            return
        newest = self._newest_report_numbers.get(record.identity, record.report_number)
        if record.report_number < newest:
            events.RECORD_STALE.log(
                backend=record.name,
                report_number=record.report_number,
                newest=newest,
                draining=record.draining,
            )
            return
        self._record_report_number(record)
        self._records[record.name] = record
        self._expected_until.pop(record.name, None)
        self._versions_seen[record.service].add(record.software_version)
        if before is None or before.identity != record.identity:
            events.BACKEND_SEEN.log(
                backend=record.name,
                service=record.service,
                address=record.address,
                incarnation=record.incarnation,
                software_version=record.software_version,
                models=sorted(record.models),
                in_memory=sorted(record.in_memory),
                on_disk=sorted(record.on_disk),
            )
        elif record.draining and not before.draining:
            events.BACKEND_DRAINING.log(backend=record.name, address=record.address)

    def _record_report_number(self, record: BackendRecord) -> None:
        """Keep the newest report number, even after the record is removed."""
        self._newest_report_numbers.pop(record.identity, None)
        self._newest_report_numbers[record.identity] = record.report_number
        drop_oldest(self._newest_report_numbers, self.MAX_REPORT_NUMBERS)

    def drop(self, name: str) -> None:
        """Remove a backend server whose record was deleted.

        Only a later report adds it again: a store that came back from an older copy
        shows the deleted record once more.
        """
        record = self._records.pop(name, None)
        self._expected_until.pop(name, None)
        self._notices.pop(name, None)
        if record is not None:
            self._newest_report_numbers[record.identity] = record.report_number + 1
            events.BACKEND_REMOVED.log(backend=name, address=record.address)

    def replace_all(
        self, records: Iterable[BackendRecord], *, keep_missing: bool = False
    ) -> None:
        """Replace all records with a complete list.

        Args:
            records: The listed backend servers.
            keep_missing: Whether unlisted ones are kept for `RETURN_SECONDS`.
        """
        listed = {record.name: record for record in records}
        for name in set(self._records) - set(listed):
            if keep_missing:
                self.expect_again(name)
            else:
                self.drop(name)
        for record in listed.values():
            self.put(record)

    def expect_again(self, name: str) -> None:
        """Remove a backend server after `RETURN_SECONDS` without a new record."""
        if name in self._records:
            until = self._clock.monotonic() + self.RETURN_SECONDS
            self._expected_until.setdefault(name, until)

    def expire(self) -> None:
        """Remove the backend servers that have not written their record again."""
        now = self._clock.monotonic()
        for name, until in list(self._expected_until.items()):
            if until <= now:
                self.drop(name)

    def versions(self) -> set[tuple[str, str]]:
        """Return each service with each software version of its backend servers."""
        return {(r.service, r.software_version) for r in self._records.values()}

    def versions_seen(self, service: str) -> frozenset[str]:
        """Return the software versions of a service's backend servers so far.

        Those of backend servers that have left are included.
        """
        return frozenset(self._versions_seen[service])

    def note_holding(self, notice: HoldingNotice) -> None:
        """Apply a notice of the order leader, unless a newer one is known."""
        known = self._notices.get(notice.backend)
        if (
            known is None
            or known.incarnation != notice.incarnation
            or known.orders_accepted <= notice.orders_accepted
        ):
            self._notices[notice.backend] = notice
            for model, adapters in notice.models.items():
                for adapter in adapters:
                    self._missing_until.pop(
                        (notice.backend, f"{model}/{adapter}"), None
                    )

    def note_retired(self, notice: RetireNotice) -> None:
        """Exclude a backend server for a model that is about to be unloaded."""
        key = (notice.backend, notice.incarnation, notice.model)
        self._retired_until[key] = self._clock.monotonic() + self.RETIRED_SECONDS

    def note_missing(self, backend: str, artifact: str) -> None:
        """Record that a backend server refused a request for lack of an artifact."""
        until = self._clock.monotonic() + self.MISSING_SECONDS
        self._missing_until[backend, artifact] = until

    def note_unreachable(self, record: BackendRecord) -> None:
        """Exclude a backend server that refuses connections for a while."""
        until = self._clock.monotonic() + self.UNREACHABLE_PAUSE_SECONDS
        if not self.is_unreachable(record):
            events.BACKEND_UNREACHABLE.log(backend=record.name, address=record.address)
        self._unreachable_until[record.identity] = until

    def forget_unreachable(self) -> None:
        """Admit all backend servers again that refused connections.

        The refusals were due to this instance's own paths.
        """
        self._unreachable_until.clear()

    def note_reachable(self, record: BackendRecord) -> None:
        """Admit a backend server again that has accepted a connection."""
        self._unreachable_until.pop(record.identity, None)

    def note_replaced(self, record: BackendRecord) -> None:
        """Exclude a backend server at whose address another one answered.

        Its record persists for some heartbeats. A later report admits it again.
        """
        self._replaced.pop(record.identity, None)
        self._replaced[record.identity] = record.report_number
        drop_oldest(self._replaced, self.MAX_REPORT_NUMBERS)
        events.BACKEND_REPLACED.log(backend=record.name, address=record.address)

    def _is_replaced(self, record: BackendRecord) -> bool:
        return self._replaced.get(record.identity, -1) >= record.report_number

    def at_address(self, address: str) -> BackendRecord | None:
        """Return the backend server at an address, the latest one if several had it."""
        records = [r for r in self._records.values() if r.address == address]
        return max(records, key=lambda r: r.incarnation, default=None)

    def is_unreachable(self, record: BackendRecord) -> bool:
        """Return whether a backend server recently refused a connection.

        So does one at whose address another one answers.
        """
        until = self._unreachable_until.get(record.identity, 0.0)
        return until > self._clock.monotonic() or self._is_replaced(record)

    def reachable(self, service: str) -> list[BackendRecord]:
        """Return the backend servers of a service that take requests now.

        They are reachable, do not drain or leave, and want no pause.
        """
        records = self.responsive(service)
        if not self.statements.any_paused:
            return records
        return [r for r in records if not self.statements.pause_left(r.identity)]

    def takes_requests(self, name: str) -> bool:
        """Return whether a backend server takes requests now."""
        record = self._records.get(name)
        return record is not None and record in self.reachable(record.service)

    def responsive(self, service: str) -> list[BackendRecord]:
        """Return the reachable backend servers of a service, also those that pause."""
        return [r for r in self.of_service(service) if not self.is_unreachable(r)]

    def adapters(self, record: BackendRecord, model: str) -> frozenset[str]:
        """Return the adapters of a model that a backend server holds."""
        notice = self._notices.get(record.name)
        if notice is not None and notice.incarnation == record.incarnation:
            return frozenset(notice.models.get(model, ()))
        return record.models.get(model, frozenset())

    def holds_model(self, record: BackendRecord, model: str) -> bool:
        """Return whether requests for a model may be sent to a backend server."""
        notice = self._notices.get(record.name)
        current = notice is not None and notice.incarnation == record.incarnation
        # Either source suffices: records are not updated while the store is
        # unavailable, and notices are not sent while there is no order leader.
        if model not in record.models and not (current and model in notice.models):
            return False
        now = self._clock.monotonic()
        retired = self._retired_until.get((record.name, record.incarnation, model), 0.0)
        return (
            retired <= now and self._missing_until.get((record.name, model), 0.0) <= now
        )

    def holds(self, record: BackendRecord, model: str, adapter: str) -> bool:
        """Return whether a backend server is ready for a model and adapter.

        An empty adapter stands for the model alone.
        """
        if not self.holds_model(record, model):
            return False
        if not adapter:
            return True
        missing = self._missing_until.get((record.name, f"{model}/{adapter}"), 0.0)
        return (
            adapter in self.adapters(record, model)
            and missing <= self._clock.monotonic()
        )

    def refused_by(self, artifact: str) -> tuple[str, ...]:
        """Return the backend servers that recently reported an artifact as missing."""
        now = self._clock.monotonic()
        return tuple(
            sorted(
                name
                for (name, missing), until in self._missing_until.items()
                if missing == artifact and until > now
            )
        )

    def of_service(self, service: str) -> list[BackendRecord]:
        """Return the backend servers of a service that neither drain nor leave.

        Those of evacuated data centres are left out.
        """
        return self._outside_evacuations(self._of_service(service))

    def has_version(self, service: str, software_version: str) -> bool:
        """Return whether a backend server of a version neither drains nor leaves.

        It may be in an evacuated data centre, from which it returns.
        """
        return any(
            record.software_version == software_version
            for record in self._of_service(service)
        )

    def _of_service(self, service: str) -> list[BackendRecord]:
        records = [
            record
            for record in self._records.values()
            if record.service == service and not record.draining
        ]
        if not self.statements.any_leaving:
            return records
        return [r for r in records if not self.statements.is_leaving(r.identity)]
