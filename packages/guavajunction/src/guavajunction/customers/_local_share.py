"""One customer's share of rate and burst at this instance."""

from __future__ import annotations

import asyncio
import math
from typing import NamedTuple

from guavajunction.configuration import Customer
from guavajunction.peers import PeerId

from ._bucket import MICROTOKENS_PER_TOKEN, Charge, TokenBucket
from ._demand import DemandMeter
from ._messages import Transfer
from ._received_transfers import ReceivedTransfers

TOTAL_UNITS = 1024
"""Number of units that each customer's rate and burst are divided into."""


class Outgoing(NamedTuple):
    """A transfer that the receiver has not acknowledged."""

    to: PeerId
    transfer: Transfer


class LocalShare:
    """The units of one customer at this instance, and their token bucket.

    Units belong to an epoch. An instance that enters a higher epoch keeps its units
    and reports their number to the author of the epoch, which is the instance that
    raised it. Until the author has counted the report, the instance sends no units. If
    it did and then stopped without having reported, the author would grant these units
    a second time.
    """

    def __init__(self, customer: Customer, now: float) -> None:
        self.customer = customer
        """The customer as of the latest configuration that was applied."""
        self.epoch = 0
        """Epoch of the units; 0 before the first is known."""
        self.units = 0
        """Number of units at this instance."""
        self.reported_units = 0
        """Number of units on entry to the epoch, which is this instance's report."""
        self.demand = DemandMeter(now)
        """Measures the tokens that were requested at this instance."""
        self.request_lock = asyncio.Lock()
        """Held while units are requested from peers or the share row is created."""
        self._report_counted = True
        self._bucket = TokenBucket(0.0, 0, now)
        self._sequence = 0
        self._outgoing: dict[tuple[PeerId, int], Transfer] = {}
        self._received = ReceivedTransfers()

    @property
    def may_send_units(self) -> bool:
        """Whether the author of the epoch has counted the report, or it is zero."""
        return self._report_counted or self.reported_units == 0

    def level(self, now: float) -> int:
        """Return the microtokens that can be charged now."""
        return self._bucket.level(now)

    def charge(self, cost: int, now: float) -> Charge | None:
        """Charge microtokens to this share, or return None if its level is too low."""
        return self._bucket.charge(cost, now)

    def settle(self, charge: Charge, used: int, now: float) -> None:
        """Close a charge and refund its unused part; `used` is in microtokens."""
        self._bucket.settle(charge, used, now)

    def set_customer(self, customer: Customer, now: float) -> None:
        """Apply rate and burst from the current configuration."""
        if customer != self.customer:
            self.customer = customer
            self._resize(0, now)

    def enter_epoch(self, epoch: int) -> None:
        """Move the units to a higher epoch; a lower or equal one is ignored.

        Unacknowledged transfers are no longer resent. If one of them did not arrive in
        the earlier epoch, its units count as missing.
        """
        if epoch <= self.epoch:
            return
        self.epoch = epoch
        self.reported_units = self.units
        self._report_counted = False
        self._outgoing.clear()
        self._received.clear()

    def mark_report_counted(self, epoch: int) -> None:
        """Record that the author of an epoch has counted this instance's report."""
        if epoch == self.epoch:
            self._report_counted = True

    def grant(self, units: int, now: float, *, full: bool = False) -> None:
        """Add granted units; the level stays unchanged unless `full` is set.

        Args:
            units: Units to add.
            now: Monotonic time in seconds.
            full: Whether to raise the level to the capacity. True only for a new
                customer's first grant, before which nothing can have been charged.
        """
        self.units += units
        self._resize(self._capacity(self.units) if full else 0, now)

    def transferable_units(self, now: float) -> int:
        """Return the number of units that open charges do not need for refunds.

        A refund needs headroom below the capacity. Units whose headroom is reserved
        for the refunds of open charges can't be transferred.
        """
        capacity = self._bucket.capacity
        if not capacity:
            return self.units
        level = self.level(now)
        movable = level + self._free_headroom(level)
        return max(0, min(self.units, self.units * movable // capacity))

    def fill_ratio(self, now: float) -> float:
        """Return the level divided by the capacity; 0 without units."""
        capacity = self._bucket.capacity
        return self.level(now) / capacity if capacity else 0.0

    def units_for(self, level: int) -> int:
        """Return the smallest number of units whose capacity is `level` or more.

        Args:
            level: Microtokens.
        """
        burst = math.floor(self.customer.burst * MICROTOKENS_PER_TOKEN)
        return min(TOTAL_UNITS, -(-level * TOTAL_UNITS // burst))

    def create_transfer(
        self, to: PeerId, units: int, now: float, *, level: int = 0
    ) -> Transfer:
        """Deduct units and a part of the level, and return the transfer to send.

        The transfer carries at least the proportional part of the level. It carries
        more if the receiver needs more, or if the remaining capacity would otherwise
        leave too little headroom for refunds.

        Args:
            to: The receiver.
            units: From 1 to the current number of units; `may_send_units` must be
                true.
            now: Monotonic time in seconds.
            level: Microtokens that the receiver needs.
        """
        own_level = self.level(now)
        capacity = self._bucket.capacity - self._capacity(self.units - units)
        proportional = -(-own_level * units // self.units)
        wanted = max(level, proportional, capacity - self._free_headroom(own_level))
        level = max(0, min(wanted, own_level, capacity))
        self.units -= units
        self._resize(-level, now)
        self._sequence += 1
        sequence = self._sequence
        pending = [number for peer, number in self._outgoing if peer == to]
        floor = min(pending, default=sequence)
        transfer = Transfer(
            self.customer.name, self.epoch, sequence, floor, units, level
        )
        self._outgoing[to, sequence] = transfer
        return transfer

    def receive(self, sender: PeerId, transfer: Transfer, now: float) -> bool:
        """Add the units of a transfer unless it was received before.

        Returns:
            Whether the units were added now or by an earlier copy of the transfer;
            False if the transfer belongs to another epoch.
        """
        if transfer.epoch != self.epoch:
            return False
        if self._received.record(sender.incarnation, transfer.sequence, transfer.floor):
            self.units += transfer.units
            self._resize(transfer.level, now)
        return True

    def confirm_transfer(self, to: PeerId, sequence: int) -> None:
        """Remove an acknowledged transfer, so that it is not resent."""
        self._outgoing.pop((to, sequence), None)

    def outgoing(self) -> list[Outgoing]:
        """Return the transfers that are not acknowledged."""
        return [Outgoing(to, sent) for (to, _), sent in self._outgoing.items()]

    def in_flight(self, receivers: set[PeerId]) -> int:
        """Return the number of units in unacknowledged transfers to some receivers."""
        return sum(sent.units for to, sent in self.outgoing() if to in receivers)

    def _free_headroom(self, level: int) -> int:
        return max(0, self._bucket.capacity - level - self._bucket.reserved)

    def _resize(self, level_change: int, now: float) -> None:
        rate = self.customer.rate * MICROTOKENS_PER_TOKEN * self.units / TOTAL_UNITS
        self._bucket.adjust(rate, self._capacity(self.units), level_change, now)

    def _capacity(self, units: int) -> int:
        return (
            math.floor(self.customer.burst * MICROTOKENS_PER_TOKEN)
            * units
            // TOTAL_UNITS
        )
