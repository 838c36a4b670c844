"""Numbered log events.

Each aggregate declares its events as module constants in its ``_events`` module.
docs/reference/log-events.md lists all of them, and a test compares the two lists.

Number ranges: 100 process, 200 configuration, 300 membership and peers,
400 customers, 500 backends, 600 placement, 700 routing, 800 idempotency, 900 directory
(reserved), 1000 gateway, 1100 storage, 1200 fleet, 1300 swapping,
1400 quarantine, 1500 intake, 1600 tunnels, 1700 statements, 1800 brittle,
1900 evacuation, 2000 memory, 2100 server speeds, 2200 connections.
"""

from __future__ import annotations

from typing import Any

import eliot

_CATALOGUE: dict[int, LogEvent] = {}

_PROCESS = eliot.start_task(action_type="guavajunction:process")
"""One eliot task for the whole process, because creating a task for each line costs
more than logging the line."""


class LogEvent:
    """One kind of log line, with a number that never changes its meaning."""

    def __init__(self, number: int, name: str, meaning: str) -> None:
        if number in _CATALOGUE:
            raise ValueError(f"log event {number} is declared twice")
        self.number = number
        """The number that operators search for."""
        self.name = name
        """The message type, `aggregate:what_happened`."""
        self.meaning = meaning
        """One sentence for the catalogue of log events."""
        _CATALOGUE[number] = self

    def log(self, **fields: Any) -> None:
        """Write one log line. No field may contain a key or a prompt."""
        _PROCESS.log(message_type=self.name, event=self.number, **fields)


def catalogue() -> list[LogEvent]:
    """Return all declared events, sorted by number."""
    return [_CATALOGUE[number] for number in sorted(_CATALOGUE)]
