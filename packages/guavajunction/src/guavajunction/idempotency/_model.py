"""A claim's row and the outcomes that it can have."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from guavajunction.storage import Row

CLAIMED = "claimed"
"""The request may be sent, or has been, by the attempt that claimed it."""
DONE = "done"
"""The request ran; its answer is recorded."""
NOT_RUN = "not_run"
"""No byte of the request was sent; it may be claimed anew."""
UNKNOWN = "unknown"
"""The request was sent and how it ended is not known."""


class RecordedAnswer(NamedTuple):
    """An answer as it was first given, to be replayed."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Outcome(NamedTuple):
    """How an attempt ended."""

    state: str
    """`done`, `not_run` or `unknown`."""
    answer: RecordedAnswer | None = None
    """The answer if it is done."""


class ClaimRow(NamedTuple):
    """Body of a `once` row."""

    state: str
    attempt: str
    """Random identity of the attempt that claimed it."""
    holder: str
    """Run of the instance that claimed it."""
    request_hash: str
    expires_at: float
    """Seconds since the epoch after which the row may be deleted."""
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    """The answer's body, unless it is kept as an object."""
    body_object: str = ""
    """Name of the object that holds the answer's body."""


class ClaimKey(NamedTuple):
    """Where a claim's row is."""

    partition: str
    sort: str


def decode(row: Row) -> ClaimRow:
    """Return the content of a `once` row."""
    return msgspec.msgpack.decode(row.body, type=ClaimRow)


def encode(claim: ClaimRow) -> bytes:
    """Return the body of a `once` row."""
    return msgspec.msgpack.encode(claim)
