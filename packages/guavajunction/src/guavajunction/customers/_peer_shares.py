"""What the peers' heartbeats say about their shares."""

from __future__ import annotations

from typing import NamedTuple

from guavajunction.configuration import Customer
from guavajunction.peers import PeerId

from ._bucket import MICROTOKENS_PER_TOKEN
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
    received_at: float
    """Monotonic time in seconds."""

    def level_at(self, customer: Customer, now: float) -> int:
        """Return the most that the peer's level can have grown to."""
        rate = customer.rate * MICROTOKENS_PER_TOKEN * self.units / TOTAL_UNITS
        grown = self.level + rate * (now - self.received_at)
        return int(min(self.capacity(customer), grown))

    def level_worth_requesting(self, customer: Customer, now: float) -> int:
        """Return the level, or 0 if it does not even hold one request of the peer."""
        level = self.level_at(customer, now)
        return level if level >= self.largest * MICROTOKENS_PER_TOKEN else 0

    def capacity(self, customer: Customer) -> float:
        """Return the microtokens that fit into the share."""
        return customer.burst * MICROTOKENS_PER_TOKEN * self.units / TOTAL_UNITS


class OwnShare(NamedTuple):
    """This instance's own share, beside those of its peers."""

    units: int
    demand: float
    """Tokens a second."""


class PlannedRequest(NamedTuple):
    """What to ask one peer for."""

    peer: PeerId
    level: int
    """Microtokens."""


class PeerShares:
    """Keeps the last digest of each peer and picks whom to ask."""

    REPEAT_REQUEST_SECONDS = 0.25
    """How long a peer that had nothing is not asked again in doubt."""

    OVERLOAD_DEMAND_RATIO = 1.7
    """Demand, with tokens reserved in vain, at which a customer is over its rate."""

    MAX_SPECULATIVE_PEERS = 2
    """Peers that are asked in case what is known of them is out of date."""

    def __init__(self) -> None:
        self._shares: dict[PeerId, dict[str, PeerShare]] = {}
        self._answered_at: dict[tuple[PeerId, str], float] = {}
        """When a peer last answered an ask, by peer and customer."""

    def accept(self, sender: PeerId, digests: list[ShareDigest], now: float) -> None:
        """Replace what is known of a peer by its newest heartbeat."""
        self._shares[sender] = {
            digest.customer: PeerShare(*digest[1:], received_at=now)
            for digest in digests
        }

    def update(
        self, peer: PeerId, customer: str, units: int, level: int, now: float
    ) -> None:
        """Correct one share by the peer's answer to an ask, or the lack of one."""
        known = self._shares.setdefault(peer, {}).get(customer)
        if known is None:
            known = PeerShare(0, 0, 0, 0, 0.0, 0.0, now)
        share = known._replace(units=units, level=level, received_at=now)
        self._shares[peer][customer] = share
        self._answered_at[peer, customer] = now

    def add(self, peer: PeerId, customer: str, units: int) -> None:
        """Count units that were sent, until the peer's next heartbeat tells."""
        known = self._shares.get(peer, {}).get(customer)
        if known is not None:
            share = known._replace(units=known.units + units)
            self._shares[peer][customer] = share

    def retain(self, reachable: set[PeerId]) -> None:
        """Forget the peers that are no longer heard from."""
        for peer in self._shares.keys() - reachable:
            del self._shares[peer]
        for asked in [a for a in self._answered_at if a[0] not in reachable]:
            del self._answered_at[asked]

    def by_customer(
        self, customer: str, reachable: set[PeerId]
    ) -> dict[PeerId, PeerShare]:
        """Return the shares of those peers that have one."""
        return {
            peer: shares[customer]
            for peer, shares in self._shares.items()
            if peer in reachable and customer in shares
        }

    def plan(
        self,
        customer: Customer,
        needed: int,
        own: OwnShare,
        reachable: set[PeerId],
        now: float,
    ) -> list[PlannedRequest]:
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
        shares = self.by_customer(customer.name, reachable)
        # Remnants that peers over their rate will use up themselves stay with them:
        # to gather those would only move the refusal, at the cost of messages.
        demand = own.demand + sum(share.demand for share in shares.values())
        overloaded = demand > self.OVERLOAD_DEMAND_RATIO * customer.rate
        level_of = (
            PeerShare.level_worth_requesting if overloaded else PeerShare.level_at
        )
        levels = [
            PlannedRequest(peer, level_of(share, customer, now))
            for peer, share in shares.items()
        ]
        requests = []
        for peer, level in sorted(levels, key=lambda p: p.level, reverse=True):
            if needed <= 0 or level <= 0:
                break
            requests.append(PlannedRequest(peer, min(level, needed)))
            needed -= level
        if needed <= 0:
            return requests
        accounted = own.units + sum(share.units for share in shares.values())
        doubtful = self._speculative_peers(customer.name, reachable, now)
        if accounted >= TOTAL_UNITS:
            # What is known may be out of date, but not for many peers at once.
            doubtful = [peer for peer in doubtful if peer in shares]
            doubtful = doubtful[: self.MAX_SPECULATIVE_PEERS]
        # Each is asked for what would complete the rest, so that nothing moves
        # unless the whole comes together.
        expected = {portion.peer: portion.level for portion in requests}
        return [
            PlannedRequest(peer, expected.get(peer, 0) + needed) for peer in doubtful
        ]

    def _speculative_peers(
        self, customer: str, peers: set[PeerId], now: float
    ) -> list[PeerId]:
        """Return the peers to ask although nothing is known to be left with them."""
        long_ago = now - self.REPEAT_REQUEST_SECONDS

        def units(peer: PeerId) -> int:
            share = self._shares.get(peer, {}).get(customer)
            return share.units if share else 0

        lately = {
            peer
            for peer in peers
            if self._answered_at.get((peer, customer), float("-inf")) > long_ago
        }
        return sorted(sorted(peers - lately), key=units, reverse=True)
