"""Member rows, and the view that names the voters."""

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
    """Content of a member row: one incarnation of an instance."""

    record: InstanceRecord
    """Name, addresses and data centre."""
    renewals: int
    """Number of times that the member itself has written the row."""
    state: State
    """`left` if the member has certainly stopped, `revoked` if it may still act."""


class Member(NamedTuple):
    """A member row as read from the store."""

    peer: PeerId
    version: int
    """Version of the row."""
    row: MemberRow

    @property
    def active(self) -> bool:
        """Whether the member may renew its row."""
        return self.row.state in ("live", "leaving")


class View(NamedTuple):
    """The voters: the members of which a majority is needed for a decision."""

    number: int
    """Version of the view's row; 0 if no view has been written."""
    voters: tuple[PeerId, ...]

    @property
    def majority(self) -> int:
        """The smallest number of voters that is more than half of them."""
        return len(self.voters) // 2 + 1


NO_VIEW = View(0, ())

_member_row_decoder = msgspec.msgpack.Decoder(MemberRow)
_voters_decoder = msgspec.msgpack.Decoder(tuple[PeerId, ...])
encode = msgspec.msgpack.encode


def decode_member(row: Row) -> Member:
    """Decode a member row.

    Raises:
        msgspec.DecodeError: The row is malformed.
    """
    content = _member_row_decoder.decode(row.body)
    return Member(PeerId(content.record.name, row.sort), row.version, content)


def decode_view(row: Row | None) -> View:
    """Decode the row of the view; return `NO_VIEW` if the row does not exist.

    Raises:
        msgspec.DecodeError: The row is malformed.
    """
    return View(row.version, _voters_decoder.decode(row.body)) if row else NO_VIEW
