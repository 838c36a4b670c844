"""Messages about backend servers between instances."""

from __future__ import annotations

from typing import NamedTuple

from ._model import CacheEvent, Resident


class StateDigest(NamedTuple):
    """A backend server's whole state, from the instance that reads it."""

    name: str
    age: float
    """Seconds since the time that the report speaks of."""
    running: int
    waiting: int
    slots: int
    resident: tuple[Resident, ...]
    used_mib: int
    leaving: bool
    healthy: bool
    seq: int


class LoadDigest(NamedTuple):
    """A backend server's load while the rest of its state is unchanged."""

    name: str
    age: float
    running: int
    waiting: int
    seq: int
    fingerprint: int
    """Hash of the state that this digest leaves out."""


class StateWanted(NamedTuple):
    """Asks the reader of a backend server for its whole state."""

    name: str


class CacheNews(NamedTuple):
    """Cache events of one backend server."""

    name: str
    after: int
    """Sequence number that the events follow on."""
    events: tuple[CacheEvent, ...]
    last: int


class RetireAsk(NamedTuple):
    """Asks an instance to send an engine no more work for an artifact."""

    backend: str
    artifact: str
    seconds: float
    """How long this holds unless it is asked again."""


class RetireAnswer(NamedTuple):
    """An instance's answer to `RetireAsk`."""

    in_flight: int
    """Its requests for the artifact that still run on the engine."""
