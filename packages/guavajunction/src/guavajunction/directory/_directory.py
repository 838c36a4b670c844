"""Ranks the entry instances for a customer."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import NamedTuple

import xxhash

from guavajunction.clock import Clock
from guavajunction.peers import Links, PeerId
from guavajunction.storage import InstanceRecord


class DirectoryEntry(NamedTuple):
    """One instance in the directory's answer."""

    name: str
    data_centre: str
    address: str
    port: int


class _Report(NamedTuple):
    """What an instance says of itself in its heartbeats."""

    serving: bool
    """Whether callers may be sent to it."""
    in_flight: int
    """Requests that it is serving."""


class Directory:
    """Steers each customer to a few instances, and around the busy ones.

    Few instances for each customer keep its rate's shares together and the prefix
    caches warm. Rendezvous hashing gives every instance the same ranking without a
    message; an instance whose load is far above the mean moves to the end.
    """

    TOPIC = "directory"
    INSTANCES_PER_CUSTOMER = 3
    OVERLOAD_FACTOR = 2.0
    """An instance is busy above this multiple of the mean load."""
    OVERLOAD_SLACK_REQUESTS = 8
    FRESH_SECONDS = 3.0
    """Instances not heard from for longer are left out."""

    def __init__(
        self,
        links: Links,
        clock: Clock,
        own: InstanceRecord,
        records: Callable[[], list[InstanceRecord]],
        serving: Callable[[], bool],
        in_flight: Callable[[], int],
    ) -> None:
        """Create a directory.

        Args:
            links: Carries what the instances say of themselves.
            clock: Ages their reports.
            own: This instance.
            records: The instances that the platform or the store lists.
            serving: Whether callers may be sent to this instance.
            in_flight: Requests that this instance is serving.
        """
        self._clock = clock
        self._own = own
        self._records = records
        self._serving = serving
        self._in_flight = in_flight
        self._reports: dict[str, tuple[float, _Report]] = {}
        links.add_topic(self.TOPIC, self._report, self._on_report, _Report)

    def ranked(self, customer: str, data_centre: str | None) -> list[DirectoryEntry]:
        """Return the serving instances, the best one for a customer first.

        Args:
            customer: The customer's name, or an empty text if it is not known.
            data_centre: Where the caller is; instances there go first among the
                customer's few.

        Returns:
            All instances that serve, so that a caller can go on when some fail.
        """
        loads = self._loads()
        serving = [r for r in self._all_records() if r.name in loads]
        ranked = sorted(serving, key=lambda r: _weight(customer, r.name), reverse=True)
        few = self.INSTANCES_PER_CUSTOMER if customer else len(ranked)
        preferred, others = ranked[:few], ranked[few:]
        preferred.sort(key=lambda r: r.data_centre != data_centre)
        bound = self._busy_bound(loads)
        ordered = sorted(preferred + others, key=lambda r: loads[r.name] > bound)
        return [
            DirectoryEntry(r.name, r.data_centre, r.address, r.http_port)
            for r in ordered
        ]

    def _all_records(self) -> list[InstanceRecord]:
        others = [r for r in self._records() if r.name != self._own.name]
        return [self._own, *others]

    def _loads(self) -> dict[str, int]:
        """Return the requests in flight on each instance that serves, by name."""
        oldest = self._clock.monotonic() - self.FRESH_SECONDS
        loads = {
            name: report.in_flight
            for name, (heard, report) in self._reports.items()
            if heard >= oldest and report.serving
        }
        loads.pop(self._own.name, None)
        if self._serving():
            loads[self._own.name] = self._in_flight()
        return loads

    def _busy_bound(self, loads: dict[str, int]) -> float:
        if not loads:
            return math.inf
        mean = sum(loads.values()) / len(loads)
        return mean * self.OVERLOAD_FACTOR + self.OVERLOAD_SLACK_REQUESTS

    def _report(self) -> _Report:
        return _Report(self._serving(), self._in_flight())

    def _on_report(self, sender: PeerId, report: _Report) -> None:
        self._reports[sender.name] = (self._clock.monotonic(), report)


def _weight(customer: str, instance: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{customer}/{instance}".encode())
