"""Messages between instances about backend servers."""

from __future__ import annotations

from typing import NamedTuple

from ._model import CacheEvent, Resident


class StateDigest(NamedTuple):
    """The whole state of a backend server, sent by the instance that polls it."""

    name: str
    age: float
    """Age of the load report in seconds."""
    running: int
    waiting: int
    slots: int
    resident: tuple[Resident, ...]
    used_mib: int
    leaving: bool
    healthy: bool
    seq: int


class LoadDigest(NamedTuple):
    """The load of a backend server whose other state has not changed."""

    name: str
    age: float
    running: int
    waiting: int
    seq: int
    fingerprint: int
    """Result of `fingerprint_of` for the state."""


class StateWanted(NamedTuple):
    """Requests the whole state of a backend server from the instance that polls it."""

    name: str


class CacheNews(NamedTuple):
    """Cache events of a backend server, sent by the instance that polls it."""

    name: str
    after: int
    """Sequence number before the first of the events."""
    events: tuple[CacheEvent, ...]
    last: int
    """Sequence number up to which the events are complete."""


class RetireAsk(NamedTuple):
    """Requests that an instance stop sending an artifact's requests to an engine."""

    backend: str
    artifact: str
    seconds: float
    """Seconds until the request expires unless it is repeated."""


class RetireAnswer(NamedTuple):
    """Response of an instance to `RetireAsk`."""

    in_flight: int
    """Requests of the instance for the artifact that still run on the engine."""
