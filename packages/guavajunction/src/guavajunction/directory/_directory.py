"""Ranks the entry instances for each customer."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import NamedTuple

import xxhash

from guavajunction.clock import Clock
from guavajunction.peers import Links, PeerId
from guavajunction.storage import InstanceRecord


class DirectoryEntry(NamedTuple):
    """One instance in the directory's response."""

    name: str
    data_centre: str
    address: str
    port: int


class _Report(NamedTuple):
    """Status of an instance that it sends with its heartbeats."""

    serving: bool
    """Whether callers may be directed to the instance."""
    in_flight: int
    """Number of requests that the instance is serving."""


class Directory:
    """Directs each customer to a few instances and avoids overloaded ones.

    Using few instances for each customer concentrates the shares of its rate limit
    and keeps prefix caches warm. Rendezvous hashing gives all instances the same
    ranking without communication. Instances whose load is far above the mean are
    ranked last.
    """

    TOPIC = "directory"
    INSTANCES_PER_CUSTOMER = 3
    OVERLOAD_FACTOR = 2.0
    """An instance is overloaded if its requests in flight exceed this multiple of the
    mean plus `OVERLOAD_SLACK_REQUESTS`."""
    OVERLOAD_SLACK_REQUESTS = 8
    FRESH_SECONDS = 3.0
    """Instances without a heartbeat for longer than this are excluded."""

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
            links: Links that carry the status of the instances.
            clock: Source of time for the age of status reports.
            own: Record of this instance.
            records: Returns the instances listed by the platform or the store.
            serving: Returns whether callers may be directed to this instance.
            in_flight: Returns the number of requests that this instance is serving.
        """
        self._clock = clock
        self._own = own
        self._records = records
        self._serving = serving
        self._in_flight = in_flight
        self._reports: dict[str, tuple[float, _Report]] = {}
        links.add_topic(self.TOPIC, self._report, self._on_report, _Report)

    def ranked(self, customer: str, data_centre: str | None) -> list[DirectoryEntry]:
        """Return the serving instances, ranked for a customer, best first.

        Args:
            customer: The customer's name, or an empty string if it is unknown.
            data_centre: The caller's data centre, or None if it is unknown. Its
                instances come first among the customer's preferred ones.

        Returns:
            All serving instances, so that a caller has alternatives when some fail.
        """
        loads = self._loads()
        serving = [r for r in self._all_records() if r.name in loads]
        ranked = sorted(serving, key=lambda r: _weight(customer, r.name), reverse=True)
        preferred_count = self.INSTANCES_PER_CUSTOMER if customer else len(ranked)
        preferred, others = ranked[:preferred_count], ranked[preferred_count:]
        preferred.sort(key=lambda r: r.data_centre != data_centre)
        threshold = self._overload_threshold(loads)
        ordered = sorted(preferred + others, key=lambda r: loads[r.name] > threshold)
        return [
            DirectoryEntry(r.name, r.data_centre, r.address, r.http_port)
            for r in ordered
        ]

    def _all_records(self) -> list[InstanceRecord]:
        others = [r for r in self._records() if r.name != self._own.name]
        return [self._own, *others]

    def _loads(self) -> dict[str, int]:
        """Return the number of requests in flight on each serving instance, by name."""
        oldest = self._clock.monotonic() - self.FRESH_SECONDS
        loads = {
            name: report.in_flight
            for name, (received_at, report) in self._reports.items()
            if received_at >= oldest and report.serving
        }
        loads.pop(self._own.name, None)
        if self._serving():
            loads[self._own.name] = self._in_flight()
        return loads

    def _overload_threshold(self, loads: dict[str, int]) -> float:
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
