"""Messages between instances about the shares of a customer's rate, and the row.

Units are 1,024ths of a customer's rate and burst; tokens on the wire are
microtokens.
"""

from __future__ import annotations

from typing import NamedTuple

from guavajunction.peers import PeerId


class ShareRow(NamedTuple):
    """Body of a customer's `share` row."""

    epoch: int
    """Raised whenever missing units are granted anew."""
    author: PeerId
    """The run of an instance that raised it and may grant, once."""


class ShareDigest(NamedTuple):
    """One customer's share at the sender, in every heartbeat."""

    customer: str
    epoch: int
    units: int
    in_flight: int
    """Units that were sent and that no live receiver has acknowledged yet."""
    level: int
    """Microtokens that could be spent at once."""
    demand: float
    """Tokens a second that were asked for lately."""
    largest: float
    """Tokens of the largest request of late."""


class Transfer(NamedTuple):
    """Units that the sender has deducted; sent again until acknowledged."""

    customer: str
    epoch: int
    sequence: int
    floor: int
    """Every transfer to this receiver below it has been acknowledged."""
    units: int
    level: int
    """Microtokens that move along."""


class TransferAck(NamedTuple):
    """Answers a transfer."""

    customer: str
    epoch: int
    sequence: int
    taken: bool
    """Whether the units are, or had been before, added at the receiver."""


class UnitsAsk(NamedTuple):
    """Asks a peer for part of its share."""

    customer: str
    epoch: int
    level: int
    """Microtokens that are needed at once."""
    units: int
    """Units that the sender has."""
    demand: float
    """Tokens a second that were asked of the sender lately."""
    largest: float
    """Tokens of the largest request of late at the sender."""


class UnitsReply(NamedTuple):
    """Answers with what is given and what is left."""

    epoch: int
    transfer: Transfer | None
    units: int
    level: int


class ReportAsk(NamedTuple):
    """The author of an epoch asks how many units a member took into it."""

    customer: str
    epoch: int
    counted: bool
    """Whether the author already has this member's report."""


class UnitsReport(NamedTuple):
    """Answers with the units that were relabelled to the epoch."""

    epoch: int
    """0 if the member is not ready to take part."""
    units: int
