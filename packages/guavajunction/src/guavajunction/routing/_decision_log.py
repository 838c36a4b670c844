"""Keeps the latest decisions by request, so that they can be explained."""

from __future__ import annotations

import time
from collections import OrderedDict
from typing import Any

from guavajunction.events import LogEvent


class DecisionLog:
    """Writes one log line for each decision and remembers the latest requests'."""

    MAX_REQUESTS = 4096
    MAX_DECISIONS_PER_REQUEST = 32

    def __init__(self) -> None:
        self._decisions: OrderedDict[str, list[dict[str, Any]]] = OrderedDict()

    def note(self, event: LogEvent, request_id: str, **fields: Any) -> None:
        """Log a decision about a request and keep it.

        Args:
            event: What was decided.
            request_id: The request.
            **fields: Details; never a key or a prompt.
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
        """Return the decisions about a request, oldest first."""
        return list(self._decisions.get(request_id, []))
