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

    ASK_AGAIN_SECONDS = 0.25
    """How long a peer that had nothing is not asked for unaccounted units."""

    def __init__(self) -> None:
        self._shares: dict[PeerId, dict[str, PeerShare]] = {}
        self._answered_at: dict[tuple[PeerId, str], float] = {}
        """When a peer last answered an ask, by peer and customer."""

    def accept(self, sender: PeerId, digests: list[ShareDigest], now: float) -> None:
        """Replace what is known of a peer by its newest heartbeat."""
        self._shares[sender] = {
            d.customer: PeerShare(d.epoch, d.units, d.in_flight, d.level, d.demand, now)
            for d in digests
        }

    def update(
        self, peer: PeerId, customer: str, units: int, level: int, now: float
    ) -> None:
        """Correct one share by the peer's answer to an ask, or the lack of one."""
        known = self._shares.setdefault(peer, {}).get(customer)
        if known is None:
            known = PeerShare(0, 0, 0, 0, 0.0, now)
        share = known._replace(units=units, level=level, heard_at=now)
        self._shares[peer][customer] = share
        self._answered_at[peer, customer] = now

    def add(self, peer: PeerId, customer: str, units: int) -> None:
        """Count units that were sent, until the peer's next heartbeat tells."""
        known = self._shares.get(peer, {}).get(customer)
        if known is not None:
            share = known._replace(units=known.units + units)
            self._shares[peer][customer] = share

    def keep_only(self, heard: set[PeerId]) -> None:
        """Forget the peers that are no longer heard from."""
        for peer in self._shares.keys() - heard:
            del self._shares[peer]
        for asked in [a for a in self._answered_at if a[0] not in heard]:
            del self._answered_at[asked]

    def of(self, customer: str, heard: set[PeerId]) -> dict[PeerId, PeerShare]:
        """Return the shares of those peers that have one."""
        return {
            peer: shares[customer]
            for peer, shares in self._shares.items()
            if peer in heard and customer in shares
        }

    def plan(
        self,
        customer: Customer,
        needed: int,
        own_units: int,
        heard: set[PeerId],
        now: float,
    ) -> list[Portion]:
        """Return whom to ask for how much, the fewest peers first.

        Args:
            customer: Whose rate it is.
            needed: Microtokens that are lacking.
            own_units: Units that this instance has itself.
            heard: Peers that may be asked.
            now: Monotonic time in seconds.

        Returns:
            Portions that may add up to what is needed; empty if the peers lack it.
        """
        shares = self.of(customer.name, heard)
        levels = [
            Portion(peer, share.level_at(customer, now))
            for peer, share in shares.items()
        ]
        portions = []
        for peer, level in sorted(levels, key=lambda p: p.level, reverse=True):
            if needed <= 0 or level <= 0:
                break
            portions.append(Portion(peer, min(level, needed)))
            needed -= level
        if needed <= 0:
            return portions
        if own_units + sum(share.units for share in shares.values()) >= TOTAL_UNITS:
            return []
        return self._anyone(customer.name, needed, portions, heard, now)

    def _anyone(
        self,
        customer: str,
        needed: int,
        portions: list[Portion],
        heard: set[PeerId],
        now: float,
    ) -> list[Portion]:
        """Add the peers that may hold the units nobody is known to have."""
        known = {portion.peer for portion in portions}
        long_ago = now - self.ASK_AGAIN_SECONDS
        unknown = [
            peer
            for peer in sorted(heard - known)
            if self._answered_at.get((peer, customer), float("-inf")) <= long_ago
        ]
        if not unknown:
            return []
        return portions + [Portion(peer, needed) for peer in unknown]
