"""Wire format of messages between two instances."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

import msgspec

from ._protocols import PeerId


class Kind(IntEnum):
    """Kind of message in an envelope."""

    HEARTBEAT = 0
    """A heartbeat; `body` is a `Heartbeat`."""
    SEND = 1
    """A message without a reply."""
    REQUEST = 2
    """A message that expects a reply with the same request id."""
    REPLY = 3
    """The reply to a request."""
    PACKED_SEND = 4
    """A `SEND` with a compressed body."""
    PACKED_REQUEST = 5
    """A `REQUEST` with a compressed body."""
    PACKED_REPLY = 6
    """A `REPLY` with a compressed body."""


class Envelope(NamedTuple):
    """Sender, receiver and content of one message."""

    kind: Kind
    sender: PeerId
    address: str
    """Address that the sender's router listens on, `host:port`."""
    to: str
    """Receiver's incarnation; empty before its first heartbeat was received."""
    request_id: int
    """Pairs a reply with its request; 0 for other kinds."""
    name: str
    """Name of the message type; empty for heartbeats and replies."""
    body: msgspec.Raw
    """MessagePack encoding of the content; for the packed kinds, of its compressed
    bytes."""


class Heartbeat(NamedTuple):
    """Content of one heartbeat."""

    sequence: int
    """Sequence number of the sender's heartbeats, from 1."""
    echo: int
    """Highest sequence number that the sender has received from the receiver; 0 for
    none."""
    topics: dict[str, msgspec.Raw]
    """MessagePack encodings of the topics' values, by topic."""
