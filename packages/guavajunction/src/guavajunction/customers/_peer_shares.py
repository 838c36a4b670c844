"""Last known shares of the peers, and the choice of peers to request units from."""

from __future__ import annotations

from typing import NamedTuple

from guavajunction.configuration import Customer
from guavajunction.peers import PeerId

from ._bucket import MICROTOKENS_PER_TOKEN
from ._local_share import TOTAL_UNITS
from ._messages import ShareDigest


class PeerShare(NamedTuple):
    """A peer's share of one customer's rate and burst, as last received."""

    epoch: int
    units: int
    in_flight: int
    level: int
    """Microtokens."""
    demand: float
    """Requested tokens per second at the peer."""
    largest: float
    """Size of the largest recent request at the peer in tokens."""
    received_at: float
    """Time of receipt, as local monotonic time in seconds."""

    def level_at(self, customer: Customer, now: float) -> int:
        """Return the highest level in microtokens that the peer can have by now."""
        rate = customer.rate * MICROTOKENS_PER_TOKEN * self.units / TOTAL_UNITS
        grown = self.level + rate * (now - self.received_at)
        return int(min(self.capacity(customer), grown))

    def level_worth_requesting(self, customer: Customer, now: float) -> int:
        """Return the level, or 0 if the peer's own requests need it.

        That is the case if the level is below the size of the largest of them.
        """
        level = self.level_at(customer, now)
        return level if level >= self.largest * MICROTOKENS_PER_TOKEN else 0

    def capacity(self, customer: Customer) -> float:
        """Return the burst of the share in microtokens."""
        return customer.burst * MICROTOKENS_PER_TOKEN * self.units / TOTAL_UNITS


class OwnShare(NamedTuple):
    """This instance's own share, as input for `PeerShares.plan`."""

    units: int
    demand: float
    """Requested tokens per second."""


class PlannedRequest(NamedTuple):
    """A level to request from one peer."""

    peer: PeerId
    level: int
    """Microtokens."""


class PeerShares:
    """Stores the last digests of each peer and plans requests for units.

    A request to a peer whose last known level is too low is speculative: the level may
    have risen since.
    """

    SPECULATIVE_PAUSE_SECONDS = 0.25
    """Time after a reply or a failed request without speculative requests to a peer."""

    OVERLOAD_DEMAND_RATIO = 1.7
    """Demand, as a multiple of the rate, above which a customer counts as overloaded.

    Above 1 because the demand also counts tokens that are reserved but not used.
    """

    MAX_SPECULATIVE_PEERS = 2
    """Most peers that get a speculative request if no units are missing."""

    def __init__(self) -> None:
        self._shares: dict[PeerId, dict[str, PeerShare]] = {}
        self._replied_at: dict[tuple[PeerId, str], float] = {}
        """Monotonic time of the last reply or failed request, by peer and customer."""

    def replace_shares(
        self, sender: PeerId, digests: list[ShareDigest], now: float
    ) -> None:
        """Replace the known shares of a peer with those of its newest heartbeat."""
        self._shares[sender] = {
            digest.customer: PeerShare(*digest[1:], received_at=now)
            for digest in digests
        }

    def update(
        self, peer: PeerId, customer: str, units: int, level: int, now: float
    ) -> None:
        """Update a peer's share after a reply to a request or a failed request."""
        known = self._shares.setdefault(peer, {}).get(customer)
        if known is None:
            known = PeerShare(0, 0, 0, 0, 0.0, 0.0, now)
        share = known._replace(units=units, level=level, received_at=now)
        self._shares[peer][customer] = share
        self._replied_at[peer, customer] = now

    def add_sent_units(self, peer: PeerId, customer: str, units: int) -> None:
        """Add sent units to a peer's known share until its next heartbeat."""
        known = self._shares.get(peer, {}).get(customer)
        if known is not None:
            share = known._replace(units=known.units + units)
            self._shares[peer][customer] = share

    def retain(self, reachable: set[PeerId]) -> None:
        """Remove all peers that are not reachable."""
        for peer in self._shares.keys() - reachable:
            del self._shares[peer]
        for key in [k for k in self._replied_at if k[0] not in reachable]:
            del self._replied_at[key]

    def by_customer(
        self, customer: str, reachable: set[PeerId]
    ) -> dict[PeerId, PeerShare]:
        """Return the known shares of a customer at the reachable peers."""
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
        """Plan requests to as few peers as possible.

        Args:
            customer: The customer whose units are needed.
            needed: Missing microtokens.
            own: The share of this instance.
            reachable: Peers that can receive a request.
            now: Monotonic time in seconds.

        Returns:
            Requests whose levels may add up to `needed`; empty if the peers have less.
        """
        shares = self.by_customer(customer.name, reachable)
        # If the customer is overloaded, each peer uses up a small level by its own
        # requests. Moving that level would cost messages, and the peer would reject a
        # request in place of this instance.
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
        known_units = own.units + sum(share.units for share in shares.values())
        speculative = self._speculative_peers(customer.name, reachable, now)
        if known_units >= TOTAL_UNITS:
            # No units are missing, so only an outdated level can be high enough. That
            # is rare for many peers at a time.
            speculative = [peer for peer in speculative if peer in shares]
            speculative = speculative[: self.MAX_SPECULATIVE_PEERS]
        # Each speculative request is for the whole remaining amount. A peer with a
        # lower level sends nothing, so units move only if they suffice to admit the
        # caller's request.
        expected = {request.peer: request.level for request in requests}
        return [
            PlannedRequest(peer, expected.get(peer, 0) + needed) for peer in speculative
        ]

    def _speculative_peers(
        self, customer: str, peers: set[PeerId], now: float
    ) -> list[PeerId]:
        """Return the peers without a recent reply, in descending order of units."""
        earliest = now - self.SPECULATIVE_PAUSE_SECONDS

        def units(peer: PeerId) -> int:
            share = self._shares.get(peer, {}).get(customer)
            return share.units if share else 0

        recent = {
            peer
            for peer in peers
            if self._replied_at.get((peer, customer), float("-inf")) > earliest
        }
        return sorted(sorted(peers - recent), key=units, reverse=True)
