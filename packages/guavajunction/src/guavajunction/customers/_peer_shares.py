"""What the peers' heartbeats say about their shares."""

from __future__ import annotations

from typing import NamedTuple

from guavajunction.configuration import Customer
from guavajunction.peers import PeerId

from ._bucket import MICRO
from ._local_share import TOTAL_UNITS
from ._messages import ShareDigest


class PeerShare(NamedTuple):
    """A peer's share of one customer's rate as last heard."""

    epoch: int
    units: int
    in_flight: int
    level: int
    """Microtokens."""
    demand: float
    """Tokens a second."""
    largest: float
    """Tokens."""
    heard_at: float
    """Monotonic time in seconds."""

    def level_at(self, customer: Customer, now: float) -> int:
        """Return the most that the peer's level can have grown to."""
        rate = customer.rate * MICRO * self.units / TOTAL_UNITS
        grown = self.level + rate * (now - self.heard_at)
        return int(min(self.capacity(customer), grown))

    def worth_asking(self, customer: Customer, now: float) -> int:
        """Return the level, or 0 if it does not even hold one request of the peer."""
        level = self.level_at(customer, now)
        return level if level >= self.largest * MICRO else 0

    def capacity(self, customer: Customer) -> float:
        """Return the microtokens that fit into the share."""
        return customer.burst * MICRO * self.units / TOTAL_UNITS


class Own(NamedTuple):
    """This instance's own share, beside those of its peers."""

    units: int
    demand: float
    """Tokens a second."""


class Portion(NamedTuple):
    """What to ask one peer for."""

    peer: PeerId
    level: int
    """Microtokens."""


class PeerShares:
    """Keeps the last digest of each peer and picks whom to ask."""

    ASK_AGAIN_SECONDS = 0.25
    """How long a peer that had nothing is not asked again in doubt."""

    OVERLOADED_AT_RATES = 1.7
    """Demand, with tokens reserved in vain, at which a customer is over its rate."""

    MAX_DOUBTFUL_PEERS = 2
    """Peers that are asked in case what is known of them is out of date."""

    def __init__(self) -> None:
        self._shares: dict[PeerId, dict[str, PeerShare]] = {}
        self._answered_at: dict[tuple[PeerId, str], float] = {}
        """When a peer last answered an ask, by peer and customer."""

    def accept(self, sender: PeerId, digests: list[ShareDigest], now: float) -> None:
        """Replace what is known of a peer by its newest heartbeat."""
        self._shares[sender] = {
            digest.customer: PeerShare(*digest[1:], heard_at=now) for digest in digests
        }

    def update(
        self, peer: PeerId, customer: str, units: int, level: int, now: float
    ) -> None:
        """Correct one share by the peer's answer to an ask, or the lack of one."""
        known = self._shares.setdefault(peer, {}).get(customer)
        if known is None:
            known = PeerShare(0, 0, 0, 0, 0.0, 0.0, now)
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
        own: Own,
        heard: set[PeerId],
        now: float,
    ) -> list[Portion]:
        """Return whom to ask for how much, the fewest peers first.

        Args:
            customer: Whose rate it is.
            needed: Microtokens that are lacking.
            own: What this instance has itself.
            heard: Peers that may be asked.
            now: Monotonic time in seconds.

        Returns:
            Portions that may add up to what is needed; empty if the peers lack it.
        """
        shares = self.of(customer.name, heard)
        # Remnants that peers over their rate will use up themselves stay with them:
        # to gather those would only move the refusal, at the cost of messages.
        demand = own.demand + sum(share.demand for share in shares.values())
        overloaded = demand > self.OVERLOADED_AT_RATES * customer.rate
        level_of = PeerShare.worth_asking if overloaded else PeerShare.level_at
        levels = [
            Portion(peer, level_of(share, customer, now))
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
        accounted = own.units + sum(share.units for share in shares.values())
        doubtful = self._not_asked_lately(customer.name, heard, now)
        if accounted >= TOTAL_UNITS:
            # What is known may be out of date, but not for many peers at once.
            doubtful = [peer for peer in doubtful if peer in shares]
            doubtful = doubtful[: self.MAX_DOUBTFUL_PEERS]
        # Each is asked for what would complete the rest, so that nothing moves
        # unless the whole comes together.
        expected = {portion.peer: portion.level for portion in portions}
        return [Portion(peer, expected.get(peer, 0) + needed) for peer in doubtful]

    def _not_asked_lately(
        self, customer: str, peers: set[PeerId], now: float
    ) -> list[PeerId]:
        """Return the peers to ask although nothing is known to be left with them."""
        long_ago = now - self.ASK_AGAIN_SECONDS

        def units(peer: PeerId) -> int:
            share = self._shares.get(peer, {}).get(customer)
            return share.units if share else 0

        lately = {
            peer
            for peer in peers
            if self._answered_at.get((peer, customer), float("-inf")) > long_ago
        }
        return sorted(sorted(peers - lately), key=units, reverse=True)
