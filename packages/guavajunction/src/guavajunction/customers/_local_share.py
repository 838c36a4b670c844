"""One customer's share at this instance."""

from __future__ import annotations

import asyncio
import math
from typing import NamedTuple

from guavajunction.configuration import Customer
from guavajunction.peers import PeerId

from ._bucket import MICRO, Charge, TokenBucket
from ._demand import DemandMeter
from ._messages import Transfer
from ._received_transfers import ReceivedTransfers

TOTAL_UNITS = 1024
"""Units that a customer's rate and burst are split into."""


class Outgoing(NamedTuple):
    """A transfer that its receiver has not acknowledged."""

    to: PeerId
    transfer: Transfer


class Holding:
    """Units of a customer's rate and the bucket that they fill.

    Units belong to an epoch. Whoever enters a higher epoch takes its units along
    and notes how many: that number is its report. It gives none away before the
    epoch's author has counted the report, since units that moved first and were
    reported never would be granted a second time.
    """

    def __init__(self, customer: Customer, now: float) -> None:
        self.customer = customer
        """The customer as the configuration last had it."""
        self.epoch = 0
        """Epoch of the units; 0 before any is known."""
        self.units = 0
        """Units that this instance may spend from."""
        self.reported = 0
        """Units that were taken into the epoch."""
        self.demand = DemandMeter(now)
        """Tokens that were asked of this instance."""
        self.borrowing = asyncio.Lock()
        """Held while peers are asked for units."""
        self._counted = True
        self._bucket = TokenBucket(0.0, 0, now)
        self._sequence = 0
        self._outgoing: dict[tuple[PeerId, int], Transfer] = {}
        self._received = ReceivedTransfers()

    @property
    def may_give(self) -> bool:
        """Whether the author has counted the units of this epoch."""
        return self._counted or self.reported == 0

    def level(self, now: float) -> int:
        """Return the microtokens that could be spent now."""
        return self._bucket.level(now)

    def charge(self, cost: int, now: float) -> Charge | None:
        """Charge microtokens to this share, or return None if it is too low."""
        return self._bucket.charge(cost, now)

    def settle(self, charge: Charge, used: int, now: float) -> None:
        """Refund the unspent part of a charge."""
        self._bucket.settle(charge, used, now)

    def set_customer(self, customer: Customer, now: float) -> None:
        """Apply the customer's rate and burst of the configuration in force."""
        if customer != self.customer:
            self.customer = customer
            self._resize(0, now)

    def enter(self, epoch: int) -> None:
        """Take the units into a higher epoch; a lower or equal one is ignored.

        What was sent and not acknowledged before is given up: it counts as missing
        if it never arrived.
        """
        if epoch <= self.epoch:
            return
        self.epoch = epoch
        self.reported = self.units
        self._counted = False
        self._outgoing.clear()
        self._received.clear()

    def note_counted(self, epoch: int) -> None:
        """Note that the epoch's author has this instance's report."""
        if epoch == self.epoch:
            self._counted = True

    def grant(self, units: int, now: float, *, full: bool = False) -> None:
        """Add new units, with an empty bucket unless they were never used.

        Args:
            units: Units to add.
            now: Monotonic time in seconds.
            full: Whether the customer has never had any units before.
        """
        self.units += units
        self._resize(self._capacity(self.units) if full else 0, now)

    def givable(self, now: float) -> int:
        """Return the units that refunds of unsettled charges do not need.

        A refund has to fit below the capacity, so units whose capacity is neither
        filled nor free of reservations stay.
        """
        capacity = self._bucket.capacity
        if not capacity:
            return self.units
        level = self.level(now)
        movable = level + self._free_headroom(level)
        return max(0, min(self.units, self.units * movable // capacity))

    def fill(self, now: float) -> float:
        """Return the level as a part of the capacity."""
        capacity = self._bucket.capacity
        return self.level(now) / capacity if capacity else 0.0

    def units_for(self, level: int) -> int:
        """Return how many units, filled to the brim, carry some microtokens."""
        burst = math.floor(self.customer.burst * MICRO)
        return min(TOTAL_UNITS, -(-level * TOTAL_UNITS // burst))

    def give(self, to: PeerId, units: int, now: float, *, level: int = 0) -> Transfer:
        """Deduct units with part of the level, before they are sent.

        They take along their part of the level, or more: as much as is asked for,
        and what would otherwise stand in the way of refunds.

        Args:
            to: The receiver.
            units: From 1 to the number held; `may_give` must hold.
            now: Monotonic time in seconds.
            level: Microtokens that the receiver needs.
        """
        own = self.level(now)
        room = self._bucket.capacity - self._capacity(self.units - units)
        part = -(-own * units // self.units)
        wanted = max(level, part, room - self._free_headroom(own))
        level = max(0, min(wanted, own, room))
        self.units -= units
        self._resize(-level, now)
        self._sequence += 1
        sequence = self._sequence
        waiting = [number for peer, number in self._outgoing if peer == to]
        floor = min(waiting, default=sequence)
        transfer = Transfer(
            self.customer.name, self.epoch, sequence, floor, units, level
        )
        self._outgoing[to, sequence] = transfer
        return transfer

    def receive(self, sender: PeerId, transfer: Transfer, now: float) -> bool:
        """Add the units of a transfer unless it came before.

        Returns:
            Whether the units are, or had been, added; False for another epoch.
        """
        if transfer.epoch != self.epoch:
            return False
        if self._received.is_new(sender.incarnation, transfer.sequence, transfer.floor):
            self.units += transfer.units
            self._resize(transfer.level, now)
        return True

    def acknowledged(self, to: PeerId, sequence: int) -> None:
        """Stop sending a transfer again."""
        self._outgoing.pop((to, sequence), None)

    def outgoing(self) -> list[Outgoing]:
        """Return the transfers that were not acknowledged."""
        return [Outgoing(to, sent) for (to, _), sent in self._outgoing.items()]

    def in_flight(self, receivers: set[PeerId]) -> int:
        """Return the units sent to some receivers and not acknowledged."""
        return sum(sent.units for to, sent in self.outgoing() if to in receivers)

    def _free_headroom(self, level: int) -> int:
        return max(0, self._bucket.capacity - level - self._bucket.reserved)

    def _resize(self, moved: int, now: float) -> None:
        rate = self.customer.rate * MICRO * self.units / TOTAL_UNITS
        self._bucket.adjust(rate, self._capacity(self.units), moved, now)

    def _capacity(self, units: int) -> int:
        return math.floor(self.customer.burst * MICRO) * units // TOTAL_UNITS
