"""How many units of a customer's rate each instance should have."""

from __future__ import annotations

from typing import NamedTuple

from guavajunction.clock import Clock
from guavajunction.customers._bucket import MICRO
from guavajunction.customers._holding import Holding
from guavajunction.customers._peer_shares import PeerShares
from guavajunction.peers import Links, PeerId


class Want(NamedTuple):
    """What one instance has and is asked for."""

    units: int
    demand: float
    """Tokens a second."""
    largest: float
    """Tokens of its largest request of late."""


class Targets:
    """Splits a customer's units by demand over as few instances as need be.

    A share that holds only a request or two refuses the next one although others
    have enough, so units are split only into shares of several requests each.
    Instances that have units already are preferred, lest the units wander.
    """

    REQUESTS_PER_SHARE = 4

    STAY_WEIGHT = 0.5
    """What holding all units counts for, as a part of the whole demand."""

    def __init__(self, peers: PeerShares, links: Links, clock: Clock) -> None:
        self._peers = peers
        self._links = links
        self._clock = clock

    def wants(self, holding: Holding) -> dict[PeerId, Want]:
        """Return what the instances of this epoch have and are asked for."""
        now, demand = self._clock.monotonic(), holding.demand
        own = Want(holding.units, demand.rate(now), demand.largest(now))
        wants = {self._links.me: own}
        heard = set(self._links.peers())
        for peer, share in self._peers.of(holding.customer.name, heard).items():
            if share.epoch == holding.epoch:
                wants[peer] = Want(share.units, share.demand, share.largest)
        return wants

    def lacking(self, holding: Holding, wants: dict[PeerId, Want]) -> dict[PeerId, int]:
        """Return by how many units each instance is below its target.

        Args:
            holding: This instance's share.
            wants: What the instances have and are asked for.

        Returns:
            Units by instance, negative above the target; empty without demand.
        """
        total = sum(want.units for want in wants.values())
        chosen = self._chosen(holding, wants, total)
        demand = sum(wants[peer].demand for peer in chosen)
        if demand <= 0:
            return {}
        return {
            peer: (int(total * want.demand / demand) if peer in chosen else 0)
            - want.units
            for peer, want in wants.items()
        }

    def _chosen(
        self, holding: Holding, wants: dict[PeerId, Want], total: int
    ) -> list[PeerId]:
        largest = max(want.largest for want in wants.values())
        smallest = holding.units_for(int(self.REQUESTS_PER_SHARE * largest * MICRO))
        demand = sum(want.demand for want in wants.values()) or 1.0

        def score(peer: PeerId) -> tuple[float, PeerId]:
            want = wants[peer]
            stays = self.STAY_WEIGHT * want.units / max(1, total)
            return want.demand / demand + stays, peer

        ranked = sorted(wants, key=score, reverse=True)
        ranked = [peer for peer in ranked if wants[peer].demand > 0]
        for count in range(len(ranked), 1, -1):
            chosen = ranked[:count]
            together = sum(wants[peer].demand for peer in chosen)
            least = min(wants[peer].demand for peer in chosen)
            if total * least / together >= smallest:
                return chosen
        return ranked[:1]
