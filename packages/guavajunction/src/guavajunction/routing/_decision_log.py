"""Logs routing decisions and keeps the latest ones in memory for `explain`."""

from __future__ import annotations

import time
from collections import OrderedDict
from typing import Any

from guavajunction.events import LogEvent


class DecisionLog:
    """Writes a log line per decision and keeps the decisions of recent requests."""

    MAX_REQUESTS = 4096
    MAX_DECISIONS_PER_REQUEST = 32

    def __init__(self) -> None:
        self._decisions: OrderedDict[str, list[dict[str, Any]]] = OrderedDict()

    def note(self, event: LogEvent, request_id: str, **fields: Any) -> None:
        """Log a decision and store it for `explain`.

        Args:
            event: Log event of the decision.
            request_id: Request that the decision is about.
            **fields: Details for the log line. Must not contain API keys or prompts.
        """
        event.log(request_id=request_id, **fields)
        entries = self._decisions.get(request_id)
        if entries is None:
            entries = self._decisions[request_id] = []
            if len(self._decisions) > self.MAX_REQUESTS:
                self._decisions.popitem(last=False)
        if len(entries) < self.MAX_DECISIONS_PER_REQUEST:
            entries.append(
                {"time": time.time(), "event": event.number, "what": event.name}
                | fields
            )

    def explain(self, request_id: str) -> list[dict[str, Any]]:
        """Return the stored decisions about a request, oldest first."""
        return list(self._decisions.get(request_id, []))
