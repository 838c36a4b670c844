"""What the peers' heartbeats say about their shares."""

from __future__ import annotations

from typing import NamedTuple

from guavajunction.configuration import Customer
from guavajunction.customers._bucket import MICRO
from guavajunction.customers._holding import TOTAL_UNITS
from guavajunction.customers._messages import ShareDigest
from guavajunction.peers import PeerId


class PeerShare(NamedTuple):
    """A peer's share of one customer's rate as last heard."""

    epoch: int
    units: int
    in_flight: int
    level: int
    """Microtokens."""
    demand: float
    """Tokens a second."""
    heard_at: float
    """Monotonic time in seconds."""

    def level_at(self, customer: Customer, now: float) -> int:
        """Return the most that the peer's level can have grown to."""
        rate = customer.rate * MICRO * self.units / TOTAL_UNITS
        capacity = customer.burst * MICRO * self.units / TOTAL_UNITS
        return int(min(capacity, self.level + rate * (now - self.heard_at)))


class Portion(NamedTuple):
    """What to ask one peer for."""

    peer: PeerId
    level: int
    """Microtokens."""


class PeerShares:
    """Keeps the last digest of each peer and picks whom to ask."""

    def __init__(self) -> None:
        self._shares: dict[PeerId, dict[str, PeerShare]] = {}

    def accept(self, sender: PeerId, digests: list[ShareDigest], now: float) -> None:
        """Replace what is known of a peer by its newest heartbeat."""
        self._shares[sender] = {
            d.customer: PeerShare(d.epoch, d.units, d.in_flight, d.level, d.demand, now)
            for d in digests
        }

    def update(
        self, peer: PeerId, customer: str, units: int, level: int, now: float
    ) -> None:
        """Correct one share by what the peer has just answered."""
        known = self._shares.setdefault(peer, {}).get(customer)
        if known is None:
            known = PeerShare(0, 0, 0, 0, 0.0, now)
        share = known._replace(units=units, level=level, heard_at=now)
        self._shares[peer][customer] = share

    def keep_only(self, live: set[PeerId]) -> None:
        """Forget the peers that are no longer live."""
        for peer in self._shares.keys() - live:
            del self._shares[peer]

    def of(self, customer: str, live: set[PeerId]) -> dict[PeerId, PeerShare]:
        """Return the shares of the live peers that have one."""
        return {
            peer: shares[customer]
            for peer, shares in self._shares.items()
            if peer in live and customer in shares
        }

    def plan(
        self, customer: Customer, needed: int, live: set[PeerId], now: float
    ) -> list[Portion]:
        """Return whom to ask for how much, the fewest peers first.

        Args:
            customer: Whose rate it is.
            needed: Microtokens that are lacking.
            live: Peers that may be asked.
            now: Monotonic time in seconds.

        Returns:
            Portions that add up to what is needed; empty if the peers lack it.
        """
        levels = [
            Portion(peer, share.level_at(customer, now))
            for peer, share in self.of(customer.name, live).items()
        ]
        portions = []
        for peer, level in sorted(levels, key=lambda p: p.level, reverse=True):
            if needed <= 0 or level <= 0:
                break
            portions.append(Portion(peer, min(level, needed)))
            needed -= level
        return portions if needed <= 0 else []
