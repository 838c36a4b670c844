"""Computes this instance's share of backend servers that are full."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from guavajunction.clock import Clock
from guavajunction.peers import Links, PeerId

Activity = dict[str, float]
"""Weight by customer name, for customers with requests queued or in flight."""


class ContentionShare:
    """Divides the slots of a full backend server among the instances.

    Each instance gets a share in proportion to the weights of the customers that are
    active on it. A customer's weight counts once in the fleet: it is divided equally
    among the instances on which the customer is active. An instance that serves one
    of four customers of equal weight gets a quarter of the slots, however many
    requests that customer sends.
    """

    TOPIC = "activity"
    REPORT_TIMEOUT_SECONDS = 3.0
    """Age above which the report of another instance is dropped."""

    def __init__(
        self, links: Links, clock: Clock, activity: Callable[[], Activity]
    ) -> None:
        self._clock = clock
        self._activity = activity
        self._reports: dict[PeerId, tuple[float, Activity]] = {}
        links.add_topic(self.TOPIC, activity, self._on_report, Activity)

    def fraction(self) -> float:
        """Return this instance's share of the slots, from 0 to 1."""
        mine = self._activity()
        others = self._fresh_reports()
        instance_counts = Counter(name for report in (mine, *others) for name in report)
        total = sum(
            {
                name: weight
                for report in (*others, mine)
                for name, weight in report.items()
            }.values()
        )
        if not total:
            return 1.0
        return (
            sum(weight / instance_counts[name] for name, weight in mine.items()) / total
        )

    def _fresh_reports(self) -> list[Activity]:
        oldest = self._clock.monotonic() - self.REPORT_TIMEOUT_SECONDS
        self._reports = {
            peer: received
            for peer, received in self._reports.items()
            if received[0] >= oldest
        }
        return [report for _, report in self._reports.values()]

    def _on_report(self, sender: PeerId, report: Activity) -> None:
        self._reports[sender] = (self._clock.monotonic(), report)
