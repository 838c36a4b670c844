"""What travels between two instances."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

import msgspec

from ._protocols import PeerId


class Kind(IntEnum):
    """How the receiver treats an envelope."""

    HEARTBEAT = 0
    """A heartbeat; `body` is a `Beat`."""
    SEND = 1
    """A message without an answer."""
    REQUEST = 2
    """A message whose answer carries the same id."""
    REPLY = 3
    """The answer to an ask."""


class Envelope(NamedTuple):
    """Sender, receiver and content of one message."""

    kind: Kind
    sender: PeerId
    address: str
    """Where the sender's router listens, `host:port`."""
    to: str
    """Incarnation addressed, or empty before the first heartbeat was heard."""
    request_id: int
    """Pairs an answer with its ask; 0 for other kinds."""
    name: str
    """Name of the message type; empty for heartbeats and answers."""
    body: msgspec.Raw
    """Encoded content."""


class Heartbeat(NamedTuple):
    """One heartbeat."""

    sequence: int
    """Counts the sender's heartbeats from 1."""
    echo: int
    """Highest sequence that the sender has heard from the receiver; 0 for none."""
    topics: dict[str, msgspec.Raw]
    """Encoded values by topic."""
