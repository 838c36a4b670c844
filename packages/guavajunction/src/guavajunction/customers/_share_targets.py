"""How many units of a customer's rate each instance should have."""

from __future__ import annotations

from typing import NamedTuple

from guavajunction.clock import Clock
from guavajunction.membership import owner
from guavajunction.peers import Links, PeerId

from ._bucket import MICRO
from ._local_share import Holding
from ._peer_shares import PeerShares


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

    What the demand leaves over is kept on a standby instance: the units of an instance
    that dies are out of use until its lease has run out, and the standby serves the
    customer meanwhile.
    """

    REQUESTS_PER_SHARE = 4

    DEMAND_HEADROOM = 1.25
    """Part of the demand that its instances have units for, before the standby."""

    STANDBY_PART = 0.5
    """A standby is kept if one instance has more than this part of the demand."""

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

    def lacking(
        self, holding: Holding, wants: dict[PeerId, Want], *, with_standby: bool
    ) -> dict[PeerId, int]:
        """Return by how many units each instance is below its target.

        Args:
            holding: This instance's share.
            wants: What the instances have and are asked for.
            with_standby: Whether the standby has a part. An instance that asks because
                it is short gets all that it may need.

        Returns:
            Units by instance, negative above the target; empty without demand.
        """
        total = sum(want.units for want in wants.values())
        chosen = self._chosen(holding, wants, total)
        demand = sum(wants[peer].demand for peer in chosen)
        if demand <= 0:
            return {}
        targets: dict[PeerId, int] = {}
        if with_standby:
            targets = self._reserve(holding, wants, chosen, total)
        rest = total - sum(targets.values())
        for peer in chosen:
            targets[peer] = int(rest * wants[peer].demand / demand)
        return {
            peer: targets.get(peer, 0) - (wants[peer].units if peer in wants else 0)
            for peer in wants.keys() | targets.keys()
        }

    def _reserve(
        self,
        holding: Holding,
        wants: dict[PeerId, Want],
        chosen: list[PeerId],
        total: int,
    ) -> dict[PeerId, int]:
        """Return the standby with its units; empty if there is none worth having."""
        others = {*self._links.peers(), self._links.me} - set(chosen)
        busiest = max(wants[peer].demand for peer in chosen)
        together = sum(wants[peer].demand for peer in chosen)
        if not others or busiest <= self.STANDBY_PART * together:
            return {}
        demand = sum(want.demand for want in wants.values())
        spare = 1.0 - self.DEMAND_HEADROOM * demand / holding.customer.rate
        smallest = self._smallest_share(holding, wants)
        units = min(int(total * spare), total - smallest * len(chosen))
        if units < smallest:
            return {}
        return {owner(f"standby/{holding.customer.name}", sorted(others)): units}

    def _smallest_share(self, holding: Holding, wants: dict[PeerId, Want]) -> int:
        largest = max(want.largest for want in wants.values())
        return holding.units_for(int(self.REQUESTS_PER_SHARE * largest * MICRO))

    def _chosen(
        self, holding: Holding, wants: dict[PeerId, Want], total: int
    ) -> list[PeerId]:
        smallest = self._smallest_share(holding, wants)
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
