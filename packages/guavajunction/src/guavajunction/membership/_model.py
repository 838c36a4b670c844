"""Rows of the members and their view."""

from __future__ import annotations

from typing import Literal, NamedTuple

import msgspec

from guavajunction.peers import PeerId
from guavajunction.storage import InstanceRecord, Row

MEMBER_PARTITION = "member"
VIEW_PARTITION = "member-view"
VIEW_SORT = "head"

State = Literal["live", "leaving", "left", "revoked"]


class MemberRow(NamedTuple):
    """What the store keeps of one incarnation."""

    record: InstanceRecord
    """Name, addresses and data centre."""
    renewals: int
    """Counts the writes by the member itself."""
    state: State
    """`left` if it certainly no longer runs, `revoked` if it may still run."""


class Member(NamedTuple):
    """One row as it was read."""

    peer: PeerId
    version: int
    """Version of the row."""
    row: MemberRow

    @property
    def active(self) -> bool:
        """Whether the member may renew its row."""
        return self.row.state in ("live", "leaving")


class View(NamedTuple):
    """The members whose majority counts."""

    number: int
    """Version of the row; 0 before there is any."""
    voters: tuple[PeerId, ...]

    @property
    def majority(self) -> int:
        """Return the least number of voters that is more than half."""
        return len(self.voters) // 2 + 1


NO_VIEW = View(0, ())

_member_rows = msgspec.msgpack.Decoder(MemberRow)
_voters = msgspec.msgpack.Decoder(tuple[PeerId, ...])
encode = msgspec.msgpack.encode


def member_from(row: Row) -> Member:
    """Return the member that a row describes."""
    content = _member_rows.decode(row.body)
    return Member(PeerId(content.record.name, row.sort), row.version, content)


def view_from(row: Row | None) -> View:
    """Return the view that a row describes, `NO_VIEW` if there is none."""
    return View(row.version, _voters.decode(row.body)) if row else NO_VIEW
