"""Messages between instances about shares, and the stored share row.

A unit is 1/1,024 of a customer's rate and burst. Levels are in microtokens.
"""

from __future__ import annotations

from typing import NamedTuple

from guavajunction.peers import PeerId


class ShareRow(NamedTuple):
    """Body of a customer's row in the `share` partition."""

    epoch: int
    """Incremented each time before missing units are granted again."""
    author: PeerId
    """Incarnation that raised the epoch; the only one that may grant units in it, once.
    """


class ShareDigest(NamedTuple):
    """One customer's share at the sender; part of every heartbeat."""

    customer: str
    epoch: int
    units: int
    in_flight: int
    """Units in unacknowledged transfers to reachable receivers."""
    level: int
    """Microtokens that can be charged immediately."""
    demand: float
    """Recently requested tokens per second at the sender."""
    largest: float
    """Size of the largest recent request in tokens."""


class Transfer(NamedTuple):
    """Moves units that the sender has deducted; resent until acknowledged."""

    customer: str
    epoch: int
    sequence: int
    floor: int
    """All transfers to this receiver with lower sequence numbers are acknowledged."""
    units: int
    level: int
    """Microtokens that move with the units."""


class TransferAck(NamedTuple):
    """Reply to `Transfer`."""

    customer: str
    epoch: int
    sequence: int
    taken: bool
    """Whether the receiver has added the units, from this copy or an earlier one."""


class UnitsAsk(NamedTuple):
    """Requests units from a peer's share. Reply: `UnitsReply`."""

    customer: str
    epoch: int
    level: int
    """Microtokens that the sender needs immediately."""
    units: int
    """Units in the sender's share."""
    demand: float
    """Recently requested tokens per second at the sender."""
    largest: float
    """Size of the largest recent request at the sender in tokens."""


class UnitsReply(NamedTuple):
    """Reply to `UnitsAsk`."""

    epoch: int
    """Epoch of the replying peer's share; 0 if the peer does not know the customer."""
    transfer: Transfer | None
    """The transfer of the sent units, None if the peer sends none."""
    units: int
    """Units that remain in the peer's share."""
    level: int
    """Microtokens that remain; 0 if the peer may not send units."""


class ReportAsk(NamedTuple):
    """Requests the units that a member had on entry to an epoch.

    Sent by the author of the epoch. Reply: `UnitsReport`.
    """

    customer: str
    epoch: int
    counted: bool
    """Whether the author has already counted this member's report."""


class UnitsReport(NamedTuple):
    """Reply to `ReportAsk`."""

    epoch: int
    """The member's epoch.

    0 if the member is not ready or does not know the customer.
    """
    units: int
    """Units that the member had on entry to its epoch."""
