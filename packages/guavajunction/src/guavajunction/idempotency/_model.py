"""The stored row of a claim, and the outcomes of an attempt."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from guavajunction.storage import Row

CLAIMED = "claimed"
"""The attempt that claimed the request may send it, or has sent it."""
DONE = "done"
"""The request was run and its answer is recorded."""
NOT_RUN = "not_run"
"""No byte of the request was sent; another attempt may claim it."""
UNKNOWN = "unknown"
"""The request was sent and its outcome is not known."""


class RecordedAnswer(NamedTuple):
    """The first answer to a request, replayed for repeated requests."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Outcome(NamedTuple):
    """The outcome of an attempt."""

    state: str
    """`done`, `not_run` or `unknown`."""
    answer: RecordedAnswer | None = None
    """The answer, if the state is `done`."""


class ClaimRow(NamedTuple):
    """Body of a row in a `once/…` partition."""

    state: str
    attempt: str
    """Random id of the attempt that claimed the request."""
    holder: str
    """Incarnation of the instance that claimed the request."""
    request_hash: str
    """Hash of method, path and body, to detect a key reused for another request."""
    expires_at: float
    """Unix time in seconds after which the row may be deleted."""
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    """Body of the answer; empty if the body is stored as an object."""
    body_object: str = ""
    """Name of the object with the body of the answer; empty if `body` has it."""


class ClaimKey(NamedTuple):
    """Key of a claim's row in the table."""

    partition: str
    sort: str


def decode(row: Row) -> ClaimRow:
    """Decode the body of a claim's row."""
    return msgspec.msgpack.decode(row.body, type=ClaimRow)


def encode(claim: ClaimRow) -> bytes:
    """Encode the body of a claim's row."""
    return msgspec.msgpack.encode(claim)
