"""What callers and backend servers saw in a soak."""

from __future__ import annotations

from typing import NamedTuple

from guavajunction_fakes.deployment import Run


class Call(NamedTuple):
    """One request as its caller saw it."""

    request_id: str
    kind: str
    """Name of the route."""
    target: str
    """Path and query."""
    key: str
    sent_at: float
    """Monotonic, in seconds, as all times here."""
    status: int | None = None
    """None if no whole answer came."""
    sealed: bool = False
    body: bytes = b""


class Change(NamedTuple):
    """Something that the operator or a runner wrote to the store."""

    at: float
    kind: str
    """`drain` or `keys`."""
    subject: str
    """Name of the runner, or the key that is withdrawn."""
    until: float = float("inf")
    """When it was undone."""


class History(NamedTuple):
    """Everything that promises are checked on."""

    calls: tuple[Call, ...]
    runs: dict[str, tuple[Run, ...]]
    """By runner."""
    changes: tuple[Change, ...]
    fault_periods: tuple[tuple[float, float], ...]
    """Beginning and end of each fault."""
    overloads: dict[str, tuple[str, ...]]
    """Orders that exceeded a runner's memory, by runner."""
    unexpected_exits: tuple[str, ...]
    """Processes that ended by themselves."""
    failed_stops: tuple[str, ...]
    """Planned stops that did not end in time with status 0."""
    recovery_deadline: float
    """From then on everything should be served again."""
    stream_events: int
    customer: str
