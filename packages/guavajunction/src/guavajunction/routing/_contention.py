"""This instance's part of a backend server that several instances contend for."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from guavajunction.clock import Clock
from guavajunction.peers import Links, PeerId

Activity = dict[str, float]
"""Weight of each customer with requests waiting or in flight, by name."""


class ContentionShare:
    """Splits a full backend server by the customers active on each instance.

    A customer's weight counts once over the fleet: where it is active on several
    instances, each has an equal part of it. An instance that carries one of four
    equal customers gets a quarter, however many requests that customer sends.
    """

    TOPIC = "activity"
    REPORT_TIMEOUT_SECONDS = 3.0
    """Reports older than this are left out."""

    def __init__(
        self, links: Links, clock: Clock, activity: Callable[[], Activity]
    ) -> None:
        self._clock = clock
        self._activity = activity
        self._reports: dict[PeerId, tuple[float, Activity]] = {}
        links.share(self.TOPIC, activity, self._on_report, Activity)

    def fraction(self) -> float:
        """Return this instance's part, from 0 to 1."""
        mine = self._activity()
        others = self._fresh_reports()
        instance_counts = Counter(name for report in (mine, *others) for name in report)
        total = sum({n: w for r in (*others, mine) for n, w in r.items()}.values())
        if not total:
            return 1.0
        return (
            sum(weight / instance_counts[name] for name, weight in mine.items()) / total
        )

    def _fresh_reports(self) -> list[Activity]:
        oldest = self._clock.monotonic() - self.REPORT_TIMEOUT_SECONDS
        self._reports = {p: r for p, r in self._reports.items() if r[0] >= oldest}
        return [report for _, report in self._reports.values()]

    def _on_report(self, sender: PeerId, report: Activity) -> None:
        self._reports[sender] = (self._clock.monotonic(), report)
